package faulttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/standin/faults"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// operationFault is a case of the test for calls that must run at most once. The calls
// enter at north-1, which issues their operation ids.
type operationFault struct {
	name string
	// key is the bearer key, whose plan sets the regions in which the calls may run.
	key string
	// keyed is set for calls with an Idempotency-Key instead of an issued operation id.
	keyed bool
	// calls is the number of concurrent calls; zero means one.
	calls int
	// before injects a fault before the first call, during once one of the calls runs
	// at a service, and between after the first responses.
	before, during, between func(d *deployment)
	// unblock ends a fault that would block the first calls forever.
	unblock func(d *deployment)
	// spare adds a second node and service to the region of the calls, where a call
	// could run a second time.
	spare bool
	// restore ends the fault before the last repetitions.
	restore func(d *deployment)
	// wantRuns is the expected number of runs of each call, or atMostOne.
	wantRuns int
}

// atMostOne is the value of operationFault.wantRuns (-1) for calls that run once or not
// at all.
const atMostOne = -1

func serviceFault(mode faults.Mode, times int) func(*deployment) {
	return func(d *deployment) {
		for id, u := range d.upstreams {
			if u.role == ports.RoleService {
				d.setUpstreamFaults(id, faults.Fault{Mode: mode, MaxRequests: times})
			}
		}
	}
}

// restoreServices ends the injected faults of all upstreams.
func restoreServices(d *deployment) {
	for id := range d.upstreams {
		d.setUpstreamFaults(id)
	}
}

// onBusyNodes waits until a node of a region has a request in flight, and calls act for
// each such node.
func onBusyNodes(region string, act func(*nodeProc)) func(*deployment) {
	return func(d *deployment) {
		var busy []*nodeProc
		waitFor(d.t, "a busy node in "+region, func() bool {
			busy = nil
			for _, n := range d.nodes {
				st, err := d.tryStatus(n)
				if n.site.region == region && err == nil && st.InFlight > 0 {
					busy = append(busy, n)
				}
			}
			return len(busy) > 0
		})
		for _, n := range busy {
			act(n)
		}
	}
}

// onNodes calls act for those of the given nodes that the deployment has.
func onNodes(act func(*nodeProc), ids ...string) func(*deployment) {
	return func(d *deployment) {
		for _, id := range ids {
			if n, ok := d.nodes[id]; ok {
				act(n)
			}
		}
	}
}

func (n *nodeProc) killNode()             { n.kill() }
func (n *nodeProc) freezeNode()           { n.freeze() }
func (n *nodeProc) blackholePeers()       { n.peerProxy.blackholeOpen() }
func (n *nodeProc) closePeerConnections() { n.peerProxy.closeOpen() }
func (n *nodeProc) dropPeerResponses()    { n.peerProxy.dropResponses() }
func (n *nodeProc) restorePeers()         { n.peerProxy.restore() }
func (n *nodeProc) disconnectPeers()      { n.peerProxy.disconnect() }

// onServices calls act for each service.
func onServices(act func(*upstreamProc)) func(*deployment) {
	return func(d *deployment) {
		for _, u := range d.upstreams {
			if u.role == ports.RoleService {
				act(u)
			}
		}
	}
}

// thawAll resumes all frozen nodes and upstreams.
func thawAll(d *deployment) {
	for _, n := range d.nodes {
		n.thaw()
	}
	for _, u := range d.upstreams {
		u.thaw()
	}
}

func platformFault(f platformsim.Fault) func(*deployment) {
	return func(d *deployment) { d.setPlatformFaults(f) }
}

func operationFaults() []operationFault {
	south := []string{"south-1", "south-2"}
	onProxies := func(f func(*faultProxy)) func(*deployment) { return onServices(func(u *upstreamProc) { f(u.proxy) }) }
	return []operationFault{
		{name: "no fault", key: "key-all", calls: 4, wantRuns: 1},
		{name: "no fault, other region", key: "key-south", calls: 4, wantRuns: 1},
		{name: "no fault, keyed", key: "key-south", keyed: true, calls: 4, wantRuns: 1},

		{name: "service closes before running", key: "key-south", spare: true, calls: 4, before: serviceFault(faults.CloseBeforeRun, 0), restore: restoreServices, wantRuns: 0},
		{name: "service closes after running", key: "key-south", spare: true, calls: 4, before: serviceFault(faults.CloseAfterRun, 0), restore: restoreServices, wantRuns: 1},
		{name: "service closes after running, own region", key: "key-north", calls: 4, before: serviceFault(faults.CloseAfterRun, 0), restore: restoreServices, wantRuns: 1},
		{name: "service closes after running, keyed", key: "key-south", keyed: true, calls: 4, before: serviceFault(faults.CloseAfterRun, 0), restore: restoreServices, wantRuns: 1},
		{name: "service runs the call and doesn't respond", key: "key-south", spare: true, calls: 4, before: serviceFault(faults.UnresponsiveAfterRun, 0), restore: restoreServices, wantRuns: 1},
		{name: "connection to service closed while the call runs", key: "key-south", during: onProxies((*faultProxy).closeOpen), wantRuns: 1},
		{name: "service responses lost while the call runs", key: "key-south", during: onProxies((*faultProxy).dropResponses), wantRuns: 1},
		{name: "service unreachable", key: "key-south", calls: 4, before: onProxies((*faultProxy).disconnect), restore: onProxies((*faultProxy).restore), wantRuns: 0},
		{name: "service frozen and thawed", key: "key-south", before: onServices(func(u *upstreamProc) { u.freeze() }), between: thawAll, wantRuns: atMostOne},

		{name: "executor killed while the call runs", key: "key-south", spare: true, during: onBusyNodes("south", (*nodeProc).killNode), wantRuns: 1},
		{name: "executor frozen while the call runs", key: "key-south", spare: true, during: onBusyNodes("south", (*nodeProc).freezeNode), restore: thawAll, wantRuns: 1},
		{name: "executor frozen while the call runs and thawed after the first repetitions", key: "key-south", during: onBusyNodes("south", (*nodeProc).freezeNode), unblock: thawAll, wantRuns: 1},
		{name: "executors frozen before the call", key: "key-south", before: onNodes((*nodeProc).freezeNode, south...), restore: thawAll, wantRuns: atMostOne},
		{name: "executors killed before the call", key: "key-south", spare: true, before: onNodes((*nodeProc).killNode, south...), wantRuns: 0},
		{name: "executor killed after the response", key: "key-south", between: onNodes((*nodeProc).killNode, south...), wantRuns: 1},

		{name: "issuer killed while the call runs", key: "key-south", during: onNodes((*nodeProc).killNode, "north-1"), wantRuns: 1},
		{name: "issuer frozen while the call runs", key: "key-south", during: onNodes((*nodeProc).freezeNode, "north-1"), unblock: thawAll, wantRuns: 1},
		{name: "issuer killed after the response", key: "key-south", between: onNodes((*nodeProc).killNode, "north-1"), wantRuns: 1},
		{name: "issuer killed while the call runs, keyed", key: "key-south", keyed: true, during: onNodes((*nodeProc).killNode, "north-1"), wantRuns: 1},
		{
			name: "issuer and executor killed while the call runs", key: "key-south", wantRuns: 1,
			during: sequence(onBusyNodes("south", (*nodeProc).killNode), onNodes((*nodeProc).killNode, "north-1")),
		},

		{name: "connections between nodes closed while the call runs", key: "key-south", spare: true, during: onNodes((*nodeProc).closePeerConnections, south...), wantRuns: 1},
		{name: "connections between nodes drop all bytes while the call runs", key: "key-south", spare: true, during: onNodes((*nodeProc).blackholePeers, south...), wantRuns: 1},
		{name: "responses between nodes lost before the call", key: "key-south", before: onNodes((*nodeProc).dropPeerResponses, south...), wantRuns: atMostOne},
		{name: "connections between nodes drop all bytes before the call", key: "key-south", calls: 4, before: onNodes((*nodeProc).blackholePeers, south...), wantRuns: atMostOne},
		{
			name: "link disconnected while the call runs, then restored", key: "key-south", wantRuns: 1,
			during: onNodes((*nodeProc).disconnectPeers, south...), unblock: onNodes((*nodeProc).restorePeers, south...),
		},
		{
			name: "service runs the call and doesn't respond, and connections between nodes drop all bytes", key: "key-south", wantRuns: 1,
			before: serviceFault(faults.UnresponsiveAfterRun, 0), during: onNodes((*nodeProc).blackholePeers, south...), restore: restoreServices,
		},

		{name: "key-value service down, keyed", key: "key-south", keyed: true, calls: 4, before: failPlatform, restore: restorePlatform, wantRuns: atMostOne},
		{name: "key-value service down, issued ids", key: "key-south", calls: 4, before: failPlatform, restore: restorePlatform, wantRuns: 1},
		{
			name: "response to the claim lost, keyed", key: "key-south", keyed: true, calls: 4, restore: restorePlatform, wantRuns: atMostOne,
			before: platformFault(platformsim.Fault{Mode: platformsim.LostResponse, Calls: []platformsim.Call{platformsim.CallCompareAndSwap}}),
		},
		{
			name: "key-value service doesn't respond, keyed", key: "key-south", keyed: true, restore: restorePlatform, wantRuns: atMostOne,
			before: platformFault(platformsim.Fault{Mode: platformsim.Unresponsive}),
		},
		{
			name: "reads of claims stale, keyed", key: "key-south", keyed: true, calls: 4, restore: restorePlatform, wantRuns: 1,
			before: platformFault(platformsim.Fault{Mode: platformsim.Stale}),
		},
		{
			name: "response to the claim lost and executor killed, keyed", key: "key-south", keyed: true, restore: restorePlatform, wantRuns: 1,
			before: platformFault(platformsim.Fault{Mode: platformsim.LostResponse, Calls: []platformsim.Call{platformsim.CallCompareAndSwap}, MaxCalls: 1}),
			during: onBusyNodes("south", (*nodeProc).killNode),
		},
	}
}

// serviceWorkTime is long enough to inject a fault while a call runs.
const serviceWorkTime = 400 * time.Millisecond

// TestOperationsRunAtMostOnce makes calls that must run at most once, repeats them at
// every entry node during and after a fault, and counts the runs at the services: at
// most one, and none if any response says "not run".
func TestOperationsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, c := range operationFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			newOperationRun(t, deploy(t, c.sites()...), c).check()
		})
	}
}

func (c operationFault) sites() []site {
	north := site{region: "north", nodes: 2, workTime: serviceWorkTime}
	south := site{region: "south", nodes: 1, services: 1, workTime: serviceWorkTime}
	if c.spare {
		south.nodes, south.services = 2, 2
	}
	if c.key != "key-south" {
		north.services = 1
	}
	return []site{north, south}
}

// operationRun is the run of one case.
type operationRun struct {
	t     *testing.T
	d     *deployment
	fault operationFault
	ids   []string // operation id or Idempotency-Key of each call

	mu        sync.Mutex
	responses map[string][]response
}

func newOperationRun(t *testing.T, d *deployment, c operationFault) *operationRun {
	o := &operationRun{t: t, d: d, fault: c, responses: make(map[string][]response)}
	for i := range max(1, c.calls) {
		id := fmt.Sprintf("key-%d", i)
		if !c.keyed {
			id = issueOperationID(t, d.nodes["north-1"], c.key)
		}
		o.ids = append(o.ids, id)
	}
	return o
}

// check makes the calls, injects the fault, repeats the calls and checks the runs.
func (o *operationRun) check() {
	applyFault(o.d, o.fault.before)
	var first sync.WaitGroup
	for i := range o.ids {
		first.Go(func() { o.call(o.d.nodes["north-1"], i) })
	}
	if o.fault.during != nil {
		waitFor(o.t, "a call to run", func() bool { return len(o.runs()) > 0 })
		o.fault.during(o.d)
		// The repetitions arrive while the first calls are still in flight.
		o.repeat("north-2", "south-1", "south-2")
	}
	applyFault(o.d, o.fault.unblock)
	first.Wait()
	applyFault(o.d, o.fault.between)
	o.repeat("north-1", "north-2", "south-1")
	applyFault(o.d, o.fault.restore)
	o.waitIdle()
	o.repeat("north-1", "north-2", "south-1", "south-2")
	o.waitIdle()
	o.checkRuns()
}

// applyFault calls fault unless it is nil.
func applyFault(d *deployment, fault func(*deployment)) {
	if fault != nil {
		fault(d)
	}
}

// callPath returns a path that is unique to a call, so that its runs can be counted
// independently of the id that they carry.
func callPath(i int) string { return fmt.Sprintf("/apply/%d", i) }

func (o *operationRun) call(n *nodeProc, i int) {
	header := map[string]string{callerapi.HeaderOperationID: o.ids[i]}
	if o.fault.keyed {
		header = map[string]string{callerapi.HeaderIdempotencyKey: o.ids[i]}
	}
	r := call(n, o.fault.key, http.MethodPost, "/services/"+serviceName+callPath(i), header, "vat 7")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.responses[o.ids[i]] = append(o.responses[o.ids[i]], r)
}

// repeat makes every call again at all the given nodes concurrently. It skips nodes
// that don't respond.
func (o *operationRun) repeat(nodes ...string) {
	var calls sync.WaitGroup
	for _, id := range nodes {
		n, ok := o.d.nodes[id]
		if !ok {
			continue
		}
		if _, err := o.d.tryStatus(n); err != nil {
			continue // killed or frozen
		}
		for i := range o.ids {
			calls.Go(func() { o.call(n, i) })
		}
	}
	calls.Wait()
}

// waitIdle waits until no node has a request in flight that could still run a call.
func (o *operationRun) waitIdle() {
	o.t.Helper()
	for _, n := range o.d.nodes {
		if n.exited() {
			continue
		}
		waitFor(o.t, n.id+" to be idle", func() bool {
			st, err := o.d.tryStatus(n)
			return err == nil && st.InFlight == 0
		})
	}
}

// runs returns the number of runs of each call by path.
func (o *operationRun) runs() map[string]int {
	o.t.Helper()
	runs := make(map[string]int)
	for _, u := range o.d.upstreams {
		var list []servicesim.Execution
		o.d.get("http://"+u.address+servicesim.PathExecutions, &list)
		for _, e := range list {
			if e.Method == http.MethodPost {
				runs[e.Path] += e.Count
			}
		}
	}
	return runs
}

// checkRuns compares the runs of each call with the responses and the operation status.
func (o *operationRun) checkRuns() {
	runs := o.runs()
	for i, id := range o.ids {
		got := runs[callPath(i)]
		reported := make(map[domain.Run]int)
		for _, r := range o.responses[id] {
			reported[r.run()]++
		}
		if o.fault.keyed {
			// "Not run" applies to a single request here; the call never ran only if
			// all responses say so.
			if reported[domain.RunNo] < len(o.responses[id]) {
				reported[domain.RunNo] = 0
			}
		} else if status, ok := o.status(id); ok {
			reported[status]++
		}
		o.checkCall(i, got, reported)
	}
}

// checkCall compares the number of runs of call i with the expected number and with the
// count of each outcome that was reported to callers.
func (o *operationRun) checkCall(i, got int, reported map[domain.Run]int) {
	failed := got > 1 ||
		(reported[domain.RunNo] > 0 && got != 0) ||
		(reported[domain.RunYes] > 0 && got != 1) ||
		(o.fault.wantRuns != atMostOne && got != o.fault.wantRuns)
	if !failed {
		return
	}
	o.t.Errorf("call %d ran %d times, want %d (-1: at most once); outcomes reported to callers: %v", i, got, o.fault.wantRuns, reported)
	for _, r := range o.responses[o.ids[i]] {
		o.t.Logf("  %s: %s", r, tail(string(r.body)))
	}
}

// status returns the status of an operation according to its issuer. It returns false
// if the issuer has exited or returns no status.
func (o *operationRun) status(id string) (domain.Run, bool) {
	n := o.d.nodes["north-1"]
	if n.exited() {
		return "", false
	}
	r := call(n, o.fault.key, http.MethodGet, "/v1/operations/"+id, nil, "")
	var st callerapi.OperationStatus
	if r.status != http.StatusOK || json.Unmarshal(r.body, &st) != nil {
		return "", false
	}
	return st.Run, true
}
