package peers_test

import (
	"slices"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
)

func TestNodeThatReachesNoUpstreamGetsNoRequestsOfOthers(t *testing.T) {
	m := peers.NewMembers(member("s1", "south", 0), 0, nil)
	forwarding, serving := inState(member("w1", "west", 1), domain.NodeForwarding), member("w2", "west", 1)
	m.Merge(start, &forwarding, nil)
	if m.HasTarget(start, "west") || len(m.Targets(start, "west")) > 0 {
		t.Error("the only node of a region gets requests although it reaches no upstream")
	}
	m.Merge(start, &serving, nil)
	if got := m.Targets(start, "west"); len(got) != 1 || got[0].ID != "w2" {
		t.Errorf("got targets %v, want the serving node", got)
	}
	if got := m.Informed(start, "west"); len(got) != 2 {
		t.Errorf("got %d informed nodes, want both", len(got))
	}
	if b, _ := m.Broker(start, "west", "app"); b.ID != "w2" {
		t.Errorf("got broker %q, want the serving node", b.ID)
	}
}

func TestDirectoryNamesForwardingNodesOnlyWithoutServingOnes(t *testing.T) {
	for name, c := range map[string]struct {
		states    map[domain.NodeID]domain.NodeState // of nodes of the caller's region
		preferred []domain.Region
		want      []string
	}{
		"one of two forwards":                     {map[domain.NodeID]domain.NodeState{"w1": domain.NodeForwarding, "w2": domain.NodeServing}, nil, []string{"w2"}},
		"both forward":                            {map[domain.NodeID]domain.NodeState{"w1": domain.NodeForwarding, "w2": domain.NodeForwarding}, nil, []string{"w1", "w2"}},
		"both forward, host of their region":      {map[domain.NodeID]domain.NodeState{"w1": domain.NodeForwarding, "w2": domain.NodeForwarding}, []domain.Region{"west"}, []string{"w1", "w2"}},
		"both forward, host of a sound region":    {map[domain.NodeID]domain.NodeState{"w1": domain.NodeForwarding, "w2": domain.NodeForwarding}, []domain.Region{"west", "south"}, []string{"s1"}},
		"one forwards, the other one is draining": {map[domain.NodeID]domain.NodeState{"w1": domain.NodeForwarding, "w2": domain.NodeDraining}, nil, []string{"w1"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := peers.NewMembers(member("s1", "south", 0), 0, nil)
			m.SetState(start, domain.NodeServing)
			for id, state := range c.states {
				in := inState(member(id, "west", 1), state)
				m.Merge(start, &in, nil)
			}
			if got := m.EntryAddresses(start, "west", c.preferred); !slices.Equal(got, c.want) {
				t.Errorf("got entries %v, want %v", got, c.want)
			}
		})
	}
}

func TestDrainingNodeDoesNotServeAgainWhenItsPathsReturn(t *testing.T) {
	m := table()
	m.SetState(start, domain.NodeServing)
	m.SetForwarding(true)
	m.SetState(start, domain.NodeDraining)
	m.SetForwarding(false)
	if got := m.State(); got != domain.NodeDraining {
		t.Errorf("got state %q, want draining", got)
	}
}
