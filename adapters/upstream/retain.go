package upstream

import (
	"sync"
	"time"
)

// maxRetention is how long an idle connection stays open after it is too old for requests. Upstreams close most of them sooner.
const maxRetention = time.Minute

// retainedConns are the connections that stay open beyond their use for requests, one for each upstream: its end shows
// that the process of an upstream that gets no requests may have ended.
type retainedConns struct {
	mu        sync.Mutex
	closed    bool
	byAddress map[string]*watchedConn
}

func newRetainedConns() *retainedConns {
	return &retainedConns{byAddress: make(map[string]*watchedConn)}
}

// add retains a connection unless there is one to the address already.
func (r *retainedConns) add(c *watchedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.byAddress[c.address] != nil {
		return false
	}
	r.byAddress[c.address] = c
	return true
}

// remove ends the retention of a connection.
func (r *retainedConns) remove(c *watchedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddress[c.address] == c {
		delete(r.byAddress, c.address)
	}
}

// release closes the connection to an address, as there is a newer one.
func (r *retainedConns) release(address string) {
	r.mu.Lock()
	c := r.byAddress[address]
	delete(r.byAddress, address)
	r.mu.Unlock()
	if c != nil {
		_ = c.Conn.Close() // no request uses it
	}
}

// close closes all connections; no further ones are retained.
func (r *retainedConns) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for address, c := range r.byAddress {
		_ = c.Conn.Close() // no request uses it
		delete(r.byAddress, address)
	}
}

// retain keeps a connection open that net/http closes because it was idle for too long. It returns false if it is to be closed.
func (c *watchedConn) retain() bool {
	c.mu.Lock()
	since := c.idleSince
	c.mu.Unlock()
	// net/http may say that a connection is idle some time after it began to count.
	if since.IsZero() || time.Since(since) < c.retainAfter/2 || !c.retained.add(c) {
		return false
	}
	// Ends the read with which net/http waits for the connection's end.
	if err := c.Conn.SetReadDeadline(time.Now()); err != nil {
		c.retained.remove(c)
		return false
	}
	go c.observe(since)
	return true
}

// observe waits for the end of a retained connection and reports it if the upstream closed it.
func (c *watchedConn) observe(idleSince time.Time) {
	c.reading.Lock()
	defer c.reading.Unlock()
	defer c.retained.remove(c)
	defer func() { _ = c.Conn.Close() }() // no request uses it
	if err := c.Conn.SetReadDeadline(time.Now().Add(maxRetention)); err != nil {
		return
	}
	var b [1]byte
	if _, err := c.Conn.Read(b[:]); closedByPeer(err) {
		c.report(idleSince)
	}
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	if c.retain() {
		return nil
	}
	return c.Conn.Close()
}
