package sharedbounds

import (
	"sync"
	"time"
)

// RetryBudget bounds the requests that are sent to a service more than once:
// in any window, all nodes together send at most Ratio times the first sends
// plus Slack.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*retryWindow
}

// reserve is the part of the bound that is left unused, for requests that count
// at another node or at the edge of a window.
const reserve = 0.3

// NewRetryBudget returns a budget with the fleet's bound.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, services: make(map[string]*retryWindow)}
}

// First counts a first send to a service.
func (b *RetryBudget) First(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).firsts.add(now, b.window)
}

// Take asks for one more send to a service and counts it if granted. Nodes is
// the number of nodes that share the slack.
func (b *RetryBudget) Take(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.available(now, service, nodes) {
		return false
	}
	b.of(service).again.add(now, b.window)
	return true
}

// Available tells if Take would grant.
func (b *RetryBudget) Available(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(now, service, nodes)
}

func (b *RetryBudget) available(now time.Time, service string, nodes int) bool {
	w := b.of(service)
	firsts := float64(w.firsts.sum(now, b.window))
	again := float64(w.again.sum(now, b.window))
	return again+1 <= (1-reserve)*(b.ratio*firsts+b.slack/float64(max(1, nodes)))
}

func (b *RetryBudget) of(service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	return w
}

type retryWindow struct{ firsts, again slidingCount }

// slots is the resolution of a sliding count: a window's tenth.
const slots = 10

// slidingCount counts events of the last window, in slots+1 parts so that a
// whole window is always covered.
type slidingCount struct {
	counts [slots + 1]int
	latest int64
}

func (s *slidingCount) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / int64(window/slots)
	if at <= s.latest {
		return
	}
	for i := max(s.latest+1, at-slots); i <= at; i++ {
		s.counts[i%(slots+1)] = 0
	}
	s.latest = at
}

func (s *slidingCount) add(now time.Time, window time.Duration) {
	s.advance(now, window)
	s.counts[s.latest%(slots+1)]++
}

func (s *slidingCount) sum(now time.Time, window time.Duration) int {
	s.advance(now, window)
	total := 0
	for _, n := range s.counts {
		total += n
	}
	return total
}
