package sharedbounds

import (
	"sync"
	"time"
)

// RetryBudget limits the retries of requests to a service: in any window, all nodes
// together send at most as many retries as ratio times the number of first sends, plus
// slack.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*retryWindow
}

// reserveFraction is the fraction of the limit that is left unused, for requests that
// are counted at another node or at the edge of a window.
const reserveFraction = 0.3

// NewRetryBudget returns a budget with the limit of the whole fleet.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, services: make(map[string]*retryWindow)}
}

// RecordFirstSend counts a first send to a service.
func (b *RetryBudget) RecordFirstSend(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowFor(service).firstSends.add(now, b.window)
}

// Take reports whether the budget allows one more retry to a service, and counts the
// retry if so. nodes is the number of nodes that share the slack.
func (b *RetryBudget) Take(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.available(now, service, nodes) {
		return false
	}
	b.windowFor(service).retries.add(now, b.window)
	return true
}

// Available reports whether Take would allow a retry.
func (b *RetryBudget) Available(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(now, service, nodes)
}

func (b *RetryBudget) available(now time.Time, service string, nodes int) bool {
	w := b.windowFor(service)
	firstSends := float64(w.firstSends.sum(now, b.window))
	retries := float64(w.retries.sum(now, b.window))
	return retries+1 <= (1-reserveFraction)*(b.ratio*firstSends+b.slack/float64(max(1, nodes)))
}

func (b *RetryBudget) windowFor(service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	return w
}

type retryWindow struct{ firstSends, retries slidingCount }

// slotsPerWindow is the resolution of a sliding count: each slot is a tenth of the
// window.
const slotsPerWindow = 10

// slidingCount counts the events of the last window, in slotsPerWindow+1 slots so that
// they always cover a complete window.
type slidingCount struct {
	counts [slotsPerWindow + 1]int
	latest int64
}

func (s *slidingCount) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/slotsPerWindow)
	if slot <= s.latest {
		return
	}
	for i := max(s.latest+1, slot-slotsPerWindow); i <= slot; i++ {
		s.counts[i%(slotsPerWindow+1)] = 0
	}
	s.latest = slot
}

func (s *slidingCount) add(now time.Time, window time.Duration) {
	s.advance(now, window)
	s.counts[s.latest%(slotsPerWindow+1)]++
}

func (s *slidingCount) sum(now time.Time, window time.Duration) int {
	s.advance(now, window)
	total := 0
	for _, n := range s.counts {
		total += n
	}
	return total
}
