package mesh

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/relay"
)

// reconnectBackoff retries an unreachable node about once a second.
var reconnectBackoff = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.3, MaxDelay: time.Second}

// Handler handles the calls of other nodes.
type Handler interface {
	// Relay runs a request here; it returns a nil failure once the whole response is
	// written to the sink. sent is the number of upstreams that the request was sent
	// to.
	Relay(ctx context.Context, in *RelayedRequest, sink relay.Sink) (f *relay.Failure, sent int)
	// Exchange processes the message of another node and returns the reply.
	Exchange(msg ExchangeMessage) ExchangeMessage
	// Notify processes notices of prompts sent to upstreams, received from another
	// node of the region. It forwards them within its own failure domain if requested.
	Notify(notices []instances.Notice, forward bool)
	// FetchOperator and FetchEntries return the documents that this node has.
	FetchOperator(tableNewerThan uint64) OperatorDocuments
	FetchEntries() UpstreamEntries
	PlaceBroker
	StreamRecorder
	// DrawQuota grants tokens of client accounts, as the authority or as the holder of
	// the region. It returns false if this node cannot tell at present.
	// The grants are in the order of the demands; some may have none.
	DrawQuota(ctx context.Context, authority bool, demands []quota.Demand) ([]quota.Grant, bool)
	// HandOverQuota returns the levels with which the next authority continues, if this node
	// has resigned a moment ago.
	HandOverQuota() []quota.Level
}

// NewServer returns a gRPC server that passes calls to a handler, within limits.
func NewServer(creds credentials.TransportCredentials, h Handler, limits *Limits, now func() time.Time) *grpc.Server {
	s := grpc.NewServer(append(limits.Calls.Options(maxStreams), grpc.StreamInterceptor(limits.stream), grpc.Creds(creds), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(connectionWindow))...)
	meshpb.RegisterMeshServer(s, &server{handler: h, now: now})
	return s
}

// server implements meshpb.MeshServer.
type server struct {
	meshpb.UnimplementedMeshServer
	handler Handler
	now     func() time.Time
}

func (s *server) Exchange(_ context.Context, m *meshpb.ExchangeMessage) (*meshpb.ExchangeMessage, error) {
	return messageToWire(s.handler.Exchange(messageFromWire(m))), nil
}

func (s *server) Tell(_ context.Context, m *meshpb.TellRequest) (*meshpb.TellReply, error) {
	s.handler.Notify(noticesFromWire(m.GetPrompts()), m.GetPassOn())
	return &meshpb.TellReply{}, nil
}

func (s *server) Fetch(_ context.Context, m *meshpb.FetchRequest) (*meshpb.FetchReply, error) {
	if m.GetInstances() {
		e := s.handler.FetchEntries()
		reply := &meshpb.FetchReply{Entries: positionToWire(e.Position)}
		for key, value := range e.Values {
			reply.Instances = append(reply.Instances, &meshpb.Document{Key: key, Value: value})
		}
		return reply, nil
	}
	d := s.handler.FetchOperator(m.GetTableNewerThan())
	reply := &meshpb.FetchReply{Operator: positionToWire(d.Position), Table: d.Table}
	for _, fd := range d.Evacuated {
		reply.Evacuated = append(reply.Evacuated, string(fd))
	}
	return reply, nil
}

func (s *server) DrawQuota(ctx context.Context, m *meshpb.QuotaRequest) (*meshpb.QuotaReply, error) {
	if m.GetHandOver() {
		return &meshpb.QuotaReply{Levels: levelsToWire(s.handler.HandOverQuota())}, nil
	}
	demands := demandsFromWire(m.GetDemands())
	grants, available := s.handler.DrawQuota(ctx, m.GetAuthority(), demands)
	return &meshpb.QuotaReply{Grants: grantsToWire(demands, grants), Unavailable: !available}, nil
}

func (s *server) Relay(m *meshpb.RelayRequest, stream grpc.ServerStreamingServer[meshpb.RelayFrame]) error {
	in := requestFromWire(m, s.now())
	f, sent := s.handler.Relay(stream.Context(), in, &frameSink{stream: stream, request: &in.Request, sentElsewhere: in.SendCount})
	if f != nil && f.CallerDisconnected {
		return stream.Context().Err()
	}
	return stream.Send(endToWire(f, sent))
}

// frameSink sends a response to the node that relayed the request. It implements
// relay.Sink.
type frameSink struct {
	stream        grpc.ServerStreamingServer[meshpb.RelayFrame]
	request       *relay.Request
	sentElsewhere int // number of upstreams that other nodes sent the request to
}

func (f *frameSink) Begin(h relay.Head) error {
	return f.stream.Send(&meshpb.RelayFrame{Frame: &meshpb.RelayFrame_Head{Head: &meshpb.RelayHead{
		Status: int32(h.Status), Header: headerToWire(h.Header), ContentLength: h.ContentLength, RanAt: string(h.RanAt), Software: h.Software,
		Sent: uint32(f.request.SendCount - f.sentElsewhere + 1),
	}}})
}

func (f *frameSink) Write(b []byte) error {
	return f.stream.Send(&meshpb.RelayFrame{Frame: &meshpb.RelayFrame_Chunk{Chunk: b}})
}
