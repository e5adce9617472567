package peers_test

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
)

// inState returns the member with another state and a later heartbeat.
func inState(m peers.Member, s domain.NodeState) peers.Member {
	m.State = s
	m.HeartbeatCounter++
	return m
}

// rollingStop returns the table of a node in the south after both nodes of the west
// and both of the east have begun to drain, as in a rolling stop of every node.
func rollingStop(now time.Time) *peers.Members {
	m := peers.NewMembers(member("s1", "south", 0), 20*time.Second, nil)
	for _, drained := range []peers.Member{
		inState(member("w1", "west", 1), domain.NodeStopped), inState(member("w2", "west", 1), domain.NodeDraining),
		inState(member("e1", "east", 1), domain.NodeStopped), inState(member("e2", "east", 1), domain.NodeDraining),
	} {
		m.Merge(now, &drained, nil)
	}
	return m
}

func TestDirectoryDuringRollingStopOfRegionWithTwoNodes(t *testing.T) {
	stillAccepting, noLongerAccepting := start.Add(time.Second), start.Add(peers.DrainAcceptPeriod)
	cases := []struct {
		name    string
		now     time.Time
		caller  domain.Region
		regions []domain.Region // regions of the host
		serving []string        // additional nodes that serve
		want    []string
	}{
		{"draining node of the caller's region before a region without permission", stillAccepting, "west", []domain.Region{"west", "east"}, nil, []string{"w2"}},
		{"serving node of an allowed region before a draining one of the caller's", stillAccepting, "west", []domain.Region{"west", "east"}, []string{"e3"}, []string{"e3"}},
		{"caller's region is not allowed, its node drains", stillAccepting, "west", []domain.Region{"east"}, nil, []string{"w2"}},
		{"all allowed regions drain and the caller's is unknown", stillAccepting, "north", []domain.Region{"east"}, nil, []string{"e2"}},
		{"the draining node refuses requests, the host is restricted", noLongerAccepting, "west", []domain.Region{"west", "east"}, nil, []string{"w2"}},
		{"the draining node refuses requests, the host is unrestricted", noLongerAccepting, "west", nil, nil, []string{"s1"}},
		{"the draining node still accepts, the host is unrestricted", stillAccepting, "west", nil, nil, []string{"w2"}},
		{"routes of the host have no region in common", stillAccepting, "west", []domain.Region{}, nil, []string{"w2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := rollingStop(start)
			for _, id := range c.serving {
				serving := member(domain.NodeID(id), "east", 1)
				m.Merge(start, &serving, nil)
			}
			if got := m.EntryAddresses(c.now, c.caller, c.regions); !slices.Equal(got, c.want) {
				t.Errorf("got entries %v, want %v", got, c.want)
			}
		})
	}
}

// A draining node answers directory lookups itself, and may be the last of its region.
func TestDrainingNodeNamesItselfWhileNoOtherNodeOfItsRegionServes(t *testing.T) {
	m := table()
	south := member("s1", "south", 1)
	m.Merge(start, &south, nil)
	m.SetState(start, domain.NodeDraining)
	if got := m.EntryAddresses(start, "west", []domain.Region{"west"}); !slices.Equal(got, []string{"self"}) {
		t.Errorf("got entries %v, want the draining node itself", got)
	}
	west := member("w1", "west", 1)
	m.Merge(start, &west, nil)
	if got := m.EntryAddresses(start, "west", []domain.Region{"west"}); !slices.Equal(got, []string{"w1"}) {
		t.Errorf("got entries %v, want only the serving node", got)
	}
}

func TestUnreachableOrSilentDrainingNodeIsNoEntry(t *testing.T) {
	m := rollingStop(start)
	m.MarkUnreachable("w2")
	if got := m.EntryAddresses(start, "west", []domain.Region{"west"}); slices.Contains(got, "w2") {
		t.Errorf("got entries %v, want none that does not respond", got)
	}
	m = rollingStop(start)
	if got := m.EntryAddresses(start.Add(time.Minute), "west", []domain.Region{"west"}); slices.Contains(got, "w2") {
		t.Errorf("got entries %v, want none without a recent heartbeat", got)
	}
}

// The upstreams of a region can be reached only through its nodes.
func TestDrainingNodesReceiveRelayedRequestsWhileNoNodeOfTheirRegionServes(t *testing.T) {
	m := rollingStop(start)
	ids := func(list []peers.Member) (ids []domain.NodeID) {
		for _, t := range list {
			ids = append(ids, t.ID)
		}
		return ids
	}
	if got := ids(m.Targets(start, "west")); !slices.Equal(got, []domain.NodeID{"w2"}) || !m.HasTarget(start, "west", "app") {
		t.Errorf("got targets %v, want the draining node", got)
	}
	later := start.Add(peers.DrainAcceptPeriod)
	if got := ids(m.Targets(later, "west")); len(got) > 0 || m.HasTarget(later, "west", "app") {
		t.Errorf("got targets %v, want none that refuses new requests", got)
	}
	serving := member("w3", "west", 1)
	m.Merge(start, &serving, nil)
	if got := ids(m.Targets(start, "west")); !slices.Equal(got, []domain.NodeID{"w3"}) {
		t.Errorf("got targets %v, want only the serving node", got)
	}
}
