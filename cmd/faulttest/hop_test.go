package faulttest

import (
	"fmt"
	"sync"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// forwardFault is a case of the test for forwarding loops between failure domains.
type forwardFault struct {
	name string
	// before injects the fault before the load starts.
	before func(d *deployment)
	// entries are the nodes that receive the load.
	entries []string
	// rareHeartbeats keeps the failure domains from reporting their lost capacity to
	// each other, so that each still assumes that the other has capacity.
	rareHeartbeats bool
}

func forwardFaults() []forwardFault {
	bothRefuse := sequence(engineFault(northEngine, faults.Reject, 0, 0), engineFault(southEngine, faults.Reject, 0, 0))
	both := []string{"north-1", "south-1"}
	return []forwardFault{
		{name: "no fault", entries: both},
		{name: "south without capacity", entries: []string{"north-1"}, before: engineFault(southEngine, faults.Reject, 0, 0)},
		{name: "both without capacity, one entry", entries: []string{"north-1"}, before: bothRefuse},
		{name: "both without capacity", entries: both, before: bothRefuse},
		{
			name: "both engines killed", entries: both,
			before: func(d *deployment) { d.upstreams[northEngine].kill(); d.upstreams[southEngine].kill() },
		},
		{
			name: "both without capacity and platform down", entries: both, before: sequence(bothRefuse, failPlatform),
		},
		{
			name: "both engines leave and each domain has a stale view of the other", entries: both, rareHeartbeats: true,
			before: func(d *deployment) { d.leaveAfterHeartbeat(both...) },
		},
		{
			name: "both without capacity and links drop all bytes", entries: both,
			before: sequence(bothRefuse, onNodes((*nodeProc).blackholePeers, both...)),
		},
	}
}

const requestsPerEntry = 12

// TestRequestsAreForwardedAtMostOnce creates conditions in which two failure domains
// could forward requests back and forth, and counts forwarded requests: only the
// entry node forwards a request, at most once, and to one failure domain.
func TestRequestsAreForwardedAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, c := range forwardFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			options := nodeOptions{heartbeat: "100ms"}
			if c.rareHeartbeats {
				options.heartbeat = "10s"
			}
			d := deployWith(t, options,
				site{region: "north", nodes: 1, engines: 1, slots: 1, rate: 200},
				site{region: "south", nodes: 1, engines: 1, slots: 1, rate: 200})
			d.waitReady()
			sentBefore, receivedBefore := d.forwardCounts()
			applyFault(d, c.before)
			fromCallers := make(map[string]int)
			var load sync.WaitGroup
			for _, id := range c.entries {
				fromCallers[id] = requestsPerEntry
				for i := range requestsPerEntry {
					load.Go(func() { checkComplete(t, d.startChat(d.nodes[id], "key-all", fmt.Sprint(i), 4).finish()) })
				}
			}
			load.Wait()
			sent, received := d.forwardCounts()
			if c.rareHeartbeats && received["north-1"]+received["south-1"] == receivedBefore["north-1"]+receivedBefore["south-1"] {
				t.Error("no request was forwarded: the case checks nothing")
			}
			for id := range d.nodes {
				if n := sent[id] - sentBefore[id]; n > fromCallers[id] {
					t.Errorf("%s forwarded %d requests, want at most the %d that it received from callers", id, n, fromCallers[id])
				}
			}
			if n := received["south-1"] - receivedBefore["south-1"]; n > fromCallers["north-1"] {
				t.Errorf("south-1 received %d forwarded requests, want at most the %d that entered at north-1", n, fromCallers["north-1"])
			}
			if n := received["north-1"] - receivedBefore["north-1"]; n > fromCallers["south-1"] {
				t.Errorf("north-1 received %d forwarded requests, want at most the %d that entered at south-1", n, fromCallers["south-1"])
			}
		})
	}
}

// leaveAfterHeartbeat makes the engines leave right after the nodes have sent a
// heartbeat, and waits until each node has detected it for its own engine. The
// other failure domain is informed only by the next heartbeat.
func (d *deployment) leaveAfterHeartbeat(nodes ...string) {
	d.t.Helper()
	for _, id := range nodes {
		before := d.counter(d.nodes[id], "heartbeats.sent")
		waitFor(d.t, id+" to send a heartbeat", func() bool { return d.counter(d.nodes[id], "heartbeats.sent") > before })
	}
	for _, id := range []string{northEngine, southEngine} {
		d.setUpstreamFaults(id, faults.Fault{Mode: faults.ReportLeaving})
	}
	waitFor(d.t, "the nodes to detect that their engines leave", func() bool {
		return d.treatsAsLeaving(d.nodes["north-1"], northEngine) && d.treatsAsLeaving(d.nodes["south-1"], southEngine)
	})
}

// forwardCounts returns the number of requests that each node forwarded to other
// nodes and received from them.
func (d *deployment) forwardCounts() (sent, received map[string]int) {
	d.t.Helper()
	sent, received = make(map[string]int), make(map[string]int)
	for id, n := range d.nodes {
		sent[id], received[id] = d.counter(n, telemetry.ForwardsSent), d.counter(n, telemetry.ForwardsReceived)
	}
	return sent, received
}
