package admission

import (
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
)

// publish appends the node's own demand if it changed enough or is old.
func (s *Shares) publish(now time.Time, out []membership.LimitDemand, d *demands, u *Usage) []membership.LimitDemand {
	d.peak = max(float64(u.Peak), float64(u.InFlight), settle(d.peak*peakDecay))
	d.rate = max(u.TokensPerSecond, settle(d.rate*peakDecay))
	next := membership.LimitDemand{
		Customer: u.Customer, Node: s.self, InFlight: uint32(u.InFlight),
		Waiting: uint32(max(math.Ceil(d.peak)-float64(u.InFlight), 0)), TokensPerSecond: uint32(math.Ceil(d.rate)),
	}
	if len(out) >= maxPublished || !due(now, d.published, next, d.at) {
		return out
	}
	next.Sequence = uint64(now.UnixMilli())
	d.published, d.at = next, now
	return append(out, next)
}

// settle ends the decay of a peak.
func settle(v float64) float64 {
	if v < 1 {
		return 0
	}
	return v
}

// due tells if next is worth publishing after last.
func due(now time.Time, last, next membership.LimitDemand, at time.Time) bool {
	was, is := last.InFlight+last.Waiting, next.InFlight+next.Waiting
	empty := is+next.TokensPerSecond == 0
	wasEmpty := was+last.TokensPerSecond == 0
	switch {
	case empty || wasEmpty:
		return empty != wasEmpty
	case now.Sub(at) > refreshAfter:
		return true
	case now.Sub(at) < changeGap:
		return false
	}
	return changed(last.InFlight, next.InFlight) || changed(was, is) || changed(last.TokensPerSecond, next.TokensPerSecond)
}

func changed(last, next uint32) bool {
	a, b := float64(last), float64(next)
	return (a == 0) != (b == 0) || math.Abs(a-b) > changeShare*max(a, b)
}

// publishDomain appends the sum of the own domain's demands.
func (s *Shares) publishDomain(now time.Time, out []membership.LimitDemand, customer domain.CustomerID, d *demands) []membership.LimitDemand {
	next := d.published
	next.Customer, next.Node = customer, membership.DomainParty(s.domain)
	for party, r := range d.heard {
		if _, whole := membership.PartyDomain(party); !whole {
			next.InFlight += r.InFlight
			next.Waiting += r.Waiting
			next.TokensPerSecond += r.TokensPerSecond
		}
	}
	if len(out) >= maxPublished || !due(now, d.aggregated, next, d.aggregatedAt) {
		return out
	}
	next.Sequence = uint64(now.UnixMilli())
	d.aggregated, d.aggregatedAt = next, now
	d.heard[next.Node] = next
	return append(out, next)
}

// sumsUp tells if this node publishes its domain's demands together: the first of
// the live nodes does.
func (s *Shares) sumsUp() bool {
	return len(s.nodes) > 1 && !s.fleet.isolated() && (len(s.fleet.Own) == 0 || slices.Min(s.fleet.Own) == s.self)
}

// sample notes what was published, for what a share may count on.
func (s *Shares) sample(now time.Time, d *demands) {
	since := s.settled(now)
	d.own.add(now, float64(d.published.InFlight+d.published.Waiting), since)
	d.ownRate.add(now, float64(d.published.TokensPerSecond), since)
	ours := d.heard[membership.DomainParty(s.domain)]
	d.domain.add(now, float64(ours.InFlight+ours.Waiting), since)
	d.domainRate.add(now, float64(ours.TokensPerSecond), since)
}
