package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// minPreferred is the least number of nodes of another region that a node sends
// requests to: two, so that one may fail while its connections stay open.
const minPreferred = 2

// Preferred returns the nodes of another region that this one should send
// requests to, most preferred first: one of each failure domain, and more if these
// are too few. Nodes rank differently for each sender, so that the senders' work
// spreads over all of them by their capacity.
func (m *Members) Preferred(now time.Time, region domain.Region) []Member {
	var chosen, rest []Member
	for _, t := range m.byPreference(m.Targets(now, region)) {
		same := func(c Member) bool { return c.Place == t.Place }
		if slices.ContainsFunc(chosen, same) {
			rest = append(rest, t)
		} else {
			chosen = append(chosen, t)
		}
	}
	if missing := min(minPreferred-len(chosen), len(rest)); missing > 0 {
		chosen = append(chosen, rest[:missing]...)
	}
	return chosen
}

// byPreference sorts nodes, most preferred first.
func (m *Members) byPreference(list []Member) []Member {
	scores := make(map[domain.NodeID]float64, len(list))
	for i := range list {
		scores[list[i].ID] = m.preference(&list[i])
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(scores[b.ID], scores[a.ID]) })
	return list
}

// defaultCapacity stands for nodes that do not tell theirs.
const defaultCapacity = 0.4

// preference is a weighted rendezvous score: the chance to rank first is a
// node's part of the capacity of all.
func (m *Members) preference(to *Member) float64 {
	sender := placement.Score(0, domain.UpstreamID(m.self.ID))
	uniform := (float64(placement.Score(sender, domain.UpstreamID(to.ID))>>11) + 0.5) / (1 << 53)
	capacity := to.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return -capacity / math.Log(uniform)
}
