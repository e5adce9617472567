package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Gate sends requests away only for a predicted gain above a threshold, with
// hysteresis for each target: while it sends away, the lower threshold holds. It
// is safe for concurrent use.
type Gate struct {
	// start and stop are in seconds.
	start, stop float64
	// sending is replaced as a whole when a target is first seen.
	sending atomic.Pointer[map[domain.Target]*atomic.Bool]
	adding  sync.Mutex
}

// NewGate returns a gate that starts to send away above start and goes on until
// the gain is below stop.
func NewGate(start, stop time.Duration) *Gate {
	g := &Gate{start: start.Seconds(), stop: stop.Seconds()}
	g.sending.Store(&map[domain.Target]*atomic.Bool{})
	return g
}

// sendAway tells if a gain, in seconds, is worth sending away.
func (g *Gate) sendAway(t domain.Target, gain float64) bool {
	if g.state(t).Load() {
		return gain >= g.stop
	}
	return gain > g.start
}

// record keeps what was chosen for the hysteresis.
func (g *Gate) record(t domain.Target, sending bool) {
	if s := g.state(t); s.Load() != sending {
		s.Store(sending)
	}
}

func (g *Gate) state(t domain.Target) *atomic.Bool {
	if s, ok := (*g.sending.Load())[t]; ok {
		return s
	}
	return g.add(t)
}

func (g *Gate) add(t domain.Target) *atomic.Bool {
	g.adding.Lock()
	defer g.adding.Unlock()
	old := *g.sending.Load()
	if s, ok := old[t]; ok {
		return s
	}
	next := maps.Clone(old)
	next[t] = new(atomic.Bool)
	g.sending.Store(&next)
	return next[t]
}
