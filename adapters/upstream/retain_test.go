package upstream

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"
)

// net/http starts the time after which it closes a connection before it tells that the connection is idle.
func TestConnectionIsRetainedThoughItsIdlenessIsRecordedLate(t *testing.T) {
	const idleTimeout, late = 100 * time.Millisecond, 20 * time.Millisecond
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
	client := NewRouted(Options{IdleTimeout: idleTimeout}, plainDialect{})
	defer client.Close()
	var use connUse
	ctx := httptrace.WithClientTrace(t.Context(), use.trace())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) { time.Sleep(late) }})
	if err := post(ctx, client, server, "/"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * idleTimeout)
	if got := open.Load(); got != 1 {
		t.Errorf("%d connections are open after a node recorded %v late that one was idle, want 1", got, late)
	}
}
