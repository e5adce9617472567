package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// customer enforces one customer's limits at this node.
type customer struct {
	stage
	id     domain.CustomerID
	limits lists.Limits
	share  Share
	tokens tokenBucket

	inFlight int
	// peak is the highest number of requests in flight and queued, and requestedTokens
	// the sum of their tokens, since collectedAt.
	peak            int
	requestedTokens float64
	collectedAt     time.Time
	lastRequestAt   time.Time
}

// tryAcquire implements resource.
func (c *customer) tryAcquire(now time.Time, e *entry) acquireResult {
	if c.limits.Concurrency > 0 && c.inFlight >= c.share.Concurrency {
		return mustWait
	}
	if c.limits.TokensPerSecond > 0 {
		if c.tokens.wait(now) > 0 {
			return mustWait
		}
		c.tokens.charge(now, e.tokens)
	}
	c.inFlight++
	return acquired
}

// release implements resource.
func (c *customer) release(now time.Time, e *entry) {
	c.inFlight--
	if c.limits.TokensPerSecond > 0 {
		c.tokens.charge(now, -e.tokens)
	}
}

// serviceRate implements resource. It assumes that one slot of the share provides one
// second of slot time per second.
func (c *customer) serviceRate(now time.Time, _ *entry) (float64, time.Duration) {
	delay := time.Duration(0)
	if c.limits.TokensPerSecond > 0 {
		delay = c.tokens.wait(now)
	}
	if c.limits.Concurrency == 0 {
		return 0, delay
	}
	return float64(c.share.Concurrency), delay
}

// refusal implements resource.
func (c *customer) refusal(_ refusalReason, _ *entry, wait time.Duration) error {
	return errkind.New(errkind.LimitExceeded, "customer %q has reached its plan's limits (%d concurrent requests, %d tokens per second; this node's share is %d and %.0f)",
		c.id, c.limits.Concurrency, c.limits.TokensPerSecond, c.share.Concurrency, c.share.TokensPerSecond).WithRetryAfter(max(wait, minRetryAfter))
}

// setShare sets new limits and a new share. The caller must hold the stage's lock.
func (c *customer) setShare(now time.Time, limits lists.Limits, s Share) {
	c.limits, c.share = limits, s
	c.tokens.setRate(now, s.TokensPerSecond)
}

// recordRequest counts a request's demand before the limits are checked.
func (c *customer) recordRequest(now time.Time, e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peak = max(c.peak, c.inFlight+c.queue.len()+1)
	c.requestedTokens += e.tokens
	c.lastRequestAt = now
}

// collect returns the usage since the previous call.
func (c *customer) collect(now time.Time) Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Usage{Customer: c.id, Limits: c.limits, InFlight: c.inFlight, PeakDemand: max(c.peak, c.inFlight+c.queue.len())}
	if d := now.Sub(c.collectedAt).Seconds(); d > 0 {
		u.TokensPerSecond = c.requestedTokens / d
	}
	c.peak, c.requestedTokens, c.collectedAt = 0, 0, now
	return u
}

// idleSince reports whether no request is in flight or queued and none has arrived since
// t.
func (c *customer) idleSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight == 0 && c.queue.len() == 0 && c.lastRequestAt.Before(t)
}
