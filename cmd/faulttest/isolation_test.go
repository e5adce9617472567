package faulttest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
)

// isolationFault is a case of the test for isolated regions: it separates south from
// north and from the platform.
type isolationFault struct {
	name string
	// isolate injects the fault while a request to south is in flight.
	isolate func(d *deployment)
}

// isolateSouth applies platform and peers to the links between south and the rest of
// the deployment. The nodes of north are frozen, so that they send nothing to south
// on any connection.
func isolateSouth(platform func(*faultProxy), peers func(*faultProxy)) func(*deployment) {
	return func(d *deployment) {
		for _, n := range d.nodes {
			switch n.site.region {
			case "south":
				platform(n.platformProxy)
			case "north":
				peers(n.peerProxy)
				n.freeze()
			}
		}
	}
}

func isolationFaults() []isolationFault {
	restart := func(d *deployment) {
		d.nodes["south-1"].kill()
		d.startNode(d.nodes["south-1"])
		d.waitServing("south-1")
	}
	closed := isolateSouth((*faultProxy).disconnect, (*faultProxy).disconnect)
	blackholed := isolateSouth((*faultProxy).blackhole, (*faultProxy).blackhole)
	return []isolationFault{
		{"links closed", closed},
		{"links drop all bytes", blackholed},
		{"platform killed and links drop all bytes", sequence(func(d *deployment) { d.platform.kill() }, isolateSouth(func(*faultProxy) {}, (*faultProxy).blackhole))},
		{"other region killed and platform link drops all bytes", sequence(onNodes((*nodeProc).killNode, "north-1"), isolateSouth((*faultProxy).blackhole, func(*faultProxy) {}))},
		{"links closed and one of two nodes restarted", sequence(closed, restart)},
		{"links drop all bytes and one of two nodes restarted", sequence(blackholed, restart)},
		{"links drop all bytes and a node killed", sequence(blackholed, onNodes((*nodeProc).killNode, "south-2"))},
	}
}

const requestsPerIsolatedNode = 8

// TestIsolatedRegionServesItsCallers separates a region from all other regions and
// from the platform, and checks that its nodes still serve chat requests and service
// calls.
func TestIsolatedRegionServesItsCallers(t *testing.T) {
	t.Parallel()
	for _, c := range isolationFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1, engines: 1, slots: 4, rate: 200},
				site{region: "south", nodes: 2, engines: 1, services: 1, slots: 4, rate: 200})
			inFlight := d.startChat(d.nodes["south-1"], "key-south", "under way", 40)
			inFlight.readEvents(3)
			c.isolate(d)
			checkComplete(t, inFlight.finish())
			for _, n := range d.nodes {
				if n.site.region == "south" && !n.exited() {
					d.checkServes(n)
				}
			}
		})
	}
}

// checkServes sends a node streamed chat requests, a repeatable call and a call that
// must run at most once.
func (d *deployment) checkServes(n *nodeProc) {
	d.t.Helper()
	var requests sync.WaitGroup
	for i := range requestsPerIsolatedNode {
		requests.Go(func() {
			if r := d.startChat(n, "key-south", fmt.Sprint(i), 10).finish(); !checkComplete(d.t, r) {
				d.t.Errorf("%s failed a request of its caller: %s: %s", n.id, r, tail(string(r.body)))
			}
		})
	}
	requests.Wait()
	read := call(n, "key-south", http.MethodGet, "/services/"+serviceName+"/status", nil, "")
	applied := callApply(n, "key-south", issueOperationID(d.t, n, "key-south"))
	for _, r := range []response{read, applied} {
		if r.status != http.StatusOK {
			d.t.Errorf("%s failed a request of its caller: %s: %s", n.id, r, r.body)
		}
	}
	entries := call(n, "key-south", http.MethodGet, "/v1/entries", nil, "")
	if entries.status != http.StatusOK || !containsEntry(entries, n.id) {
		d.t.Errorf("%s is not in its own entry list: %s: %s", n.id, entries, entries.body)
	}
}
