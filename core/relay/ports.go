package relay

import (
	"context"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

// Answer is an answer that is being received.
type Answer interface {
	Head() Head
	// ReportedLoad is the load that the upstream reported; zero if it reported none.
	ReportedLoad() instances.ReportedLoad
	// Next returns the next bytes, valid until the next call. It returns io.EOF after
	// the last bytes of a complete answer, and any other error if the answer was
	// truncated.
	Next() ([]byte, error)
	// SendCount returns the number of upstreams to which the request was sent, as far as
	// known.
	SendCount() int
	// Close releases the connection; before the end of the answer it cancels the
	// request.
	Close()
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send returns when the head of the answer has arrived. Errors are of package
	// errkind: peer_unreachable if no byte was sent; any other kind leaves open whether
	// the request ran.
	Send(ctx context.Context, to *instances.Instance, c *Call) (Answer, error)
}

// Nodes sends requests to nodes of other regions.
type Nodes interface {
	// Relay returns when the head of the answer has arrived. Errors are of package
	// errkind and carry the verdict of the other node, or "unknown" if the connection
	// was lost after the request was sent.
	Relay(ctx context.Context, to *peers.Member, c *Call) (Answer, error)
	// Connected reports whether a request can be sent to the node immediately.
	Connected(to *peers.Member) bool
}

// Sink receives the answer for the caller.
type Sink interface {
	// Begin sends the head.
	Begin(h Head) error
	// Write sends bytes of the body without buffering them.
	Write(b []byte) error
}
