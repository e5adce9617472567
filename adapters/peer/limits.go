package peer

import (
	"io"

	"google.golang.org/grpc"

	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
)

// bodyFactor is how much memory a byte of a buffered body takes: its buffer grows by copying.
const bodyFactor = 2

// UserTimeout is how long a node leaves sent bytes unacknowledged, as long as the answer to a ping.
const UserTimeout = keepaliveTimeout

// Limits limits what calls of other nodes may hold.
type Limits struct {
	Calls *calllimit.Calls
	// Bodies is the memory for buffered bodies.
	Bodies *connlimit.Bodies
}

// options returns the options of a server with these limits, none if l is nil.
func (l *Limits) options() []grpc.ServerOption {
	if l == nil {
		return []grpc.ServerOption{grpc.MaxConcurrentStreams(maxStreams)}
	}
	return append(l.Calls.Options(maxStreams), grpc.StreamInterceptor(stream))
}

// stream handles the calls with a body.
func stream(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return handler(srv, &receivingStream{ServerStream: s})
}

// receivingStream is the stream of a call until its first message has arrived.
type receivingStream struct {
	grpc.ServerStream
	received bool
}

// RecvMsg implements grpc.ServerStream.
func (s *receivingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil && !s.received {
		s.received = true
		calllimit.Received(s.Context())
	}
	return err
}

// body returns a reader that reserves memory for a buffered body; l may be nil.
func (l *Limits) body(r io.Reader) *connlimit.Body {
	b := &connlimit.Body{Reader: r, Factor: bodyFactor}
	if l != nil {
		b.Memory = l.Bodies
	}
	return b
}
