package faulttest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// linkMode is how a faultProxy handles the bytes of a connection.
type linkMode int32

const (
	// linkForward forwards both directions.
	linkForward linkMode = iota
	// linkBlackhole drops the bytes of both directions and leaves the connection open.
	linkBlackhole
	// linkDropResponses forwards requests and drops responses.
	linkDropResponses
)

// faultProxy forwards TCP connections to a target and can close them or drop their
// bytes.
type faultProxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	newMode linkMode // mode of new connections
	refuse  bool     // whether new connections are closed at once
	open    map[*proxiedConn]struct{}
}

// proxiedConn is a connection from a client together with the one to the target.
type proxiedConn struct {
	client, server net.Conn
	mode           atomic.Int32 // a linkMode
}

func (c *proxiedConn) close() {
	c.client.Close()
	c.server.Close()
}

// newFaultProxy starts a proxy to target, which setTarget may set later.
func newFaultProxy(t testing.TB, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{listener: l, target: target, open: make(map[*proxiedConn]struct{})}
	go p.accept()
	t.Cleanup(p.shutdown)
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *faultProxy) connect(client net.Conn) {
	p.mu.Lock()
	target, refuse := p.target, p.refuse
	p.mu.Unlock()
	if refuse {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	c := &proxiedConn{client: client, server: server}
	if !p.add(c) {
		c.close()
		return
	}
	go p.copy(c, server, client, false)
	p.copy(c, client, server, true)
}

// add registers an open connection. It returns false if the proxy refuses connections
// by now.
func (p *faultProxy) add(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.mode.Store(int32(p.newMode))
	if p.refuse {
		return false
	}
	p.open[c] = struct{}{}
	return true
}

// copyBufferBytes is the size of the buffer of each direction.
const copyBufferBytes = 32 << 10

// copy forwards one direction. While it drops bytes, it also hides from the receiver
// that the sender has closed the connection.
func (p *faultProxy) copy(c *proxiedConn, to, from net.Conn, responses bool) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		mode := linkMode(c.mode.Load())
		discard := mode == linkBlackhole || (mode == linkDropResponses && responses)
		if n > 0 && !discard {
			if _, werr := to.Write(buf[:n]); werr != nil && err == nil {
				err = werr
			}
		}
		if err != nil {
			if !discard {
				p.drop(c)
			}
			return
		}
	}
}

func (p *faultProxy) drop(c *proxiedConn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	c.close()
}

// setMode changes the mode of open connections, and of new ones if includeNew is set.
func (p *faultProxy) setMode(mode linkMode, includeNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if includeNew {
		p.newMode = mode
	}
	for c := range p.open {
		c.mode.Store(int32(mode))
	}
}

// disconnect closes all connections and refuses new ones.
func (p *faultProxy) disconnect() {
	p.mu.Lock()
	p.refuse = true
	p.mu.Unlock()
	p.closeOpen()
}

// shutdown closes all connections and the listener, so that dialing fails.
func (p *faultProxy) shutdown() {
	p.listener.Close()
	p.disconnect()
}

// closeOpen closes open connections; new ones are forwarded.
func (p *faultProxy) closeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.close()
		delete(p.open, c)
	}
}

// resetOpen resets open connections; new ones are forwarded.
func (p *faultProxy) resetOpen() { p.resetWhere(func(*proxiedConn) bool { return true }) }

// resetWhere resets the open connections that match.
func (p *faultProxy) resetWhere(match func(*proxiedConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if match(c) {
			_ = c.client.(*net.TCPConn).SetLinger(0) // it may be closed already
			c.close()
			delete(p.open, c)
		}
	}
}

// blackholeWhere drops the bytes of the open connections that match.
func (p *faultProxy) blackholeWhere(match func(*proxiedConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if match(c) {
			c.mode.Store(int32(linkBlackhole))
		}
	}
}

// blackhole drops all bytes of open and new connections.
func (p *faultProxy) blackhole() { p.setMode(linkBlackhole, true) }

// blackholeOpen drops the bytes of open connections; new ones are forwarded.
func (p *faultProxy) blackholeOpen() { p.setMode(linkBlackhole, false) }

// dropResponses forwards requests and drops responses on open connections; new ones
// are forwarded.
func (p *faultProxy) dropResponses() { p.setMode(linkDropResponses, false) }

// restore forwards new connections. Open connections keep their mode.
func (p *faultProxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse, p.newMode = false, linkForward
}
