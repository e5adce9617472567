package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/gateway"
)

const (
	// DefaultSilenceTimeout is how long a connection may deliver no frame, not even a
	// keep-alive frame, before it counts as dead.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultDialTimeout is the timeout for establishing a connection.
	DefaultDialTimeout = 2 * time.Second
	// bodyFrameBytes is the maximum size of a body frame.
	bodyFrameBytes = 32 << 10
)

// ClientConfig configures a Client. Zero durations are replaced by the defaults above.
type ClientConfig struct {
	// Credentials secure the connections; required.
	Credentials credentials.TransportCredentials
	// SilenceTimeout is how long a connection may deliver no frame before it counts as dead.
	SilenceTimeout time.Duration
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration
	// Dial opens connections; nil for TCP.
	Dial DialFunc
	// Log receives protocol violations; nil discards them.
	Log event.Logger
}

// Client sends requests to other nodes. It implements gateway.Peers and is safe for
// concurrent use.
type Client struct {
	pool           *pool
	silenceTimeout time.Duration
	dialTimeout    time.Duration
	log            event.Logger
}

// NewClient returns a client with the given configuration.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{pool: newPool(cfg.Credentials, cfg.Dial, time.Now), silenceTimeout: cfg.SilenceTimeout, dialTimeout: cfg.DialTimeout, log: cfg.Log}
	if c.silenceTimeout == 0 {
		c.silenceTimeout = DefaultSilenceTimeout
	}
	if c.dialTimeout == 0 {
		c.dialTimeout = DefaultDialTimeout
	}
	if c.log == nil {
		c.log = event.Discard{}
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() { c.pool.close() }

type frameStream = grpc.BidiStreamingClient[peerpb.ExecuteRequest, peerpb.AnswerFrame]

type openStreamFunc func(peerpb.PeerClient, context.Context, ...grpc.CallOption) (frameStream, error)

// Execute implements gateway.Peers.
func (c *Client) Execute(ctx context.Context, fwd *gateway.ForwardedRequest) (answer.Stream, error) {
	return c.start(ctx, fwd, peerpb.PeerClient.Execute)
}

// Join implements gateway.Peers.
func (c *Client) Join(ctx context.Context, fwd *gateway.ForwardedRequest) (answer.Stream, error) {
	return c.start(ctx, fwd, peerpb.PeerClient.Join)
}

// connect returns a ready connection. An error means that nothing was sent.
func (c *Client) connect(ctx context.Context, address string) (*pooledConn, error) {
	conn, err := c.pool.acquire(address)
	if err != nil {
		return nil, errkind.New(errkind.PeerUnreachable, "dial %s: %w", address, err)
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		if state == connectivity.TransientFailure || state == connectivity.Shutdown || !conn.WaitForStateChange(dialCtx, state) {
			c.pool.retire(conn)
			c.pool.release(conn)
			return nil, errkind.New(errkind.PeerUnreachable, "connect to %s: state %s", address, state)
		}
	}
	return conn, nil
}

func (c *Client) start(ctx context.Context, fwd *gateway.ForwardedRequest, openStream openStreamFunc) (answer.Stream, error) {
	conn, err := c.connect(ctx, fwd.Receiver.PeerAddress)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	s := &clientStream{client: c, conn: conn, cancel: cancel, requestID: fwd.RequestID}
	s.watchdog = time.AfterFunc(c.silenceTimeout, s.onSilenceTimeout)
	grpcStream, err := openStream(peerpb.NewPeerClient(conn), streamCtx)
	if err != nil {
		s.release()
		return nil, errkind.New(errkind.PeerLost, "open stream to %s: %w", fwd.Receiver.ID, err)
	}
	s.stream, s.ctx = grpcStream, streamCtx
	if err := s.sendHead(fwd); err != nil {
		s.release()
		return nil, err
	}
	go s.sendBody(fwd)
	if err := s.receiveHead(); err != nil {
		s.release()
		return nil, err
	}
	return s, nil
}

// clientStream is an answer received from another node.
type clientStream struct {
	client    *Client
	conn      *pooledConn
	ctx       context.Context
	cancel    context.CancelCauseFunc
	stream    frameStream
	watchdog  *time.Timer
	requestID domain.RequestID
	head      answer.Head
	sequence  uint64
	ended     bool
	released  bool
}

var errSilentConnection = errors.New("no frame arrived within the silence timeout")

// onSilenceTimeout retires the connection and cancels the stream.
func (s *clientStream) onSilenceTimeout() {
	s.client.pool.retire(s.conn)
	s.cancel(errSilentConnection)
}

func (s *clientStream) sendHead(fwd *gateway.ForwardedRequest) error {
	err := s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_Head{Head: requestToProto(fwd)}})
	if err != nil {
		return errkind.New(errkind.PeerLost, "send request: %w", err)
	}
	return nil
}

// sendBody sends the frames of the body. Errors are ignored because they also occur
// when the answer is received.
func (s *clientStream) sendBody(fwd *gateway.ForwardedRequest) {
	if len(fwd.Payload) > 0 {
		for p := fwd.Payload; len(p) > 0; {
			n := min(len(p), bodyFrameBytes)
			if s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_Body{Body: p[:n]}}) != nil {
				return
			}
			p = p[n:]
		}
	} else if fwd.Body != nil && !s.streamBody(fwd.Body) {
		return
	}
	_ = s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_BodyEnd{BodyEnd: &peerpb.BodyEnd{}}})
	_ = s.stream.CloseSend()
}

// streamBody sends a body as it is read and reports whether it was sent completely.
func (s *clientStream) streamBody(body io.Reader) bool {
	buf := make([]byte, bodyFrameBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 && s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_Body{Body: buf[:n]}}) != nil {
			return false
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			s.cancel(err)
			return false
		}
	}
}

// receiveFrame returns the next frame that is not a keep-alive.
func (s *clientStream) receiveFrame() (*peerpb.AnswerFrame, error) {
	// The watchdog only runs while waiting for a frame: a caller that reads slowly
	// must not be mistaken for a dead connection.
	defer s.watchdog.Stop()
	for {
		s.watchdog.Reset(s.client.silenceTimeout)
		f, err := s.stream.Recv()
		if err != nil {
			return nil, s.streamError(err)
		}
		if f.GetKeepAlive() != nil {
			continue
		}
		if f.GetRequestId() != string(s.requestID) || f.GetSequence() != s.sequence {
			s.client.log.Log(event.AnswerCrossed, event.F("request", s.requestID), event.F("got", f.GetRequestId()),
				event.F("sequence", f.GetSequence()), event.F("want", s.sequence))
			return nil, errkind.New(errkind.PeerLost, "got frame %d of request %q, want frame %d", f.GetSequence(), f.GetRequestId(), s.sequence)
		}
		s.sequence++
		return f, nil
	}
}

func (s *clientStream) streamError(err error) error {
	if s.ctx.Err() != nil && context.Cause(s.ctx) == context.Canceled {
		return errkind.New(errkind.Canceled, "the caller canceled the request: %w", err)
	}
	if context.Cause(s.ctx) == context.DeadlineExceeded || status.Code(err) == codes.DeadlineExceeded {
		return errkind.New(errkind.Timeout, "the request timed out at frame %d of the answer: %w", s.sequence, err)
	}
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF // io.EOF, even if wrapped, means a complete answer
	}
	return errkind.New(errkind.PeerLost, "the answer was truncated at frame %d: %w", s.sequence, err)
}

func (s *clientStream) receiveHead() error {
	f, err := s.receiveFrame()
	if err != nil {
		return err
	}
	if end := f.GetEnd(); end != nil {
		s.ended = true
		if err := endFromProto(end); err != nil {
			return err
		}
	}
	if f.GetHead() == nil {
		return errkind.New(errkind.PeerLost, "the answer does not start with a head frame")
	}
	s.head = answerHeadFromProto(f.GetHead())
	return nil
}

// Head implements answer.Stream.
func (s *clientStream) Head() answer.Head { return s.head }

// Next implements answer.Stream.
func (s *clientStream) Next() ([]byte, error) {
	f, err := s.receiveFrame()
	if err != nil {
		return nil, err
	}
	if end := f.GetEnd(); end != nil {
		s.ended = true
		if err := endFromProto(end); err != nil {
			return nil, err
		}
		return nil, io.EOF
	}
	if _, ok := f.GetFrame().(*peerpb.AnswerFrame_Chunk); !ok {
		return nil, errkind.New(errkind.PeerLost, "frame %d is neither a chunk nor an end frame", f.GetSequence())
	}
	return f.GetChunk(), nil
}

// Close implements answer.Stream.
func (s *clientStream) Close() error {
	s.release()
	return nil
}

func (s *clientStream) release() {
	if s.released {
		return
	}
	s.released = true
	s.watchdog.Stop()
	s.cancel(context.Canceled)
	s.client.pool.release(s.conn)
}
