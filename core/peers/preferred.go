package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// minPreferred is the minimum number of nodes of another region to which a node sends
// requests: with two, one may fail while its connections remain open.
const minPreferred = 2

// Preferred returns the nodes of another region with which this node should make exchanges, as
// PreferredFor selects them.
func (m *Members) Preferred(now time.Time, region domain.Region) []Member {
	return m.selectPreferred(m.Targets(now, region))
}

// PreferredFor returns the nodes of a region to which this node should send requests for a service, of
// those that reach its upstreams, most preferred first: one per failure domain, and further nodes if these
// are fewer than minPreferred. The order differs between senders, so that their
// requests are distributed over all nodes by capacity.
func (m *Members) PreferredFor(now time.Time, region domain.Region, service string) []Member {
	return m.selectPreferred(m.TargetsFor(now, region, service))
}

func (m *Members) selectPreferred(targets []Member) []Member {
	var selected, remaining []Member
	for _, t := range m.byPreference(targets) {
		same := func(c Member) bool { return c.Place == t.Place }
		if slices.ContainsFunc(selected, same) {
			remaining = append(remaining, t)
		} else {
			selected = append(selected, t)
		}
	}
	if missing := min(minPreferred-len(selected), len(remaining)); missing > 0 {
		selected = append(selected, remaining[:missing]...)
	}
	return selected
}

// byPreference sorts list in place, most preferred first, and returns it.
func (m *Members) byPreference(list []Member) []Member {
	scores := make(map[domain.NodeID]float64, len(list))
	for i := range list {
		scores[list[i].ID] = m.preference(&list[i])
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(scores[b.ID], scores[a.ID]) })
	return list
}

// defaultCapacity is assumed for nodes that do not report a capacity.
const defaultCapacity = 0.4

// preference returns a weighted rendezvous hashing score: a node's probability of
// ranking first is its share of the total capacity.
func (m *Members) preference(to *Member) float64 {
	sender := placement.RendezvousWeight(0, domain.UpstreamID(m.self.ID))
	return weighted(placement.RendezvousWeight(sender, domain.UpstreamID(to.ID)), to.Capacity)
}

// weighted returns the weighted rendezvous hashing score of a hash.
func weighted(hash uint64, capacity float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return -capacity / math.Log(uniform)
}
