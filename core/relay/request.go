package relay

import (
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Message is a request as the caller sent it, without hop-by-hop headers and headers
// that only the gateway may set.
type Message struct {
	ID     domain.RequestID
	Method string
	Host   string
	// RequestTarget is the path and query, unmodified.
	RequestTarget string
	Header        map[string][]string
	Body          []byte
}

// Prompt describes a generation; zero for other services.
type Prompt struct {
	Model        string
	Parts        []placement.Part
	InputTokens  int
	OutputTokens int
}

// SharedParts returns the parts that other prompts may have too: all but the last, which
// belongs to the request itself or to its session.
func (p *Prompt) SharedParts() []placement.Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// AnswerReserve is how long before the deadline of a request its upstream has to answer, if
// the caller still waits then: a relayed request, or one whose deadline this node has
// shortened. It leaves time for an answer that the upstream gives at its deadline, in
// particular one that says that the request has not run.
const AnswerReserve = 150 * time.Millisecond

// Request is a message with the properties that the node determined on arrival.
type Request struct {
	Message
	Prompt  Prompt
	Route   *routes.Route
	Service string
	// Account is the caller's client account; nil if the request has none.
	Account *routes.Account
	// Charge is what was taken from the quota of the account for the request.
	Charge quota.Charge
	// TableVersion is the version of the routing table that selected the route.
	TableVersion uint64
	Arrived      time.Time
	// Deadline is when the caller's or the route's timeout expires, or when the node
	// ends the request because it stops.
	Deadline time.Time
	// Reserve is zero or AnswerReserve.
	Reserve time.Duration
	// ResumeAfter is the ID of the last event that the caller already has.
	ResumeAfter string
	// Resumes is the ID of the request whose answer had the first event of the stream that this one takes up; empty if it
	// takes up none.
	Resumes domain.RequestID
	// Software is the version of the software that wrote the events that the caller has: only upstreams with this version
	// may write the rest. It is empty if the caller has none, or if the version is not known.
	Software string
	// Relayed is set if another node sent the request here; it is then run in this
	// region or refused, never relayed again.
	Relayed bool
	// From is the node that relayed it.
	From domain.NodeID
	// Place is the place that a broker granted for the next attempt in another region: set by the
	// node that relays the request, and used by the one that receives it.
	Place *Place
	// SendCount is the number of upstreams to which the request was sent, including those of
	// other nodes.
	SendCount int
}

// Allows reports whether the request may be processed in a region.
func (r *Request) Allows(region domain.Region) bool {
	return r.Route.Allows(region) && (r.Account == nil || r.Account.Allows(region))
}

// Priority returns the priority of the request, from 0 to routes.PriorityLevels-1; 0 is most
// urgent.
func (r *Request) Priority() int { return routes.RequestPriority(r.Account, r.Route) }

// urgent reports whether the request has the highest priority.
func (r *Request) urgent() bool {
	if r.Account == nil {
		return r.Route.Priority == 0
	}
	return r.Priority() == 0
}

// Call is one attempt at an upstream or a node.
type Call struct {
	*Request
	// ResumeAfter and Software replace the request's values once events were delivered.
	ResumeAfter string
	Software    string
	// PlacedAt is when the upstream was chosen; zero if that is not known.
	PlacedAt time.Time
	// SingleUse is set if the connection must be closed after the answer.
	SingleUse bool
	// Leaving reports whether the upstream is known to stop as planned; nil if that is not known.
	Leaving func() bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Priority is the request's priority at model engines; 0 is the highest.
	Priority int
}

// Head is the status and headers of an answer.
type Head struct {
	Status int
	Header map[string][]string
	// ContentLength is -1 if unknown.
	ContentLength int64
	Framing       Framing
	// RequestID is the ID that the upstream echoed; empty if it did not.
	RequestID domain.RequestID
	// Reused is set if the connection had served earlier requests.
	Reused bool
	// ConnectedAt is when the connection was established, or the request got it; zero if that is not known.
	ConnectedAt time.Time
	// Signed is set if the upstream signed the answer.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is set if the upstream is not the addressed instance.
	Misdirected bool
	// RanAt is the upstream's ID, for logs.
	RanAt domain.UpstreamID
	// Software is the version of the upstream's software; empty if it is not known.
	Software string
}

// answers reports whether the answer belongs to a request. On a reused connection, an upstream in trouble
// may send an answer to an earlier request once more; a refusal is not trusted there without an ID.
func (h *Head) answers(id domain.RequestID) bool {
	if h.RequestID == "" {
		return !h.Reused || !h.NotRun && !h.Misdirected
	}
	return h.RequestID == id
}

// statusOK is the only status with which a stream of events begins.
const statusOK = 200

// isEventStream reports whether the body consists of events. Without a content type, the
// kind of the route decides.
func (h *Head) isEventStream(kind routes.Kind) bool {
	values := h.Header["Content-Type"]
	if len(values) == 0 {
		return kind == routes.Streaming && h.Status == statusOK
	}
	return strings.HasPrefix(strings.ToLower(values[0]), "text/event-stream")
}
