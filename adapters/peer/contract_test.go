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

// shortSilence is a silence bound above the executor's keep-alive interval.
const shortSilence = 1500 * time.Millisecond

func TestWholeAnswerArrives(t *testing.T) {
	address := startNode(t, echo)
	c := newClient(t, hangBound)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 40<<10)
	for name, fwd := range map[string]*gateway.Forward{"held body": request(address), "streamed body": request(address), "no body": request(address)} {
		want := sent
		switch name {
		case "held body":
			fwd.Repeatable, fwd.Payload = false, sent
		case "streamed body":
			fwd.Body = bytes.NewReader(sent)
		default:
			want = nil
		}
		head, got, err := execute(bounded(t), c, fwd)
		if err != nil || head.Status != 200 || !bytes.Equal(got, want) {
			t.Errorf("%s: status %d, %d of %d bytes, %v", name, head.Status, len(got), len(want), err)
		}
	}
}

// TestRefusalsKeepKindVerdictAndAdvice sends every kind with every verdict.
func TestRefusalsKeepKindVerdictAndAdvice(t *testing.T) {
	var refusal atomic.Pointer[errkind.Error]
	address := startNode(t, func(context.Context, *gateway.Forward, answer.Writer) error { return refusal.Load() })
	c := newClient(t, hangBound)
	for _, kind := range errkind.Kinds() {
		for _, run := range []domain.Run{"", domain.RunNo, domain.RunUnknown, domain.RunYes} {
			want := errkind.New(kind, "because").WithRun(run).WithRetryAfter(7 * time.Second)
			refusal.Store(want)
			_, _, err := execute(bounded(t), c, request(address))
			got := errkind.From(err)
			if got == nil || got.Kind != kind || got.Verdict() != want.Verdict() || got.Advice() != want.Advice() || got.Message != want.Message {
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

// TestUnsoundAnswersAreLostAndNeverWhole feeds frames that are crossed, out of
// sequence or without their end.
func TestUnsoundAnswersAreLostAndNeverWhole(t *testing.T) {
	for name, frames := range map[string][]*peerpb.AnswerFrame{
		"no frame":               {},
		"head alone":             {headFrame("r1", 0)},
		"no end":                 {headFrame("r1", 0), chunkFrame("r1", 1)},
		"end without a head":     {endFrame("r1", 0)},
		"chunk without a head":   {chunkFrame("r1", 0), endFrame("r1", 1)},
		"head of another":        {headFrame("r2", 0), endFrame("r1", 1)},
		"chunk of another":       {headFrame("r1", 0), chunkFrame("r2", 1), endFrame("r1", 2)},
		"end of another":         {headFrame("r1", 0), chunkFrame("r1", 1), endFrame("r2", 2)},
		"chunk left out":         {headFrame("r1", 0), chunkFrame("r1", 2), endFrame("r1", 3)},
		"chunk twice":            {headFrame("r1", 0), chunkFrame("r1", 1), chunkFrame("r1", 1), endFrame("r1", 2)},
		"head twice":             {headFrame("r1", 0), headFrame("r1", 1), endFrame("r1", 2)},
		"frame without a kind":   {headFrame("r1", 0), {RequestId: "r1", Sequence: 1}, endFrame("r1", 2)},
		"last chunk is left out": {headFrame("r1", 0), endFrame("r1", 2)},
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
			_, _, err := execute(bounded(t), newClient(t, hangBound), request(listen(t, s)))
			if !errors.Is(err, errkind.Of(errkind.PeerLost)) || errkind.From(err).Verdict() != domain.RunUnknown {
				t.Errorf("got %v, want peer_lost with verdict unknown", err)
			}
		})
	}
}

func TestNothingListensIsProvedNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	_, _, err = execute(bounded(t), newClient(t, hangBound), request(l.Addr().String()))
	if !errors.Is(err, errkind.Of(errkind.PeerUnreachable)) || errkind.From(err).Verdict() != domain.RunNo {
		t.Errorf("got %v", err)
	}
}

// swallowing is a connection whose peer's bytes vanish once told so.
type swallowing struct {
	net.Conn
	silent *atomic.Bool
}

func (s swallowing) Read(p []byte) (int, error) {
	for {
		n, err := s.Conn.Read(p)
		if err != nil || !s.silent.Load() {
			return n, err
		}
	}
}

// TestSilentConnectionIsLostAndDialledAfresh swallows the first connection's
// bytes in the middle of an answer.
func TestSilentConnectionIsLostAndDialledAfresh(t *testing.T) {
	var dials atomic.Int32
	silent := new(atomic.Bool)
	release := make(chan struct{})
	address := startNode(t, func(ctx context.Context, _ *gateway.Forward, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return w.WriteChunk([]byte("late"))
	})
	c := newClientWith(t, insecureCredentials(), shortSilence, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if dials.Add(1) > 1 || err != nil {
			return conn, err
		}
		return swallowing{conn, silent}, nil
	})
	s, err := c.Execute(bounded(t), request(address))
	if err != nil {
		t.Fatal(err)
	}
	silent.Store(true)
	if _, err := s.Next(); !errors.Is(err, errkind.Of(errkind.PeerLost)) {
		t.Errorf("got %v, want peer_lost", err)
	}
	s.Close()
	close(release)
	if _, body, err := execute(bounded(t), c, request(address)); string(body) != "late" || err != nil || dials.Load() != 2 {
		t.Errorf("%q and %v after %d dials", body, err, dials.Load())
	}
}

// TestSlowExecutorIsNotSilent answers after more than the silence bound.
func TestSlowExecutorIsNotSilent(t *testing.T) {
	address := startNode(t, func(_ context.Context, _ *gateway.Forward, w answer.Writer) error {
		time.Sleep(shortSilence + shortSilence/2)
		return w.WriteHead(answer.Head{Status: 200})
	})
	if _, _, err := execute(bounded(t), newClient(t, shortSilence), request(address)); err != nil {
		t.Error(err)
	}
}

// TestSlowReaderIsNotSilence reads nothing for more than the silence bound, with
// an answer that exceeds the flow-control window.
func TestSlowReaderIsNotSilence(t *testing.T) {
	const size = 4 << 20
	address := startNode(t, func(_ context.Context, _ *gateway.Forward, w answer.Writer) error {
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
	s, err := newClient(t, shortSilence).Execute(bounded(t), request(address))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.Sleep(shortSilence + shortSilence/2)
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
		t.Errorf("%d of %d bytes", got, size)
	}
}

// brokenBody gives some bytes and fails once the receiver has them.
type brokenBody struct {
	once    sync.Once
	arrived chan struct{}
}

func (b *brokenBody) Read(p []byte) (n int, err error) {
	first := false
	b.once.Do(func() { first = true })
	if first {
		return copy(p, "start"), nil
	}
	<-b.arrived
	return 0, errors.New("the caller is gone")
}

// TestBrokenBodyIsNeverWholeAtTheReceiver breaks a streamed body off.
func TestBrokenBodyIsNeverWholeAtTheReceiver(t *testing.T) {
	seen := make(chan error, 1)
	body := &brokenBody{arrived: make(chan struct{})}
	address := startNode(t, func(_ context.Context, fwd *gateway.Forward, _ answer.Writer) error {
		_, err := io.ReadFull(fwd.Body, make([]byte, len("start")))
		close(body.arrived)
		if err == nil {
			_, err = io.ReadAll(fwd.Body)
		}
		seen <- err
		return err
	})
	fwd := request(address)
	fwd.Body = body
	if _, _, err := execute(bounded(t), newClient(t, hangBound), fwd); errkind.From(err).Verdict() != domain.RunUnknown {
		t.Errorf("got %v", err)
	}
	if err := <-seen; err == nil {
		t.Error("the receiver saw a whole body")
	}
}

// TestWorkEndsWhenTheSenderLeaves closes an answer before its end.
func TestWorkEndsWhenTheSenderLeaves(t *testing.T) {
	ended := make(chan struct{})
	address := startNode(t, func(ctx context.Context, _ *gateway.Forward, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	s, err := newClient(t, hangBound).Execute(bounded(t), request(address))
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	select {
	case <-ended:
	case <-time.After(hangBound):
		t.Fatal("the receiver works on")
	}
}

// TestLargestEventArrives sends one event of the size that engines may send.
func TestLargestEventArrives(t *testing.T) {
	const size = 4 << 20
	address := startNode(t, func(_ context.Context, _ *gateway.Forward, w answer.Writer) error {
		if err := w.WriteHead(answer.Head{Status: 200}); err != nil {
			return err
		}
		return w.WriteChunk(make([]byte, size))
	})
	if _, body, err := execute(bounded(t), newClient(t, hangBound), request(address)); len(body) != size || err != nil {
		t.Errorf("%d of %d bytes, %v", len(body), size, err)
	}
}
