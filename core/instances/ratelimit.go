package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// rateLimit is the rate that an upstream named as its limit.
type rateLimit struct {
	// perSecond is in requests per second from all nodes; zero if there is no limit.
	perSecond float64
	// statedAt is when the upstream last stated the limit, or that there is none.
	statedAt time.Time
}

// RecordRateLimit records the rate limit that the answer named; zero if it named none. An
// answer without a limit ends one only if its request was sent after the limit was last
// stated: answers on different connections may overtake each other.
func (t *Ticket) RecordRateLimit(now time.Time, perSecond float64) {
	p, u := t.pool, t.upstream
	p.mu.Lock()
	defer p.mu.Unlock()
	if perSecond == 0 && (u.limit.perSecond == 0 || !t.SentAt.After(u.limit.statedAt)) {
		return
	}
	p.setRateLimit(u, rateLimit{perSecond, now}, "answer")
}

func (p *Pool) setRateLimit(u *upstream, l rateLimit, from string) {
	if l.perSecond != u.limit.perSecond {
		p.options.Log.Log(event.InstanceLimited, event.F("instance", u.ID), event.F("service", p.service),
			event.F("per_second", l.perSecond), event.F("before", u.limit.perSecond), event.F("from", from))
	}
	u.limit = l
}
