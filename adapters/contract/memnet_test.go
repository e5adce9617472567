package contract

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
)

// memListener is a listener for in-memory connections. Unlike network connections,
// they work with the virtual time of synctest.
type memListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// serveInMemory serves h over in-memory connections and returns a dial function.
func serveInMemory(t *testing.T, h http.Handler) func(ctx context.Context, network, address string) (net.Conn, error) {
	l := &memListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: h}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		server.Close()
		<-stopped
	})
	return l.dial
}

func (l *memListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }
