package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// noMetrics drops all metrics.
type noMetrics struct{}

func (noMetrics) Count(string, int64)               {}
func (noMetrics) ObserveGauge(string, func() int64) {}

// server is an HTTP server behind a listener with limits. Times are those that sweeps state.
type server struct {
	t        testing.TB
	guard    *Guard
	listener *Listener
	release  chan struct{} // ends requests for /wait
}

func newServer(t testing.TB, limits Limits) *server {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, guard: New(1<<20, event.Discard{}, noMetrics{}), release: make(chan struct{})}
	limits.Name = "test"
	s.listener = s.guard.Listen(inner, limits)
	h := &http.Server{ConnState: s.listener.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-s.release
		}
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = h.Serve(s.listener) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

// request sends one request and reports whether it was answered.
func request(c net.Conn) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// await waits until a condition is met; the test's own time limit ends it otherwise.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// stages returns the number of connections in a stage.
func (s *server) stages(stage int32) int {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	n := 0
	for c := range s.listener.conns {
		if c.stage.Load() == stage {
			n++
		}
	}
	return n
}

// closed waits until the server has closed a connection.
func closed(c net.Conn) bool {
	_, err := io.Copy(io.Discard, c)
	return err == nil || !strings.Contains(err.Error(), "timeout")
}

// A connection that is kept after a request, or has one in flight, must survive any number of
// clients that show less.
func TestConnectionsThatShowedMoreAreKept(t *testing.T) {
	s := newServer(t, Limits{MaxConnections: 8, MaxPerAddress: 8, IdleTime: func() time.Duration { return 15 * time.Second }})
	kept, busy := s.dial(), s.dial()
	if !request(kept) {
		t.Fatal("the first request got no answer")
	}
	if _, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	await(func() bool { return s.stages(stageBusy) == 1 && s.stages(stageIdle) == 1 })
	for i := range 100 {
		c := s.dial()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nX-A:") // the server may have closed it
		}
	}
	await(func() bool { return s.listener.count() <= 8 })
	s.guard.sweep(s.guard.start.Add(12 * time.Second)) // four fifths of the time for idle connections
	for range 100 {
		s.dial()
	}
	if !request(kept) {
		t.Error("a connection that was kept for less than the idle time was closed")
	}
	close(s.release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a request in flight was cut off: %v", err)
	}
}

// A head has one deadline as a whole, however often a byte of it arrives.
func TestHeadHasOneDeadline(t *testing.T) {
	s := newServer(t, Limits{MaxConnections: 8, MaxPerAddress: 8, HeadTime: func() time.Duration { return 3 * time.Second }})
	slow, kept := s.dial(), s.dial()
	if !request(kept) {
		t.Fatal("the request got no answer")
	}
	await(func() bool { return s.stages(stageIdle) == 1 })
	for i := range 12 {
		if _, err := io.WriteString(slow, "G"); err != nil {
			t.Fatal(err)
		}
		await(func() bool { return s.stages(stageHead) == 1 })
		s.guard.sweep(s.guard.start.Add(time.Duration(i) * 270 * time.Millisecond))
	}
	if s.listener.count() != 2 {
		t.Fatal("a head was cut off before its time")
	}
	s.guard.sweep(s.guard.start.Add(4 * time.Second))
	if !closed(slow) {
		t.Error("a head that takes longer than its time was not cut off")
	}
	if !request(kept) {
		t.Error("a connection without a head was closed")
	}
}

// A head beyond the limit is answered, so that its client knows why.
func TestHeadBeyondTheLimitIsRefused(t *testing.T) {
	s := newServer(t, Limits{MaxConnections: 8, MaxPerAddress: 8, HeadBytes: func() int { return 8 << 10 }})
	c := s.dial()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", 10<<10)) // the server may close it early
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %v, %v, want status 431", resp, err)
	}
	inside := s.dial()
	for range 2 {
		if !request(inside) {
			t.Error("a request inside the limits got no answer")
		}
	}
}

// The bytes of all unfinished heads are bounded, and those that go on are counted out again.
func TestUnfinishedHeadsAreBounded(t *testing.T) {
	s := newServer(t, Limits{MaxConnections: 1000, MaxPerAddress: 1000})
	for range 100 {
		_, _ = io.WriteString(s.dial(), "GET / HTTP/1.1\r\nX-A: "+strings.Repeat("a", 32<<10)) // it may be cut off
	}
	if !request(s.dial()) {
		t.Error("a request was not answered beside unfinished heads")
	}
	if n := s.guard.headBytes.Load(); n > s.guard.maxHeadBytes {
		t.Errorf("unfinished heads take %d bytes, want at most %d", n, s.guard.maxHeadBytes)
	}
	s.listener.mu.Lock()
	var all []*conn
	for c := range s.listener.conns {
		all = append(all, c)
	}
	s.listener.mu.Unlock()
	for _, c := range all {
		c.cut(Silent)
	}
	await(func() bool { return s.guard.headBytes.Load() == 0 })
}

// An address may not take all connections of a listener.
func TestAddressHasABound(t *testing.T) {
	s := newServer(t, Limits{MaxConnections: 100, MaxPerAddress: 5})
	for range 50 {
		s.dial()
	}
	if !request(s.dial()) {
		t.Error("a request from an address with many silent connections was not answered")
	}
	if n := s.listener.count(); n > 5 {
		t.Errorf("an address has %d connections, want at most 5", n)
	}
}

// A client that reads nothing must not hold what it was sent for long.
func TestUnreadResponseIsCutOff(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(1<<20, event.Discard{}, noMetrics{})
	l := g.Listen(inner, Limits{Name: "test", MaxConnections: 1, MaxPerAddress: 1, UnreadTime: 10 * time.Second})
	defer l.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		ended <- err
	}()
	tracked := c.(*conn)
	for now := time.Second; ; now += time.Second {
		g.sweep(g.start.Add(now))
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the write succeeded")
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
		if since := tracked.writingSince.Load(); since != 0 && now-time.Duration(since) > 12*time.Second && !tracked.closed.Load() {
			t.Fatal("a write without progress was not cut off")
		}
	}
}

// While there is a shortage, receives without progress are canceled, and no others.
func TestReceivesWithoutProgressAreCanceled(t *testing.T) {
	g := New(1<<20, event.Discard{}, noMetrics{})
	short := false
	set := NewReceives(g, "test", BodyStalled, 0, func() bool { return short })
	var canceled []string
	stalled := set.Begin(func() { canceled = append(canceled, "stalled") })
	moving := set.Begin(func() { canceled = append(canceled, "moving") })
	for i := range 20 {
		moving.Add(minReceived)
		g.sweep(g.start.Add(time.Duration(i) * time.Second))
	}
	if len(canceled) > 0 {
		t.Errorf("%v canceled without a shortage", canceled)
	}
	short = true
	g.sweep(g.start.Add(20 * time.Second))
	if len(canceled) != 1 || canceled[0] != "stalled" {
		t.Errorf("%v canceled, want only the one without progress", canceled)
	}
	if !stalled.End() || moving.End() {
		t.Error("the end does not tell whether the receive was canceled")
	}
}

// BenchmarkKeptConnection measures requests on a kept connection, with limits and without.
func BenchmarkKeptConnection(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := "plain"
		if limited {
			name = "limited"
		}
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
			listener := inner
			if limited {
				l := New(1<<20, event.Discard{}, noMetrics{}).Listen(inner, Limits{Name: "test", MaxConnections: 100, MaxPerAddress: 100,
					HeadBytes: func() int { return 24 << 10 }, HeadTime: func() time.Duration { return 4 * time.Second }})
				h.ConnState, listener = l.ConnState, l
			}
			go func() { _ = h.Serve(listener) }()
			defer h.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			const text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			buffer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
