package admission

import (
	"sync"
	"time"
)

// retryBudget limits retries to a share of the requests plus a constant rate, so that a
// failure does not multiply the load.
type retryBudget struct {
	mu                              sync.Mutex
	perRequest, perSecond, capacity float64
	balance                         float64
	refilledAt                      time.Time
}

func newRetryBudget(c *Config, now time.Time) *retryBudget {
	return &retryBudget{perRequest: c.RetryShare, perSecond: c.RetriesPerSecond, capacity: c.MaxRetries, balance: c.RetriesPerSecond, refilledAt: now}
}

func (b *retryBudget) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.balance = min(b.balance+b.perSecond*now.Sub(b.refilledAt).Seconds(), b.capacity)
		b.refilledAt = now
	}
}

// recordRequest adds the retry allowance of an admitted request.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.perRequest, b.capacity)
}

// tryTake uses one retry, if one is available.
func (b *retryBudget) tryTake(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
