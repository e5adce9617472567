package mesh

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/crocusspread/crocusspread/adapters/calllimit"
	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	// maxStreams limits the streams of a connection. A node has at most a few hundred requests in
	// flight at another one.
	maxStreams = 1000
	// UserTimeout is how long a receiver leaves sent bytes unacknowledged, gRPC's default.
	UserTimeout = 20 * time.Second
	// declaredBody is the size from which on the size of a body is sent ahead of the request, so
	// that the receiver can refuse it before it arrives.
	declaredBody = 32 << 10 // bytes
	// bodyBytesKey is the metadata key of that size.
	bodyBytesKey = "crocusspread-body-bytes"
)

// Limits limits what calls of other nodes may hold.
type Limits struct {
	Calls *calllimit.Calls
	// ReserveBody reserves memory for the body of a relayed request and returns nil if there is
	// room. ReleaseBody releases it.
	ReserveBody func(bytes int64) *errkind.Error
	ReleaseBody func(bytes int64)
}

// stream handles relayed requests. A body whose size the sender states is refused before it
// arrives if there is no room for it, so that the request has not run.
func (l *Limits) stream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	limited := &limitedStream{ServerStream: stream, limits: l, reserved: declaredBytes(stream.Context())}
	if err := l.ReserveBody(limited.reserved); err != nil {
		return stream.SendMsg(endToWire(&relay.Failure{Error: err}, 0))
	}
	defer func() { l.ReleaseBody(limited.reserved) }()
	if limited.reserved > declaredBody {
		calllimit.Expect(stream.Context())
	}
	err := handler(srv, limited)
	if limited.refused != nil {
		return stream.SendMsg(endToWire(&relay.Failure{Error: limited.refused}, 0))
	}
	return err
}

// declaredBytes returns the size of the body that the sender stated, at least declaredBody.
func declaredBytes(ctx context.Context) int64 {
	size := int64(declaredBody)
	if values := metadata.ValueFromIncomingContext(ctx, bodyBytesKey); len(values) == 1 {
		if n, err := strconv.ParseInt(values[0], 10, 64); err == nil {
			size = min(max(size, n), maxMessageBytes)
		}
	}
	return size
}

// declareBody adds the size of a large body to the metadata of a call.
func declareBody(ctx context.Context, body []byte) context.Context {
	if len(body) <= declaredBody {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, bodyBytesKey, strconv.Itoa(len(body)))
}

// limitedStream is the stream of a relayed request.
type limitedStream struct {
	grpc.ServerStream
	limits   *Limits
	reserved int64
	// refused is set if there was no room for a body whose size was not stated.
	refused *errkind.Error
}

// RecvMsg implements grpc.ServerStream. It reserves memory for the body as it is: it may be larger
// than stated, as that of a node of an older version.
func (s *limitedStream) RecvMsg(m any) error {
	if err := s.ServerStream.RecvMsg(m); err != nil {
		return err
	}
	calllimit.Received(s.Context())
	request, ok := m.(*meshpb.RelayRequest)
	if !ok {
		return nil
	}
	more := int64(len(request.GetBody())) - s.reserved
	if more <= 0 {
		s.limits.ReleaseBody(-more)
	} else if s.refused = s.limits.ReserveBody(more); s.refused != nil {
		return s.refused
	}
	s.reserved += more
	return nil
}
