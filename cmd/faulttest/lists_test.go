package faulttest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/listfiles"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// listsFault is a case of the test for changes of the lists.
type listsFault struct {
	name string
	// before injects a fault before operators make concurrent changes, during while
	// they do, and after once they have finished; restore ends all faults.
	before, during, after, restore func(d *deployment)
}

// readCalls are the calls that read the key-value service.
var readCalls = []platformsim.Call{platformsim.CallGet, platformsim.CallWatch, platformsim.CallList}

func listsFaults() []listsFault {
	stale := platformsim.Fault{Mode: platformsim.Stale, Calls: readCalls}
	restart := func(ids ...string) func(*deployment) {
		return func(d *deployment) {
			for _, id := range ids {
				d.nodes[id].kill()
				d.startNode(d.nodes[id])
			}
		}
	}
	return []listsFault{
		{name: "no fault"},
		{
			name: "responses to writes lost", restore: restorePlatform,
			before: platformFault(platformsim.Fault{Mode: platformsim.LostResponse, Calls: []platformsim.Call{platformsim.CallCompareAndSwap}, MaxCalls: 8}),
		},
		{name: "service slow", before: platformFault(platformsim.Fault{Mode: platformsim.Slow, Delay: slowPlatformDelay}), restore: restorePlatform},
		{name: "service down for a while", during: failPlatform, restore: restorePlatform},
		{name: "service doesn't respond for a while", during: platformFault(platformsim.Fault{Mode: platformsim.Unresponsive}), restore: restorePlatform},
		{name: "reads stale after the changes", after: platformFault(stale), restore: restorePlatform},
		{
			name:  "node restarted while reads are stale",
			after: sequence(platformFault(stale), restart("north-1"), func(d *deployment) { d.waitServing("north-1") }), restore: restorePlatform,
		},
		{
			name: "node restarted while reads are stale and the VM list is slow", restore: restorePlatform,
			after: sequence(func(d *deployment) {
				d.setPlatformFaults(stale, platformsim.Fault{Mode: platformsim.Slow, Calls: []platformsim.Call{platformsim.CallVMs}, Delay: 2 * time.Second})
			}, restart("north-1"), func(d *deployment) { d.waitServing("north-1") }),
		},
		{
			name:  "node restarted while the service is down",
			after: sequence(failPlatform, func(d *deployment) { d.nodes["north-1"].kill() }), restore: sequence(restorePlatform, func(d *deployment) { d.startNode(d.nodes["north-1"]) }),
		},
		{name: "node frozen during the changes", before: onNodes((*nodeProc).freezeNode, "north-1"), restore: thawAll},
		{name: "node restarted during the changes", during: restart("south-1")},
		{name: "failure domain disconnected from the platform", before: onNodes(func(n *nodeProc) { n.platformProxy.disconnect() }, "south-1", "south-2")},
		{
			name:   "failure domain disconnected from the platform and reads stale",
			before: onNodes(func(n *nodeProc) { n.platformProxy.disconnect() }, "south-1", "south-2"), after: platformFault(stale), restore: restorePlatform,
		},
	}
}

// waitServing waits until a node serves requests.
func (d *deployment) waitServing(id string) {
	d.t.Helper()
	waitFor(d.t, id+" to serve", func() bool {
		st, err := d.tryStatus(d.nodes[id])
		return err == nil && st.State == domain.NodeServing
	})
}

const (
	operators          = 3
	changesPerOperator = 3
)

// TestAcceptedChangesReachEveryNode has operators change the lists concurrently
// while faults are injected. Every accepted change must finally be in force at every
// node, none may be lost, and no serving node may revert to an older version.
func TestAcceptedChangesReachEveryNode(t *testing.T) {
	t.Parallel()
	for _, c := range listsFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, site{region: "north", nodes: 2}, site{region: "south", nodes: 2})
			r := &listsRun{t: t, d: d, accepted: make(map[domain.CustomerID]bool)}
			stop := r.watchVersions()
			applyFault(d, c.before)
			r.changeConcurrently(c.during)
			newest := r.waitDomainsAgree()
			applyFault(d, c.after)
			applyFault(d, c.restore)
			r.waitAllCurrent(newest)
			stop()
			r.checkNoChangeLost()
		})
	}
}

// listsRun is the run of one case.
type listsRun struct {
	t  *testing.T
	d  *deployment
	mu sync.Mutex
	// accepted holds the customers whose addition was accepted.
	accepted map[domain.CustomerID]bool
}

// watchVersions polls every node until the returned function is called, and fails the
// test if a serving node reverts to an older version.
func (r *listsRun) watchVersions() (stop func()) {
	var stopped atomic.Bool
	var watchers sync.WaitGroup
	for _, n := range r.d.nodes {
		watchers.Go(func() {
			highest := domain.ListsVersion(0)
			for !stopped.Load() {
				st, err := r.d.tryStatus(n)
				if err == nil && st.State == domain.NodeServing {
					if st.Lists.Version < highest {
						r.t.Errorf("%s reverted from lists version %d to %d", n.id, highest, st.Lists.Version)
					}
					highest = max(highest, st.Lists.Version)
				}
				time.Sleep(pollInterval)
			}
		})
	}
	return func() {
		stopped.Store(true)
		watchers.Wait()
	}
}

// changeConcurrently has operators add customers concurrently, through the library
// and through crocusctl. Each change is based on the version that was read before it.
func (r *listsRun) changeConcurrently(during func(*deployment)) {
	var workers sync.WaitGroup
	for o := range operators {
		workers.Go(func() {
			for i := range changesPerOperator {
				r.addCustomer(domain.CustomerID(fmt.Sprintf("library-%d-%d", o, i)), r.applyByLibrary)
			}
		})
	}
	workers.Go(func() { r.addCustomer("crocusctl-1", r.applyByCommand) })
	workers.Go(func() { r.addCustomer("crocusctl-2", r.applyByCommand) })
	if during != nil {
		waitFor(r.t, "a change to be accepted", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.accepted) > 0
		})
		during(r.d)
	}
	workers.Wait()
}

// maxChangeAttempts limits the attempts to make one change during a permanent fault.
const maxChangeAttempts = 25

// addCustomer retries the addition of a customer after each conflict until it is
// accepted.
func (r *listsRun) addCustomer(id domain.CustomerID, applyChange func(base *lists.Versioned, doc lists.Document) error) {
	for range maxChangeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		base, err := lists.Read(ctx, r.d.kv)
		cancel()
		if err != nil {
			return // the service is unavailable
		}
		doc := base.Document
		doc.Customers = append(slices.Clone(doc.Customers), lists.Customer{ID: id, Plan: "all", KeyHashes: []string{lists.HashKey(string(id))}})
		err = applyChange(base, doc)
		if err == nil {
			r.mu.Lock()
			r.accepted[id] = true
			r.mu.Unlock()
			return
		}
		if errkind.From(err).Kind != errkind.Conflict {
			return // outcome unknown or service unavailable: not counted as accepted
		}
	}
}

// operatorTimeout limits each operation of an operator.
const operatorTimeout = 4 * time.Second

func (r *listsRun) applyByLibrary(base *lists.Versioned, doc lists.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	applier := lists.Applier{KV: r.d.kv}
	_, err := applier.Apply(ctx, lists.Proposal{
		ChangeID: fmt.Sprintf("change-%d", nextChangeNumber()), Author: "library", Reason: "race", Time: time.Now(), Document: doc, Base: &base.Version,
	})
	return err
}

func (r *listsRun) applyByCommand(base *lists.Versioned, doc lists.Document) error {
	dir := r.t.TempDir()
	writeJSON(r.t, filepath.Join(dir, listfiles.CustomersFile), lists.Document{Customers: doc.Customers}, "regions", "plans", "services")
	writeJSON(r.t, filepath.Join(dir, listfiles.PlansFile), doc, "customers")
	command := exec.Command(ctlBinary, "apply", "--platform", r.d.platformURL, "--dir", dir, "--author", "command", "--reason", "race",
		"--base", fmt.Sprint(base.Version), "--timeout", operatorTimeout.String())
	text, err := command.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return err
	}
	if exit.ExitCode() == errkind.Lookup(errkind.Conflict).ExitCode {
		return errkind.Of(errkind.Conflict)
	}
	r.t.Logf("crocusctl apply: %s", text)
	return errkind.Of(errkind.StoreUnavailable)
}

// writeJSON writes a document without the given top-level keys. The YAML reader
// accepts JSON.
func writeJSON(t testing.TB, path string, doc lists.Document, without ...string) {
	t.Helper()
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		t.Fatal(err)
	}
	for _, k := range without {
		delete(keys, k)
	}
	text, err = json.Marshal(keys)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitDomainsAgree waits until one node of each failure domain has the newest lists
// version of all nodes, and returns that version.
func (r *listsRun) waitDomainsAgree() domain.ListsVersion {
	r.t.Helper()
	var newest domain.ListsVersion
	waitFor(r.t, "the failure domains to have the same lists version", func() bool {
		newest = 0
		for _, n := range r.d.nodes {
			newest = max(newest, r.d.listsVersion(n))
		}
		return r.d.listsVersion(r.d.nodes["north-2"]) == newest && r.d.listsVersion(r.d.nodes["south-2"]) == newest
	})
	return newest
}

// waitAllCurrent waits until every node has the stored lists version, which must be
// at least v.
func (r *listsRun) waitAllCurrent(v domain.ListsVersion) {
	r.t.Helper()
	startTime := time.Now()
	waitFor(r.t, "every node to have the newest lists", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		stored, err := lists.Read(ctx, r.d.kv)
		if err != nil || stored.Version < v {
			return false
		}
		for _, n := range r.d.nodes {
			if r.d.listsVersion(n) != stored.Version {
				return false
			}
		}
		return true
	})
	r.t.Logf("in force at every node %v after the end of the fault", time.Since(startTime).Round(time.Millisecond))
}

// checkNoChangeLost checks that the stored lists contain every accepted change.
func (r *listsRun) checkNoChangeLost() {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	stored, err := lists.Read(ctx, r.d.kv)
	if err != nil {
		r.t.Fatal(err)
	}
	present := make(map[domain.CustomerID]bool)
	for _, c := range stored.Document.Customers {
		present[c.ID] = true
	}
	for id := range r.accepted {
		if !present[id] {
			r.t.Errorf("the accepted addition of customer %s is missing from the stored lists", id)
		}
	}
	if len(r.accepted) == 0 {
		r.t.Error("no change was accepted: the case checks nothing")
	}
}
