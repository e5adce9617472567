package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

// 100 senders each prefer two of 20 nodes, four of which have four times the capacity
// of the others.
func TestNodesOfAnotherRegionArePreferredByCapacity(t *testing.T) {
	const senders, nodes, large = 100, 20, 4
	got := make(map[domain.NodeID]int)
	for s := range senders {
		m := peers.NewMembers(member(domain.NodeID(fmt.Sprint("s", s)), "west", 0), 0, nil)
		for i := range nodes {
			other := member(domain.NodeID(fmt.Sprint("e", i)), "east", 1)
			other.Capacity = 0.2
			if i < large {
				other.Capacity = 0.8
			}
			m.Merge(start, nil, []peers.Member{other})
		}
		first := m.Preferred(start, "east")
		if second := m.Preferred(start, "east"); len(first) != 2 || fmt.Sprint(second) != fmt.Sprint(first) {
			t.Fatalf("got %v, then %v, want the same two nodes", first, second)
		}
		for _, p := range first {
			got[p.ID]++
		}
	}
	largest, smallest := 0, 0
	for i := range nodes {
		if id := domain.NodeID(fmt.Sprint("e", i)); i < large {
			largest += got[id]
		} else {
			smallest += got[id]
		}
	}
	perLarge, perSmall := float64(largest)/large, float64(smallest)/(nodes-large)
	t.Logf("senders per large node: %.1f, per small node: %.1f", perLarge, perSmall)
	if perLarge < 2*perSmall || perLarge > 6*perSmall {
		t.Errorf("got %.1f senders per large node and %.1f per small node, want about four times as many", perLarge, perSmall)
	}
}

// The most recent report of a region is used, and a relayed report keeps its age.
func TestLoadsOfOtherRegionsAreRelayed(t *testing.T) {
	reportWithFree := func(free float64) []instances.Load { return []instances.Load{{Service: "app", Usable: 1, Free: free}} }
	allRegions := func(domain.Region) bool { return true }
	receiver, other := peers.NewRegions(event.Discard{}), peers.NewRegions(event.Discard{})
	receiver.SetLoads(start, "east", reportWithFree(6), nil, 0)
	later := start.Add(time.Second)
	other.MergeViews(later, receiver.Views(later, 1))
	if got := other.Loads(later, "app", 1, allRegions); len(got) != 1 || got[0].FreeCapacity != 6 {
		t.Errorf("the report was not relayed: %+v", got)
	}
	if age := other.Age(later, "east"); age != time.Second {
		t.Errorf("got a report age of %v, want one second", age)
	}
	other.SetLoads(later, "east", reportWithFree(2), nil, 0)
	other.MergeViews(later, receiver.Views(later, 1))
	if got := other.Loads(later, "app", 1, allRegions); got[0].FreeCapacity != 2 {
		t.Errorf("an older report replaced a more recent one: %+v", got)
	}
	if views := receiver.Views(start.Add(time.Minute), 1); len(views) > 0 {
		t.Errorf("an expired report is relayed: %+v", views)
	}
}

// Requests must be able to reach the failure domain that has their prompt cached.
func TestPreferredCoversEachFailureDomainOfARegion(t *testing.T) {
	m := table()
	for i := range 12 {
		other := member(domain.NodeID(fmt.Sprint("e", i)), "east", 1)
		other.Place.FailureDomain = []domain.FailureDomain{"east-a", "east-b", "east-c"}[i%3]
		m.Merge(start, nil, []peers.Member{other})
	}
	failureDomains := make(map[domain.FailureDomain]bool)
	list := m.Preferred(start, "east")
	for _, p := range list {
		failureDomains[p.Place.FailureDomain] = true
	}
	if len(list) != 3 || len(failureDomains) != 3 {
		t.Errorf("got %d nodes of %d failure domains, want one of each of three", len(list), len(failureDomains))
	}
}
