package connlimit

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// Reason is why a client was cut off. Metrics and log lines contain it.
type Reason string

const (
	// Silent connections sent nothing; they are closed when the listener is full.
	Silent Reason = "silent"
	// HeadUnfinished connections sent a part of a head; they are closed when the listener or
	// the memory for heads is full.
	HeadUnfinished Reason = "head_unfinished"
	// HeadTooSlow connections did not send a whole head in time.
	HeadTooSlow Reason = "head_too_slow"
	// HeadTooLarge connections sent a head that exceeds the limit.
	HeadTooLarge Reason = "head_too_large"
	// IdleTooLong connections had no request for longer than clients may keep them; they are
	// closed when the listener is full.
	IdleTooLong Reason = "idle_too_long"
	// Unread connections took no byte of a response for too long.
	Unread Reason = "response_unread"
	// NoRoom connections were refused because all others have shown more.
	NoRoom Reason = "no_room"
	// BodyStalled requests sent too little of their body while there was no room for others.
	BodyStalled Reason = "body_stalled"
	// CallStalled calls of other nodes did not send their whole message in time.
	CallStalled Reason = "call_stalled"
)

const (
	// sweepInterval is the interval of the loop that enforces times, and so their accuracy.
	sweepInterval = 250 * time.Millisecond
	// reportInterval limits the log lines: one for each reason and listener in that time.
	reportInterval = 10 * time.Second
	// batchFraction is the part of a listener's connections that is closed at once when it is
	// full, so that the search for them is rare.
	batchFraction = 32
)

// Metrics counts the clients cut off.
type Metrics interface {
	Count(name string, n int64)
	ObserveGauge(name string, value func() int64)
}

// Guard enforces the limits of all listeners of a process.
type Guard struct {
	log     event.Logger
	metrics Metrics
	// maxHeadBytes is the maximum size of all unfinished heads together.
	maxHeadBytes int64
	headBytes    atomic.Int64
	// accepted is the number of connections of all listeners. shares and inFlight are set by
	// ShareSockets.
	accepted atomic.Int64
	shares   Shares
	inFlight func() int64
	// clock is the time of the latest sweep, in nanoseconds since start.
	clock atomic.Int64
	start time.Time

	mu        sync.Mutex
	listeners []*Listener
	sweepers  []func(now time.Time)
	cuts      map[cut]int64 // since the latest report
	reported  time.Time
}

// cut identifies a kind of client in the report.
type cut struct {
	listener string
	reason   Reason
}

// New returns a guard. maxHeadBytes limits the size of all unfinished heads together.
func New(maxHeadBytes int64, log event.Logger, m Metrics) *Guard {
	g := &Guard{log: log, metrics: m, maxHeadBytes: maxHeadBytes, start: time.Now(), cuts: make(map[cut]int64)}
	g.clock.Store(1) // zero means that nothing is pending
	m.ObserveGauge("clients.head_bytes", g.headBytes.Load)
	return g
}

// ShareSockets lets requests in flight use the descriptors that accepted connections leave. It must
// be called before the first connection is accepted.
func (g *Guard) ShareSockets(s Shares, inFlight func() int64) { g.shares, g.inFlight = s, inFlight }

// MaxRequests returns the number of requests that may be in flight at the moment.
func (g *Guard) MaxRequests() int64 {
	free := int64(g.shares.Sockets) - g.accepted.Load()
	return min(int64(g.shares.MemoryRequests), max(int64(g.shares.Requests), free))
}

// full reports whether accepted connections and requests in flight use all descriptors.
func (g *Guard) full() bool {
	return g.inFlight != nil && g.accepted.Load()+g.inFlight() >= int64(g.shares.Sockets)
}

// refusingWindow is how long after it refused a connection a listener counts as refusing.
const refusingWindow = time.Second

// Refusing reports whether a listener refuses connections, as all that it has show more. Requests that
// make no progress then keep others out, however few they are.
func (g *Guard) Refusing(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		if refused := l.refusedAt.Load(); l.Name == name && refused != 0 && time.Duration(g.clock.Load()-refused) < refusingWindow {
			return true
		}
	}
	return false
}

// AddSweeper makes Run call a function at each interval.
func (g *Guard) AddSweeper(f func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweepers = append(g.sweepers, f)
}

// Run enforces times until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

// sweep closes the connections whose time is over.
func (g *Guard) sweep(now time.Time) {
	g.clock.Store(int64(now.Sub(g.start)))
	g.mu.Lock()
	listeners, sweepers := g.listeners, g.sweepers
	g.mu.Unlock()
	for _, l := range listeners {
		l.sweep(now.Sub(g.start))
	}
	for _, f := range sweepers {
		f(now)
	}
	g.report(now)
}

// Count records that clients were cut off.
func (g *Guard) Count(listener string, reason Reason, n int64) {
	g.metrics.Count("clients.cut."+listener+"."+string(reason), n)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[cut{listener, reason}] += n
}

// report logs how many clients were cut off since the latest report.
func (g *Guard) report(now time.Time) {
	g.mu.Lock()
	if len(g.cuts) == 0 || now.Sub(g.reported) < reportInterval {
		g.mu.Unlock()
		return
	}
	cuts := g.cuts
	g.cuts, g.reported = make(map[cut]int64), now
	g.mu.Unlock()
	for c, n := range cuts {
		e := event.ClientsCut
		if c.reason == NoRoom {
			e = event.ClientsRefused
		}
		g.log.Log(e, event.F("listener", c.listener), event.F("reason", c.reason), event.F("count", n))
	}
}

// addHead adds to the size of the unfinished heads and makes room if there is too much.
func (g *Guard) addHead(n int64) {
	if g.headBytes.Add(n) <= g.maxHeadBytes {
		return
	}
	g.mu.Lock()
	listeners := g.listeners
	g.mu.Unlock()
	var all []candidate
	for _, l := range listeners {
		all = l.candidates(all, classHead)
	}
	slices.SortFunc(all, candidate.compare)
	for _, c := range all {
		if g.headBytes.Load() <= g.maxHeadBytes-g.maxHeadBytes/batchFraction {
			return
		}
		c.conn.cut(HeadUnfinished)
	}
}

// Classes of connections, in the order in which they are closed to make room. Others are not.
const (
	classIdle   = iota // idle for longer than clients may keep a connection
	classSilent        // has sent nothing
	classHead          // has sent a part of a head
	classKept
)

// candidate is a connection that may be closed to make room.
type candidate struct {
	conn  *conn
	class int
	// crowded is set if the address of the connection has more than its share.
	crowded bool
	since   int64
}

// compare orders candidates: those of addresses with more than their share first, then by class, then the
// oldest first.
func (c candidate) compare(other candidate) int {
	if c.crowded != other.crowded {
		if c.crowded {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.class, other.class), cmp.Compare(c.since, other.since))
}

// addressOf returns the IP address of a client; the zero value if it has none.
func addressOf(text string) netip.Addr {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}
