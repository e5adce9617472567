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

// Lists provides the customer lists.
type Lists interface {
	// Current returns the current snapshot, or nil if none was adopted yet.
	Current() *lists.Snapshot
	// CatchUp fetches lists from peer until the current version is at least version. It
	// returns an error of kind lists_outdated if that fails.
	CatchUp(ctx context.Context, version domain.ListsVersion, peer domain.NodeRef) error
}

// RouteRequest holds the inputs of a routing decision.
type RouteRequest struct {
	Access       *lists.Access
	Target       domain.Target
	PromptTokens int
	OutputTokens int
	Prefix       uint64
	BodyBytes    int
	Deadline     time.Time
	// LocalOnly restricts the choice to upstreams of this node's failure domain, as the
	// Execute stage requires.
	LocalOnly bool
	// Excluded lists what must not be chosen.
	Excluded Excluded
	// Pinned requires this upstream, to resume a generation that it holds.
	Pinned domain.UpstreamID
}

// Choice is the destination of an attempt: an upstream of this node's failure domain, or
// a node of another one.
type Choice struct {
	Upstream *domain.UpstreamRef
	Node     *domain.NodeRef
	// Reason is a short text for the explanation record.
	Reason string
}

// Router chooses destinations.
type Router interface {
	Route(req RouteRequest) (Choice, error)
	// OtherNode returns a node of the failure domain that is not in excluded.
	OtherNode(fd domain.FailureDomain, excluded []domain.NodeID) (domain.NodeRef, bool)
}

// Work describes one dispatch for load accounting.
type Work struct {
	Target       domain.Target
	PromptTokens int
	Prefix       uint64
}

// Tracker accounts for dispatches in progress.
type Tracker interface {
	// Start reports a dispatch to an upstream of this node's failure domain. It returns
	// an error with the verdict domain.RunNo if the upstream no longer accepts work.
	Start(up domain.UpstreamID, w Work) (Progress, error)
	// StartForward reports a request that is forwarded to a node of another failure
	// domain.
	StartForward(to domain.NodeRef, w Work) (Progress, error)
}

// Progress receives the progress of one dispatch.
type Progress interface {
	// FirstChunk reports the first chunk of the answer.
	FirstChunk()
	// Ended reports the end; err is nil for a complete answer.
	Ended(err error)
}

// Peers sends requests to other nodes. An error with the verdict domain.RunNo proves
// that the receiver has not run anything for this attempt and will not.
type Peers interface {
	Execute(ctx context.Context, fwd *ForwardedRequest) (answer.Stream, error)
	Join(ctx context.Context, fwd *ForwardedRequest) (answer.Stream, error)
	// Inquire requests the outcome of an attempt from its executor.
	Inquire(ctx context.Context, executor domain.NodeRef, a operations.Attempt) (operations.Outcome, error)
	// OperationStatus requests the status of an operation from its issuer.
	OperationStatus(ctx context.Context, issuer domain.NodeRef, customer domain.CustomerID, id domain.OperationID) (operations.Status, error)
}

// Nodes finds nodes of all failure domains by name.
type Nodes interface {
	Find(id domain.NodeID) (domain.NodeRef, bool)
}

// Operations is the ledger of the operations that this process issues.
type Operations interface {
	Issue(customer domain.CustomerID, now time.Time) domain.OperationID
	IsIssuerOf(p operations.IDParts) bool
	Begin(id domain.OperationID, customer domain.CustomerID, fingerprint uint64, now time.Time) (operations.BeginResult, error)
	Status(id domain.OperationID, customer domain.CustomerID, now time.Time) (operations.Status, error)
}

// Keys binds idempotency keys of callers to operations.
type Keys interface {
	Claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint uint64) (operations.Claim, error)
	// Rebind binds a key to a new operation in place of one that is known not to run.
	Rebind(ctx context.Context, customer domain.CustomerID, key string, previous operations.Claim) (operations.Claim, error)
}

// Executions is the ledger of the attempts that this process runs for issuers on other
// nodes.
type Executions interface {
	Admit(a operations.Attempt, now time.Time) (*operations.Admission, error)
}

// AdmitRequest holds the inputs of an admission decision.
type AdmitRequest struct {
	Access       *lists.Access
	Target       domain.Target
	PromptTokens int
	OutputTokens int
	// Deadline is when the caller stops waiting, FirstTokenDeadline when the first token is
	// due; each is zero if unknown.
	Deadline           time.Time
	FirstTokenDeadline time.Time
}

// Grant is the capacity reserved for an admitted request.
type Grant interface {
	// Dispatched reports that the request is about to be sent to its destination.
	Dispatched()
	// Release releases the capacity; tokens is the number of tokens that the prompt and the
	// answer used.
	Release(tokens int)
}

// Admission enforces the plan's limits. Admit returns errors of kind limit_exceeded,
// deadline_unreachable or overloaded.
type Admission interface {
	Admit(ctx context.Context, req AdmitRequest) (Grant, error)
	// AllowRetry uses one retry of the retry budget and reports whether one was
	// available.
	AllowRetry() bool
}

// Outcome is the summary of a finished request, for metrics.
type Outcome struct {
	Customer         domain.CustomerID
	Target           domain.Target
	Err              error
	Forwarded        bool
	RanIn            domain.Place
	TimeToFirstChunk time.Duration
	Total            time.Duration
	Bytes            int64
	Attempts         int
}

// Observer receives the outcomes of requests. Its methods must not block.
type Observer interface {
	Finished(Outcome)
}

// Deps are the dependencies of a Gateway; all fields are required.
type Deps struct {
	Self    domain.NodeRef
	Lists   Lists
	Router  Router
	Tracker Tracker
	Peers   Peers
	Nodes   Nodes
	// Operations, Keys and Executions handle non-repeatable calls.
	Operations Operations
	Keys       Keys
	Executions Executions
	Admission  Admission
	Engine     ports.Engine
	Service    ports.Service
	Observer   Observer
	Explain    *explain.Log
	Log        event.Logger
	// Accepting reports whether the node accepts new requests from other nodes.
	Accepting func() bool
	Now       func() time.Time
}
