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

// listsFault is a row of the table for changes of the lists.
type listsFault struct {
	name string
	// before strikes before operators race, during while they do, and after once
	// they have ended; heal ends all of it.
	before, during, after, heal func(d *deployment)
}

var reads = []platformsim.Call{platformsim.CallGet, platformsim.CallWatch, platformsim.CallList}

func listsFaults() []listsFault {
	stale := platformsim.Fault{Mode: platformsim.Stale, Calls: reads}
	restart := func(ids ...string) func(*deployment) {
		return func(d *deployment) {
			for _, id := range ids {
				d.nodes[id].kill()
				d.startNode(d.nodes[id])
			}
		}
	}
	return []listsFault{
		{name: "operators race"},
		{
			name: "answers of writes lost", heal: platformHealed,
			before: platformFault(platformsim.Fault{Mode: platformsim.LostAnswer, Calls: []platformsim.Call{platformsim.CallSwap}, Times: 8}),
		},
		{name: "service slow", before: platformFault(platformsim.Fault{Mode: platformsim.Slow, Delay: slowPlatform}), heal: platformHealed},
		{name: "service down for a while", during: platformDown, heal: platformHealed},
		{name: "service silent for a while", during: platformFault(platformsim.Fault{Mode: platformsim.Silent}), heal: platformHealed},
		{name: "reads stale after the changes", after: platformFault(stale), heal: platformHealed},
		{
			name:  "node restarted while it reads stale",
			after: together(platformFault(stale), restart("north-1"), func(d *deployment) { d.waitServing("north-1") }), heal: platformHealed,
		},
		{
			name: "node restarted while it reads stale and the VM list is slow", heal: platformHealed,
			after: together(func(d *deployment) {
				d.platformFaults(stale, platformsim.Fault{Mode: platformsim.Slow, Calls: []platformsim.Call{platformsim.CallVMs}, Delay: 2 * time.Second})
			}, restart("north-1"), func(d *deployment) { d.waitServing("north-1") }),
		},
		{
			name:  "node restarted while the service is down",
			after: together(platformDown, func(d *deployment) { d.nodes["north-1"].kill() }), heal: together(platformHealed, func(d *deployment) { d.startNode(d.nodes["north-1"]) }),
		},
		{name: "node frozen over the changes", before: onNodes((*nodeProc).freezeNode, "north-1"), heal: thawAll},
		{name: "node restarted during the changes", during: restart("south-1")},
		{name: "domain cut from the platform", before: onNodes(func(n *nodeProc) { n.platform.cut() }, "south-1", "south-2")},
		{
			name:   "domain cut from the platform and reads stale",
			before: onNodes(func(n *nodeProc) { n.platform.cut() }, "south-1", "south-2"), after: platformFault(stale), heal: platformHealed,
		},
	}
}

// waitServing waits until a node takes requests.
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

// TestAcceptedChangesHoldEverywhere lets operators race on the lists under
// faults: every change that was accepted is in force at every node in the end,
// none is lost, and no serving node ever falls back to an older version.
func TestAcceptedChangesHoldEverywhere(t *testing.T) {
	t.Parallel()
	for _, c := range listsFaults() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, site{region: "north", nodes: 2}, site{region: "south", nodes: 2})
			r := &listsRun{t: t, d: d, accepted: make(map[domain.CustomerID]bool)}
			stop := r.watchVersions()
			apply(d, c.before)
			r.race(c.during)
			newest := r.waitNewest()
			apply(d, c.after)
			apply(d, c.heal)
			r.waitEverywhere(newest)
			stop()
			r.checkNothingLost()
		})
	}
}

// listsRun is one row being run.
type listsRun struct {
	t  *testing.T
	d  *deployment
	mu sync.Mutex
	// accepted holds the customers whose addition was accepted.
	accepted map[domain.CustomerID]bool
}

// watchVersions looks at every node until the returned function is called, and
// reports a serving node that falls back.
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
						r.t.Errorf("%s fell back from version %d to %d", n.id, highest, st.Lists.Version)
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

// race lets operators add customers, by the library and by crocusctl, each
// change based on the version read before.
func (r *listsRun) race(during func(*deployment)) {
	var racing sync.WaitGroup
	for o := range operators {
		racing.Go(func() {
			for i := range changesPerOperator {
				r.add(domain.CustomerID(fmt.Sprintf("library-%d-%d", o, i)), r.applyByLibrary)
			}
		})
	}
	racing.Go(func() { r.add("crocusctl-1", r.applyByCommand) })
	racing.Go(func() { r.add("crocusctl-2", r.applyByCommand) })
	if during != nil {
		waitFor(r.t, "a change to be accepted", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.accepted) > 0
		})
		during(r.d)
	}
	racing.Wait()
}

// maxRefusals bounds the tries of one change; a lasting fault ends them.
const maxRefusals = 25

// add tries until the addition of a customer is accepted.
func (r *listsRun) add(id domain.CustomerID, try func(base *lists.Versioned, doc lists.Document) error) {
	for range maxRefusals {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		base, err := lists.Read(ctx, r.d.kv)
		cancel()
		if err != nil {
			return // the service is away
		}
		doc := base.Document
		doc.Customers = append(slices.Clone(doc.Customers), lists.Customer{ID: id, Plan: "all", KeyHashes: []string{lists.HashKey(string(id))}})
		err = try(base, doc)
		if err == nil {
			r.mu.Lock()
			r.accepted[id] = true
			r.mu.Unlock()
			return
		}
		if errkind.From(err).Kind != errkind.Conflict {
			return // unknown, or the service is away: nothing was accepted
		}
	}
}

// operatorTimeout is how long an operator waits for the service.
const operatorTimeout = 4 * time.Second

func (r *listsRun) applyByLibrary(base *lists.Versioned, doc lists.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	applier := lists.Applier{KV: r.d.kv}
	_, err := applier.Apply(ctx, lists.Proposal{
		ChangeID: fmt.Sprintf("change-%d", nextChange()), Author: "library", Reason: "race", Time: time.Now(), Document: doc, Base: &base.Version,
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

// writeJSON writes a document, which YAML can read, without some keys.
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

// waitNewest waits until a node of each failure domain holds what the others
// hold, and returns that version.
func (r *listsRun) waitNewest() domain.ListsVersion {
	r.t.Helper()
	var newest domain.ListsVersion
	waitFor(r.t, "the domains to agree", func() bool {
		newest = 0
		for _, n := range r.d.nodes {
			newest = max(newest, r.d.version(n))
		}
		return r.d.version(r.d.nodes["north-2"]) == newest && r.d.version(r.d.nodes["south-2"]) == newest
	})
	return newest
}

// waitEverywhere waits until every node holds at least a version and all the
// same, also after the fault is over.
func (r *listsRun) waitEverywhere(v domain.ListsVersion) {
	r.t.Helper()
	begun := time.Now()
	waitFor(r.t, "every node to hold the newest lists", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		stored, err := lists.Read(ctx, r.d.kv)
		if err != nil || stored.Version < v {
			return false
		}
		for _, n := range r.d.nodes {
			if r.d.version(n) != stored.Version {
				return false
			}
		}
		return true
	})
	r.t.Logf("in force everywhere %v after the fault's end", time.Since(begun).Round(time.Millisecond))
}

// checkNothingLost looks for every accepted change in the lists in force.
func (r *listsRun) checkNothingLost() {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	stored, err := lists.Read(ctx, r.d.kv)
	if err != nil {
		r.t.Fatal(err)
	}
	held := make(map[domain.CustomerID]bool)
	for _, c := range stored.Document.Customers {
		held[c.ID] = true
	}
	for id := range r.accepted {
		if !held[id] {
			r.t.Errorf("the accepted addition of %s is gone", id)
		}
	}
	if len(r.accepted) == 0 {
		r.t.Error("no change was accepted: the row proves nothing")
	}
}
