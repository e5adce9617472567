package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// Load is the load of a pool as reported to other regions.
type Load struct {
	Service string
	// Usable is the number of instances that accept requests.
	Usable int
	// Free is the number of additional requests that can run without queueing;
	// negative if requests are queued.
	Free float64
	// Delay is the expected time to the first byte at the best instance.
	Delay time.Duration
	// MeanSlotTime is the average time for which a request occupies a slot.
	MeanSlotTime time.Duration
}

// Load returns the pool's load for the other regions.
func (p *Pool) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := Load{Service: p.service, MeanSlotTime: p.meanSlotTime}
	var c placement.Candidate
	performance, meanOthers := p.performance(), p.meanOtherRequests(now)
	for _, u := range p.upstreams {
		if !p.accepts(now, u, "") || p.isSuspect(now, u) || u.cold(now) {
			continue
		}
		p.fillCandidate(now, &c, u, "", meanOthers)
		if p.tracksMemory() {
			p.setMemory(now, &c, u, reservation{})
		}
		freeSlots, delay := c.FreeCapacity(performance)
		if u.limit.perSecond > 0 {
			slots := sharedbounds.UsableRate(u.limit.perSecond) * p.meanSlotTime.Seconds()
			if slots < 1 {
				continue // the nodes of this region use all that the limit allows
			}
			freeSlots = min(freeSlots, slots)
		}
		if l.Usable == 0 || delay < l.Delay {
			l.Delay = delay
		}
		l.Usable++
		l.Free += freeSlots
	}
	return l
}
