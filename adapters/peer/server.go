package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

const (
	// keepAliveInterval is the interval between keep-alive frames while an executor
	// works on an answer; it must be well below DefaultSilenceTimeout.
	keepAliveInterval = 500 * time.Millisecond
	// serverMinPing is the minimum ping interval that clients may use.
	serverMinPing = 5 * time.Second
	// maxBufferedBody is the maximum size of a non-streamed request body in bytes.
	maxBufferedBody = 64 << 20
	// maxStreams is the maximum number of concurrent streams per connection.
	maxStreams = 1 << 16
)

// Handler executes the requests received from other nodes.
type Handler interface {
	// Execute implements the execute stage; see package gateway.
	Execute(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error
	// Join implements the join stage.
	Join(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error
}

// Server implements the receiving side of the protocol between nodes.
type Server struct {
	peerpb.UnimplementedPeerServer
	handler Handler
	control Control
	limits  *Limits
}

// NewServer returns a gRPC server with the protocol between nodes registered.
func NewServer(h Handler, c Control, creds credentials.TransportCredentials) *grpc.Server {
	return NewLimitedServer(h, c, nil, creds)
}

// NewLimitedServer returns a gRPC server with the protocol between nodes registered, with limits
// unless they are nil.
func NewLimitedServer(h Handler, c Control, limits *Limits, creds credentials.TransportCredentials) *grpc.Server {
	s := grpc.NewServer(append(limits.options(),
		grpc.Creds(creds),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: serverMinPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePing, Timeout: keepaliveTimeout}),
	)...)
	peerpb.RegisterPeerServer(s, &Server{handler: h, control: c, limits: limits})
	return s
}

type requestStream = grpc.BidiStreamingServer[peerpb.ExecuteRequest, peerpb.AnswerFrame]

type executeFunc func(context.Context, *gateway.ForwardedRequest, answer.Writer) error

// Execute implements peerpb.PeerServer.
func (s *Server) Execute(stream requestStream) error { return s.serve(stream, s.handler.Execute) }

// Join implements peerpb.PeerServer.
func (s *Server) Join(stream requestStream) error { return s.serve(stream, s.handler.Join) }

func (s *Server) serve(stream requestStream, execute executeFunc) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "the first frame is not a head")
	}
	w := &frameWriter{stream: stream, requestID: head.GetRequestId()}
	stop := w.keepAlive()
	defer stop()
	return w.end(s.executeRequest(stream, head, w, execute))
}

func (s *Server) executeRequest(stream requestStream, head *peerpb.RequestHead, w *frameWriter, execute executeFunc) error {
	fwd := requestFromProto(head)
	ctx := stream.Context()
	if fwd.Timeout > 0 {
		withTimeout, cancel := context.WithTimeout(ctx, fwd.Timeout)
		defer cancel()
		ctx = withTimeout
	}
	body := &bodyReader{stream: stream}
	if fwd.Repeatable && fwd.Target.Kind == domain.TargetService {
		fwd.Body = body
		return execute(ctx, fwd, w)
	}
	limited := s.limits.body(body)
	defer limited.Release()
	payload, err := io.ReadAll(io.LimitReader(limited, maxBufferedBody+1))
	if errors.Is(err, connlimit.ErrNoRoom) {
		return errkind.New(errkind.Overloaded, "there is no room for the body")
	}
	if err != nil {
		return errkind.New(errkind.BadRequest, "the request body was truncated: %w", err)
	}
	if len(payload) > maxBufferedBody {
		return errkind.New(errkind.BodyTooLarge, "the request body exceeds the limit of %d bytes between nodes", maxBufferedBody)
	}
	fwd.Payload = payload
	return execute(ctx, fwd, w)
}

// bodyReader reads the body of a request from its frames.
type bodyReader struct {
	stream requestStream
	unread []byte
	done   bool
}

// Read implements io.Reader. A body without an end frame results in
// io.ErrUnexpectedEOF.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.done {
			return 0, io.EOF
		}
		f, err := b.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		b.done = f.GetBodyEnd() != nil
		b.unread = f.GetBody()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// frameWriter numbers and sends the frames of an answer. Its lock serializes keep-alive
// frames with the answer, since a gRPC stream allows only one concurrent sender.
type frameWriter struct {
	mu        sync.Mutex
	stream    requestStream
	requestID string
	sequence  uint64
	chunks    uint64
}

func (w *frameWriter) send(f *peerpb.AnswerFrame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.RequestId, f.Sequence = w.requestID, w.sequence
	w.sequence++
	return w.stream.Send(f)
}

// WriteHead implements answer.Writer.
func (w *frameWriter) WriteHead(h answer.Head) error {
	return w.send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: answerHeadToProto(h)}})
}

// WriteChunk implements answer.Writer.
func (w *frameWriter) WriteChunk(p []byte) error {
	w.chunks++
	return w.send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Chunk{Chunk: p}})
}

func (w *frameWriter) end(err error) error {
	return w.send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_End{End: endToProto(err, w.chunks)}})
}

// keepAlive sends keep-alive frames until stop is called, which waits for the sender
// to finish.
func (w *frameWriter) keepAlive() (stop func()) {
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		t := time.NewTicker(keepAliveInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				w.mu.Lock()
				err := w.stream.Send(&peerpb.AnswerFrame{RequestId: w.requestID, Frame: &peerpb.AnswerFrame_KeepAlive{KeepAlive: &peerpb.KeepAlive{}}})
				w.mu.Unlock()
				if err != nil {
					return
				}
			}
		}
	}()
	return func() {
		close(done)
		<-finished
	}
}
