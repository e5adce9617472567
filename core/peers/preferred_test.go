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

// TestNodesOfAnotherRegionGetWorkByTheirCapacity: 100 senders each prefer two of
// 20 nodes, four of which are four times larger than the others.
func TestNodesOfAnotherRegionGetWorkByTheirCapacity(t *testing.T) {
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
			m.Heard(start, nil, []peers.Member{other})
		}
		first := m.Preferred(start, "east")
		if again := m.Preferred(start, "east"); len(first) != 2 || fmt.Sprint(again) != fmt.Sprint(first) {
			t.Fatalf("preferred %v, then %v", first, again)
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
	t.Logf("a large node has %.1f senders, a small one %.1f", perLarge, perSmall)
	if perLarge < 2*perSmall || perLarge > 6*perSmall {
		t.Errorf("a large node has %.1f senders, a small one %.1f, want about four times as many", perLarge, perSmall)
	}
}

// TestLoadsOfOtherRegionsArePassedOn: the more recent word counts, and one that is
// passed on keeps its age.
func TestLoadsOfOtherRegionsArePassedOn(t *testing.T) {
	load := func(free float64) []instances.Load { return []instances.Load{{Service: "app", Usable: 1, Free: free}} }
	everywhere := func(domain.Region) bool { return true }
	reader, other := peers.NewRegions(event.Discard{}), peers.NewRegions(event.Discard{})
	reader.Told(start, "east", load(6), 0)
	later := start.Add(time.Second)
	other.Heard(later, reader.Views(later, 1))
	if got := other.Loads(later, "app", 1, everywhere); len(got) != 1 || got[0].Free != 6 {
		t.Errorf("the word was not passed on: %+v", got)
	}
	if age := other.Age(later, "east"); age != time.Second {
		t.Errorf("the word is %v old, want one second", age)
	}
	other.Told(later, "east", load(2), 0)
	other.Heard(later, reader.Views(later, 1))
	if got := other.Loads(later, "app", 1, everywhere); got[0].Free != 2 {
		t.Errorf("an older word replaced a more recent one: %+v", got)
	}
	if views := reader.Views(start.Add(time.Minute), 1); len(views) > 0 {
		t.Errorf("an outdated word is passed on: %+v", views)
	}
}

// TestEachFailureDomainOfARegionIsReached: requests can go to the failure domain
// that has their prompt.
func TestEachFailureDomainOfARegionIsReached(t *testing.T) {
	m := table()
	for i := range 12 {
		other := member(domain.NodeID(fmt.Sprint("e", i)), "east", 1)
		other.Place.FailureDomain = []domain.FailureDomain{"east-a", "east-b", "east-c"}[i%3]
		m.Heard(start, nil, []peers.Member{other})
	}
	seen := make(map[domain.FailureDomain]bool)
	list := m.Preferred(start, "east")
	for _, p := range list {
		seen[p.Place.FailureDomain] = true
	}
	if len(list) != 3 || len(seen) != 3 {
		t.Errorf("%d nodes of %d failure domains, want one of each of three", len(list), len(seen))
	}
}
