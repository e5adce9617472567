package faulttest

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
)

const (
	// minServedShare is the least share of first tries that nodes without paths serve, in
	// relation to the others, unless at most lostPathSlack plus one in lostPathEvery of all first
	// tries fail there.
	minServedShare = 2.0 / 3
	lostPathSlack  = 10
	lostPathEvery  = 50
	// cutMeasured is how long tries are counted, from contactPeriod after the beginning of a cut.
	cutMeasured = 4 * time.Second
	// Log events of a node that takes an upstream for cold, or that has lost its paths.
	noteOfCold      = `"instance_cold"`
	noteOfLostPaths = `"paths_lost"`
)

var cutModes = map[string]pathMode{"connections hang": pathHangs, "connections are reset": pathReset, "new connections are refused": pathRefusesNew}

var cutNodes = map[string]func(*soakDeployment) []*soakNode{
	"one node":       func(d *soakDeployment) []*soakNode { return d.nodes[1:2] },
	"failure domain": func(d *soakDeployment) []*soakNode { return d.nodesOf("east") },
}

func TestNodesWithoutPathsServeTheirCallers(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		for which, choose := range cutNodes {
			t.Run(which+", "+name, func(t *testing.T) {
				t.Parallel()
				d := newSoakDeployment(t)
				for _, u := range d.allUpstreams() {
					u.RecordRequests()
				}
				d.setBehaviour(normalBehaviour)
				callers := startSoakCallers(d, *soakCallerCount, 1)
				time.Sleep(2 * time.Second)
				cut := choose(d)
				others := slices.DeleteFunc(slices.Clone(d.nodes), func(n *soakNode) bool { return slices.Contains(cut, n) })
				takenForCold := countNotes(noteOfCold, others)
				began := time.Now()
				d.cutPaths(mode, cut...)
				time.Sleep(time.Until(began.Add(contactPeriod + cutMeasured)))
				if got := countNotes(noteOfCold, others) - takenForCold; got > 0 {
					t.Errorf("other nodes took sound upstreams for cold %d times while the paths of some were cut", got)
				}
				if mode != pathRefusesNew && countNotes(noteOfLostPaths, cut) < len(cut) {
					t.Errorf("%d of %d nodes noticed that their paths were cut", countNotes(noteOfLostPaths, cut), len(cut))
				}
				d.restartColdAndRestorePaths(cut, 0)
				responses := callers.finish()
				d.checkServedDuringCut(cut, responses, began.Add(contactPeriod), began.Add(contactPeriod+cutMeasured))
				d.check(responses)
				d.checkColdArrivals()
				d.waitServing("after the cut")
			})
		}
	}
}

func TestUpstreamThatRestartsWhileNodesHaveNoPathsIsNotFlooded(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		for which, choose := range cutNodes {
			t.Run(which+", "+name, func(t *testing.T) {
				t.Parallel()
				d := newSoakDeployment(t)
				d.setBehaviour(normalBehaviour)
				callers := startSoakCallers(d, *soakCallerCount, 1)
				time.Sleep(2 * time.Second)
				cut := choose(d)
				d.cutPaths(mode, cut...)
				time.Sleep(time.Second)
				d.restartColdAndRestorePaths(cut, -1)
				d.check(callers.finish())
				d.checkColdArrivals()
			})
		}
	}
}

// restartColdAndRestorePaths restarts the upstream with a cold phase that is in the region of the
// nodes without paths, and restores these while it is cold. Its entry is written after a time, or
// not at all if that is negative. It returns at the end of the cold phase.
func (d *soakDeployment) restartColdAndRestorePaths(cut []*soakNode, registerAfter time.Duration) {
	i := slices.IndexFunc(d.cold, func(u *soakUpstream) bool { return u.region == cut[0].region })
	d.cold[i].Crash(routedsim.Behaviour{RestartAfter: 100 * time.Millisecond, KeepID: true, ColdStart: soakColdPeriod, RegisterAfter: registerAfter})
	time.Sleep(500 * time.Millisecond)
	d.restorePaths(cut...)
	time.Sleep(soakColdPeriod)
}

// countNotes returns how often nodes have logged an event.
func countNotes(note string, nodes []*soakNode) int {
	count := 0
	for _, n := range nodes {
		count += strings.Count(n.process().out.String(), note)
	}
	return count
}

// tries counts first tries at some nodes.
type tries struct{ sent, served int }

func (t tries) share() float64 { return float64(t.served) / float64(t.sent) }

// checkServedDuringCut checks that first tries at nodes without paths, all and those of each kind,
// were served about as often as those at the others. Callers try each request once.
func (d *soakDeployment) checkServedDuringCut(cut []*soakNode, responses []soakResponse, from, until time.Time) {
	const all = "all"
	without, others := make(map[string]tries), make(map[string]tries)
	for _, r := range responses {
		if r.sentAt.Before(from) || r.sentAt.After(until) || r.kind == crashingKind || r.kind == crashingRequestKind {
			continue
		}
		group := others
		if slices.Contains(cut, r.node) {
			group = without
		}
		for _, kind := range []string{all, r.kind} {
			counted := group[kind]
			counted.sent++
			if r.status == http.StatusOK && !r.truncated {
				counted.served++
			}
			group[kind] = counted
		}
	}
	d.t.Logf("first tries by kind (sent, served) at nodes without paths: %v, at the others: %v", without, others)
	if without[all].sent == 0 || others[all].sent == 0 {
		d.t.Fatal("no tries to compare")
	}
	for kind, there := range without {
		elsewhere := others[kind]
		failed, allowed := there.sent-there.served, lostPathSlack+(there.sent+elsewhere.sent)/lostPathEvery
		if elsewhere.sent > 0 && there.share() < minServedShare*elsewhere.share() && failed > allowed {
			d.t.Errorf("kind %s: nodes without paths served %.2f of first tries, the others %.2f; %d failed there, at most %d allowed then", kind, there.share(), elsewhere.share(), failed, allowed)
		}
	}
}
