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
	// blind keeps the domains from telling each other that they lost capacity, so
	// that each believes that the other has some.
	blind bool
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
			name: "both engines leave and each domain believes in the other", entries: both, blind: true,
			before: func(d *deployment) { d.leaveUnheard(both...) },
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
			entry := settingsOf{heartbeat: "100ms"}
			if c.blind {
				entry.heartbeat = "10s"
			}
			d := deployWith(t, entry,
				site{region: "north", nodes: 1, engines: 1, slots: 1, rate: 200},
				site{region: "south", nodes: 1, engines: 1, slots: 1, rate: 200})
			d.waitReady()
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
			if c.blind && received["north-1"]+received["south-1"] == receivedBefore["north-1"]+receivedBefore["south-1"] {
				t.Error("no request was sent on: the row proves nothing")
			}
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

// leaveUnheard lets the engines leave right after the nodes' heartbeats, and
// waits until each node knows it of its own engine.
func (d *deployment) leaveUnheard(nodes ...string) {
	d.t.Helper()
	for _, id := range nodes {
		before := d.counter(d.nodes[id], "heartbeats.sent")
		waitFor(d.t, id+" to send a heartbeat", func() bool { return d.counter(d.nodes[id], "heartbeats.sent") > before })
	}
	for _, id := range []string{northEngine, southEngine} {
		d.upstreamFaults(id, faults.Fault{Mode: faults.Leave})
	}
	waitFor(d.t, "the nodes to know that their engines leave", func() bool {
		return d.knowsLeaving(d.nodes["north-1"], northEngine) && d.knowsLeaving(d.nodes["south-1"], southEngine)
	})
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
