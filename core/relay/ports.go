package relay

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
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
	// truncated; one that matches ErrConnectionClosed if the upstream closed the
	// connection.
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
	// the request ran. They match ErrConnectionClosed if the upstream closed the connection
	// before the head of its answer, and ErrConnectionRefused if no process accepts connections.
	Send(ctx context.Context, to *instances.Instance, c *Call) (Answer, error)
}

// ErrOutdated matches the errors of attempts that were not sent because the upstream had been chosen too long
// before: what is known of it may have changed.
var ErrOutdated = errors.New("the upstream was chosen too long ago")

// ErrConnectionClosed matches the errors of attempts whose upstream closed or reset the
// connection before the end of its answer.
var ErrConnectionClosed = errors.New("the upstream closed the connection")

// ConnectionClosed returns err marked as matching ErrConnectionClosed.
func ConnectionClosed(err error) error { return connectionClosed{err} }

type connectionClosed struct{ error }

func (e connectionClosed) Is(target error) bool { return target == ErrConnectionClosed }
func (e connectionClosed) Unwrap() error        { return e.error }

// ErrConnectionRefused matches the errors of attempts at whose upstream's address no process accepted connections.
var ErrConnectionRefused = errors.New("no process accepts connections")

// ConnectionRefused returns err marked as matching ErrConnectionRefused.
func ConnectionRefused(err error) error { return connectionRefused{err} }

type connectionRefused struct{ error }

func (e connectionRefused) Is(target error) bool { return target == ErrConnectionRefused }
func (e connectionRefused) Unwrap() error        { return e.error }

// Streams knows which version of an upstream's software began a stream.
type Streams interface {
	// Began records that the answer to a request has begun a stream.
	Began(service string, request domain.RequestID, software string)
	// Origin returns the version of the software that began the stream of a request, at any node. known is false if that
	// cannot be told and the service has several.
	Origin(ctx context.Context, service string, request domain.RequestID) (software string, known bool)
}

// Place is a place at an upstream that a broker granted; see package places.
type Place struct {
	Instance domain.UpstreamID
	// Started is the start of the upstream's process.
	Started int64
	Region  domain.Region
}

// PlaceReport is what became of a place.
type PlaceReport struct {
	// Used is the time for which it was used.
	Used    time.Duration
	Outcome instances.Outcome
	// Load is the load that the upstream reported; zero if it reported none.
	Load instances.ReportedLoad
}

// Permit is a granted place.
type Permit interface {
	Place() Place
	// Release returns the place; it must be called once.
	Release(PlaceReport)
}

// Places grants the places of services with few of them.
type Places interface {
	// Acquire waits for a place. Without a permit and an error the node places the request by
	// itself. An error means that the request is to be refused. objectiveFrom is when the time
	// that counts against the objective begins.
	Acquire(ctx context.Context, r *Request, objectiveFrom time.Time, excluded []domain.UpstreamID) (Permit, *errkind.Error)
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
