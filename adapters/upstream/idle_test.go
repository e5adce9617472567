package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// idleReportTimeout is how long a test waits for the report of a closed idle connection.
const idleReportTimeout = 5 * time.Second

// lateDial is a dialer whose connections after the first are established once release is closed.
type lateDial struct {
	first          chan struct{}
	begun, release chan struct{}
}

func newLateDial() *lateDial {
	d := &lateDial{make(chan struct{}, 1), make(chan struct{}), make(chan struct{})}
	d.first <- struct{}{}
	return d
}

func (d *lateDial) dial(_ context.Context, network, address string) (net.Conn, error) {
	select {
	case <-d.first:
	default:
		close(d.begun)
		<-d.release
	}
	return net.Dial(network, address)
}

// post sends a request and reads its answer.
func post(ctx context.Context, r *Routed, server *httptest.Server, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader("x"))
	if err != nil {
		return err
	}
	resp, err := r.pooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestConnectionThatWaitingRequestTookOverIsNotIdle: net/http tells the first request that its connection is idle after the
// second one got it.
func TestConnectionThatWaitingRequestTookOverIsNotIdle(t *testing.T) {
	late, received := newLateDial(), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			panic(http.ErrAbortHandler) // closes the connection
		}
		close(received)
		<-late.begun
	}))
	defer server.Close()
	closed := make(chan IdleClose, 1)
	client := NewRouted(Options{Dial: late.dial, IdleClosed: func(c IdleClose) { closed <- c }}, plainDialect{})
	defer client.Close()
	defer close(late.release)

	takenOver, told := make(chan struct{}), make(chan struct{})
	var first, second connUse
	firstDone := make(chan error, 1)
	go func() {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{PutIdleConn: func(error) { close(told) }})
		ctx = httptrace.WithClientTrace(ctx, first.trace())
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) { <-takenOver }})
		firstDone <- post(ctx, client, server, "/first")
	}()
	<-received
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		close(takenOver)
		<-told
	}})
	if err := post(httptrace.WithClientTrace(ctx, second.trace()), client, server, "/second"); err == nil {
		t.Error("the request whose connection was closed was answered")
	}
	if err := <-firstDone; err != nil {
		t.Errorf("first request: %v", err)
	}
	select {
	case c := <-closed:
		t.Errorf("a connection in use counts as closed after it was idle for %v", c.Idle)
	default:
	}
}

func TestEndOfConnectionThatNoRequestNeededIsReported(t *testing.T) {
	late, received, accepted := newLateDial(), make(chan struct{}), make(chan struct{}, 2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(received)
			<-late.begun
		}
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			accepted <- struct{}{}
		}
	}
	server.Start()
	defer server.Close()
	closed := make(chan IdleClose, 2)
	client := NewRouted(Options{Dial: late.dial, IdleClosed: func(c IdleClose) { closed <- c }}, plainDialect{})
	defer client.Close()

	var first, second connUse
	firstDone := make(chan error, 1)
	go func() {
		firstDone <- post(httptrace.WithClientTrace(t.Context(), first.trace()), client, server, "/first")
	}()
	<-received
	if err := post(httptrace.WithClientTrace(t.Context(), second.trace()), client, server, "/second"); err != nil {
		t.Fatalf("second request: %v", err)
	}
	if err := <-firstDone; err != nil {
		t.Fatalf("first request: %v", err)
	}
	close(late.release)
	for range cap(accepted) {
		<-accepted
	}
	server.CloseClientConnections()
	for n := range cap(closed) {
		select {
		case <-closed:
		case <-time.After(idleReportTimeout):
			t.Fatalf("%d of 2 idle connections that the upstream closed were reported", n)
		}
	}
}

func TestEndOfProcessThatGetsNoRequestsIsReported(t *testing.T) {
	const idleTimeout = 50 * time.Millisecond
	var open atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	closed := make(chan IdleClose, 8)
	client := NewRouted(Options{IdleTimeout: idleTimeout, IdleClosed: func(c IdleClose) { closed <- c }}, plainDialect{})
	defer client.Close()
	for range 3 { // a new connection replaces the one that was too old to be used again
		var use connUse
		if err := post(httptrace.WithClientTrace(t.Context(), use.trace()), client, server, "/"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * idleTimeout)
	}
	if got := open.Load(); got != 1 {
		t.Errorf("%d connections are open without requests, want 1", got)
	}
	select {
	case c := <-closed:
		t.Errorf("a connection that the node itself replaced counts as closed by the upstream after %v", c.Idle)
	default:
	}
	server.CloseClientConnections()
	select {
	case c := <-closed:
		if c.Idle < 4*idleTimeout {
			t.Errorf("the connection was idle for %v, want at least %v", c.Idle, 4*idleTimeout)
		}
	case <-time.After(idleReportTimeout):
		t.Error("the end of the upstream's connections was not reported")
	}
}
