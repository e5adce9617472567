package places_test

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
)

// place is the way without a broker: each node decides alone.
func (s *simulation) place(c *call) {
	r := kinds[c.kind]
	q := instances.Query{LocalAllowed: true, Request: placement.Request{Objective: r.Objective, Elapsed: s.at - c.arrived, Remaining: c.left(s), Random: s.rng.Uint32(), Excluded: c.tried}}
	q.OtherRegions = c.node.views.Loads(s.now(), "app", nodesPerRegion, func(domain.Region) bool { return true })
	d, ticket := c.node.pool.Place(s.now(), placement.DefaultPolicy(), &q)
	retryAfter := placement.RetryAfter(d.Delay, r.Objective, s.rng.Float64())
	switch d.Choice {
	case placement.Local:
		s.sendTicket(c, c.node, ticket, retryAfter)
	case placement.Remote:
		s.crossed++
		done := c.node.views.TrackRequest(d.Region, "app")
		other := s.nodes[int(d.Region[1]-'0')*nodesPerRegion+s.rng.IntN(nodesPerRegion)]
		s.after(regionTrip/2, func() {
			q.OtherRegions, q.Elapsed = nil, s.at-c.arrived
			if _, t := other.pool.Place(s.now(), placement.DefaultPolicy(), &q); t != nil {
				s.after(regionTrip/2, done)
				s.sendTicket(c, other, t, retryAfter)
				return
			}
			s.after(regionTrip/2, func() { done(); c.node.views.MarkFull(d.Region, "app"); s.refuse(c, retryAfter) })
		})
	default:
		s.refuse(c, retryAfter)
	}
}

func (s *simulation) sendTicket(c *call, at *simNode, t *instances.Ticket, retryAfter time.Duration) {
	s.send(t.ID, trip(at.place.FailureDomain, t.Place.FailureDomain), func(o instances.Outcome, l instances.ReportedLoad) {
		t.FirstByte(s.now(), l, o == instances.Answered)
		t.Done(s.now(), o)
		back := time.Duration(0)
		if at != c.node {
			back = regionTrip / 2
		}
		s.after(back, func() { s.finish(c, o, t.ID, retryAfter) })
	})
}
