package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
)

// leavingFault is a case of the test for leaving upstreams.
type leavingFault struct {
	name string
	// leave announces that engine-north-1 leaves.
	leave func(d *deployment)
	// after injects a fault once all nodes treat the engine as leaving; the fault must
	// not make it eligible for requests again.
	after func(d *deployment)
}

func leavingFaults() []leavingFault {
	byList := func(d *deployment) {
		d.leaving[northEngine] = true
		d.publishVMs()
	}
	byReport := engineFault(northEngine, faults.ReportLeaving, 0, 0)
	staleList := platformFault(platformsim.Fault{Mode: platformsim.Stale, Calls: []platformsim.Call{platformsim.CallVMs}})
	return []leavingFault{
		{name: "reported by VM list", leave: byList},
		{name: "reported by load report", leave: byReport},
		{name: "reported by load report, platform down", leave: sequence(failPlatform, byReport)},
		{name: "reported by VM list, then VM list unavailable", leave: byList, after: failPlatform},
		{name: "reported by VM list, then VM list stale", leave: byList, after: staleList},
		{
			name: "reported by load report, then withdrawn", leave: byReport,
			after: func(d *deployment) { d.setUpstreamFaults(northEngine) },
		},
		{
			name:  "reported by VM list, one node disconnected from the platform",
			leave: sequence(onNodes(func(n *nodeProc) { n.platformProxy.disconnect() }, "north-2"), byList),
		},
	}
}

// pollsAfterLeaving is the number of reads of the VM list per node, two seconds apart,
// that the test waits for. These reads and the load reports in between must not make
// a leaving engine eligible again.
const pollsAfterLeaving = 2

// TestLeavingUpstreamGetsNoNewRequests makes one of two engines leave under load,
// waits until every node treats it as leaving, and checks that it starts no request
// after that.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for _, c := range leavingFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 2, engines: 2, slots: 8, rate: 200},
				site{region: "south", nodes: 1})
			stop := d.startChatLoad()
			waitFor(t, "the engine to run a request", func() bool { return len(d.startedRequests(northEngine)) > 0 })
			startTime := time.Now()
			c.leave(d)
			for _, id := range []string{"north-1", "north-2"} {
				waitFor(t, id+" to treat the engine as leaving", func() bool { return d.treatsAsLeaving(d.nodes[id], northEngine) })
			}
			t.Logf("every node treated the engine as leaving after %v", time.Since(startTime).Round(time.Millisecond))
			applyFault(d, c.after)
			d.waitForPolls(c.after != nil)
			checkAll(t, stop())
			startedBefore := d.startedRequests(northEngine)
			checkAll(t, d.chatAtEveryNode())
			for _, id := range d.startedRequests(northEngine) {
				if !slices.Contains(startedBefore, id) {
					t.Errorf("request %s started at an engine that all nodes treat as leaving", id)
				}
			}
		})
	}
}

func checkAll(t testing.TB, responses []response) {
	t.Helper()
	for _, r := range responses {
		if !checkComplete(t, r) {
			t.Errorf("response is incomplete: %s: %s", r, tail(string(r.body)))
		}
	}
}

// startedRequests returns the ids of the requests that an engine has started.
func (d *deployment) startedRequests(engine string) []string {
	d.t.Helper()
	var list []struct {
		RequestID string `json:"request_id"`
	}
	d.get("http://"+d.upstreams[engine].address+"/executions", &list)
	ids := make([]string, 0, len(list))
	for _, e := range list {
		ids = append(ids, e.RequestID)
	}
	return ids
}

// treatsAsLeaving reports whether a node lists an upstream as leaving or not at all.
func (d *deployment) treatsAsLeaving(n *nodeProc, upstream string) bool {
	st, err := d.tryStatus(n)
	if err != nil {
		return false
	}
	for _, u := range st.Upstreams {
		if string(u.ID) == upstream {
			return u.State == domain.UpstreamLeaving
		}
	}
	return true // no longer listed
}

// waitForPolls waits until the nodes have read the VM list another pollsAfterLeaving
// times each.
func (d *deployment) waitForPolls(enabled bool) {
	d.t.Helper()
	if !enabled {
		return
	}
	before := d.platformCalls(platformsim.CallVMs)
	waitFor(d.t, "the VM list to be read again", func() bool {
		return d.platformCalls(platformsim.CallVMs) >= before+uint64(pollsAfterLeaving*len(d.nodes))
	})
}

// platformCalls returns the number of calls of one kind that the platform received.
func (d *deployment) platformCalls(kind platformsim.Call) uint64 {
	d.t.Helper()
	var counts []platformsim.CallCount
	d.get(d.platformURL+platformsim.PathCalls, &counts)
	for _, c := range counts {
		if c.Call == kind {
			return c.Count
		}
	}
	return 0
}

// startChatLoad sends chat requests to every node until the returned function is
// called, which returns the responses.
func (d *deployment) startChatLoad() (stop func() []response) {
	var stopped atomic.Bool
	var workers sync.WaitGroup
	var mu sync.Mutex
	var responses []response
	for _, n := range d.nodes {
		for range 2 {
			workers.Go(func() {
				for i := 0; !stopped.Load(); i++ {
					r := d.startChat(n, "key-north", fmt.Sprint(i), 10).finish()
					mu.Lock()
					responses = append(responses, r)
					mu.Unlock()
				}
			})
		}
	}
	return func() []response {
		stopped.Store(true)
		workers.Wait()
		return responses
	}
}

const requestsPerNode = 10

// chatAtEveryNode sends requestsPerNode chat requests to each node and returns the
// responses.
func (d *deployment) chatAtEveryNode() []response {
	var responses []response
	for _, n := range d.nodes {
		for i := range requestsPerNode {
			responses = append(responses, d.startChat(n, "key-north", fmt.Sprint(i), 3).finish())
		}
	}
	return responses
}
