package membership

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// TestOtherDomainsDropDrainingNodes names nodes of another domain and checks
// which of them a domain then uses.
func TestOtherDomainsDropDrainingNodes(t *testing.T) {
	place := domain.Place{Region: "north", FailureDomain: "north-a"}
	node := func(id domain.NodeID, incarnation domain.Incarnation, state domain.NodeState) domain.NodeRef {
		return domain.NodeRef{ID: id, Incarnation: incarnation, Place: place, PeerAddress: string(id), CallerAddress: string(id), State: state}
	}
	serving, leaving := node("n1", 1, domain.NodeServing), node("n1", 1, domain.NodeDraining)
	other, restarted := node("n2", 1, domain.NodeServing), node("n1", 2, domain.NodeServing)
	cases := []struct {
		name string
		told [][]domain.NodeRef
		want []domain.NodeID
	}{
		{"serving", [][]domain.NodeRef{{serving, other}}, []domain.NodeID{"n1", "n2"}},
		{"named as draining", [][]domain.NodeRef{{serving, other}, {other, leaving}}, []domain.NodeID{"n2"}},
		{"all drain", [][]domain.NodeRef{{serving}, {leaving}}, nil},
		{"late word of serving", [][]domain.NodeRef{{serving, other}, {other, leaving}, {serving, other}}, []domain.NodeID{"n2"}},
		{"restarted", [][]domain.NodeRef{{serving, other}, {other, leaving}, {other, restarted}}, []domain.NodeID{"n2", "n1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, relayed := newDomainTable(4), newDomainTable(4)
			now := time.Unix(1000, 0)
			for i, nodes := range c.told {
				table.learn(now, DomainLoad{Place: place, Sequence: uint64(i + 1), Nodes: nodes}, true)
				relayed.learn(now, table.nextDetail(now), false)
			}
			checkNodes(t, "told directly", table.views(now, time.Minute)[0].Nodes, c.want)
			checkNodes(t, "told by a peer", relayed.views(now, time.Minute)[0].Nodes, c.want)
		})
	}
}

func checkNodes(t *testing.T, how string, got []domain.NodeRef, want []domain.NodeID) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: got %v, want %v", how, got, want)
		return
	}
	for i, n := range got {
		if n.ID != want[i] {
			t.Errorf("%s: node %d is %s, want %s", how, i, n.ID, want[i])
		}
	}
}
