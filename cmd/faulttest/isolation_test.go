package faulttest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
)

// isolationFault is a row of the table for isolated regions: it separates south
// from north and from the platform.
type isolationFault struct {
	name string
	// apart strikes while questions to south are under way.
	apart func(d *deployment)
}

// southAlone cuts or silences what joins south to the rest. North's nodes are
// frozen, so that they are silent towards south on every connection.
func southAlone(platform func(*relay), peers func(*relay)) func(*deployment) {
	return func(d *deployment) {
		for _, n := range d.nodes {
			switch n.site.region {
			case "south":
				platform(n.platform)
			case "north":
				peers(n.peers)
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
	cut := southAlone((*relay).cut, (*relay).cut)
	silent := southAlone((*relay).silence, (*relay).silence)
	return []isolationFault{
		{"links closed", cut},
		{"links silent", silent},
		{"platform killed and links silent", together(func(d *deployment) { d.platform.kill() }, southAlone(func(*relay) {}, (*relay).silence))},
		{"other region killed and platform silent", together(onNodes((*nodeProc).killNode, "north-1"), southAlone((*relay).silence, func(*relay) {}))},
		{"links closed and a node restarted beside a living one", together(cut, restart)},
		{"links silent and a node restarted beside a living one", together(silent, restart)},
		{"links silent and a node killed", together(silent, onNodes((*nodeProc).killNode, "south-2"))},
	}
}

const isolatedRequests = 8

// TestIsolatedRegionServesItsCallers separates a region from all others and from
// the platform and asks its nodes questions and calls.
func TestIsolatedRegionServesItsCallers(t *testing.T) {
	t.Parallel()
	for _, c := range isolationFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1, engines: 1, slots: 4, rate: 200},
				site{region: "south", nodes: 2, engines: 1, services: 1, slots: 4, rate: 200})
			underWay := d.ask(d.nodes["south-1"], "key-south", "under way", 40)
			underWay.readEvents(3)
			c.apart(d)
			checkWhole(t, underWay.finish())
			for _, n := range d.nodes {
				if n.site.region == "south" && !n.ended() {
					d.checkServes(n)
				}
			}
		})
	}
}

// checkServes asks a node streamed questions and makes calls that may and that
// may not be repeated.
func (d *deployment) checkServes(n *nodeProc) {
	d.t.Helper()
	var asking sync.WaitGroup
	for i := range isolatedRequests {
		asking.Go(func() {
			if r := d.ask(n, "key-south", fmt.Sprint(i), 10).finish(); !checkWhole(d.t, r) {
				d.t.Errorf("%s does not serve its caller: %s: %s", n.id, r, tail(string(r.body)))
			}
		})
	}
	asking.Wait()
	read := call(n, "key-south", http.MethodGet, "/services/"+serviceName+"/status", nil, "")
	applied := applyCall(n, "key-south", issue(d.t, n, "key-south"))
	for _, r := range []reply{read, applied} {
		if r.status != http.StatusOK {
			d.t.Errorf("%s does not serve its caller: %s: %s", n.id, r, r.body)
		}
	}
	entries := call(n, "key-south", http.MethodGet, "/v1/entries", nil, "")
	if entries.status != http.StatusOK || !containsEntry(entries, n.id) {
		d.t.Errorf("%s is not in its own entry list: %s: %s", n.id, entries, entries.body)
	}
}
