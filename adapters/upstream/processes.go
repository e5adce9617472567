package upstream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

// processKey identifies one process of an upstream.
type processKey struct {
	id      domain.UpstreamID
	started int64
	address string
}

func keyOf(in *instances.Instance) processKey { return processKey{in.ID, in.Started, in.Address} }

// processes tracks the connections to each process of an upstream. The kernel ends all connections of a process that exits at
// one moment, so that they show which end of an answer is its process's.
type processes struct {
	mu          sync.Mutex
	connections map[processKey]map[*trackedConn]bool
	// ends holds the ends of connections in use in the last endRetention, at most maxEnds.
	ends []connEnd
	// closedListeners holds the processes that were seen to run while they refused connections, and when.
	closedListeners map[processKey]time.Time
}

const (
	// endRetention is how long ends are kept. It covers a liveness check that gets no result.
	endRetention = 2 * livenessTimeout
	maxEnds      = 1024
	// closedListenerRetention is how long a process is known to refuse connections while it runs; it covers the requests that it
	// still completes.
	closedListenerRetention = 30 * time.Second
)

// connEnd is the end of a connection that a request was using.
type connEnd struct {
	conn    *trackedConn
	process processKey
	// at is when the end was read, and notBefore the time since which it may have been there to be read: it waits while the
	// caller of the answer does not read on.
	at, notBefore time.Time
	// orderly is set if the upstream closed it, without a reset, right after its last bytes.
	orderly bool
}

func newProcesses() *processes {
	return &processes{connections: make(map[processKey]map[*trackedConn]bool), closedListeners: make(map[processKey]time.Time)}
}

// track returns a dial function whose connections are tracked.
func (p *processes) track(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c, processes: p}, nil
	}
}

// trackedConn is a connection of which it is known when it was read and how it ended.
type trackedConn struct {
	net.Conn
	processes *processes

	mu sync.Mutex
	// process is the process that the latest request was sent to.
	process processKey
	// confirmedAt is when the process first answered on the connection; zero if it has not.
	confirmedAt time.Time
	// user is the request that uses the connection; nil if none does.
	user *connUse
	// readingSince is when the read in progress began; zero while there is none.
	readingSince time.Time
	lastBytesAt  time.Time
	// ended is set once the connection has ended or was closed.
	ended bool
}

// promptEnd is the time after the last bytes of an answer within which an upstream that is done closes the connection. A crash
// comes at any time between two events.
const promptEnd = 5 * time.Millisecond

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	startedAt := time.Now()
	c.mu.Lock()
	c.readingSince = startedAt
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	now := time.Now()
	c.mu.Lock()
	c.readingSince = time.Time{}
	if n > 0 {
		c.lastBytesAt = now
	}
	end := connEnd{conn: c, process: c.process, at: now, notBefore: now}
	if now.Sub(startedAt) <= promptEnd {
		end.notBefore, end.orderly = c.lastBytesAt, errors.Is(err, io.EOF)
	}
	inUse := c.user != nil
	c.mu.Unlock()
	if closedByPeer(err) {
		c.finish()
		if inUse {
			c.processes.recordEnd(end)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.finish()
	return c.Conn.Close()
}

// finish records that the connection has ended or is closed.
func (c *trackedConn) finish() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.processes.remove(c)
}

// begin records that a request uses the connection.
func (c *trackedConn) begin(u *connUse) {
	c.mu.Lock()
	changed := c.process != u.process
	c.mu.Unlock()
	if changed {
		c.processes.remove(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed {
		c.process, c.confirmedAt = u.process, time.Time{}
	}
	c.user = u
}

// confirm records that the process began an answer on the connection.
func (c *trackedConn) confirm() {
	c.mu.Lock()
	first := c.confirmedAt.IsZero()
	if first {
		c.confirmedAt = time.Now()
	}
	process := c.process
	c.mu.Unlock()
	if first {
		c.processes.add(process, c)
	}
}

// end records that a request no longer uses the connection. The next one may have got it already.
func (c *trackedConn) end(u *connUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == u {
		c.user = nil
	}
}

func (p *processes) add(process processKey, c *trackedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended { // meanwhile
		return
	}
	if p.connections[process] == nil {
		p.connections[process] = make(map[*trackedConn]bool)
	}
	p.connections[process][c] = true
}

func (p *processes) remove(c *trackedConn) {
	c.mu.Lock()
	process := c.process
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections[process], c)
	if len(p.connections[process]) == 0 {
		delete(p.connections, process)
	}
}

func (p *processes) recordEnd(e connEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := 0
	for first < len(p.ends) && (e.at.Sub(p.ends[first].at) > endRetention || len(p.ends)-first >= maxEnds) {
		first++
	}
	p.ends = append(p.ends[first:], e)
}

// endEvidence is what the other connections of a process show about the end of one.
type endEvidence struct {
	// orderly is set if the connection itself ended without a reset right after its last bytes.
	orderly bool
	// heard is the number of others that received bytes, or ended, later than the observation time after it, and open the number
	// that remained open that long.
	heard, open int
	// cut is the number of others that ended at the same moment in the middle of an answer.
	cut int
	// closedListener is set if the process was seen to run while it refused connections.
	closedListener bool
}

// outlived reports whether the process ran on after the end of the connection.
func (e endEvidence) outlived() bool { return e.heard+e.open > 0 }

// evidence returns what is known of the process about the end of one of its connections that was recorded at a time, which was at
// least livenessObservation ago.
func (p *processes) evidence(process processKey, ended *trackedConn, endedAt time.Time) endEvidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	closedAt, closed := p.closedListeners[process]
	evidence := endEvidence{closedListener: closed && time.Since(closedAt) <= closedListenerRetention}
	own := connEnd{at: endedAt, notBefore: endedAt}
	if i := slices.IndexFunc(p.ends, func(e connEnd) bool { return e.conn == ended }); i >= 0 {
		own = p.ends[i]
		evidence.orderly = own.orderly
	}
	for c := range p.connections[process] {
		if c != ended {
			c.addTo(&evidence, process, own.at)
		}
	}
	for _, e := range p.ends {
		switch {
		case e.conn == ended || e.process != process:
		case e.notBefore.Sub(own.at) > livenessObservation:
			evidence.heard++
		case own.notBefore.Sub(e.at) <= livenessObservation && !e.orderly:
			evidence.cut++
		}
	}
	return evidence
}

// addTo adds what an open connection shows. One that is not being read shows nothing: its end may not have been noticed.
func (c *trackedConn) addTo(evidence *endEvidence, process processKey, endedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.process != process || c.confirmedAt.IsZero() || c.confirmedAt.After(endedAt):
		// another process may have replaced it
	case c.lastBytesAt.Sub(endedAt) > livenessObservation:
		evidence.heard++
	case !c.readingSince.IsZero():
		evidence.open++
	}
}

// recordClosedListener records that a process runs while it refuses connections.
func (p *processes) recordClosedListener(process processKey) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.closedListeners, func(_ processKey, at time.Time) bool { return now.Sub(at) > closedListenerRetention })
	p.closedListeners[process] = now
}
