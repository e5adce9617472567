package quota

import "time"

// Holder hands out the tokens of a region to its nodes.
type Holder struct{ *Balance }

// NewHolder returns a holder without tokens; for notify, see NewBalance.
func NewHolder(notify func()) *Holder { return &Holder{Balance: NewBalance(HolderHorizon, notify)} }

// Serve answers the demand of a node as far as the stock suffices. If it does not cover what
// the node needs, it returns a waiter for that, and the answer follows from Answer. A grant
// without an account means that there is no answer at present.
func (h *Holder) Serve(now time.Duration, t *Terms, d *Demand) (Grant, *Waiter) {
	h.mu.Lock()
	defer h.unlock()
	s := h.state(now, d.Account, t)
	s.observe(now, d.Needed+d.Expected, d.Largest)
	s.stock.expire(now + handOutMargin)
	g := Grant{Account: d.Account}
	tokens := d.Needed + min(d.Expected, max(0, s.stock.total()-d.Needed))
	if until, ok := s.stock.take(tokens); ok && tokens > 0 {
		g.Tokens, g.Validity = tokens, until-now
		h.markLow(now, s)
		return g, nil
	}
	if d.Needed == 0 {
		h.markLow(now, s)
		return g, nil
	}
	if now < s.deniedUntil && d.Largest >= s.deniedCost {
		g.RetryAfter = max(time.Millisecond, s.retryAfter-(now-s.deniedAt))
		return g, nil
	}
	if now < s.unansweredUntil {
		return Grant{}, nil
	}
	return g, h.wait(s, d.Needed, d.Largest)
}

// Answer returns the answer to a demand after its waiter's draw, and false if the draw had no
// answer.
func (h *Holder) Answer(now time.Duration, account string, w *Waiter) (Grant, bool) {
	c, answered, retryAfter := w.Result()
	if !answered {
		return Grant{}, false
	}
	return Grant{Account: account, Tokens: c.Tokens, Validity: max(0, c.until-now), RetryAfter: retryAfter}, true
}
