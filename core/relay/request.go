package relay

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Message is a request as the caller sent it, without headers that concern one
// connection or that only the gateway may set.
type Message struct {
	ID     domain.RequestID
	Method string
	Host   string
	// Target is the path and query, byte for byte.
	Target string
	Header map[string][]string
	Body   []byte
}

// Prompt describes a generation; zero for plain services.
type Prompt struct {
	Model  string
	Parts  []placement.Part
	Input  int
	Output int
}

// Request is a message with what the node decided about it on arrival.
type Request struct {
	Message
	Prompt  Prompt
	Route   *routes.Route
	Service string
	// TableVersion is the version of the routing table that chose the route.
	TableVersion uint64
	Arrived      time.Time
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// ResumeAfter is the last event that the caller already has.
	ResumeAfter string
	// Relayed is set if another node sent the request here; it is then run here
	// or refused, never passed on.
	Relayed bool
	// From is the node that relayed it.
	From domain.NodeID
	// Sent counts the upstreams that the request was handed to, at other nodes
	// too.
	Sent int
}

// Call is one attempt at an upstream or a node.
type Call struct {
	*Request
	// ResumeAfter replaces the request's once events were delivered.
	ResumeAfter string
	// Left is the time to the deadline.
	Left time.Duration
	// Priority ranks the request at model engines, 0 first.
	Priority int
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header map[string][]string
	// ContentLength is -1 if it is not known.
	ContentLength int64
	// RequestID is the id that the upstream echoed; empty if it did not.
	RequestID domain.RequestID
	// Sealed is set if the upstream signed the answer.
	Sealed bool
	// NotRun is the upstream's statement that it did not run the request.
	NotRun bool
	// Misdirected is set if the upstream is not the instance that was meant.
	Misdirected bool
	// RanAt names the upstream, for logs.
	RanAt domain.UpstreamID
}
