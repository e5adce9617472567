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
	// DefaultSilence is how long a connection may bring nothing, keep-alive
	// frames included, before it counts as dead.
	DefaultSilence = 3 * time.Second
	// DefaultDialTimeout bounds the set-up of a connection.
	DefaultDialTimeout = 2 * time.Second
	bodyFrameBytes     = 32 << 10
)

// ClientConfig configures a Client; zero fields take the defaults above.
type ClientConfig struct {
	// Credentials secure the connections; required.
	Credentials credentials.TransportCredentials
	Silence     time.Duration
	DialTimeout time.Duration
	// Dial replaces the dialer; nil for TCP.
	Dial DialFunc
	Log  event.Logger
}

// Client reaches other nodes. It implements gateway.Peers and is safe for
// concurrent use.
type Client struct {
	pool        *pool
	silence     time.Duration
	dialTimeout time.Duration
	log         event.Logger
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{pool: newPool(cfg.Credentials, cfg.Dial, time.Now), silence: cfg.Silence, dialTimeout: cfg.DialTimeout, log: cfg.Log}
	if c.silence == 0 {
		c.silence = DefaultSilence
	}
	if c.dialTimeout == 0 {
		c.dialTimeout = DefaultDialTimeout
	}
	if c.log == nil {
		c.log = event.Discard{}
	}
	return c
}

// Close ends all connections.
func (c *Client) Close() { c.pool.close() }

type frameStream = grpc.BidiStreamingClient[peerpb.ExecuteRequest, peerpb.AnswerFrame]

type openFunc func(peerpb.PeerClient, context.Context, ...grpc.CallOption) (frameStream, error)

// Execute implements gateway.Peers.
func (c *Client) Execute(ctx context.Context, fwd *gateway.Forward) (answer.Stream, error) {
	return c.start(ctx, fwd, peerpb.PeerClient.Execute)
}

// Join implements gateway.Peers.
func (c *Client) Join(ctx context.Context, fwd *gateway.Forward) (answer.Stream, error) {
	return c.start(ctx, fwd, peerpb.PeerClient.Join)
}

// connect returns a ready connection. Its failure proves that nothing was sent.
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

func (c *Client) start(ctx context.Context, fwd *gateway.Forward, open openFunc) (answer.Stream, error) {
	conn, err := c.connect(ctx, fwd.Receiver.PeerAddress)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	s := &clientStream{client: c, conn: conn, cancel: cancel, requestID: fwd.RequestID}
	s.watchdog = time.AfterFunc(c.silence, s.onSilence)
	grpcStream, err := open(peerpb.NewPeerClient(conn), streamCtx)
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

// clientStream is an answer arriving from another node.
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

var errSilent = errors.New("the connection fell silent")

// onSilence retires the connection and ends the stream.
func (s *clientStream) onSilence() {
	s.client.pool.retire(s.conn)
	s.cancel(errSilent)
}

func (s *clientStream) sendHead(fwd *gateway.Forward) error {
	err := s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_Head{Head: requestToProto(fwd)}})
	if err != nil {
		return errkind.New(errkind.PeerLost, "send request: %w", err)
	}
	return nil
}

// sendBody sends the body's frames; a failure shows on the receiving side.
func (s *clientStream) sendBody(fwd *gateway.Forward) {
	if len(fwd.Payload) > 0 {
		for p := fwd.Payload; len(p) > 0; {
			n := min(len(p), bodyFrameBytes)
			if s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_Body{Body: p[:n]}}) != nil {
				return
			}
			p = p[n:]
		}
	} else if fwd.Body != nil && !s.sendStreamed(fwd.Body) {
		return
	}
	_ = s.stream.Send(&peerpb.ExecuteRequest{Frame: &peerpb.ExecuteRequest_BodyEnd{BodyEnd: &peerpb.BodyEnd{}}})
	_ = s.stream.CloseSend()
}

// sendStreamed sends a body as it arrives and tells whether it was whole.
func (s *clientStream) sendStreamed(body io.Reader) bool {
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

// receive returns the next frame that is not a keep-alive.
func (s *clientStream) receive() (*peerpb.AnswerFrame, error) {
	// The watchdog runs only while a frame is awaited: a caller that reads
	// slowly must not look like a silent connection.
	defer s.watchdog.Stop()
	for {
		s.watchdog.Reset(s.client.silence)
		f, err := s.stream.Recv()
		if err != nil {
			return nil, s.lost(err)
		}
		if f.GetKeepAlive() != nil {
			continue
		}
		if f.GetRequestId() != string(s.requestID) || f.GetSequence() != s.sequence {
			s.client.log.Log(event.AnswerCrossed, event.F("request", s.requestID), event.F("got", f.GetRequestId()),
				event.F("sequence", f.GetSequence()), event.F("want", s.sequence))
			return nil, errkind.New(errkind.PeerLost, "frame %d of request %q where frame %d was due", f.GetSequence(), f.GetRequestId(), s.sequence)
		}
		s.sequence++
		return f, nil
	}
}

func (s *clientStream) lost(err error) error {
	if s.ctx.Err() != nil && context.Cause(s.ctx) == context.Canceled {
		return errkind.New(errkind.Canceled, "the caller left: %w", err)
	}
	if context.Cause(s.ctx) == context.DeadlineExceeded || status.Code(err) == codes.DeadlineExceeded {
		return errkind.New(errkind.Timeout, "the request's time ran out at frame %d of the answer: %w", s.sequence, err)
	}
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF // io.EOF, wrapped too, stands for a whole answer
	}
	return errkind.New(errkind.PeerLost, "the answer broke off at frame %d: %w", s.sequence, err)
}

func (s *clientStream) receiveHead() error {
	f, err := s.receive()
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
		return errkind.New(errkind.PeerLost, "an answer without its head")
	}
	s.head = answerHeadFromProto(f.GetHead())
	return nil
}

// Head implements answer.Stream.
func (s *clientStream) Head() answer.Head { return s.head }

// Next implements answer.Stream.
func (s *clientStream) Next() ([]byte, error) {
	f, err := s.receive()
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
		return nil, errkind.New(errkind.PeerLost, "frame %d is neither a chunk nor the end", f.GetSequence())
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
