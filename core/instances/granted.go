package instances

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// This file serves services whose places a broker grants; see package places.

// HasFewerSlots reports whether the region's registered upstreams have fewer slots than limit returns,
// but some. It is false for services with engines, whose placement depends on prompts; limit is not
// called for these.
func (p *Pool) HasFewerSlots(limit func() float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config.Engine != nil {
		return false
	}
	slots, most := 0, limit()
	for _, u := range p.upstreams {
		if u.Place.Region == p.options.Self.Region {
			if slots += u.Slots; float64(slots) >= most {
				return false
			}
		}
	}
	return slots > 0
}

// Offer is an upstream that any node of the region may use.
type Offer struct {
	Instance
	// OthersInFlight is the estimated number of requests of other nodes.
	OthersInFlight int
	// MaxConnections is the number of connections that the upstream accepts; zero means no limit.
	MaxConnections int
	// Brittle is set if the upstream fails if it has to reject too many requests.
	Brittle bool
}

// Offers returns the upstreams of the region whose places may be granted to any node. Cold and
// limited upstreams are not among them: each node has its own share of their rate.
func (p *Pool) Offers(now time.Time) []Offer {
	p.mu.Lock()
	defer p.mu.Unlock()
	meanOthers, spareSuspects := p.meanOtherRequests(now), p.sparesSuspects(now)
	var list []Offer
	for _, u := range p.upstreams {
		a, _ := p.availability(now, u)
		if a == Available || a == Suspect && !spareSuspects && !p.paced(now, u) {
			list = append(list, Offer{Instance: u.Instance, OthersInFlight: int(u.otherRequestsAt(now, meanOthers)), MaxConnections: p.config.MaxConnections, Brittle: p.brittle.at(now)})
		}
	}
	return list
}

// paced reports whether the rate of requests to an upstream is bounded.
func (p *Pool) paced(now time.Time, u *upstream) bool {
	_, bounded := p.ownRate(now, u)
	return bounded
}

// sparesSuspects reports whether at least half of the upstreams that accept requests are not
// suspect, so that the others get none.
func (p *Pool) sparesSuspects(now time.Time) bool {
	healthy, accepting := 0, 0
	for _, u := range p.upstreams {
		if p.accepts(now, u, "") {
			accepting++
			if !p.isSuspect(now, u) {
				healthy++
			}
		}
	}
	return 2*healthy >= accepting
}

// Reserve reserves a slot at an upstream that a broker named. It returns nil if this node must not use
// it. The slot may exceed this node's share of connections, as the broker bounds those of all nodes.
func (p *Pool) Reserve(now time.Time, id domain.UpstreamID, q *Query) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tickedAt.IsZero() {
		p.tick(now)
	}
	u := p.find(id)
	if u == nil || !q.allowsSoftware(u) || !p.usable(now, u, q.Model) || p.isSuspect(now, u) && p.sparesSuspects(now) {
		return nil
	}
	var c placement.Candidate
	p.fillCandidate(now, &c, u, q.Model, p.meanOtherRequests(now))
	_, expected := c.FreeCapacity(p.performance())
	t := &Ticket{Instance: u.Instance, connectedAt: now, Expected: expected, Cold: u.cold(now), pool: p, upstream: u, SentAt: now,
		BeyondShare: u.inFlight >= p.idleConnections(), sharedCached: true, priority: clampPriority(q.Priority)}
	t.expectedSlowdown = u.slowdown.at(now)
	t.slowdown = t.expectedSlowdown
	p.reserve(now, t)
	return t
}

// idleConnections returns how many connections to one upstream this node may keep open after
// requests with granted places.
func (p *Pool) idleConnections() int {
	if p.config.MaxConnections <= 0 {
		return math.MaxInt
	}
	return p.options.IdleConnectionShare(p.config.MaxConnections)
}

// RecordOutcome records the outcome of another node's request to an upstream. An upstream that one node
// cannot reach is not suspect at once, as others may reach it.
func (p *Pool) RecordOutcome(now time.Time, id domain.UpstreamID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(id)
	if u == nil || o == Shed {
		return
	}
	if o == Unreachable {
		o = Broken
	}
	p.recordOutcome(now, u, o, othersFailureGain)
}
