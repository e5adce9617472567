package faulttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// stopFault is a case of the test for planned stops.
type stopFault struct {
	name string
	// stopped are the nodes that receive SIGTERM.
	stopped []string
	// before injects a fault before the nodes receive SIGTERM, during after that.
	before, during func(d *deployment)
	// mayLoseResponses is set if the fault itself may lose the responses to calls that
	// must run at most once. Their outcome must then be "unknown", never "not run".
	mayLoseResponses bool
}

func stopFaults() []stopFault {
	return []stopFault{
		{name: "no fault", stopped: []string{"north-1"}},
		{name: "receiver of forwards", stopped: []string{"south-1"}},
		{name: "two nodes at once", stopped: []string{"north-1", "south-1"}},
		{name: "platform down", stopped: []string{"north-1"}, before: failPlatform},
		{name: "platform link drops all bytes", stopped: []string{"north-1"}, before: onNodes(func(n *nodeProc) { n.platformProxy.blackhole() }, "north-1")},
		{name: "second SIGTERM during the stop", stopped: []string{"north-1"}, during: onNodes(func(n *nodeProc) { n.terminate() }, "north-1")},
		{
			name: "SIGHUP, SIGINT and SIGQUIT during the stop", stopped: []string{"north-1", "south-1"},
			during: onNodes(func(n *nodeProc) {
				for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP, syscall.SIGQUIT, syscall.SIGHUP} {
					n.signal(s)
				}
			}, "north-1", "south-1"),
		},
		{
			name: "SIGHUP, and the reader of the log gone, before the stop", stopped: []string{"north-1"},
			before: onNodes(func(n *nodeProc) { n.closeOutput(); n.signal(syscall.SIGHUP) }, "north-1"),
		},
		{
			name: "connections between nodes closed during the stop", stopped: []string{"north-1"}, mayLoseResponses: true,
			during: onNodes((*nodeProc).closePeerConnections, "north-1", "south-1", "south-2"),
		},
	}
}

// TestPlannedStopInterruptsNoRequest stops nodes that serve streams, run calls that
// must run at most once and forward requests. All requests in flight must complete,
// the exit code must be 0, and every other node must remove the stopping node from
// its entry list.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	for _, c := range stopFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t,
				site{region: "north", nodes: 2, engines: 1, services: 1, slots: 32, rate: 20, workTime: 3 * time.Second},
				site{region: "south", nodes: 2, engines: 1, services: 1, slots: 32, rate: 20, workTime: 3 * time.Second})
			r := &stopRun{t: t, d: d, fault: c}
			r.check()
		})
	}
}

// stopRun is the run of one case.
type stopRun struct {
	t     *testing.T
	d     *deployment
	fault stopFault
	mu    sync.Mutex
	// duringStop holds the responses to requests that were sent during the stop.
	duringStop []response
}

// stopStreamTokens is the length of each stream in flight. Generating it takes longer
// than a stop that doesn't wait for it, including the time to close the listeners.
const stopStreamTokens = 240

func (r *stopRun) check() {
	var streams []*responseStream
	for _, id := range []string{"north-1", "south-1", "south-2"} {
		for _, key := range []string{"key-north", "key-south"} {
			streams = append(streams, r.d.startChat(r.d.nodes[id], key, "long", stopStreamTokens))
		}
	}
	for _, s := range streams {
		s.readEvents(2)
	}
	checkOperations := r.startOperations()
	applyFault(r.d, r.fault.before)
	for _, id := range r.fault.stopped {
		r.d.nodes[id].terminate()
	}
	applyFault(r.d, r.fault.during)
	waitClosed := r.sendDuringStop()
	r.checkEntryLists()
	waitClosed()
	for _, s := range streams {
		if got := s.finish(); !checkComplete(r.t, got) {
			r.t.Errorf("a stream was interrupted: %s: %s", got, tail(string(got.body)))
		}
	}
	checkOperations()
	for _, id := range r.fault.stopped {
		if code := r.d.nodes[id].exitCode(r.t); code != 0 {
			r.t.Errorf("%s exited with code %d, want 0: %s", id, code, tail(r.d.nodes[id].out.String()))
		}
	}
	r.checkDuringStop()
}

// startOperations makes two calls that must run at most once at each node to be
// stopped, one for each region, and returns once all are running. The returned
// function waits for their responses and checks them.
func (r *stopRun) startOperations() (check func()) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var responses []response
	for _, id := range r.fault.stopped {
		for _, key := range []string{"key-north", "key-south"} {
			op := issueOperationID(r.t, r.d.nodes[id], key)
			calls.Go(func() {
				got := callApply(r.d.nodes[id], key, op)
				mu.Lock()
				defer mu.Unlock()
				responses = append(responses, got)
			})
		}
	}
	waitFor(r.t, "the calls to run", func() bool {
		running := 0
		for id := range r.d.serviceExecutions("") {
			if len(id) > 4 && id[:4] == "op1." {
				running++
			}
		}
		return running == 2*len(r.fault.stopped)
	})
	return func() {
		calls.Wait()
		for _, got := range responses {
			lost := r.fault.mayLoseResponses && got.run() != domain.RunNo && got.err == nil
			if got.status != http.StatusOK && !lost {
				r.t.Errorf("a call was interrupted: %s: %s", got, got.body)
			}
		}
	}
}

// checkEntryLists waits until no remaining node lists a stopping node as an entry node.
// The stopping node must still be running then, which shows that it was removed
// because it announced the stop, not because it became unreachable.
func (r *stopRun) checkEntryLists() {
	r.t.Helper()
	startTime := time.Now()
	for id, n := range r.d.nodes {
		if slices.Contains(r.fault.stopped, id) {
			continue
		}
		for _, stopping := range r.fault.stopped {
			waitFor(r.t, id+" to have an entry list without "+stopping, func() bool {
				return !containsEntry(call(n, "key-all", http.MethodGet, "/v1/entries", nil, ""), stopping)
			})
			if r.d.nodes[stopping].exited() {
				r.t.Errorf("%s listed %s as an entry node until it had exited", id, stopping)
			}
		}
	}
	r.t.Logf("removed from all entry lists after %v", time.Since(startTime).Round(time.Millisecond))
}

func containsEntry(r response, node string) bool {
	var list callerapi.EntryList
	if json.Unmarshal(r.body, &list) != nil {
		return false
	}
	return slices.ContainsFunc(list.Entries, func(e callerapi.Entry) bool { return e.Node == domain.NodeID(node) })
}

// sendDuringStop sends requests to the stopping nodes until they have closed their
// ports or exited. The returned function waits for that.
func (r *stopRun) sendDuringStop() (wait func()) {
	var senders sync.WaitGroup
	for _, id := range r.fault.stopped {
		senders.Go(func() {
			n := r.d.nodes[id]
			for i := 0; !n.exited(); i++ {
				got := r.d.startChat(n, "key-all", fmt.Sprint(i), 2).finish()
				r.mu.Lock()
				r.duringStop = append(r.duringStop, got)
				r.mu.Unlock()
				if got.header == nil {
					return // no connection: the node has closed its port
				}
				time.Sleep(pollInterval)
			}
		})
	}
	return senders.Wait
}

// checkDuringStop checks that each request sent during the stop got a complete
// response, a rejection that says "not run", or no connection.
func (r *stopRun) checkDuringStop() {
	served, rejected := 0, 0
	for _, got := range r.duringStop {
		switch {
		case got.header == nil:
		case got.status == http.StatusOK:
			served++
			if !checkComplete(r.t, got) {
				r.t.Errorf("a request sent during the stop was interrupted: %s", got)
			}
		case got.kind() == string(errkind.Draining) && got.run() == domain.RunNo:
			rejected++
		default:
			r.t.Errorf("a request sent during the stop failed: %s: %s", got, got.body)
		}
	}
	r.t.Logf("during the stop %d requests were served and %d rejected", served, rejected)
}
