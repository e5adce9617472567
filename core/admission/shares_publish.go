package admission

import (
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
)

// publish appends the node's own demand to out if it has changed enough or is due for a
// refresh.
func (s *Shares) publish(now time.Time, out []membership.LimitDemand, d *customerDemand, u *Usage) []membership.LimitDemand {
	d.peak = max(float64(u.PeakDemand), float64(u.InFlight), zeroBelowOne(d.peak*peakDecay))
	d.rate = max(u.TokensPerSecond, zeroBelowOne(d.rate*peakDecay))
	next := membership.LimitDemand{
		Customer: u.Customer, Node: s.self, InFlight: uint32(u.InFlight),
		Waiting: uint32(max(math.Ceil(d.peak)-float64(u.InFlight), 0)), TokensPerSecond: uint32(math.Ceil(d.rate)),
	}
	if len(out) >= maxPublishedDemands || !needsPublish(now, d.published, next, d.publishedAt) {
		return out
	}
	next.Sequence = uint64(now.UnixMilli())
	d.published, d.publishedAt = next, now
	return append(out, next)
}

// zeroBelowOne returns v, or zero if v is less than one, which ends the decay of a peak.
func zeroBelowOne(v float64) float64 {
	if v < 1 {
		return 0
	}
	return v
}

// needsPublish reports whether next is to be published after last, which was published
// at the given time.
func needsPublish(now time.Time, last, next membership.LimitDemand, publishedAt time.Time) bool {
	lastTotal, nextTotal := last.InFlight+last.Waiting, next.InFlight+next.Waiting
	empty := nextTotal+next.TokensPerSecond == 0
	wasEmpty := lastTotal+last.TokensPerSecond == 0
	switch {
	case empty || wasEmpty:
		return empty != wasEmpty
	case now.Sub(publishedAt) > republishAfter:
		return true
	case now.Sub(publishedAt) < minPublishInterval:
		return false
	}
	return changed(last.InFlight, next.InFlight) || changed(lastTotal, nextTotal) || changed(last.TokensPerSecond, next.TokensPerSecond)
}

func changed(last, next uint32) bool {
	a, b := float64(last), float64(next)
	return (a == 0) != (b == 0) || math.Abs(a-b) > minRelativeChange*max(a, b)
}

// publishDomain appends the sum of the demands of this node's domain.
func (s *Shares) publishDomain(now time.Time, out []membership.LimitDemand, customer domain.CustomerID, d *customerDemand) []membership.LimitDemand {
	next := d.published
	next.Customer, next.Node = customer, membership.DomainDemandOrigin(s.domain)
	for party, r := range d.received {
		if _, isDomain := membership.DemandOriginDomain(party); !isDomain {
			next.InFlight += r.InFlight
			next.Waiting += r.Waiting
			next.TokensPerSecond += r.TokensPerSecond
		}
	}
	if len(out) >= maxPublishedDemands || !needsPublish(now, d.aggregated, next, d.aggregatedAt) {
		return out
	}
	next.Sequence = uint64(now.UnixMilli())
	d.aggregated, d.aggregatedAt = next, now
	d.received[next.Node] = next
	return append(out, next)
}

// isAggregator reports whether this node publishes the sum of its domain's demands; the
// live node with the lowest ID does.
func (s *Shares) isAggregator() bool {
	return len(s.nodes) > 1 && !s.fleet.isolated() && (len(s.fleet.OwnNodes) == 0 || slices.Min(s.fleet.OwnNodes) == s.self)
}

// recordSamples stores the published demands, from which the settled demand is computed.
func (s *Shares) recordSamples(now time.Time, d *customerDemand) {
	since := s.settledSince(now)
	d.own.add(now, float64(d.published.InFlight+d.published.Waiting), since)
	d.ownRate.add(now, float64(d.published.TokensPerSecond), since)
	ownDomain := d.received[membership.DomainDemandOrigin(s.domain)]
	d.domain.add(now, float64(ownDomain.InFlight+ownDomain.Waiting), since)
	d.domainRate.add(now, float64(ownDomain.TokensPerSecond), since)
}
