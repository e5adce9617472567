package peers_test

import (
	"fmt"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
)

// TestNodesAgreeOnTheBroker: two brokers at once would each see a part of the demand only.
func TestNodesAgreeOnTheBroker(t *testing.T) {
	var all []peers.Member
	for i := range 12 {
		capacity := 0.134
		if i%3 == 0 {
			capacity = 0.8
		}
		all = append(all, peers.Member{ID: domain.NodeID(fmt.Sprint("n", i)), Place: domain.Place{Region: "west"}, State: domain.NodeServing, Capacity: capacity, HeartbeatCounter: 1})
	}
	brokers := make(map[domain.NodeID]bool)
	for _, service := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		var agreed domain.NodeID
		for i, self := range all {
			m := peers.NewMembers(self, 0, nil)
			m.Merge(start, nil, all)
			got, found := m.Broker(start, "west", service)
			if !found || i > 0 && got.ID != agreed {
				t.Fatalf("node %s chose %q for service %s, want %q as others did", self.ID, got.ID, service, agreed)
			}
			if agreed = got.ID; got.Capacity < 0.8 {
				t.Errorf("node %s of capacity %v is the broker, want one of the largest", got.ID, got.Capacity)
			}
		}
		brokers[agreed] = true
	}
	if len(brokers) < 2 {
		t.Error("one node is the broker of eight services, want them spread")
	}
}

func TestNodeThatDoesNotServeIsNoBroker(t *testing.T) {
	self := peers.Member{ID: "n1", Place: domain.Place{Region: "west"}, State: domain.NodeServing, Capacity: 0.2}
	m := peers.NewMembers(self, 0, nil)
	other := peers.Member{ID: "n2", Place: domain.Place{Region: "west"}, State: domain.NodeServing, Capacity: 0.8, HeartbeatCounter: 1}
	m.Merge(start, nil, []peers.Member{other})
	if got, _ := m.Broker(start, "west", "app"); got.ID != "n2" {
		t.Errorf("got broker %q, want n2", got.ID)
	}
	m.MarkUnreachable("n2")
	if got, _ := m.Broker(start, "west", "app"); got.ID != "n1" {
		t.Errorf("got broker %q, want n1: n2 does not answer", got.ID)
	}
	m.SetState(start, domain.NodeDraining)
	if got, found := m.Broker(start, "west", "app"); found {
		t.Errorf("got broker %q, want none", got.ID)
	}
}
