package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/peer"
	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// testTimeout ends a test that hangs; no test result depends on it.
const testTimeout = 30 * time.Second

// handlerFunc adapts a function to peer.Handler.
type handlerFunc func(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error

func (h handlerFunc) Execute(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
	return h(ctx, fwd, w)
}

func (h handlerFunc) Join(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
	return h(ctx, fwd, w)
}

// listen serves s on loopback until the test ends.
func listen(t testing.TB, s *grpc.Server) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		s.Stop()
		<-served
	})
	return l.Addr().String()
}

func startServer(t testing.TB, h handlerFunc) (address string) {
	return listen(t, peer.NewServer(h, nil, insecureCredentials()))
}

// rawPeer sends frames that a correct node would not send.
type rawPeer struct {
	peerpb.UnimplementedPeerServer
	execute func(s grpc.BidiStreamingServer[peerpb.ExecuteRequest, peerpb.AnswerFrame]) error
}

func (r *rawPeer) Execute(s grpc.BidiStreamingServer[peerpb.ExecuteRequest, peerpb.AnswerFrame]) error {
	return r.execute(s)
}

func newClient(t testing.TB, silenceTimeout time.Duration) *peer.Client {
	return newClientWith(t, insecureCredentials(), silenceTimeout, nil)
}

func newClientWith(t testing.TB, creds credentials.TransportCredentials, silenceTimeout time.Duration, dial peer.DialFunc) *peer.Client {
	t.Helper()
	c := peer.NewClient(peer.ClientConfig{Credentials: creds, SilenceTimeout: silenceTimeout, Dial: dial})
	t.Cleanup(c.Close)
	return c
}

// insecureCredentials returns credentials for nodes without TLS.
func insecureCredentials() credentials.TransportCredentials { return insecure.NewCredentials() }

func newRequest(address string) *gateway.ForwardedRequest {
	return &gateway.ForwardedRequest{
		RequestID: "r1", Customer: "mill", Target: domain.Target{Kind: domain.TargetService, Name: "ledger"},
		Method: "POST", Path: "/vats", Receiver: domain.NodeRef{ID: "far", PeerAddress: address}, Repeatable: true,
	}
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// execute returns the complete answer or the error that ended it.
func execute(ctx context.Context, c *peer.Client, fwd *gateway.ForwardedRequest) (head answer.Head, body []byte, err error) {
	s, err := c.Execute(ctx, fwd)
	if err != nil {
		return head, nil, err
	}
	defer s.Close()
	for {
		p, err := s.Next()
		if errors.Is(err, io.EOF) {
			return s.Head(), body, nil
		}
		if err != nil {
			return s.Head(), body, err
		}
		body = append(body, p...)
	}
}

// echo answers with the header and body of the request.
func echo(_ context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
	if err := w.WriteHead(answer.Head{Status: 200, Header: fwd.Header}); err != nil {
		return err
	}
	if fwd.Body == nil {
		return w.WriteChunk(fwd.Payload)
	}
	buf := make([]byte, 4096)
	for {
		n, err := fwd.Body.Read(buf)
		if n > 0 {
			if err := w.WriteChunk(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
