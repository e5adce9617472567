package contract

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

const testModel = "m"

// engineUnderTest is a client, the simulated engine that it calls and the engine's
// address.
type engineUnderTest struct {
	*upstream.Engine
	sim *enginesim.Sim
	up  domain.UpstreamRef
}

func newEngine(t *testing.T, cfg enginesim.Config, o upstream.Options) *engineUnderTest {
	cfg.ID, cfg.Models = "e1", []string{testModel}
	sim := enginesim.New(cfg)
	o.Dial = serveInMemory(t, sim)
	client := upstream.NewEngine(o)
	t.Cleanup(client.Close)
	return &engineUnderTest{client, sim, domain.UpstreamRef{ID: "e1", Address: "engine:80"}}
}

func generateRequest(id domain.RequestID, tokens int, stream bool) ports.GenerateRequest {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%v}`, testModel, tokens, stream)
	return ports.GenerateRequest{RequestID: id, Model: testModel, Body: []byte(body), Stream: stream}
}

// readAll returns the stream's bytes and its error; nil means that the answer is
// complete.
func readAll(s answer.Stream) ([]byte, error) {
	var got []byte
	for {
		chunk, err := s.Next()
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		got = append(got, chunk...)
	}
}

func transcript(t *testing.T, e *engineUnderTest, g ports.GenerateRequest) string {
	want, err := e.sim.ExpectedStream(g.RequestID, g.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(want)
}

func TestEngineStreamIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{}, upstream.Options{})
		g := generateRequest("r1", 300, true)
		s := must[answer.Stream](t)(e.Generate(testContext(t), e.up, g))
		defer s.Close()
		got, err := readAll(s)
		if err != nil || string(got) != transcript(t, e, g) {
			t.Fatalf("got %d bytes, error %v; want the complete transcript", len(got), err)
		}
		if n := s.(*upstream.EventStream).Events(); n != 301 {
			t.Errorf("got %d events, want 301", n)
		}
		if x := e.sim.Execution("r1"); x.Starts != 1 || x.Completed != 1 {
			t.Errorf("got execution %+v, want one start and one completion", x)
		}
	})
}

func TestEngineDocumentIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{}, upstream.Options{})
		s := must[answer.Stream](t)(e.Generate(testContext(t), e.up, generateRequest("r1", 3, false)))
		defer s.Close()
		if got, err := readAll(s); err != nil || len(got) == 0 || s.Head().RanOn != "e1" {
			t.Fatalf("got body %q, error %v, head %+v; want a complete body from e1", got, err, s.Head())
		}
	})
}

func TestEngineFaultsDuringAnswer(t *testing.T) {
	cases := []struct {
		name   string
		mode   faults.Mode
		stream bool
		want   errkind.Kind
	}{
		{"stream truncated", faults.CloseMidResponse, true, errkind.Truncated},
		{"document truncated", faults.CloseMidResponse, false, errkind.Truncated},
		{"stream silent", faults.Unresponsive, true, errkind.UpstreamSilent},
		{"document silent", faults.Unresponsive, false, errkind.UpstreamSilent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFaultDuringAnswer(t, c.mode, c.stream, c.want) })
		})
	}
}

func checkFaultDuringAnswer(t *testing.T, mode faults.Mode, stream bool, want errkind.Kind) {
	e := newEngine(t, enginesim.Config{}, upstream.Options{})
	e.sim.SetFaults(faults.Fault{Mode: mode, AfterEvents: 4, MaxRequests: 1})
	g := generateRequest("r1", 10, stream)
	s := must[answer.Stream](t)(e.Generate(testContext(t), e.up, g))
	got, err := readAll(s)
	s.Close()
	wantKind(t, err, want, domain.RunUnknown)
	if !stream {
		return
	}
	g.ResumeAfter = s.(*upstream.EventStream).Events()
	if g.ResumeAfter != 4 {
		t.Errorf("got %d events before the fault, want 4", g.ResumeAfter)
	}
	rest := must[answer.Stream](t)(e.Generate(testContext(t), e.up, g))
	defer rest.Close()
	more, err := readAll(rest)
	if err != nil || string(got)+string(more) != transcript(t, e, g) {
		t.Errorf("the resumed answer differs from the transcript, error %v", err)
	}
}

func TestEngineRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{}, upstream.Options{})
		e.sim.SetFaults(faults.Fault{Mode: faults.Reject, MaxRequests: 1})
		_, err := e.Generate(testContext(t), e.up, generateRequest("r1", 1, true))
		wantKind(t, err, errkind.Overloaded, domain.RunNo)

		unreachable := upstream.NewEngine(upstream.Options{})
		_, err = unreachable.Generate(testContext(t), domain.UpstreamRef{Address: unusedAddress()}, generateRequest("r1", 1, true))
		wantKind(t, err, errkind.UpstreamFailed, domain.RunNo)
	})
}

func unusedAddress() string {
	server := httptest.NewServer(nil)
	server.Close()
	return server.Listener.Addr().String()
}

// TestEngineCloseCancels checks that closing a stream before its end frees the
// engine.
func TestEngineCloseCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{TimeScale: 1, DecodeTokensPerSecond: 1000}, upstream.Options{})
		s := must[answer.Stream](t)(e.Generate(testContext(t), e.up, generateRequest("r1", 1_000_000, true)))
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		s.Close()
		synctest.Wait()
		if n := e.sim.Load().Running; n != 0 {
			t.Errorf("got %d running generations, want 0", n)
		}
	})
}

// TestEngineCancel cancels by request id. This is needed because the engine is not
// notified if an intermediary loses the connection.
func TestEngineCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{TimeScale: 1, DecodeTokensPerSecond: 1000}, upstream.Options{})
		s := must[answer.Stream](t)(e.Generate(testContext(t), e.up, generateRequest("r1", 1_000_000, true)))
		defer s.Close()
		if err := e.Cancel(testContext(t), e.up, "r1"); err != nil {
			t.Fatal(err)
		}
		_, err := readAll(s)
		wantKind(t, err, errkind.Truncated, domain.RunUnknown)
		if x := e.sim.Execution("r1"); x.Cancellations != 1 {
			t.Errorf("got execution %+v, want one cancellation", x)
		}
		if err := e.Cancel(testContext(t), e.up, "unknown"); err != nil {
			t.Errorf("Cancel of an unknown request returned %v, want no error", err)
		}
	})
}

func TestEngineOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFencing(t, checks) })
		})
	}
}

func checkFencing(t *testing.T, checks bool) {
	e := newEngine(t, enginesim.Config{CheckFencing: checks}, upstream.Options{})
	ctx := testContext(t)
	if err := e.Order(ctx, e.up, ports.EngineOrder{Models: []string{"x"}, Fencing: 7}); err != nil {
		t.Fatal(err)
	}
	err := e.Order(ctx, e.up, ports.EngineOrder{Models: []string{"y"}, Fencing: 6})
	want := "y"
	if checks {
		wantKind(t, err, errkind.Conflict, domain.RunNo)
		want = "x"
	}
	if load := must[domain.LoadReport](t)(e.Load(ctx, e.up)); len(load.Models) != 1 || load.Models[0] != want {
		t.Errorf("got models %v, want %s", load.Models, want)
	}
}

func TestEngineLoadLagAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{LoadLag: time.Second, TimeScale: 1}, upstream.Options{})
		ctx, cancel := context.WithCancel(testContext(t))
		defer cancel()
		s := must[answer.Stream](t)(e.Generate(ctx, e.up, generateRequest("r1", 1000, true)))
		defer s.Close()
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		if l := must[domain.LoadReport](t)(e.Load(ctx, e.up)); l.Running != 0 || l.Age != time.Second {
			t.Errorf("before the lag got %+v, want no running request and an age of 1s", l)
		}
		time.Sleep(time.Second)
		e.sim.SetFaults(faults.Fault{Mode: faults.ReportLeaving})
		if l := must[domain.LoadReport](t)(e.Load(ctx, e.up)); l.Running != 1 || !l.Leaving {
			t.Errorf("after the lag got %+v, want one running request and leaving set", l)
		}
	})
}

func TestEngineCacheEventsGapsAndEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{BlockBytes: 2, CacheBlocks: 2, CacheEventDropInterval: 3}, upstream.Options{})
		s := must[answer.Stream](t)(e.Generate(testContext(t), e.up, generateRequest("r1", 1, true)))
		defer s.Close()
		if _, err := readAll(s); err != nil {
			t.Fatal(err)
		}
		events := must[[]ports.CacheEvent](t)(e.CacheEvents(testContext(t), e.up, 1))
		evicted := 0
		for _, ev := range events {
			if ev.Sequence <= 1 || ev.Sequence%3 == 0 {
				t.Errorf("got event %d, which should be omitted", ev.Sequence)
			}
			if ev.Evicted {
				evicted++
			}
		}
		if evicted == 0 {
			t.Errorf("got no eviction among %d events", len(events))
		}
	})
}

// TestEngineQueueIsNotSilent waits in the queue for longer than the progress timeout.
// The engine's SSE comments must count as progress.
func TestEngineQueueIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := enginesim.Config{Slots: 1, TimeScale: 1, DecodeTokensPerSecond: 10}
		e := newEngine(t, cfg, upstream.Options{ProgressTimeout: 2 * time.Second})
		ctx := t.Context()
		first := must[answer.Stream](t)(e.Generate(ctx, e.up, generateRequest("r1", 100, true)))
		second := must[answer.Stream](t)(e.Generate(ctx, e.up, generateRequest("r2", 5, true)))
		defer first.Close()
		defer second.Close()
		done := make(chan error, 1)
		go func() {
			_, err := readAll(first)
			done <- err
		}()
		got, err := readAll(second)
		if err != nil || string(got) != transcript(t, e, generateRequest("r2", 5, true)) {
			t.Errorf("the queued generation differs from the transcript, error %v", err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestEngineSlowReaderIsNotSilent reads so slowly that the engine blocks. This must
// not be reported as a silent engine.
func TestEngineSlowReaderIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, enginesim.Config{}, upstream.Options{})
		g := generateRequest("r1", 10, true)
		s := must[answer.Stream](t)(e.Generate(t.Context(), e.up, g))
		defer s.Close()
		var got []byte
		chunk, err := s.Next()
		for ; err == nil; chunk, err = s.Next() {
			got = append(got, chunk...)
			time.Sleep(time.Minute)
		}
		if err != io.EOF || string(got) != transcript(t, e, g) {
			t.Errorf("got error %v, want the complete transcript", err)
		}
	})
}

// TestEngineStaleConnection makes the engine close the pooled connection. A
// generation may be sent again, so the caller must not get an error.
func TestEngineStaleConnection(t *testing.T) {
	sim := enginesim.New(enginesim.Config{Models: []string{testModel}})
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		sim.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	client := upstream.NewEngine(upstream.Options{})
	t.Cleanup(client.Close)
	up := domain.UpstreamRef{Address: server.Listener.Addr().String()}
	for _, id := range []domain.RequestID{"r1", "r2"} {
		s := must[answer.Stream](t)(client.Generate(testContext(t), up, generateRequest(id, 1, false)))
		if _, err := readAll(s); err != nil {
			t.Error(err)
		}
		s.Close()
	}
}
