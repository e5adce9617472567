// Package domain holds the identifiers and small value types that every other
// package shares. It has no behaviour beyond formatting and comparison.
package domain

import "time"

type (
	// NodeID names an entry VM's node, unique in the fleet and stable across
	// restarts of its process.
	NodeID string
	// Incarnation tells processes of one node apart. It is drawn at random when
	// the process starts, so a restarted node never answers for its predecessor.
	Incarnation uint64
	// Region names a region, for instance "nl-west".
	Region string
	// FailureDomain names a failure domain, for instance "nl-west-a".
	FailureDomain string
	// CustomerID names a customer in the lists.
	CustomerID string
	// PlanID names a plan in the lists.
	PlanID string
	// UpstreamID names one model engine or one instance of a plain service.
	UpstreamID string
	// RequestID identifies one request end to end; the entry node assigns it.
	RequestID string
	// OperationID identifies one non-repeatable call; see package operations.
	OperationID string
	// ListsVersion orders the accepted versions of the lists; higher is newer.
	ListsVersion uint64
)

// TargetKind tells the two kinds of upstream apart.
type TargetKind uint8

const (
	// TargetModel is served by model engines.
	TargetModel TargetKind = iota + 1
	// TargetService is served by plain services.
	TargetService
)

// String returns "model" or "service".
func (k TargetKind) String() string {
	switch k {
	case TargetModel:
		return "model"
	case TargetService:
		return "service"
	}
	return "unknown"
}

// Target names what a request asks for: one model or one plain service.
type Target struct {
	Kind TargetKind
	Name string
}

// Run says whether a request's work was carried out by an upstream.
type Run string

const (
	// RunNo states that the work was not carried out and never will be for this
	// request; only the process that alone could have run it may say so.
	RunNo Run = "no"
	// RunUnknown states that the work may or may not have been carried out.
	RunUnknown Run = "unknown"
	// RunYes states that the work was carried out.
	RunYes Run = "yes"
)

// Place is where a node or an upstream stands.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failure_domain"`
}

// NodeState is the life cycle state that a node announces to others.
type NodeState string

const (
	// NodeStarting has no usable lists yet and takes no requests.
	NodeStarting NodeState = "starting"
	// NodeServing takes requests.
	NodeServing NodeState = "serving"
	// NodeDraining finishes what it has and takes nothing new.
	NodeDraining NodeState = "draining"
	// NodeStopped has left.
	NodeStopped NodeState = "stopped"
)

// NodeRef is how one node knows another.
type NodeRef struct {
	ID          NodeID
	Incarnation Incarnation
	Place       Place
	// PeerAddress is the host:port of the node's gRPC listener.
	PeerAddress string
	// CallerAddress is the host:port of the node's HTTP listener for callers.
	CallerAddress string
	State         NodeState
}

// UpstreamState is the life cycle state of an upstream as a node sees it.
type UpstreamState string

const (
	// UpstreamLive takes new work.
	UpstreamLive UpstreamState = "live"
	// UpstreamSuspect failed lately and takes only probes.
	UpstreamSuspect UpstreamState = "suspect"
	// UpstreamLeaving finishes its work and takes nothing new.
	UpstreamLeaving UpstreamState = "leaving"
	// UpstreamGone has left.
	UpstreamGone UpstreamState = "gone"
)

// UpstreamRef is how a node knows an upstream of its own failure domain.
type UpstreamRef struct {
	ID     UpstreamID
	Place  Place
	Target Target // for engines the first model; see LoadReport.Models for all
	// Address is the host:port of the upstream's HTTP listener.
	Address string
}

// LoadReport is what a model engine or plain service says about its load. It
// lags: At is the upstream's age of the reading when it was sent.
type LoadReport struct {
	Upstream UpstreamID    `json:"upstream"`
	Age      time.Duration `json:"age_ns"`
	// Running and Waiting count requests in the batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are current speeds; the
	// latter is for one stream.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second"`
	// QueuedTokens is the prompt work ahead of a new request, in tokens.
	QueuedTokens int `json:"queued_tokens"`
	// Models lists the models that are loaded.
	Models []string `json:"models"`
	// Leaving is set once the upstream wants no new work.
	Leaving bool `json:"leaving"`
	// CostPerMillionTokens is the price of the upstream's work, in the
	// deployment's currency.
	CostPerMillionTokens float64 `json:"cost_per_million_tokens"`
}
