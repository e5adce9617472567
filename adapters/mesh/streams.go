package mesh

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/streams"
)

// StreamRecorder processes what other nodes tell and ask of the beginnings of streams.
type StreamRecorder interface {
	// RecordStreams records streams that began at another node.
	RecordStreams(list []streams.Origin)
	// FindStream returns what this node knows of the beginning of a stream.
	FindStream(service string, request domain.RequestID) StreamKnowledge
}

// StreamKnowledge is what a node knows of the beginning of a stream.
type StreamKnowledge struct {
	// Software is the version of the software that began it; empty if it is not known.
	Software string
	// OnlySoftware is the only version that the service has had since before the stream can have begun; empty if there
	// were others, or if that is not known.
	OnlySoftware string
	// Unknown is set if the node knows of no version, or not yet which there were before it started; it does not answer then.
	Unknown bool
}

// maxStreamOrigins is the maximum number of streams in one message.
const maxStreamOrigins = 512

// TellStreams tells the node at an address of streams that began here.
func (c *Client) TellStreams(ctx context.Context, address string, list []streams.Origin) error {
	connection, err := c.conn(address)
	if err != nil {
		return err
	}
	for len(list) > 0 {
		n := min(maxStreamOrigins, len(list))
		m := &meshpb.StreamOrigins{}
		for _, s := range list[:n] {
			m.Streams = append(m.Streams, &meshpb.StreamOrigin{RequestId: string(s.Request), Service: s.Service, Software: s.Software, AgeMs: uint32(s.Age.Milliseconds())})
		}
		if _, err := meshpb.NewMeshClient(connection).TellStreams(ctx, m); err != nil {
			return errkind.New(errkind.PeerLost, "node %s: %w", address, err)
		}
		list = list[n:]
	}
	return nil
}

// FindStream asks the node at an address for the version that began a stream.
func (c *Client) FindStream(ctx context.Context, address, service string, request domain.RequestID) (StreamKnowledge, error) {
	connection, err := c.conn(address)
	if err != nil {
		return StreamKnowledge{}, err
	}
	reply, err := meshpb.NewMeshClient(connection).FindStream(ctx, &meshpb.FindStreamRequest{RequestId: string(request), Service: service})
	if err != nil {
		return StreamKnowledge{}, errkind.New(errkind.PeerLost, "node %s: %w", address, err)
	}
	return StreamKnowledge{Software: reply.GetSoftware(), OnlySoftware: reply.GetOnlySoftware()}, nil
}

func (s *server) TellStreams(_ context.Context, m *meshpb.StreamOrigins) (*meshpb.TellStreamsReply, error) {
	var list []streams.Origin
	for _, o := range m.GetStreams() {
		list = append(list, streams.Origin{Request: domain.RequestID(o.GetRequestId()), Service: o.GetService(), Software: o.GetSoftware(),
			Age: time.Duration(o.GetAgeMs()) * time.Millisecond})
	}
	s.handler.RecordStreams(list)
	return &meshpb.TellStreamsReply{}, nil
}

func (s *server) FindStream(_ context.Context, m *meshpb.FindStreamRequest) (*meshpb.FindStreamReply, error) {
	k := s.handler.FindStream(m.GetService(), domain.RequestID(m.GetRequestId()))
	if k.Unknown {
		return nil, status.Error(codes.Unavailable, "the node does not know the versions of the service")
	}
	return &meshpb.FindStreamReply{Software: k.Software, OnlySoftware: k.OnlySoftware}, nil
}
