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

// leavingFault is a row of the table for leaving upstreams.
type leavingFault struct {
	name string
	// leave tells that engine-north-1 leaves.
	leave func(d *deployment)
	// after strikes once all nodes know; it must not bring the engine back.
	after func(d *deployment)
}

func leavingFaults() []leavingFault {
	byList := func(d *deployment) {
		d.leaving[northEngine] = true
		d.publishVMs()
	}
	byReport := engineFault(northEngine, faults.Leave, 0, 0)
	staleList := platformFault(platformsim.Fault{Mode: platformsim.Stale, Calls: []platformsim.Call{platformsim.CallVMs}})
	return []leavingFault{
		{name: "VM list says so", leave: byList},
		{name: "load report says so", leave: byReport},
		{name: "load report says so, platform down", leave: together(platformDown, byReport)},
		{name: "VM list says so and goes down", leave: byList, after: platformDown},
		{name: "VM list says so and turns stale", leave: byList, after: staleList},
		{
			name: "load report says so and is taken back", leave: byReport,
			after: func(d *deployment) { d.upstreamFaults(northEngine) },
		},
		{
			name:  "one node cut from the platform",
			leave: together(onNodes(func(n *nodeProc) { n.platform.cut() }, "north-2"), byList),
		},
	}
}

// pollsToOutlast is the number of readings of the VM list, two seconds apart,
// and load reports that may try to bring a leaving engine back.
const pollsToOutlast = 2

// TestLeavingUpstreamGetsNothingNew lets one of two engines leave under load,
// waits until every node knows, and looks for work that started later.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	t.Parallel()
	for _, c := range leavingFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 2, engines: 2, slots: 8, rate: 200},
				site{region: "south", nodes: 1})
			stop := d.keepAsking()
			waitFor(t, "the engine to have work", func() bool { return len(d.runsAt(northEngine)) > 0 })
			begun := time.Now()
			c.leave(d)
			for _, id := range []string{"north-1", "north-2"} {
				waitFor(t, id+" to know that the engine leaves", func() bool { return d.knowsLeaving(d.nodes[id], northEngine) })
			}
			t.Logf("known at every node after %v", time.Since(begun).Round(time.Millisecond))
			apply(d, c.after)
			d.outlastPolls(c.after != nil)
			checkAll(t, stop())
			known := d.runsAt(northEngine)
			checkAll(t, d.askEverywhere())
			for _, id := range d.runsAt(northEngine) {
				if !slices.Contains(known, id) {
					t.Errorf("request %s started at an engine that all nodes know to leave", id)
				}
			}
		})
	}
}

func checkAll(t testing.TB, replies []reply) {
	t.Helper()
	for _, r := range replies {
		if !checkWhole(t, r) {
			t.Errorf("not whole: %s: %s", r, tail(string(r.body)))
		}
	}
}

// runsAt returns the request ids of an engine.
func (d *deployment) runsAt(engine string) []string {
	d.t.Helper()
	var list []struct {
		RequestID string `json:"request_id"`
	}
	d.get("http://"+d.upstreams[engine].real+"/executions", &list)
	ids := make([]string, 0, len(list))
	for _, e := range list {
		ids = append(ids, e.RequestID)
	}
	return ids
}

func (d *deployment) knowsLeaving(n *nodeProc, upstream string) bool {
	st, err := d.tryStatus(n)
	if err != nil {
		return false
	}
	for _, u := range st.Upstreams {
		if string(u.ID) == upstream {
			return u.State == domain.UpstreamLeaving
		}
	}
	return true // gone
}

// outlastPolls waits until nodes have read the VM list that often again.
func (d *deployment) outlastPolls(needed bool) {
	d.t.Helper()
	if !needed {
		return
	}
	before := d.platformCalls(platformsim.CallVMs)
	waitFor(d.t, "the VM list to be read again", func() bool {
		return d.platformCalls(platformsim.CallVMs) >= before+uint64(pollsToOutlast*len(d.nodes))
	})
}

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

// keepAsking asks questions at every node until the returned function is called,
// which returns the answers.
func (d *deployment) keepAsking() (stop func() []reply) {
	var stopped atomic.Bool
	var asking sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for _, n := range d.nodes {
		for range 2 {
			asking.Go(func() {
				for i := 0; !stopped.Load(); i++ {
					r := d.ask(n, "key-north", fmt.Sprint(i), 10).finish()
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
				}
			})
		}
	}
	return func() []reply {
		stopped.Store(true)
		asking.Wait()
		return replies
	}
}

const questionsPerNode = 10

func (d *deployment) askEverywhere() []reply {
	var replies []reply
	for _, n := range d.nodes {
		for i := range questionsPerNode {
			replies = append(replies, d.ask(n, "key-north", fmt.Sprint(i), 3).finish())
		}
	}
	return replies
}
