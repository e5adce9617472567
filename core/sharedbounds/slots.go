package sharedbounds

import (
	"cmp"
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
)

// UpstreamSlots is an upstream whose slots are divided among the nodes that reach it.
type UpstreamSlots struct {
	ID    domain.UpstreamID
	Slots int
}

// DivideSlots returns how many slots of each upstream this node may use. nodes are the nodes that reach
// the upstreams, including this one; all nodes with the same lists agree, and their shares of an upstream
// sum up to its slots. Every node gets at least half of the mean of all upstreams together, rounded down,
// or one slot, as far as there are enough.
func DivideSlots(self domain.NodeID, nodes []domain.NodeID, upstreams []UpstreamSlots) []int {
	own := make([]int, len(upstreams))
	nodes = slices.Sorted(slices.Values(nodes))
	i := slices.Index(nodes, self)
	if i < 0 {
		return own
	}
	d := newDivision(nodes, upstreams)
	d.level()
	for j := range upstreams {
		own[j] = d.shares[j][i]
	}
	return own
}

// division is the shares of nodes in the slots of upstreams.
type division struct {
	// ranks and shares are indexed by upstream and node, totals by node.
	ranks  [][]uint64
	shares [][]int
	totals []int
	all    int
}

// newDivision divides each upstream's slots by number; the highest ranked nodes get the remainder.
func newDivision(nodes []domain.NodeID, upstreams []UpstreamSlots) *division {
	d := &division{totals: make([]int, len(nodes))}
	order := make([]int, len(nodes))
	for _, u := range upstreams {
		ranks, shares := make([]uint64, len(nodes)), make([]int, len(nodes))
		for i, node := range nodes {
			ranks[i], order[i] = rank(node, u.ID), i
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
		slots := max(0, u.Slots)
		for place, i := range order {
			shares[i] = slots / len(nodes)
			if place < slots%len(nodes) {
				shares[i]++
			}
			d.totals[i] += shares[i]
		}
		d.all += slots
		d.ranks, d.shares = append(d.ranks, ranks), append(d.shares, shares)
	}
	return d
}

// level gives slots of the nodes with most to those with less than the minimum.
func (d *division) level() {
	least := max(1, d.all/len(d.totals)/2)
	for i := range d.totals {
		for d.totals[i] < least && d.move(i, least) {
		}
	}
}

// move gives one slot to a node, at the upstream that ranks it highest among those where another node can
// spare one. It returns false if none can.
func (d *division) move(to, least int) bool {
	upstream, from := -1, -1
	for j, shares := range d.shares {
		if upstream >= 0 && d.ranks[j][to] <= d.ranks[upstream][to] {
			continue
		}
		donor := -1
		for i, share := range shares {
			if i != to && share > 0 && d.totals[i] > least && (donor < 0 || d.totals[i] > d.totals[donor]) {
				donor = i
			}
		}
		if donor >= 0 {
			upstream, from = j, donor
		}
	}
	if upstream < 0 {
		return false
	}
	d.shares[upstream][from]--
	d.shares[upstream][to]++
	d.totals[from]--
	d.totals[to]++
	return true
}
