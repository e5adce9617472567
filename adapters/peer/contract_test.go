package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// shortSilenceTimeout is a silence timeout above the executor's keep-alive interval.
const shortSilenceTimeout = 1500 * time.Millisecond

func TestCompleteAnswerIsReceived(t *testing.T) {
	address := startServer(t, echo)
	c := newClient(t, testTimeout)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 40<<10)
	for name, fwd := range map[string]*gateway.ForwardedRequest{"buffered body": newRequest(address), "streamed body": newRequest(address), "no body": newRequest(address)} {
		want := sent
		switch name {
		case "buffered body":
			fwd.Repeatable, fwd.Payload = false, sent
		case "streamed body":
			fwd.Body = bytes.NewReader(sent)
		default:
			want = nil
		}
		head, got, err := execute(testContext(t), c, fwd)
		if err != nil || head.Status != 200 || !bytes.Equal(got, want) {
			t.Errorf("%s: got status %d, %d of %d bytes, error %v, want status 200 and the body unchanged", name, head.Status, len(got), len(want), err)
		}
	}
}

// TestErrorsKeepKindVerdictAndRetryAfter returns errors of every kind with every verdict.
func TestErrorsKeepKindVerdictAndRetryAfter(t *testing.T) {
	var refusal atomic.Pointer[errkind.Error]
	address := startServer(t, func(context.Context, *gateway.ForwardedRequest, answer.Writer) error { return refusal.Load() })
	c := newClient(t, testTimeout)
	for _, kind := range errkind.Kinds() {
		for _, run := range []domain.Run{"", domain.RunNo, domain.RunUnknown, domain.RunYes} {
			want := errkind.New(kind, "because").WithRun(run).WithRetryAfter(7 * time.Second)
			refusal.Store(want)
			_, _, err := execute(testContext(t), c, newRequest(address))
			got := errkind.From(err)
			if got == nil || got.Kind != kind || got.Verdict() != want.Verdict() || got.RetryDelay() != want.RetryDelay() || got.Message != want.Message {
				t.Errorf("sent %v with run %q, got %+v", want, run, got)
			}
		}
	}
}

func headFrame(id string, sequence uint64) *peerpb.AnswerFrame {
	return &peerpb.AnswerFrame{RequestId: id, Sequence: sequence, Frame: &peerpb.AnswerFrame_Head{Head: &peerpb.AnswerHead{Status: 200}}}
}

func chunkFrame(id string, sequence uint64) *peerpb.AnswerFrame {
	return &peerpb.AnswerFrame{RequestId: id, Sequence: sequence, Frame: &peerpb.AnswerFrame_Chunk{Chunk: []byte("part")}}
}

func endFrame(id string, sequence uint64) *peerpb.AnswerFrame {
	return &peerpb.AnswerFrame{RequestId: id, Sequence: sequence, Frame: &peerpb.AnswerFrame_End{End: &peerpb.AnswerEnd{}}}
}

// TestInvalidFrameSequencesAreReportedAsPeerLost sends frames of another request, out of
// sequence or without an end frame.
func TestInvalidFrameSequencesAreReportedAsPeerLost(t *testing.T) {
	for name, frames := range map[string][]*peerpb.AnswerFrame{
		"no frame":                 {},
		"head only":                {headFrame("r1", 0)},
		"no end":                   {headFrame("r1", 0), chunkFrame("r1", 1)},
		"end without a head":       {endFrame("r1", 0)},
		"chunk without a head":     {chunkFrame("r1", 0), endFrame("r1", 1)},
		"head of another request":  {headFrame("r2", 0), endFrame("r1", 1)},
		"chunk of another request": {headFrame("r1", 0), chunkFrame("r2", 1), endFrame("r1", 2)},
		"end of another request":   {headFrame("r1", 0), chunkFrame("r1", 1), endFrame("r2", 2)},
		"first chunk missing":      {headFrame("r1", 0), chunkFrame("r1", 2), endFrame("r1", 3)},
		"duplicate chunk":          {headFrame("r1", 0), chunkFrame("r1", 1), chunkFrame("r1", 1), endFrame("r1", 2)},
		"duplicate head":           {headFrame("r1", 0), headFrame("r1", 1), endFrame("r1", 2)},
		"frame without a kind":     {headFrame("r1", 0), {RequestId: "r1", Sequence: 1}, endFrame("r1", 2)},
		"last chunk missing":       {headFrame("r1", 0), endFrame("r1", 2)},
	} {
		t.Run(name, func(t *testing.T) {
			s := grpc.NewServer()
			peerpb.RegisterPeerServer(s, &rawPeer{execute: func(s grpc.BidiStreamingServer[peerpb.ExecuteRequest, peerpb.AnswerFrame]) error {
				for _, f := range frames {
					if err := s.Send(f); err != nil {
						return err
					}
				}
				return nil
			}})
			_, _, err := execute(testContext(t), newClient(t, testTimeout), newRequest(listen(t, s)))
			if !errors.Is(err, errkind.Of(errkind.PeerLost)) || errkind.From(err).Verdict() != domain.RunUnknown {
				t.Errorf("got %v, want peer_lost with verdict unknown", err)
			}
		})
	}
}

func TestRefusedConnectionIsReportedAsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	_, _, err = execute(testContext(t), newClient(t, testTimeout), newRequest(l.Addr().String()))
	if !errors.Is(err, errkind.Of(errkind.PeerUnreachable)) || errkind.From(err).Verdict() != domain.RunNo {
		t.Errorf("got %v, want peer_unreachable with verdict no", err)
	}
}

// droppingConn is a connection that drops all received bytes once drop is set.
type droppingConn struct {
	net.Conn
	drop *atomic.Bool
}

func (s droppingConn) Read(p []byte) (int, error) {
	for {
		n, err := s.Conn.Read(p)
		if err != nil || !s.drop.Load() {
			return n, err
		}
	}
}

// TestSilentConnectionIsReplaced drops the bytes received on the first connection in the
// middle of an answer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var dials atomic.Int32
	drop := new(atomic.Bool)
	release := make(chan struct{})
	address := startServer(t, func(ctx context.Context, _ *gateway.ForwardedRequest, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return w.WriteChunk([]byte("late"))
	})
	c := newClientWith(t, insecureCredentials(), shortSilenceTimeout, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if dials.Add(1) > 1 || err != nil {
			return conn, err
		}
		return droppingConn{conn, drop}, nil
	})
	s, err := c.Execute(testContext(t), newRequest(address))
	if err != nil {
		t.Fatal(err)
	}
	drop.Store(true)
	if _, err := s.Next(); !errors.Is(err, errkind.Of(errkind.PeerLost)) {
		t.Errorf("got %v, want peer_lost", err)
	}
	s.Close()
	close(release)
	if _, body, err := execute(testContext(t), c, newRequest(address)); string(body) != "late" || err != nil || dials.Load() != 2 {
		t.Errorf("got body %q and error %v after %d dials, want the complete answer after 2", body, err, dials.Load())
	}
}

// TestSlowExecutorDoesNotTimeOut answers after more than the silence timeout.
func TestSlowExecutorDoesNotTimeOut(t *testing.T) {
	address := startServer(t, func(_ context.Context, _ *gateway.ForwardedRequest, w answer.Writer) error {
		time.Sleep(shortSilenceTimeout + shortSilenceTimeout/2)
		return w.WriteHead(answer.Head{Status: 200})
	})
	if _, _, err := execute(testContext(t), newClient(t, shortSilenceTimeout), newRequest(address)); err != nil {
		t.Error(err)
	}
}

// TestSlowReaderDoesNotTimeOut reads nothing for more than the silence timeout, with an
// answer that exceeds the flow-control window of a stream.
func TestSlowReaderDoesNotTimeOut(t *testing.T) {
	const size = 4 << 20
	address := startServer(t, func(_ context.Context, _ *gateway.ForwardedRequest, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		for range size / 4096 {
			if err := w.WriteChunk(make([]byte, 4096)); err != nil {
				return err
			}
		}
		return nil
	})
	s, err := newClient(t, shortSilenceTimeout).Execute(testContext(t), newRequest(address))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.Sleep(shortSilenceTimeout + shortSilenceTimeout/2)
	got := 0
	for {
		p, err := s.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got += len(p)
	}
	if got != size {
		t.Errorf("got %d of %d bytes", got, size)
	}
}

// failingBody returns some bytes and fails once the receiver has read them.
type failingBody struct {
	once    sync.Once
	arrived chan struct{}
}

func (b *failingBody) Read(p []byte) (n int, err error) {
	first := false
	b.once.Do(func() { first = true })
	if first {
		return copy(p, "start"), nil
	}
	<-b.arrived
	return 0, errors.New("the caller disconnected")
}

// TestTruncatedBodyFailsAtTheReceiver interrupts a streamed body.
func TestTruncatedBodyFailsAtTheReceiver(t *testing.T) {
	bodyErr := make(chan error, 1)
	body := &failingBody{arrived: make(chan struct{})}
	address := startServer(t, func(_ context.Context, fwd *gateway.ForwardedRequest, _ answer.Writer) error {
		_, err := io.ReadFull(fwd.Body, make([]byte, len("start")))
		close(body.arrived)
		if err == nil {
			_, err = io.ReadAll(fwd.Body)
		}
		bodyErr <- err
		return err
	})
	fwd := newRequest(address)
	fwd.Body = body
	if _, _, err := execute(testContext(t), newClient(t, testTimeout), fwd); errkind.From(err).Verdict() != domain.RunUnknown {
		t.Errorf("got %v, want an error with verdict unknown", err)
	}
	if err := <-bodyErr; err == nil {
		t.Error("the receiver read a complete body, want an error")
	}
}

// TestExecutionIsCanceledWhenTheSenderClosesTheAnswer closes an answer before its end.
func TestExecutionIsCanceledWhenTheSenderClosesTheAnswer(t *testing.T) {
	ended := make(chan struct{})
	address := startServer(t, func(ctx context.Context, _ *gateway.ForwardedRequest, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	s, err := newClient(t, testTimeout).Execute(testContext(t), newRequest(address))
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the execution was not canceled")
	}
}

// TestLargestEventIsReceived sends one event of the maximum size of an engine.
func TestLargestEventIsReceived(t *testing.T) {
	const size = 4 << 20
	address := startServer(t, func(_ context.Context, _ *gateway.ForwardedRequest, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		return w.WriteChunk(make([]byte, size))
	})
	if _, body, err := execute(testContext(t), newClient(t, testTimeout), newRequest(address)); len(body) != size || err != nil {
		t.Errorf("got %d of %d bytes, error %v", len(body), size, err)
	}
}
