package relay_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

func TestNodeThatReachesNoUpstreamForwardsRequests(t *testing.T) {
	refused := reply{err: errkind.New(errkind.NoCapacity, "full").WithRun(domain.RunNo)}
	answered := reply{chunks: []string{"done"}}
	for name, c := range map[string]struct {
		west    []domain.NodeID // other nodes of the region
		east    bool            // another region has a node
		relayed bool
		replies []reply
		served  bool
		sent    int
	}{
		"one node reaches upstreams":          {[]domain.NodeID{"w2"}, false, false, []reply{answered}, true, 1},
		"the first one refuses":               {[]domain.NodeID{"w2", "w3"}, false, false, []reply{refused, answered}, true, 2},
		"two refuse, another region can":      {[]domain.NodeID{"w2", "w3", "w4"}, true, false, []reply{refused, refused, answered}, true, 3},
		"no node of the region, another can":  {nil, true, false, []reply{answered}, true, 1},
		"no other node":                       {nil, false, false, nil, false, 0},
		"the request was relayed to the node": {[]domain.NodeID{"w2"}, true, true, nil, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			now := time.Now()
			for _, id := range c.west {
				f.Members.Merge(now, &peers.Member{ID: id, Place: localPlace, State: domain.NodeServing, HeartbeatCounter: 1}, nil)
			}
			if c.east {
				f.addEastNode()
			}
			f.Catalog.SetPathsLost(now, "app", true)
			f.nodes.replies = slices.Clone(c.replies)
			r := newRequest(routes.AtMostOnce, 2)
			r.Relayed = c.relayed
			failure := f.Serve(context.Background(), r, &recordingSink{})
			if got := failure == nil; got != c.served {
				t.Errorf("served %v, want %v: %v", got, c.served, failure)
			}
			if len(f.upstreams.calls) > 0 {
				t.Errorf("%d requests were sent to upstreams out of reach", len(f.upstreams.calls))
			}
			if got := len(f.nodes.calls); got != c.sent {
				t.Errorf("the request was sent to %d nodes, want %d", got, c.sent)
			}
			if sent := slices.Sorted(slices.Values(f.nodes.to)); len(slices.Compact(sent)) != len(f.nodes.to) {
				t.Errorf("sent to %v, want different nodes", f.nodes.to)
			}
			if took := time.Since(now); failure != nil && took > time.Second {
				t.Errorf("refused after %v, want at once", took)
			}
		})
	}
}

func TestPlaceGrantedToNodeThatReachesNoUpstreamIsPassedOn(t *testing.T) {
	for name, place := range map[string]relay.Place{"of the region": {Instance: "u1", Region: "west"}, "of another region": {Instance: "v", Region: "east"}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.addEastNode()
			f.Members.Merge(time.Now(), &peers.Member{ID: "w2", Place: localPlace, State: domain.NodeServing, HeartbeatCounter: 1}, nil)
			f.Catalog.SetPathsLost(time.Now(), "app", true)
			places := &fakePlaces{grants: []relay.Place{place}}
			f.Places, f.nodes.replies = places, []reply{success}
			if failure := f.Serve(context.Background(), newRequest(routes.AtMostOnce, 2), &recordingSink{}); failure != nil {
				t.Fatalf("the request failed: %v", failure)
			}
			if to := map[domain.Region]string{"west": "w2", "east": "e1"}[place.Region]; f.nodes.to[0] != to {
				t.Errorf("sent to %v, want %s", f.nodes.to, to)
			}
			if len(places.reports) != 1 || places.reports[0].Outcome != instances.Answered {
				t.Errorf("got place returned as %+v, want one that was used", places.reports)
			}
		})
	}
}
