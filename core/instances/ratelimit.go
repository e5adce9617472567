package instances

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
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
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	u := t.record()
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

// RateLimit tells the other nodes of the region of a limit that an upstream named, or that
// it no longer names one. Most of them send nothing to a limited upstream and get no response
// from which to detect that the limit has ended.
type RateLimit struct {
	Service  string
	Instance domain.UpstreamID
	// PerSecond is zero if there is no limit any more.
	PerSecond float64
	// Age is the time since the upstream stated it to some node.
	Age time.Duration
}

const (
	// endedLimitRetention is how long other nodes are told that a limit ended.
	endedLimitRetention = 30 * time.Second
	// maxRateLimits is the maximum number of limits in one message.
	maxRateLimits = 16
)

// RateLimits returns the limits most recently stated, at most maxRateLimits of them.
func (c *Catalog) RateLimits(now time.Time) []RateLimit {
	var list []RateLimit
	c.ForEach(func(p *Pool) { list = append(list, p.rateLimits(now)...) })
	slices.SortFunc(list, func(a, b RateLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Instance, b.Instance))
	})
	return list[:min(maxRateLimits, len(list))]
}

func (p *Pool) rateLimits(now time.Time) []RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []RateLimit
	for _, u := range p.upstreams {
		age := now.Sub(u.limit.statedAt)
		if u.limit.perSecond > 0 || !u.limit.statedAt.IsZero() && age < endedLimitRetention {
			list = append(list, RateLimit{p.service, u.ID, u.limit.perSecond, age})
		}
	}
	return list
}

// ApplyRateLimits adopts limits received from another node that upstreams stated later than
// those known here. The message was composed after composedAfter; zero means that it may have been underway for any time, so
// that the limits that it ends or raises may be newer.
func (c *Catalog) ApplyRateLimits(now, composedAfter time.Time, limits []RateLimit) {
	for _, l := range limits {
		p := c.Pool(l.Service)
		p.mu.Lock()
		if u := p.find(l.Instance); u != nil {
			// Only a lower limit may safely be taken for newer than it is.
			lower := l.PerSecond > 0 && (u.limit.perSecond == 0 || l.PerSecond <= u.limit.perSecond)
			statedAt := now.Add(-l.Age)
			if !lower {
				statedAt = composedAfter.Add(-l.Age)
			}
			if statedAt.After(u.limit.statedAt) && (lower || !composedAfter.IsZero()) {
				p.setRateLimit(u, rateLimit{l.PerSecond, statedAt}, "another node")
			}
		}
		p.mu.Unlock()
	}
}
