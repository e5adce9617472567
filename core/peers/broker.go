package peers

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// capacityTolerance is the part of the largest capacity of a region by which that of a broker may be
// smaller.
const capacityTolerance = 0.05

// Broker returns the node of a region that brokers the places of a service: the first by rendezvous
// hashing among the live serving nodes of the largest capacity that reach its upstreams. It may be the local node. Nodes with
// the same view of the region choose the same one.
func (m *Members) Broker(now time.Time, region domain.Region, service string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := 0.0
	each := func(f func(*Member)) {
		if m.self.Place.Region == region && m.self.State == domain.NodeServing && m.self.reaches(service) {
			f(&m.self)
		}
		for _, r := range m.records {
			if r.State == domain.NodeServing && r.reaches(service) && m.isReachable(now, r, region) {
				f(&r.Member)
			}
		}
	}
	each(func(c *Member) { largest = max(largest, c.Capacity) })
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // never returns an error
	key := h.Sum64()
	var best *Member
	bestScore := math.Inf(-1)
	each(func(c *Member) {
		if c.Capacity < (1-capacityTolerance)*largest {
			return
		}
		if score := weighted(placement.RendezvousWeight(key, domain.UpstreamID(c.ID)), c.Capacity); score > bestScore || score == bestScore && c.ID < best.ID {
			best, bestScore = c, score
		}
	})
	if best == nil {
		return Member{}, false
	}
	return *best, true
}

// PlaceOf returns where a known node is; the zero value if it is not known.
func (m *Members) PlaceOf(id domain.NodeID) domain.Place {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.self.ID {
		return m.self.Place
	}
	if r := m.records[id]; r != nil {
		return r.Place
	}
	return domain.Place{}
}

// RoundTrip returns the round-trip time to a region.
func (r *Regions) RoundTrip(region domain.Region) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[region]; v != nil {
		return v.roundTrip
	}
	return defaultRoundTrip
}

// Offering returns the other regions that reported usable upstreams of a service lately.
func (r *Regions) Offering(now time.Time, service string) []domain.Region {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []domain.Region
	for region, v := range r.views {
		if v.loads[service].Usable > 0 && now.Sub(v.updatedAt) <= maxLoadAge {
			list = append(list, region)
		}
	}
	slices.Sort(list)
	return list
}
