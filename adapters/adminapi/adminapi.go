// Package adminapi defines the JSON types that a node serves to operators on its
// admin address. All ages and waiting times are in milliseconds.
package adminapi

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Paths on the admin address.
const (
	// StatusPath returns a Status for GET.
	StatusPath = "/status"
	// ExplainPath, followed by a request ID, returns an Explanation for GET, or a
	// Failure of kind not_found.
	ExplainPath = "/explain/"
)

// Status is the state of the fleet as one node sees it.
type Status struct {
	Node domain.NodeID `json:"node"`
	// Incarnation is hexadecimal.
	Incarnation string           `json:"incarnation"`
	Place       domain.Place     `json:"place"`
	State       domain.NodeState `json:"state"`
	// Now is the node's wall clock.
	Now      time.Time `json:"now"`
	UptimeMS int64     `json:"uptime_ms"`
	// InFlight is the number of requests that the node is serving.
	InFlight  int        `json:"in_flight"`
	Lists     Lists      `json:"lists"`
	Platform  Platform   `json:"platform"`
	Members   []Member   `json:"members"`
	Upstreams []Upstream `json:"upstreams"`
	Domains   []Domain   `json:"domains"`
	Orders    Orders     `json:"orders,omitzero"`
}

// Orders describes the node's part in sending orders to the engines of its failure
// domain.
type Orders struct {
	// State is "candidate", "waiting" or "ordering".
	State string `json:"state"`
	// Orderer is the domain's orderer as last seen by this node; empty if unknown.
	Orderer domain.NodeID `json:"orderer,omitempty"`
	// Fencing is the fencing token of the node's own orders.
	Fencing uint64 `json:"fencing,omitempty"`
	// Changing is the number of engines that this node is currently changing.
	Changing int `json:"changing"`
}

// Lists describes the lists that a node currently uses.
type Lists struct {
	Version domain.ListsVersion `json:"version"`
	// ChangeID, Author and ChangedAt describe the change that created the version.
	ChangeID  string    `json:"change_id,omitempty"`
	Author    string    `json:"author,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`
	// AgeMS is the time since the node adopted the version.
	AgeMS int64 `json:"age_ms"`
	// ConfirmedMS is the time since the key-value service or a peer last reported a
	// version.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// ProofMS is the age of the proof that the version is current, -1 without one; nil if keys
	// need none.
	ProofMS *int64 `json:"proof_ms,omitempty"`
	// RejectionReason is the reason why a newer document was rejected; empty if none was.
	RejectionReason string `json:"refused,omitempty"`
}

// Platform holds the times since the platform's services last responded; -1 means
// never.
type Platform struct {
	KVAgeMS     int64 `json:"kv_age_ms"`
	VMListAgeMS int64 `json:"vm_list_age_ms"`
}

// Member is another node as the node sees it.
type Member struct {
	Node          domain.NodeID       `json:"node"`
	Incarnation   string              `json:"incarnation"`
	Place         domain.Place        `json:"place"`
	State         domain.NodeState    `json:"state"`
	PeerAddress   string              `json:"peer_address"`
	CallerAddress string              `json:"caller_address"`
	ListsVersion  domain.ListsVersion `json:"lists_version"`
	// AgeMS is the time since the last heartbeat.
	AgeMS int64 `json:"age_ms"`
}

// Upstream is an upstream in the node's failure domain as the node sees it.
type Upstream struct {
	ID      domain.UpstreamID    `json:"id"`
	Kind    string               `json:"kind"` // "model" or "service"
	Targets []string             `json:"targets"`
	Address string               `json:"address"`
	State   domain.UpstreamState `json:"state"`
	Running int                  `json:"running"`
	Waiting int                  `json:"waiting"`
	Slots   int                  `json:"slots"`
	// InFlight is the number of requests that this node has in flight at the upstream.
	InFlight int `json:"in_flight"`
	// AgeMS is the age of the latest load report.
	AgeMS int64 `json:"age_ms"`
	// Reason is why a node on the users' platform sends the upstream no requests, or only some;
	// "available" if there is no reason. EndsInMS is the time until it ends; zero if not known.
	Reason   string `json:"reason,omitempty"`
	EndsInMS int64  `json:"ends_in_ms,omitempty"`
}

// Domain is the summary of a failure domain's load for one target.
type Domain struct {
	Place          domain.Place `json:"place"`
	Kind           string       `json:"kind"`
	Target         string       `json:"target"`
	Capacity       int          `json:"capacity"`
	Free           int          `json:"free"`
	ExpectedWaitMS int64        `json:"expected_wait_ms"`
	AgeMS          int64        `json:"age_ms"`
}

// Explanation describes how a request was routed.
type Explanation struct {
	Request      domain.RequestID    `json:"request"`
	Node         domain.NodeID       `json:"node"`
	Customer     domain.CustomerID   `json:"customer"`
	Plan         domain.PlanID       `json:"plan"`
	Kind         string              `json:"kind"`
	Target       string              `json:"target"`
	ListsVersion domain.ListsVersion `json:"lists_version"`
	StartedAt    time.Time           `json:"started_at"`
	Candidates   []Candidate         `json:"candidates"`
	Steps        []Step              `json:"steps"`
	Result       Result              `json:"result"`
}

// Candidate is an upstream or failure domain that routing considered.
type Candidate struct {
	Place    domain.Place      `json:"place"`
	Upstream domain.UpstreamID `json:"upstream,omitempty"`
	// RejectedBy is the name of the filter that rejected the candidate; empty if none did.
	RejectedBy string  `json:"refused,omitempty"`
	Scores     []Score `json:"scores,omitempty"`
	Chosen     bool    `json:"chosen"`
}

// Score is the value that a scorer assigned to a candidate.
type Score struct {
	Scorer string  `json:"scorer"`
	Value  float64 `json:"value"`
}

// Step is an event in the processing of a request.
type Step struct {
	// OffsetMS is the time since StartedAt.
	OffsetMS float64 `json:"offset_ms"`
	Event    string  `json:"event"`
	Detail   string  `json:"detail,omitempty"`
}

// Result is the outcome of a request.
type Result struct {
	Done     bool              `json:"done"`
	Run      domain.Run        `json:"run,omitempty"`
	Kind     errkind.Kind      `json:"error_kind,omitempty"`
	Place    domain.Place      `json:"place,omitzero"`
	Upstream domain.UpstreamID `json:"upstream,omitempty"`
	// TotalMS is the time from StartedAt to the end.
	TotalMS float64 `json:"total_ms"`
}

// Failure is the JSON body of an error response.
type Failure struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
}
