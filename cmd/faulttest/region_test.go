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

// regionFault is a case of the test for plans that forbid a region: the plan "all" is
// restricted to north while both entry nodes serve requests.
type regionFault struct {
	name string
	// before injects a fault before the change, after once the change is stored.
	before, after func(d *deployment)
	// updated are the nodes that adopt the change despite the fault; empty for all.
	updated []string
	// extraChanges is the number of alternating changes before the last one.
	extraChanges int
	// rareHeartbeats lengthens the heartbeat interval, so that nodes inform each other
	// of changes late.
	rareHeartbeats bool
}

func regionFaults() []regionFault {
	return []regionFault{
		{name: "restricted while requests run"},
		{name: "restricted and extended alternately", extraChanges: 6},
		{name: "receiver disconnected from the platform", before: onNodes(func(n *nodeProc) { n.platformProxy.disconnect() }, "south-1")},
		{name: "receiver's platform link drops all bytes", before: onNodes(func(n *nodeProc) { n.platformProxy.blackhole() }, "south-1")},
		{name: "entry node disconnected from the platform", before: onNodes(func(n *nodeProc) { n.platformProxy.disconnect() }, "north-1")},
		{name: "receiver frozen during the change", before: onNodes((*nodeProc).freezeNode, "south-1"), after: thawAll},
		{
			name: "platform slow", extraChanges: 2,
			before: platformFault(platformsim.Fault{Mode: platformsim.Slow, Delay: slowPlatformDelay}),
		},
		{
			name: "entry node has older lists than the receiver", rareHeartbeats: true, updated: []string{"south-1"},
			before: sequence(
				onNodes(func(n *nodeProc) { n.platformProxy.disconnect(); n.peerProxy.disconnect() }, "north-1"),
				engineFault(northEngine, faults.Reject, 0, 0),
			),
		},
		{
			name: "receiver disconnected from the platform and connections between nodes closed", before: onNodes(func(n *nodeProc) { n.platformProxy.disconnect() }, "south-1"),
			after: onNodes((*nodeProc).closePeerConnections, "south-1", "north-1"),
		},
	}
}

// TestForbiddenRegionsProcessNoRequests restricts a plan while requests run, and checks
// that the engines of the forbidden region execute no request after that.
func TestForbiddenRegionsProcessNoRequests(t *testing.T) {
	t.Parallel()
	for _, c := range regionFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			options := nodeOptions{heartbeat: "100ms"}
			if c.rareHeartbeats {
				options.heartbeat = "10s"
			}
			d := deployWith(t, options,
				site{region: "north", nodes: 1, engines: 1, slots: 2, rate: 100},
				site{region: "south", nodes: 1, engines: 1, slots: 16, rate: 100})
			d.waitReady()
			newRegionRun(t, d, c).check()
		})
	}
}

// regionRun is the run of one case.
type regionRun struct {
	t     *testing.T
	d     *deployment
	fault regionFault
	// forbidsSouth holds for each lists version whether its plan "all" forbids south.
	forbidsSouth map[domain.ListsVersion]bool
	mu           sync.Mutex
	responses    []response
}

func newRegionRun(t *testing.T, d *deployment, c regionFault) *regionRun {
	return &regionRun{t: t, d: d, fault: c, forbidsSouth: make(map[domain.ListsVersion]bool)}
}

func (r *regionRun) check() {
	stop := r.startLoad()
	waitFor(r.t, "a request to run in region south", r.ranInSouth)
	applyFault(r.d, r.fault.before)
	var last domain.ListsVersion
	for i := range r.fault.extraChanges + 1 {
		last = r.change((r.fault.extraChanges-i)%2 == 0)
	}
	applyFault(r.d, r.fault.after)
	r.waitUpdated(last)
	stop()
	r.checkResponses()
	r.checkAfterChange()
}

// change stores lists in which the plan "all" forbids or allows south.
func (r *regionRun) change(forbidSouth bool) domain.ListsVersion {
	r.t.Helper()
	doc := document(r.d.sites)
	if forbidSouth {
		restrict(&doc, "all", "north")
	} else {
		restrict(&doc, "all", "south", "north")
	}
	v, err := r.d.applyLists("operator", doc)
	if err != nil {
		r.t.Fatal(err)
	}
	r.forbidsSouth[v] = forbidSouth
	return v
}

func restrict(doc *lists.Document, plan domain.PlanID, regions ...domain.Region) {
	i := slices.IndexFunc(doc.Plans, func(p lists.Plan) bool { return p.ID == plan })
	doc.Plans[i].Regions = regions
}

func (r *regionRun) waitUpdated(v domain.ListsVersion) {
	r.t.Helper()
	for id, n := range r.d.nodes {
		if len(r.fault.updated) > 0 && !slices.Contains(r.fault.updated, id) {
			continue
		}
		waitFor(r.t, id+" to adopt the change", func() bool { return r.d.listsVersion(n) >= v })
	}
}

// loadWorkers is the number of concurrent requests at each node.
const loadWorkers = 6

// startLoad sends chat requests to both entry nodes until the returned function is
// called.
func (r *regionRun) startLoad() (stop func()) {
	var stopped atomic.Bool
	var workers sync.WaitGroup
	for _, n := range r.d.nodes {
		for range loadWorkers {
			workers.Go(func() {
				for !stopped.Load() {
					r.chat(n)
				}
			})
		}
	}
	return func() {
		stopped.Store(true)
		workers.Wait()
	}
}

func (r *regionRun) chat(n *nodeProc) response {
	got := r.d.startChat(n, "key-all", "where?", 4).finish()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses = append(r.responses, got)
	return got
}

// checkResponses checks that no request ran in a region that the lists version of its
// response forbids.
func (r *regionRun) checkResponses() {
	for _, got := range r.responses {
		checkComplete(r.t, got)
		v, _ := strconv.ParseUint(got.header.Get(callerapi.HeaderListsVersion), 10, 64)
		if got.ranIn() == "south-a" && r.forbidsSouth[domain.ListsVersion(v)] {
			r.t.Errorf("ran in region south, which lists version %d forbids: %s", v, got)
		}
	}
}

// ranInSouth reports whether a request has run in south, the region to be forbidden.
func (r *regionRun) ranInSouth() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.responses, func(got response) bool { return got.ranIn() == "south-a" })
}

// checkAfterChange sends further requests, now that the lists forbid south, and checks
// that none runs there.
func (r *regionRun) checkAfterChange() {
	sent := make(map[string]response)
	for _, n := range r.d.nodes {
		for range 2 * loadWorkers {
			got := r.chat(n)
			sent[got.requestID()] = got
		}
	}
	for id := range r.d.engineExecutions("south") {
		if got, ok := sent[id]; ok {
			r.t.Errorf("ran in region south, which the plan forbids: %s", got)
		}
	}
}

// TestForbiddenRegionsResumeNoGeneration forbids the region in which a generation
// runs and closes the connection to the engine. The generation must not be resumed in
// that region.
func TestForbiddenRegionsResumeNoGeneration(t *testing.T) {
	t.Parallel()
	for _, entry := range []string{"south-1", "north-1"} {
		t.Run("entry "+entry, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 1},
				site{region: "south", nodes: 1, engines: 1, slots: 4, rate: 40})
			s := d.startChat(d.nodes[entry], "key-south", "long", 400)
			s.readEvents(5)
			doc := document(d.sites)
			restrict(&doc, "south", "north")
			v, err := d.applyLists("operator", doc)
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range d.nodes {
				waitFor(t, n.id+" to adopt the change", func() bool { return d.listsVersion(n) >= v })
			}
			d.upstreams[southEngine].proxy.closeOpen()
			got := s.finish()
			checkComplete(t, got)
			if execution := d.engineExecutions("south")[got.requestID()]; execution.Starts != 1 {
				t.Errorf("the generation was started %d times in region south, which the plan forbids, want 1: %s", execution.Starts, got)
			}
			if bytes.Contains(got.body, []byte(`"run":"no"`)) {
				t.Errorf("the response says that the generation did not run, but it had started: %s", tail(string(got.body)))
			}
		})
	}
}
