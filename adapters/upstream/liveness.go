package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// livenessObservation is how long a new connection must stay open to show that the
// upstream runs. It covers the time in which an exiting process closes its sockets one after
// the other, and a round trip within a region.
const livenessObservation = 25 * time.Millisecond

// livenessTimeout limits a check. A connection that is not established within
// livenessDialTimeout is replaced, as the kernel repeats a lost opening packet only after a
// second.
const (
	livenessTimeout     = time.Second
	livenessDialTimeout = 300 * time.Millisecond
)

const maxClosedConnections = 3

var (
	errNotRunning      = errors.New("the upstream no longer accepts connections after the end of its response")
	errLivenessUnknown = errors.New("it is unknown whether the upstream runs after the end of its response")
)

// livenessChecker finds out whether an upstream still runs after a response that ended
// with its connection, because a process that exits ends its connections in the same way.
// There is at most one check of an address at a time.
type livenessChecker struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	checks map[string]*livenessChecks // by address, while there is a check
}

// livenessChecks are the running check of an address and the one that follows it.
type livenessChecks struct{ running, next *livenessCheck }

type livenessCheck struct {
	done chan struct{}
	err  error // valid once done is closed
}

func newLivenessChecker(o Options) *livenessChecker {
	return &livenessChecker{dial: o.Dial, checks: make(map[string]*livenessChecks)}
}

// check returns nil if the upstream accepts a connection that is opened after the call.
// errNotRunning means that the upstream refuses connections, errLivenessUnknown that it is unknown.
func (l *livenessChecker) check(ctx context.Context, address string) error {
	c := l.join(address)
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns a check that has not opened its connection yet.
func (l *livenessChecker) join(address string) *livenessCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := l.checks[address]
	if checks == nil {
		checks = &livenessChecks{running: newLivenessCheck()}
		l.checks[address] = checks
		go l.run(address, checks)
		return checks.running
	}
	if checks.next == nil {
		checks.next = newLivenessCheck()
	}
	return checks.next
}

func newLivenessCheck() *livenessCheck { return &livenessCheck{done: make(chan struct{})} }

// run makes the checks of an address until none follows.
func (l *livenessChecker) run(address string, checks *livenessChecks) {
	for {
		checks.running.err = l.connect(address)
		close(checks.running.done)
		l.mu.Lock()
		if checks.next == nil {
			delete(l.checks, address)
			l.mu.Unlock()
			return
		}
		checks.running, checks.next = checks.next, nil
		l.mu.Unlock()
	}
}

// connect opens connections until one stays open or is refused, or until
// maxClosedConnections were closed: an upstream with too many connections closes new ones, but
// so does a proxy of one that does not run.
func (l *livenessChecker) connect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	for closed := 0; closed < maxClosedConnections; {
		conn, err := l.dialOnce(ctx, address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
			return errNotRunning
		case ctx.Err() != nil:
			return errLivenessUnknown
		case err != nil:
			time.Sleep(livenessObservation)
			continue
		}
		open := staysOpen(conn)
		_ = conn.Close() // the connection is no longer needed
		if open {
			return nil
		}
		closed++
		time.Sleep(livenessObservation)
	}
	return errLivenessUnknown
}

func (l *livenessChecker) dialOnce(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, livenessDialTimeout)
	defer cancel()
	return l.dial(ctx, "tcp", address)
}

// staysOpen reports whether the peer leaves a connection open for livenessObservation.
func staysOpen(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(livenessObservation)); err != nil {
		return false
	}
	n, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return n > 0 || errors.As(err, &timeout) && timeout.Timeout()
}
