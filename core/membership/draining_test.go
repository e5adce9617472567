package membership

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// TestDrainingNodesOfOtherDomainsAreNotUsed reports nodes of another domain and checks
// which of them remain usable, directly and after a relay.
func TestDrainingNodesOfOtherDomainsAreNotUsed(t *testing.T) {
	place := domain.Place{Region: "north", FailureDomain: "north-a"}
	node := func(id domain.NodeID, incarnation domain.Incarnation, state domain.NodeState) domain.NodeRef {
		return domain.NodeRef{ID: id, Incarnation: incarnation, Place: place, PeerAddress: string(id), CallerAddress: string(id), State: state}
	}
	serving, drainingNode := node("n1", 1, domain.NodeServing), node("n1", 1, domain.NodeDraining)
	other, restarted := node("n2", 1, domain.NodeServing), node("n1", 2, domain.NodeServing)
	cases := []struct {
		name    string
		reports [][]domain.NodeRef
		want    []domain.NodeID
	}{
		{"serving", [][]domain.NodeRef{{serving, other}}, []domain.NodeID{"n1", "n2"}},
		{"reported as draining", [][]domain.NodeRef{{serving, other}, {other, drainingNode}}, []domain.NodeID{"n2"}},
		{"all draining", [][]domain.NodeRef{{serving}, {drainingNode}}, nil},
		{"late report of serving", [][]domain.NodeRef{{serving, other}, {other, drainingNode}, {serving, other}}, []domain.NodeID{"n2"}},
		{"restarted", [][]domain.NodeRef{{serving, other}, {other, drainingNode}, {other, restarted}}, []domain.NodeID{"n2", "n1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table, relayed := newDomainTable(4), newDomainTable(4)
			now := time.Unix(1000, 0)
			for i, nodes := range c.reports {
				table.merge(now, DomainLoad{Place: place, Sequence: uint64(i + 1), Nodes: nodes}, true)
				relayed.merge(now, table.nextDetail(now), false)
			}
			checkNodes(t, "direct report", table.views(now, time.Minute)[0].Nodes, c.want)
			checkNodes(t, "relayed report", relayed.views(now, time.Minute)[0].Nodes, c.want)
		})
	}
}

func checkNodes(t *testing.T, path string, got []domain.NodeRef, want []domain.NodeID) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: got %v, want %v", path, got, want)
		return
	}
	for i, n := range got {
		if n.ID != want[i] {
			t.Errorf("%s: node %d: got %s, want %s", path, i, n.ID, want[i])
		}
	}
}
