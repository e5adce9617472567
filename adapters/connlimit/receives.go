package connlimit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// receiveWindow is the time in which a body must make progress while there is a shortage, and
	// minReceived the number of bytes that count as progress. A client with a thousandth of a
	// deployment's bandwidth, 140 Mbit/s, still sends ten times as much.
	receiveWindow = 3 * time.Second
	minReceived   = 4 << 10
)

// Receives holds the bodies and messages that are arriving. While there is a shortage, those that
// make no progress are canceled.
type Receives struct {
	guard  *Guard
	name   string
	reason Reason
	// short reports whether there is a shortage; maxTime is the maximum time of a receive without
	// one, zero if there is no limit.
	short   func() bool
	maxTime time.Duration

	mu      sync.Mutex
	pending map[*Receive]struct{}
}

// Receive is one body or message that is arriving.
type Receive struct {
	set      *Receives
	cancel   func()
	received atomic.Int64
	begun    int64
	// checked is the time of the guard's clock at which atCheck bytes had arrived.
	checked, atCheck int64
	canceled         bool
}

// NewReceives returns a set of receives; name and reason are for metrics and log lines.
func NewReceives(g *Guard, name string, reason Reason, maxTime time.Duration, short func() bool) *Receives {
	r := &Receives{guard: g, name: name, reason: reason, short: short, maxTime: maxTime, pending: make(map[*Receive]struct{})}
	g.AddSweeper(func(now time.Time) { r.sweep(int64(now.Sub(g.start))) })
	g.metrics.ObserveGauge("clients.receiving."+name, r.Pending)
	return r
}

// Pending returns the number of receives that have not ended.
func (r *Receives) Pending() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.pending))
}

// Begin records a receive; cancel ends it early. cancel must not block.
func (r *Receives) Begin(cancel func()) *Receive {
	now := r.guard.clock.Load()
	receive := &Receive{set: r, cancel: cancel, begun: now, checked: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[receive] = struct{}{}
	return receive
}

// Add records that bytes arrived.
func (r *Receive) Add(n int) { r.received.Add(int64(n)) }

// End records the end of a receive and reports whether it was canceled. It is not canceled
// afterwards.
func (r *Receive) End() (canceled bool) {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	delete(r.set.pending, r)
	return r.canceled
}

// sweep cancels the receives that are too slow.
func (r *Receives) sweep(now int64) {
	short := r.short()
	canceled := int64(0)
	r.mu.Lock()
	for receive := range r.pending {
		if receive.tooSlow(now, short) || r.maxTime > 0 && time.Duration(now-receive.begun) > r.maxTime {
			receive.canceled = true
			receive.cancel()
			delete(r.pending, receive)
			canceled++
		}
	}
	r.mu.Unlock()
	if canceled > 0 {
		r.guard.Count(r.name, r.reason, canceled)
	}
}

// tooSlow reports whether the receive made too little progress in the latest window, if there is a
// shortage.
func (r *Receive) tooSlow(now int64, short bool) bool {
	if time.Duration(now-r.checked) < receiveWindow {
		return false
	}
	received := r.received.Load()
	if received-r.atCheck < minReceived {
		return short // it is canceled as soon as there is a shortage
	}
	r.checked, r.atCheck = now, received
	return false
}
