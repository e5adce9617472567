package faulttest

import (
	"bytes"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

// regionFault is a row of the table for plans that forbid a region: the plan
// "all" is narrowed to north while requests run at both entries.
type regionFault struct {
	name string
	// before strikes before the change, after once it is written; release ends
	// the fault once it is in force at the nodes of informed.
	before, after func(d *deployment)
	// informed are the nodes that learn of the change under the fault; empty for
	// all.
	informed []string
	// flap is the number of changes back and forth before the last.
	flap int
	// rareHeartbeats keeps nodes from telling each other soon.
	rareHeartbeats bool
}

func regionFaults() []regionFault {
	return []regionFault{
		{name: "narrowed while requests run"},
		{name: "narrowed and widened in turn", flap: 6},
		{name: "receiver cut from the platform", before: onNodes(func(n *nodeProc) { n.platform.cut() }, "south-1")},
		{name: "receiver's platform link silent", before: onNodes(func(n *nodeProc) { n.platform.silence() }, "south-1")},
		{name: "entry cut from the platform", before: onNodes(func(n *nodeProc) { n.platform.cut() }, "north-1")},
		{name: "receiver frozen over the change", before: onNodes((*nodeProc).freezeNode, "south-1"), after: thawAll},
		{
			name: "platform slow", flap: 2,
			before: platformFault(platformsim.Fault{Mode: platformsim.Slow, Delay: slowPlatform}),
		},
		{
			name: "entry behind the receiver", rareHeartbeats: true, informed: []string{"south-1"},
			before: together(
				onNodes(func(n *nodeProc) { n.platform.cut(); n.peers.cut() }, "north-1"),
				engineFault(northEngine, faults.Refuse, 0, 0),
			),
		},
		{
			name: "receiver cut from the platform and link between nodes closed", before: onNodes(func(n *nodeProc) { n.platform.cut() }, "south-1"),
			after: onNodes((*nodeProc).closePeers, "south-1", "north-1"),
		},
	}
}

// TestForbiddenRegionsProcessNothing narrows a plan while requests run and counts
// what the engines of the forbidden region run.
func TestForbiddenRegionsProcessNothing(t *testing.T) {
	t.Parallel()
	for _, c := range regionFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			entry := settingsOf{heartbeat: "100ms"}
			if c.rareHeartbeats {
				entry.heartbeat = "10s"
			}
			d := deployWith(t, entry,
				site{region: "north", nodes: 1, engines: 1, slots: 2, rate: 100},
				site{region: "south", nodes: 1, engines: 1, slots: 16, rate: 100})
			d.waitReady()
			newRegionRun(t, d, c).check()
		})
	}
}

// regionRun is one row being run.
type regionRun struct {
	t     *testing.T
	d     *deployment
	fault regionFault
	// narrow tells for each version if it forbids south.
	narrow  map[domain.ListsVersion]bool
	mu      sync.Mutex
	replies []reply
}

func newRegionRun(t *testing.T, d *deployment, c regionFault) *regionRun {
	return &regionRun{t: t, d: d, fault: c, narrow: make(map[domain.ListsVersion]bool)}
}

func (r *regionRun) check() {
	load := r.startLoad()
	waitFor(r.t, "a request to run in the south", r.ranInSouth)
	apply(r.d, r.fault.before)
	var last domain.ListsVersion
	for i := range r.fault.flap + 1 {
		last = r.change((r.fault.flap-i)%2 == 0)
	}
	apply(r.d, r.fault.after)
	r.waitInformed(last)
	load()
	r.checkReplies()
	r.checkAfterwards()
}

// change narrows or widens the plan "all".
func (r *regionRun) change(narrow bool) domain.ListsVersion {
	r.t.Helper()
	doc := document(r.d.sites)
	if narrow {
		restrict(&doc, "all", "north")
	} else {
		restrict(&doc, "all", "south", "north")
	}
	v, err := r.d.apply("operator", doc)
	if err != nil {
		r.t.Fatal(err)
	}
	r.narrow[v] = narrow
	return v
}

func restrict(doc *lists.Document, plan domain.PlanID, regions ...domain.Region) {
	i := slices.IndexFunc(doc.Plans, func(p lists.Plan) bool { return p.ID == plan })
	doc.Plans[i].Regions = regions
}

func (r *regionRun) waitInformed(v domain.ListsVersion) {
	r.t.Helper()
	for id, n := range r.d.nodes {
		if len(r.fault.informed) > 0 && !slices.Contains(r.fault.informed, id) {
			continue
		}
		waitFor(r.t, id+" to adopt the change", func() bool { return r.d.version(n) >= v })
	}
}

const loadWorkers = 6

// startLoad asks questions at both entries until the returned function is called.
func (r *regionRun) startLoad() (stop func()) {
	var stopped atomic.Bool
	var workers sync.WaitGroup
	for _, n := range r.d.nodes {
		for range loadWorkers {
			workers.Go(func() {
				for !stopped.Load() {
					r.ask(n)
				}
			})
		}
	}
	return func() {
		stopped.Store(true)
		workers.Wait()
	}
}

func (r *regionRun) ask(n *nodeProc) reply {
	got := r.d.ask(n, "key-all", "where?", 4).finish()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, got)
	return got
}

// checkReplies looks for answers that name lists which forbid where they ran.
func (r *regionRun) checkReplies() {
	for _, got := range r.replies {
		checkWhole(r.t, got)
		v, _ := strconv.ParseUint(got.header.Get(callerapi.HeaderListsVersion), 10, 64)
		if got.ranIn() == "south-a" && r.narrow[domain.ListsVersion(v)] {
			r.t.Errorf("ran in the south by lists version %d, which forbid it: %s", v, got)
		}
	}
}

// ranInSouth tells if the load reaches the region that is to be forbidden.
func (r *regionRun) ranInSouth() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.replies, func(got reply) bool { return got.ranIn() == "south-a" })
}

// checkAfterwards asks again, now that the lists forbid the south.
func (r *regionRun) checkAfterwards() {
	asked := make(map[string]reply)
	for _, n := range r.d.nodes {
		for range 2 * loadWorkers {
			got := r.ask(n)
			asked[got.requestID()] = got
		}
	}
	for id := range r.d.engineRuns("south") {
		if got, ok := asked[id]; ok {
			r.t.Errorf("ran in the south, which the plan forbids: %s", got)
		}
	}
}

// TestForbiddenRegionsResumeNothing forbids the region where a generation runs,
// and breaks its connection: it must not be taken up again there.
func TestForbiddenRegionsResumeNothing(t *testing.T) {
	t.Parallel()
	for _, entry := range []string{"south-1", "north-1"} {
		t.Run("entry "+entry, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1},
				site{region: "south", nodes: 1, engines: 1, slots: 4, rate: 40})
			s := d.ask(d.nodes[entry], "key-south", "long", 400)
			s.readEvents(5)
			doc := document(d.sites)
			restrict(&doc, "south", "north")
			v, err := d.apply("operator", doc)
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range d.nodes {
				waitFor(t, n.id+" to adopt the change", func() bool { return d.version(n) >= v })
			}
			d.upstreams[southEngine].relay.closeOpen()
			got := s.finish()
			checkWhole(t, got)
			if runs := d.engineRuns("south")[got.requestID()]; runs.Starts != 1 {
				t.Errorf("the generation was started %d times, also where the plan forbids it: %s", runs.Starts, got)
			}
			if bytes.Contains(got.body, []byte(`"run":"no"`)) {
				t.Errorf("the caller was told that a generation did not run, which began: %s", tail(string(got.body)))
			}
		})
	}
}
