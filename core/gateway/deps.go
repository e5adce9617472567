package gateway

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/explain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/operations"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Lists gives the lists in force.
type Lists interface {
	// Current returns the snapshot in force, nil before the first adoption.
	Current() *lists.Snapshot
	// CatchUp fetches from peer until at least version is in force, or fails
	// with kind lists_outdated.
	CatchUp(ctx context.Context, version domain.ListsVersion, peer domain.NodeRef) error
}

// RouteRequest is what a choice depends on.
type RouteRequest struct {
	Access       *lists.Access
	Target       domain.Target
	PromptTokens int
	OutputTokens int
	Prefix       uint64
	BodyBytes    int
	Deadline     time.Time
	// LocalOnly forbids forwarding: the Execute stage.
	LocalOnly bool
	// Tried is left out.
	Tried Tried
	// Pinned demands one upstream, to resume what it holds.
	Pinned domain.UpstreamID
}

// Choice is where an attempt goes: to an upstream of the own failure domain,
// or to a node of another one.
type Choice struct {
	Upstream *domain.UpstreamRef
	Node     *domain.NodeRef
	// Reason is a short text for explanations.
	Reason string
}

// Router chooses. It fails with kind region_forbidden, unknown_target or
// no_capacity, all of which prove that nothing ran.
type Router interface {
	Route(req RouteRequest) (Choice, error)
	// OtherNode returns a node of a failure domain that was not tried yet.
	OtherNode(fd domain.FailureDomain, tried []domain.NodeID) (domain.NodeRef, bool)
}

// Work describes one dispatch for accounting.
type Work struct {
	Target       domain.Target
	PromptTokens int
	Prefix       uint64
}

// Tracker accounts for work under way.
type Tracker interface {
	// Start reports a dispatch to an upstream of the own failure domain. It
	// fails, with verdict "no", if the upstream takes no new work by now.
	Start(up domain.UpstreamID, w Work) (Progress, error)
	// StartForward reports a request sent to a node of another failure domain.
	StartForward(to domain.NodeRef, w Work) (Progress, error)
}

// Progress reports on one dispatch.
type Progress interface {
	// FirstChunk reports the first chunk of the answer.
	FirstChunk()
	// Ended reports the end; err is nil for a whole answer.
	Ended(err error)
}

// Peers reaches other nodes. An error with verdict "no" proves that the receiver
// ran nothing and will run nothing for this attempt.
type Peers interface {
	Execute(ctx context.Context, fwd *Forward) (answer.Stream, error)
	Join(ctx context.Context, fwd *Forward) (answer.Stream, error)
	// Inquire asks the executor of an attempt what became of it.
	Inquire(ctx context.Context, executor domain.NodeRef, a operations.Attempt) (operations.Outcome, error)
	// OperationStatus asks the issuer of an operation where it stands.
	OperationStatus(ctx context.Context, issuer domain.NodeRef, customer domain.CustomerID, id domain.OperationID) (operations.Status, error)
}

// Nodes finds nodes by name, in all failure domains.
type Nodes interface {
	Find(id domain.NodeID) (domain.NodeRef, bool)
}

// Operations is the ledger of the operations that this process issues.
type Operations interface {
	Issue(customer domain.CustomerID, now time.Time) domain.OperationID
	Issues(p operations.IDParts) bool
	Begin(id domain.OperationID, customer domain.CustomerID, fingerprint uint64, now time.Time) (operations.Began, error)
	Status(id domain.OperationID, customer domain.CustomerID, now time.Time) (operations.Status, error)
}

// Keys binds caller-made keys to operations.
type Keys interface {
	Claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint uint64) (operations.Claim, error)
	// TakeOver binds a key to a new operation in place of a burned one.
	TakeOver(ctx context.Context, customer domain.CustomerID, key string, burned operations.Claim) (operations.Claim, error)
}

// Executions is the ledger of the attempts that this process runs for issuers
// elsewhere.
type Executions interface {
	Admit(a operations.Attempt, now time.Time) (*operations.Admission, error)
}

// AdmitRequest is what admission depends on.
type AdmitRequest struct {
	Access       *lists.Access
	Target       domain.Target
	PromptTokens int
	OutputTokens int
	// Deadline is when the caller leaves, FirstTokenBy when the first token is due;
	// each is zero if it is not known.
	Deadline     time.Time
	FirstTokenBy time.Time
}

// Grant is an admitted request's share of the limits.
type Grant interface {
	// Dispatched reports that the request is about to be sent to where it runs.
	Dispatched()
	// Done gives the share back; tokens is what the prompt and the answer used.
	Done(tokens int)
}

// Admission holds requests back to the plan's limits. It fails with kind
// limit_exceeded, deadline_unreachable or overloaded.
type Admission interface {
	Admit(ctx context.Context, req AdmitRequest) (Grant, error)
	// AllowRetry takes one retry from the retry budget, if there is one.
	AllowRetry() bool
}

// Outcome is the summary of a finished request, for metrics.
type Outcome struct {
	Customer   domain.CustomerID
	Target     domain.Target
	Err        error
	Forwarded  bool
	RanIn      domain.Place
	FirstChunk time.Duration
	Total      time.Duration
	Bytes      int64
	Attempts   int
}

// Observer receives outcomes. It must not block.
type Observer interface {
	Finished(Outcome)
}

// Deps are what a Gateway is made of; all fields are required.
type Deps struct {
	Self    domain.NodeRef
	Lists   Lists
	Router  Router
	Tracker Tracker
	Peers   Peers
	Nodes   Nodes
	// Operations, Keys and Executions carry non-repeatable calls.
	Operations Operations
	Keys       Keys
	Executions Executions
	Admission  Admission
	Engine     ports.Engine
	Service    ports.Service
	Observer   Observer
	Explain    *explain.Log
	Log        event.Logger
	// Accepting tells if the node takes new requests from other nodes.
	Accepting func() bool
	Now       func() time.Time
}
