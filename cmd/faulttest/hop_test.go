package faulttest

import (
	"fmt"
	"sync"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// hopFault is a row of the table for loops between sites.
type hopFault struct {
	name string
	// before strikes before the load; entries get it.
	before  func(d *deployment)
	entries []string
}

func hopFaults() []hopFault {
	bothRefuse := together(engineFault(northEngine, faults.Refuse, 0, 0), engineFault(southEngine, faults.Refuse, 0, 0))
	both := []string{"north-1", "south-1"}
	return []hopFault{
		{name: "no fault", entries: both},
		{name: "south without capacity", entries: []string{"north-1"}, before: engineFault(southEngine, faults.Refuse, 0, 0)},
		{name: "both without capacity, one entry", entries: []string{"north-1"}, before: bothRefuse},
		{name: "both without capacity", entries: both, before: bothRefuse},
		{
			name: "both engines killed", entries: both,
			before: func(d *deployment) { d.upstreams[northEngine].kill(); d.upstreams[southEngine].kill() },
		},
		{
			name: "both without capacity and platform down", entries: both, before: together(bothRefuse, platformDown),
		},
		{
			name: "both without capacity and links silent", entries: both,
			before: together(bothRefuse, onNodes((*nodeProc).silencePeers, both...)),
		},
	}
}

const hopRequests = 12

// TestRequestsHopAtMostOnce tempts two domains to send requests to each other
// and counts what nodes send on: only an entry sends, and no more than one
// domain can take.
func TestRequestsHopAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, c := range hopFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1, engines: 1, slots: 1, rate: 200},
				site{region: "south", nodes: 1, engines: 1, slots: 1, rate: 200})
			sentBefore, receivedBefore := d.hops()
			apply(d, c.before)
			asked := make(map[string]int)
			var load sync.WaitGroup
			for _, id := range c.entries {
				asked[id] = hopRequests
				for i := range hopRequests {
					load.Go(func() { checkWhole(t, d.ask(d.nodes[id], "key-all", fmt.Sprint(i), 4).finish()) })
				}
			}
			load.Wait()
			sent, received := d.hops()
			for id := range d.nodes {
				if n := sent[id] - sentBefore[id]; n > asked[id] {
					t.Errorf("%s sent %d requests on and got %d from callers", id, n, asked[id])
				}
			}
			if n := received["south-1"] - receivedBefore["south-1"]; n > asked["north-1"] {
				t.Errorf("south-1 received %d requests of %d that entered elsewhere", n, asked["north-1"])
			}
			if n := received["north-1"] - receivedBefore["north-1"]; n > asked["south-1"] {
				t.Errorf("north-1 received %d requests of %d that entered elsewhere", n, asked["south-1"])
			}
		})
	}
}

// hops returns what each node sent to others and received from them.
func (d *deployment) hops() (sent, received map[string]int) {
	d.t.Helper()
	sent, received = make(map[string]int), make(map[string]int)
	for id, n := range d.nodes {
		sent[id], received[id] = d.counter(n, telemetry.ForwardsSent), d.counter(n, telemetry.ForwardsReceived)
	}
	return sent, received
}
