package sharedbounds_test

import (
	"fmt"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// TestSharesOfSlotsSumUpToTheSlots guards against nodes that together use more slots than there are, and
// against nodes without any.
func TestSharesOfSlotsSumUpToTheSlots(t *testing.T) {
	for _, c := range []struct{ nodes, upstreams, slots int }{{1, 3, 8}, {4, 8, 4}, {6, 8, 4}, {30, 44, 8}, {30, 4, 8}, {7, 7, 1}, {5, 1, 3}, {3, 2, 0}} {
		var nodes []domain.NodeID
		for i := range c.nodes {
			nodes = append(nodes, domain.NodeID(fmt.Sprint("n", i)))
		}
		var list []sharedbounds.UpstreamSlots
		for i := range c.upstreams {
			list = append(list, sharedbounds.UpstreamSlots{ID: domain.UpstreamID(fmt.Sprint("u", i)), Slots: c.slots})
		}
		sums := make([]int, c.upstreams)
		least := c.upstreams * c.slots
		for i, self := range nodes {
			others := append(append([]domain.NodeID(nil), nodes[i:]...), nodes[:i]...) // in any order
			total := 0
			for j, n := range sharedbounds.DivideSlots(self, others, list) {
				sums[j] += n
				total += n
			}
			least = min(least, total)
		}
		for j, n := range sums {
			if n != c.slots {
				t.Errorf("%+v: the shares of upstream %d sum up to %d", c, j, n)
			}
		}
		mean := c.upstreams * c.slots / c.nodes
		if mean >= 1 && least < max(1, mean/2) {
			t.Errorf("%+v: a node has %d slots, want at least %d", c, least, max(1, mean/2))
		}
	}
	if got := sharedbounds.DivideSlots("n9", []domain.NodeID{"n0"}, []sharedbounds.UpstreamSlots{{ID: "u", Slots: 8}}); got[0] != 0 {
		t.Errorf("a node that is not in the list gets %d slots", got[0])
	}
}

// BenchmarkDivideSlots divides the slots of 44 upstreams among 30 nodes.
func BenchmarkDivideSlots(b *testing.B) {
	var nodes []domain.NodeID
	var list []sharedbounds.UpstreamSlots
	for i := range 30 {
		nodes = append(nodes, domain.NodeID(fmt.Sprint("n", i)))
	}
	for i := range 44 {
		list = append(list, sharedbounds.UpstreamSlots{ID: domain.UpstreamID(fmt.Sprint("u", i)), Slots: 8})
	}
	for b.Loop() {
		sharedbounds.DivideSlots("n3", nodes, list)
	}
}
