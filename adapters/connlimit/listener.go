package connlimit

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits of the connections of one listener. Zero times and sizes mean no limit.
type Limits struct {
	// Name names the listener in metrics and log lines.
	Name string
	// MaxConnections limits the connections of the listener, MaxPerAddress those of one IP
	// address.
	MaxConnections, MaxPerAddress int
	// HeadTime returns how long a head may take from its first byte, HeadBytes its maximum size
	// and IdleTime how long a connection may be kept without a request. Nil means no limit.
	HeadTime  func() time.Duration
	HeadBytes func() int
	IdleTime  func() time.Duration
	// UnreadTime is how long a write may make no progress. While Short reports a shortage,
	// UnreadTimeShort applies instead.
	UnreadTime, UnreadTimeShort time.Duration
	Short                       func() bool
	// UserTimeout is how long sent bytes may remain unacknowledged (TCP_USER_TIMEOUT). gRPC sets
	// it only on connections that are not wrapped.
	UserTimeout time.Duration
}

// Listener accepts connections within limits. When it is full, it closes those that have shown
// least.
type Listener struct {
	net.Listener
	Limits
	guard *Guard
	// refusedAt is the time of the guard's clock at which a connection was last refused.
	refusedAt atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]struct{}
	byAddress map[netip.Addr]int
}

// Listen wraps a listener.
func (g *Guard) Listen(l net.Listener, limits Limits) *Listener {
	wrapped := &Listener{Listener: l, Limits: limits, guard: g, conns: make(map[*conn]struct{}), byAddress: make(map[netip.Addr]int)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(slices.Clone(g.listeners), wrapped)
	g.metrics.ObserveGauge("clients.connections."+limits.Name, wrapped.count)
	return wrapped
}

// count returns the number of connections.
func (l *Listener) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.conns))
}

// Accept implements net.Listener. It returns only connections for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l, address: addressOf(accepted.RemoteAddr().String())}
		c.since.Store(l.guard.clock.Load())
		if l.add(c) {
			if l.UserTimeout > 0 {
				setUserTimeout(accepted, l.UserTimeout)
			}
			return c, nil
		}
		c.reset()
		l.refusedAt.Store(l.guard.clock.Load())
		l.guard.Count(l.Name, NoRoom, 1)
	}
}

// add records a connection. If there is no room, it first closes connections that have shown
// less, and returns false if there are none.
func (l *Listener) add(c *conn) bool {
	if l.tryAdd(c) {
		return true
	}
	l.makeRoom(c.address)
	return l.tryAdd(c)
}

func (l *Listener) tryAdd(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.MaxConnections || l.byAddress[c.address] >= l.MaxPerAddress || l.guard.full() {
		return false
	}
	l.guard.accepted.Add(1)
	l.conns[c] = struct{}{}
	l.byAddress[c.address]++
	return true
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.conns[c]; !known {
		return
	}
	delete(l.conns, c)
	l.guard.accepted.Add(-1)
	if l.byAddress[c.address]--; l.byAddress[c.address] == 0 {
		delete(l.byAddress, c.address)
	}
}

// makeRoom closes a part of the connections that have shown least. If the address has as many as
// it may have, only its connections count.
func (l *Listener) makeRoom(address netip.Addr) {
	all := l.candidates(nil, classIdle, classSilent, classHead)
	l.mu.Lock()
	atLimit := l.byAddress[address] >= l.MaxPerAddress
	l.mu.Unlock()
	if atLimit {
		all = slices.DeleteFunc(all, func(c candidate) bool { return c.conn.address != address })
	}
	slices.SortFunc(all, candidate.compare)
	reasons := [...]Reason{classIdle: IdleTooLong, classSilent: Silent, classHead: HeadUnfinished}
	for _, c := range all[:min(len(all), 1+l.MaxConnections/batchFraction)] {
		c.conn.cut(reasons[c.class])
	}
}

// candidates appends the connections of the given classes.
func (l *Listener) candidates(all []candidate, classes ...int) []candidate {
	now := l.guard.clock.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if class := c.class(now); slices.Contains(classes, class) {
			all = append(all, candidate{conn: c, class: class, crowded: l.byAddress[c.address] > l.MaxPerAddress/2, since: c.since.Load()})
		}
	}
	return all
}

// sweep closes the connections whose time is over; now is the time since the start of the guard.
func (l *Listener) sweep(now time.Duration) {
	headTime := limit(l.HeadTime)
	unread := l.UnreadTime
	if l.UnreadTimeShort > 0 && l.Short != nil && l.Short() {
		unread = l.UnreadTimeShort
	}
	var slow, blocked []*conn
	l.mu.Lock()
	for c := range l.conns {
		if headTime > 0 && c.stage.Load() == stageHead && now-time.Duration(c.since.Load()) > headTime {
			slow = append(slow, c)
		} else if w := c.writingSince.Load(); unread > 0 && w != 0 && now-time.Duration(w) > unread {
			blocked = append(blocked, c)
		}
	}
	l.mu.Unlock()
	for _, c := range slow {
		c.cut(HeadTooSlow)
	}
	for _, c := range blocked {
		c.cut(Unread)
	}
}

func limit(f func() time.Duration) time.Duration {
	if f == nil {
		return 0
	}
	return f()
}

// ConnState records what net/http knows of a connection; it is for http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	tracked := trackedConn(c)
	if tracked == nil {
		return
	}
	switch state {
	case http.StateActive:
		tracked.enter(stageBusy)
	case http.StateIdle:
		tracked.enter(stageIdle)
	}
}

// trackedConn returns the connection of this package below a connection; nil if there is none.
func trackedConn(c net.Conn) *conn {
	for {
		switch inner := c.(type) {
		case *conn:
			return inner
		case interface{ NetConn() net.Conn }: // TLS
			c = inner.NetConn()
		default:
			return nil
		}
	}
}
