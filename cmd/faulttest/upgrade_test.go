package faulttest

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// earlierBuilds are the commits of earlier landings whose nodes must serve beside those of this one.
var earlierBuilds = []string{"2f402a2", "a50bc60"}

const (
	// applyPeriod is the users' config_apply_ms.
	applyPeriod = 3 * time.Second
	// minUpgradeServed is the least share of requests that nodes serve which are not being replaced.
	minUpgradeServed = 0.9
)

// buildCommit builds the node's binary as of a commit of this repository.
func buildCommit(t *testing.T, commit string) (binary string) {
	t.Helper()
	dir := t.TempDir()
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Fatalf("find the repository, whose history has the earlier build: %v", err)
	}
	archive := filepath.Join(dir, "source.tar")
	for _, args := range [][]string{
		{"git", "-C", strings.TrimSpace(string(root)), "archive", "--output", archive, commit, "adapters", "cmd", "core", "platform", "go.work", "go.work.sum"},
		{"tar", "-x", "-C", dir, "-f", archive},
		{"go", "build", "-C", dir, "-o", "earlier", "./cmd/crocusspread"},
	} {
		if out, err := exec.Command(args[0], args[1:]...).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
		}
	}
	return filepath.Join(dir, "earlier")
}

// TestNodesOfEarlierBuildsServeBesideThisOne replaces the nodes of a deployment one after the other, from an earlier build to this
// one and back, under load.
func TestNodesOfEarlierBuildsServeBesideThisOne(t *testing.T) {
	t.Parallel()
	for _, commit := range earlierBuilds {
		t.Run(commit, func(t *testing.T) {
			t.Parallel()
			earlier := buildCommit(t, commit)
			for name, builds := range map[string][2]string{"upgrade": {earlier, nodeBinary}, "rollback": {nodeBinary, earlier}} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					replaceAll(t, builds[0], builds[1])
				})
			}
		})
	}
}

// replaceAll replaces all nodes of one build by those of another and checks that both serve together after each replacement.
func replaceAll(t *testing.T, before, after string) {
	d := newSoakDeploymentOf(t, before, soakAccounts()...)
	d.setBehaviour(normalBehaviour)
	callers := startSoakCallers(d, *soakCallerCount, 1)
	type replacement struct {
		node        *soakNode
		from, until time.Time
	}
	var replacements []replacement
	for _, i := range []int{0, 2, 1, 3} { // one of each region first, so that both builds are in both
		n := d.nodes[i]
		from := time.Now()
		p := n.process()
		p.terminate()
		<-p.done
		n.binary = after
		n.start(t, p)
		d.waitServing("after a replacement")
		replacements = append(replacements, replacement{n, from, time.Now()})
		d.checkChangeIsInForce()
		d.checkRemovedUpstream()
	}
	responses := callers.finish()
	d.check(responses)
	d.checkColdArrivals()
	sent, served := 0, 0
	for _, r := range responses {
		replaced := false
		for _, p := range replacements {
			replaced = replaced || p.node == r.node && r.sentAt.After(p.from.Add(-soakTimeout)) && r.sentAt.Before(p.until)
		}
		if replaced || r.key != soakLargeKey {
			continue // the others have quotas, or no account
		}
		sent++
		if r.status == http.StatusOK && !r.truncated {
			served++
		}
	}
	t.Logf("%d of %d requests served at nodes that were not being replaced", served, sent)
	if float64(served) < minUpgradeServed*float64(sent) {
		t.Errorf("%d of %d requests were served at nodes that were not being replaced, want at least %v", served, sent, minUpgradeServed)
	}
	for _, n := range d.nodes {
		n.checkEnds(t)
	}
}

// checkChangeIsInForce changes the routing table and checks that each node follows it in time.
func (d *soakDeployment) checkChangeIsInForce() {
	want := "u-"
	if d.publishRoutes()%2 == 0 {
		want = "u2-"
	}
	time.Sleep(applyPeriod)
	for _, n := range d.nodes {
		if r := n.sendOnce("safe", "change"); r.status == http.StatusOK && !strings.HasPrefix(r.body, want) {
			d.t.Errorf("%s: request %s ran at %q %v after its route was moved, want an upstream %s", n.name, r.id, r.body, applyPeriod, want)
		}
	}
}

// checkRemovedUpstream removes the entry of an upstream, which runs on, and checks that no node sends to it.
func (d *soakDeployment) checkRemovedUpstream() {
	u := d.upstreams[0]
	u.Deregister()
	time.Sleep(drainPeriod)
	before := len(u.Arrivals())
	var sends sync.WaitGroup
	for _, n := range d.nodes {
		sends.Go(func() {
			for range 10 {
				n.sendOnce("call", "removed")
			}
		})
	}
	sends.Wait()
	if got := len(u.Arrivals()) - before; got > 0 {
		d.t.Errorf("%d requests reached upstream %s %v after the removal of its entry, want none", got, u.ID, drainPeriod)
	}
	u.Register("ready")
}
