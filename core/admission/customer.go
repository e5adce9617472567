package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// customer rations one customer's limits at this node.
type customer struct {
	stage
	id     domain.CustomerID
	limits lists.Limits
	share  Share
	tokens bucket

	inFlight int
	// peak and asked (tokens) are since the last collection.
	peak      int
	asked     float64
	collected time.Time
	used      time.Time
}

// take implements resource.
func (c *customer) take(now time.Time, e *entry) verdict {
	if c.limits.Concurrency > 0 && c.inFlight >= c.share.Concurrency {
		return full
	}
	if c.limits.TokensPerSecond > 0 {
		if c.tokens.wait(now) > 0 {
			return full
		}
		c.tokens.take(now, e.tokens)
	}
	c.inFlight++
	return taken
}

// back implements resource.
func (c *customer) back(now time.Time, e *entry) {
	c.inFlight--
	if c.limits.TokensPerSecond > 0 {
		c.tokens.take(now, -e.tokens)
	}
}

// pace implements resource: it expects that one slot of the share does the work
// of one second a second.
func (c *customer) pace(now time.Time, _ *entry) (float64, time.Duration) {
	idle := time.Duration(0)
	if c.limits.TokensPerSecond > 0 {
		idle = c.tokens.wait(now)
	}
	if c.limits.Concurrency == 0 {
		return 0, idle
	}
	return float64(c.share.Concurrency), idle
}

// refusal implements resource.
func (c *customer) refusal(_ refusalReason, _ *entry, wait time.Duration) error {
	return errkind.New(errkind.LimitExceeded, "customer %q is at its plan's limits (%d requests at once, %d tokens a second; this node's share is %d and %.0f)",
		c.id, c.limits.Concurrency, c.limits.TokensPerSecond, c.share.Concurrency, c.share.TokensPerSecond).WithRetryAfter(max(wait, minAdvice))
}

// setShare takes new limits and shares, under the stage's lock.
func (c *customer) setShare(now time.Time, limits lists.Limits, s Share) {
	c.limits, c.share = limits, s
	c.tokens.setRate(now, s.TokensPerSecond)
}

// note counts what a request asks for, before the limits answer.
func (c *customer) note(now time.Time, e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peak = max(c.peak, c.inFlight+c.queue.len()+1)
	c.asked += e.tokens
	c.used = now
}

// collect returns the usage since the last collection.
func (c *customer) collect(now time.Time) Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Usage{Customer: c.id, Limits: c.limits, InFlight: c.inFlight, Peak: max(c.peak, c.inFlight+c.queue.len())}
	if d := now.Sub(c.collected).Seconds(); d > 0 {
		u.TokensPerSecond = c.asked / d
	}
	c.peak, c.asked, c.collected = 0, 0, now
	return u
}

// idleSince tells if nothing uses the limits and nothing has since t.
func (c *customer) idleSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight == 0 && c.queue.len() == 0 && c.used.Before(t)
}
