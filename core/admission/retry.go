package admission

import (
	"sync"
	"time"
)

// retryBudget allows retries as a share of requests, and a few a second beside
// it, so that a fault does not multiply the load.
type retryBudget struct {
	mu                         sync.Mutex
	share, perSecond, capacity float64
	balance                    float64
	filled                     time.Time
}

func newRetryBudget(c *Config, now time.Time) *retryBudget {
	return &retryBudget{share: c.RetryShare, perSecond: c.RetriesPerSecond, capacity: c.MaxRetries, balance: c.RetriesPerSecond, filled: now}
}

func (b *retryBudget) fill(now time.Time) {
	if now.After(b.filled) {
		b.balance = min(b.balance+b.perSecond*now.Sub(b.filled).Seconds(), b.capacity)
		b.filled = now
	}
}

// request counts an admitted request.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.share, b.capacity)
}

// take takes one retry, if there is one.
func (b *retryBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
