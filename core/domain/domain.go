// Package domain defines the identifiers and small value types shared by all other
// packages. It contains no behaviour beyond formatting and comparison.
package domain

import "time"

type (
	// NodeID identifies the node of an entry VM. It is unique in the fleet and stable
	// across restarts of the process.
	NodeID string
	// Incarnation distinguishes the processes of one node. It is chosen randomly when
	// the process starts, so a restarted node never answers for its predecessor.
	Incarnation uint64
	// Region is the name of a region, for instance "nl-west".
	Region string
	// FailureDomain is the name of a failure domain, for instance "nl-west-a".
	FailureDomain string
	// CustomerID identifies a customer in the lists.
	CustomerID string
	// PlanID identifies a plan in the lists.
	PlanID string
	// UpstreamID identifies one model engine or one instance of a plain service.
	UpstreamID string
	// RequestID identifies one request end to end. It is assigned by the entry node.
	RequestID string
	// OperationID identifies one non-repeatable call; see package operations.
	OperationID string
	// ListsVersion is the version number of accepted lists; higher is newer.
	ListsVersion uint64
)

// TargetKind distinguishes the two kinds of upstreams.
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

// Target is the model or plain service that a request is addressed to.
type Target struct {
	Kind TargetKind
	Name string
}

// Run is the verdict whether an upstream executed a request.
type Run string

const (
	// RunNo means that the request was not executed and never will be. Only the
	// process that has the exclusive right to run it may return this verdict.
	RunNo Run = "no"
	// RunUnknown means that the request may or may not have been executed.
	RunUnknown Run = "unknown"
	// RunYes means that the request was executed.
	RunYes Run = "yes"
)

// Place is the location of a node or an upstream.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failure_domain"`
}

// NodeState is the life cycle state that a node announces to other nodes.
type NodeState string

const (
	// NodeStarting means that the node has no usable lists yet and accepts no requests.
	NodeStarting NodeState = "starting"
	// NodeServing means that the node accepts requests.
	NodeServing NodeState = "serving"
	// NodeDraining means that the node completes its requests and accepts no new ones.
	NodeDraining NodeState = "draining"
	// NodeStopped means that the node has left the fleet.
	NodeStopped NodeState = "stopped"
)

// NodeRef identifies a node and contains the addresses and state known to others.
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

// UpstreamState is the life cycle state of an upstream from a node's view.
type UpstreamState string

const (
	// UpstreamLive means that the upstream accepts new work.
	UpstreamLive UpstreamState = "live"
	// UpstreamSuspect means that the upstream failed recently and receives only probes.
	UpstreamSuspect UpstreamState = "suspect"
	// UpstreamLeaving means that the upstream completes its work and accepts no new
	// work.
	UpstreamLeaving UpstreamState = "leaving"
	// UpstreamGone means that the upstream has left.
	UpstreamGone UpstreamState = "gone"
)

// UpstreamRef identifies an upstream of the node's own failure domain.
type UpstreamRef struct {
	ID     UpstreamID
	Place  Place
	Target Target // for engines the first model; LoadReport.Models has all models
	// Address is the host:port of the upstream's HTTP listener.
	Address string
}

// LoadReport is the load reported by a model engine or plain service. It lags behind
// the actual load: Age is the age of the measurement when the report was sent.
type LoadReport struct {
	Upstream UpstreamID    `json:"upstream"`
	Age      time.Duration `json:"age_ns"`
	// Running and Waiting are the numbers of requests in the batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the current speeds; the
	// decode speed is that of a single stream.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second"`
	// QueuedTokens is the number of prompt tokens queued ahead of a new request.
	QueuedTokens int `json:"queued_tokens"`
	// Models lists the loaded models.
	Models []string `json:"models"`
	// Leaving is set once the upstream accepts no new work.
	Leaving bool `json:"leaving"`
	// CostPerMillionTokens is the price of one million tokens at the upstream, in the
	// deployment's currency.
	CostPerMillionTokens float64 `json:"cost_per_million_tokens"`
}
