package instances

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

const (
	// brittleFor is how long a service's upstreams count as brittle after the latest statement.
	brittleFor = 30 * time.Second
	// brittleEndsAfter is the time without a statement after which an answer without one ends it.
	brittleEndsAfter = 2 * time.Second
	// rejectionPause is how long this node sends nothing to a brittle upstream that rejected a request. It
	// doubles with each further rejection, up to maxRejectionPause, until a request is answered after it.
	rejectionPause    = time.Second
	maxRejectionPause = 8 * time.Second
	// minEnding and maxEnding bound the time for which the slot of a request that was given up counts as
	// taken.
	minEnding = 100 * time.Millisecond
	maxEnding = 500 * time.Millisecond
	// slotSharesInterval is the time between two divisions of the slots.
	slotSharesInterval = 200 * time.Millisecond
)

// brittleness is what the upstreams of a service state of how many rejections they bear. The statement of
// one holds for all of them.
type brittleness struct {
	// stated is set while the upstreams count as brittle.
	stated bool
	// statedAt is when the latest statement arrived.
	statedAt time.Time
	// maxRejections is the stated number of rejections in a second that an upstream bears.
	maxRejections int
	// dividedAt is when the slots were last divided among the nodes.
	dividedAt time.Time
}

func (b *brittleness) at(now time.Time) bool { return b.stated && now.Sub(b.statedAt) < brittleFor }

// room is what a node knows of the room at a brittle upstream beside its requests in flight.
type room struct {
	// share is the number of slots that this node may use.
	share int
	// fullUntil is the end of the pause after a rejection, pause its length; zero once a request was
	// answered that was sent after it. Until then there is one at a time.
	fullUntil time.Time
	pause     time.Duration
	// ending holds until when the slots of requests that were given up count as taken.
	ending []time.Time
}

func (r *room) endingAt(now time.Time) int {
	r.ending = slices.DeleteFunc(r.ending, func(until time.Time) bool { return !now.Before(until) })
	return len(r.ending)
}

// RecordBrittle records whether an answer to a request that was sent at sentAt states that the service's
// upstreams are brittle. Answers on different connections may overtake each other.
func (p *Pool) RecordBrittle(now, sentAt time.Time, r ReportedLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordBrittle(now, sentAt, r)
}

// BrittleService tells the other nodes of the region of a service whose upstreams are brittle.
type BrittleService struct {
	Service       string
	MaxRejections int
	// Age is the time since an upstream stated it to some node.
	Age time.Duration
}

// BrittleServices returns the services whose upstreams are brittle.
func (c *Catalog) BrittleServices(now time.Time) []BrittleService {
	var list []BrittleService
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.brittle.at(now) {
			list = append(list, BrittleService{p.service, p.brittle.maxRejections, now.Sub(p.brittle.statedAt)})
		}
	})
	return list
}

// ApplyBrittle adopts what another node tells of services whose upstreams stated it later than is known here. A message that
// took long makes them count as brittle for longer.
func (c *Catalog) ApplyBrittle(now time.Time, list []BrittleService) {
	for _, b := range list {
		p := c.Pool(b.Service)
		p.mu.Lock()
		if statedAt := now.Add(-b.Age); statedAt.After(p.brittle.statedAt) {
			p.recordBrittle(statedAt, statedAt, ReportedLoad{Brittle: true, MaxRejections: b.MaxRejections})
		}
		p.mu.Unlock()
	}
}

func (p *Pool) recordBrittle(now, sentAt time.Time, r ReportedLoad) {
	b := &p.brittle
	p.endBrittle(now)
	switch {
	case r.Brittle:
		changed := !b.stated || r.MaxRejections != b.maxRejections
		if !b.stated {
			b.dividedAt = time.Time{}
		}
		b.stated, b.statedAt, b.maxRejections = true, now, r.MaxRejections
		if changed {
			p.logBrittle()
		}
	case b.stated && sentAt.Sub(b.statedAt) > brittleEndsAfter:
		b.stated = false
		p.logBrittle()
	}
}

// endBrittle ends the brittle time if the latest statement is too old.
func (p *Pool) endBrittle(now time.Time) {
	if p.brittle.stated && !p.brittle.at(now) {
		p.brittle.stated = false
		p.logBrittle()
	}
}

func (p *Pool) logBrittle() {
	p.options.Log.Log(event.InstancesBrittle, event.F("service", p.service), event.F("brittle", p.brittle.stated), event.F("max_rejections", p.brittle.maxRejections))
}

// Brittle reports whether the service's upstreams count as brittle.
func (p *Pool) Brittle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.at(now)
}

// hasRoom reports whether this node's share of an upstream's slots has room for one more request. The
// shares of all nodes sum up to the slots, and none may wait: what arrives beyond that may be rejected.
func (p *Pool) hasRoom(now time.Time, u *upstream) bool {
	if !p.brittle.at(now) {
		return true
	}
	if now.Before(u.room.fullUntil) {
		return false
	}
	p.divideSlots(now)
	share := u.room.share
	if u.room.pause > 0 {
		share = min(1, share)
	}
	return u.inFlight+u.room.endingAt(now) < share
}

// divideSlots sets this node's share of each upstream's slots.
func (p *Pool) divideSlots(now time.Time) {
	if !p.brittle.dividedAt.IsZero() && now.Sub(p.brittle.dividedAt) < slotSharesInterval {
		return
	}
	p.brittle.dividedAt = now
	var list []sharedbounds.UpstreamSlots
	for _, u := range p.upstreams {
		if u.Place.Region == p.options.Self.Region {
			list = append(list, sharedbounds.UpstreamSlots{ID: u.ID, Slots: max(1, u.Slots)})
		}
	}
	shares := p.options.SlotShares(list)
	i := 0
	for _, u := range p.upstreams {
		if u.Place.Region == p.options.Self.Region {
			u.room.share = shares[i]
			i++
		}
	}
}

// recordRoom records what the end of a request tells of the room at a brittle upstream. One that was given
// up may keep its slot for as long as it works.
func (p *Pool) recordRoom(now, sentAt time.Time, u *upstream, o Outcome) {
	if !p.brittle.at(now) {
		return
	}
	switch o {
	case Answered:
		if !sentAt.Before(u.room.fullUntil) {
			u.room.pause = 0
		}
	case Shed:
		if !now.Before(u.room.fullUntil) { // not one of several that were sent together
			u.room.pause = max(rejectionPause, min(maxRejectionPause, 2*u.room.pause))
		}
		u.room.fullUntil = now.Add(u.room.pause)
	case Canceled, Broken:
		left := min(maxEnding, max(minEnding, p.meanSlotTime-now.Sub(sentAt)))
		u.room.ending = append(u.room.ending, now.Add(left))
	}
}

// delayWithoutRoom returns the expected delay of a request that is refused for want of room at all brittle
// upstreams; zero if there is another reason.
func (p *Pool) delayWithoutRoom(now time.Time, d *placement.Decision) time.Duration {
	if d.Usable > 0 || d.Delay > 0 || !p.brittle.at(now) {
		return d.Delay
	}
	if slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return p.accepts(now, u, "") }) {
		return p.meanSlotTime
	}
	return 0
}
