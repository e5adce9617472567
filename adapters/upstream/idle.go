package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// IdleClose is the end of an idle connection that its upstream closed.
type IdleClose struct {
	Address string
	// Idle is how long the connection had been idle since its latest request; zero if no request has used it, as that
	// tells nothing of the idle timeout of used ones.
	Idle time.Duration
	// Timeout is the idle timeout that the upstream stated, in whole seconds; zero if it stated none.
	Timeout time.Duration
}

// watchedConn is a connection whose end is reported while it is idle.
type watchedConn struct {
	net.Conn
	address string
	closed  func(IdleClose)
	// establishedAt is when the connection was established.
	establishedAt time.Time
	// retained may keep the connection open once it was idle for retainAfter.
	retained    *retainedConns
	retainAfter time.Duration
	// reading is held while the connection is read.
	reading sync.Mutex

	mu sync.Mutex
	// user is the latest request that got the connection; nil if none did.
	user *connUse
	// idleSince is when the connection became idle; zero while a request uses it.
	idleSince time.Time
	// timeout is the idle timeout that the upstream stated last.
	timeout time.Duration
}

// watchIdle returns a dial function that calls closed for idle connections that the upstream closes. One of them to each
// upstream is retained when net/http closes it after the given time.
func watchIdle(dial dialFunc, closed func(IdleClose), retained *retainedConns, retainAfter time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// Idle until a request gets it: the one that it was dialed for may have got another connection.
		retained.release(address)
		now := time.Now()
		return &watchedConn{Conn: c, address: address, closed: closed, establishedAt: now, idleSince: now, retained: retained, retainAfter: retainAfter}, nil
	}
}

// begin records that a request got the connection.
func (c *watchedConn) begin(u *connUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user, c.idleSince = u, time.Time{}
}

// end records that a request no longer uses the connection. net/http tells so after it has handed the connection to a
// request that waited for one.
func (c *watchedConn) end(u *connUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == u {
		c.idleSince = time.Now()
	}
}

// Read implements net.Conn. net/http reads from idle connections, too.
func (c *watchedConn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	n, err := c.Conn.Read(b)
	if closedByPeer(err) {
		c.mu.Lock()
		since := c.idleSince
		c.idleSince = time.Time{}
		c.mu.Unlock()
		if !since.IsZero() {
			c.report(since)
		}
	}
	return n, err
}

func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// report reports that the upstream closed the connection, which was idle since a time.
func (c *watchedConn) report(idleSince time.Time) {
	c.mu.Lock()
	end := IdleClose{Address: c.address, Timeout: c.timeout}
	used := c.user != nil
	c.mu.Unlock()
	if used {
		end.Idle = time.Since(idleSince)
	}
	c.closed(end)
}

// connUse is the use of a connection by a request.
type connUse struct {
	conn *watchedConn // nil if the connection is not watched
	// process is the process that the request is sent to, and onConn its connection; nil until the request has one.
	process processKey
	onConn  atomic.Pointer[trackedConn]
	// gotAt is when the request got the connection; nil until then. reused is set if earlier requests had used it.
	gotAt  atomic.Pointer[time.Time]
	reused atomic.Bool
	// written holds the result of the latest write of the request once it has ended; nil if nobody waits for it.
	written chan error
}

func newConnUse() *connUse { return &connUse{written: make(chan error, 1)} }

// trace returns a trace that records the use and tells when the connection is idle.
func (u *connUse) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			now := time.Now()
			u.gotAt.Store(&now)
			u.reused.Store(info.Reused)
			conn := info.Conn
			if u.conn, _ = conn.(*watchedConn); u.conn != nil {
				u.conn.begin(u)
				conn = u.conn.Conn
			}
			if tracked, ok := conn.(*trackedConn); ok {
				u.onConn.Store(tracked)
				tracked.begin(u)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { u.recordWritten(info.Err) },
		PutIdleConn: func(err error) {
			if err == nil && u.conn != nil {
				u.conn.end(u)
			}
		},
	}
}

// tracked returns the connection of the request; nil if it is not tracked.
func (u *connUse) tracked() *trackedConn { return u.onConn.Load() }

// confirm records that the process answers the request.
func (u *connUse) confirm() {
	if c := u.tracked(); c != nil {
		c.confirm()
	}
}

// release records that the request no longer uses its connection.
func (u *connUse) release() {
	if c := u.tracked(); c != nil {
		c.end(u)
	}
}

// connectedAt returns when the connection was established, or when the request got it if that is not known.
func (u *connUse) connectedAt() time.Time {
	if u.conn != nil {
		return u.conn.establishedAt
	}
	return *u.gotAt.Load()
}

// recordTimeout records the idle timeout that a response states.
func (u *connUse) recordTimeout(h http.Header) {
	text := h.Get("Keep-Alive")
	if text == "" || u.conn == nil {
		return
	}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			u.conn.mu.Lock()
			u.conn.timeout = time.Duration(seconds) * time.Second
			u.conn.mu.Unlock()
		}
	}
}
