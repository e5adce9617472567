package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

const (
	// keepAliveInterval is how often an executor shows that it still works on
	// an answer; it must be well below DefaultSilence.
	keepAliveInterval = 500 * time.Millisecond
	// serverMinPing is the shortest ping interval that clients may use.
	serverMinPing = 5 * time.Second
	// maxBufferedBody bounds a non-streamed request body, in bytes.
	maxBufferedBody = 64 << 20
	// maxStreams bounds the streams of one connection.
	maxStreams = 1 << 16
)

// Handler runs what arrives from other nodes.
type Handler interface {
	// Execute is the execute stage; see package gateway.
	Execute(ctx context.Context, fwd *gateway.Forward, w answer.Writer) error
	// Join is the join stage.
	Join(ctx context.Context, fwd *gateway.Forward, w answer.Writer) error
}

// Server is the receiving end of the protocol between nodes.
type Server struct {
	peerpb.UnimplementedPeerServer
	handler Handler
	control Control
}

// NewServer returns a gRPC server with the protocol registered.
func NewServer(h Handler, c Control, creds credentials.TransportCredentials) *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: serverMinPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePing, Timeout: keepaliveTimeout}),
	)
	peerpb.RegisterPeerServer(s, &Server{handler: h, control: c})
	return s
}

type requestStream = grpc.BidiStreamingServer[peerpb.ExecuteRequest, peerpb.AnswerFrame]

type runFunc func(context.Context, *gateway.Forward, answer.Writer) error

// Execute implements peerpb.PeerServer.
func (s *Server) Execute(stream requestStream) error { return serve(stream, s.handler.Execute) }

// Join implements peerpb.PeerServer.
func (s *Server) Join(stream requestStream) error { return serve(stream, s.handler.Join) }

func serve(stream requestStream, run runFunc) error {
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
	return w.end(runRequest(stream, head, w, run))
}

func runRequest(stream requestStream, head *peerpb.RequestHead, w *frameWriter, run runFunc) error {
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
		return run(ctx, fwd, w)
	}
	payload, err := io.ReadAll(io.LimitReader(body, maxBufferedBody+1))
	if err != nil {
		return errkind.New(errkind.BadRequest, "the body broke off: %w", err)
	}
	if len(payload) > maxBufferedBody {
		return errkind.New(errkind.BodyTooLarge, "the body exceeds the %d bytes that one node sends another", maxBufferedBody)
	}
	fwd.Payload = payload
	return run(ctx, fwd, w)
}

// bodyReader reads a request's body frames.
type bodyReader struct {
	stream requestStream
	rest   []byte
	done   bool
}

// Read implements io.Reader; a body without its end is an unexpected EOF.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.done {
			return 0, io.EOF
		}
		f, err := b.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		b.done = f.GetBodyEnd() != nil
		b.rest = f.GetBody()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// frameWriter numbers the frames of an answer. Its lock serializes keep-alives
// with the answer, since a gRPC stream takes one sender at a time.
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

// keepAlive sends keep-alive frames until stop is called.
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
