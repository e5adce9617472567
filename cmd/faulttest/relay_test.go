package faulttest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// link is how a relay treats the bytes of a connection.
type link int32

const (
	linkPasses link = iota
	// linkSilent swallows both directions without closing anything.
	linkSilent
	// linkOneWay passes requests and swallows answers.
	linkOneWay
)

// relay carries TCP connections to a target and can cut or silence them.
type relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	fresh  link // of new connections
	refuse bool
	open   map[*relayed]struct{}
}

// relayed is one connection with its other half.
type relayed struct {
	near, far net.Conn
	mode      atomic.Int32
}

func (c *relayed) close() {
	c.near.Close()
	c.far.Close()
}

// newRelay returns a relay to target, which may be set later.
func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, open: make(map[*relayed]struct{})}
	go r.accept()
	t.Cleanup(r.gone)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(near)
	}
}

func (r *relay) connect(near net.Conn) {
	r.mu.Lock()
	target, refuse := r.target, r.refuse
	r.mu.Unlock()
	if refuse {
		near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		near.Close()
		return
	}
	c := &relayed{near: near, far: far}
	if !r.add(c) {
		c.close()
		return
	}
	go r.copy(c, far, near, false)
	r.copy(c, near, far, true)
}

// add notes an open connection; it returns false if the link was cut meanwhile.
func (r *relay) add(c *relayed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.mode.Store(int32(r.fresh))
	if r.refuse {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

const relayBuffer = 32 << 10

// copy carries one direction. A silent connection swallows bytes and also hides
// that the other end closed.
func (r *relay) copy(c *relayed, to, from net.Conn, answers bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		mode := link(c.mode.Load())
		swallow := mode == linkSilent || (mode == linkOneWay && answers)
		if n > 0 && !swallow {
			if _, werr := to.Write(buf[:n]); werr != nil && err == nil {
				err = werr
			}
		}
		if err != nil {
			if !swallow {
				r.drop(c)
			}
			return
		}
	}
}

func (r *relay) drop(c *relayed) {
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
	c.close()
}

// set changes open connections, and new ones too if all is set.
func (r *relay) set(mode link, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all {
		r.fresh = mode
	}
	for c := range r.open {
		c.mode.Store(int32(mode))
	}
}

// cut closes all connections and refuses new ones.
func (r *relay) cut() {
	r.mu.Lock()
	r.refuse = true
	r.mu.Unlock()
	r.closeOpen()
}

// gone closes all connections and the port, so that dialing fails.
func (r *relay) gone() {
	r.listener.Close()
	r.cut()
}

// closeOpen closes all connections; new ones work.
func (r *relay) closeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.close()
		delete(r.open, c)
	}
}

// silence swallows all bytes of open and new connections.
func (r *relay) silence() { r.set(linkSilent, true) }

// silenceOpen swallows the bytes of open connections; new ones work.
func (r *relay) silenceOpen() { r.set(linkSilent, false) }

// loseAnswers passes requests and swallows answers on open connections; new
// ones work.
func (r *relay) loseAnswers() { r.set(linkOneWay, false) }

// heal lets new connections work; what was silenced stays so.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse, r.fresh = false, linkPasses
}
