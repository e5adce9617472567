package relay

import (
	"context"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

// Answer is an answer that is being received.
type Answer interface {
	Head() Head
	// Reading is the upstream's word on its load; zero if it gave none.
	Reading() instances.Reading
	// Next returns the next bytes, valid until the next call; io.EOF after the
	// last ones of a whole answer, any other error if it was cut off.
	Next() ([]byte, error)
	// Sent is the number of upstreams that were handed the request, as far as is
	// known by now.
	Sent() int
	// Close frees the connection; before the end it cancels the request.
	Close()
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send returns once the head of the answer is there. Errors are of package
	// errkind: peer_unreachable if no byte was sent, anything else leaves open
	// whether the request ran.
	Send(ctx context.Context, to *instances.Instance, c *Call) (Answer, error)
}

// Nodes sends requests to nodes of other regions.
type Nodes interface {
	// Relay returns once the head of the answer is there. Errors are of package
	// errkind and carry the verdict of the other node, or "unknown" if the
	// connection was lost after the request left.
	Relay(ctx context.Context, to *peers.Member, c *Call) (Answer, error)
	// Connected tells if a request can leave for the node at once.
	Connected(to *peers.Member) bool
}

// Sink receives the answer for the caller.
type Sink interface {
	// Begin sends the head.
	Begin(h Head) error
	// Write sends bytes of the body at once.
	Write(b []byte) error
}
