package peers_test

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

// unreached returns a member of the west that reaches no upstream of some services.
func unreached(id domain.NodeID, services ...string) peers.Member {
	m := member(id, "west", 1)
	m.Unreached = services
	return m
}

func TestNodeThatReachesNoUpstreamOfServiceGetsNoRequestsForIt(t *testing.T) {
	m := peers.NewMembers(member("s1", "south", 0), 0, nil)
	lost, sound := unreached("w1", "app"), unreached("w2")
	m.Merge(start, &lost, nil)
	if m.HasTarget(start, "west", "app") || len(m.TargetsFor(start, "west", "app")) > 0 || len(m.PreferredFor(start, "west", "app")) > 0 {
		t.Error("the only node of a region gets requests for a service although it reaches none of its upstreams")
	}
	if !m.HasTarget(start, "west", "other") || len(m.Targets(start, "west")) != 1 {
		t.Error("the node gets no requests for other services, or is told nothing")
	}
	m.Merge(start, &sound, nil)
	if got := m.TargetsFor(start, "west", "app"); len(got) != 1 || got[0].ID != "w2" {
		t.Errorf("got targets %v, want the other node", got)
	}
	if b, _ := m.Broker(start, "west", "app"); b.ID != "w2" {
		t.Errorf("got broker %q, want the node that reaches upstreams", b.ID)
	}
}

func TestDirectoryNamesNodesThatForwardOnlyIfFewReachAllUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		members []peers.Member
		want    []string
	}{
		"one of two":                {[]peers.Member{unreached("w1", "app"), unreached("w2")}, []string{"w2"}},
		"two of three":              {[]peers.Member{unreached("w1", "app"), unreached("w2", "app"), unreached("w3")}, []string{"w1", "w2", "w3"}},
		"both":                      {[]peers.Member{unreached("w1", "app"), unreached("w2", "app")}, []string{"w1", "w2"}},
		"the sound one is draining": {[]peers.Member{unreached("w1", "app"), inState(unreached("w2"), domain.NodeDraining)}, []string{"w1"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := peers.NewMembers(member("s1", "south", 0), 0, nil)
			for _, in := range c.members {
				m.Merge(start, &in, nil)
			}
			if got := m.EntryAddresses(start, "west", nil); !slices.Equal(got, c.want) {
				t.Errorf("got entries %v, want %v", got, c.want)
			}
		})
	}
}

func TestLoadsOfNodeThatReachesNoUpstreamKeepThoseOfItsRegion(t *testing.T) {
	r := peers.NewRegions(event.Discard{})
	r.SetLoads(start, "west", []instances.Load{{Service: "app", Usable: 2, Free: 12}}, nil, 0)
	allowed := func(domain.Region) bool { return true }
	r.SetLoads(start.Add(time.Second), "west", nil, []string{"app"}, 0)
	if got := r.Loads(start.Add(time.Second), "app", 1, allowed); len(got) != 1 {
		t.Errorf("got %d regions with capacity, want the one whose load another node reported", len(got))
	}
	r.SetLoads(start.Add(2*time.Second), "west", nil, nil, 0)
	if got := r.Loads(start.Add(2*time.Second), "app", 1, allowed); len(got) != 0 {
		t.Errorf("got %d regions with capacity, want none after a report without the service", len(got))
	}
}
