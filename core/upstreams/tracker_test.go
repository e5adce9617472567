package upstreams

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
)

var (
	start    = time.Unix(1700000000, 0)
	place    = domain.Place{Region: "nl-west", FailureDomain: "nl-west-a"}
	farPlace = domain.Place{Region: "de-west", FailureDomain: "de-west-a"}
	model    = domain.Target{Kind: domain.TargetModel, Name: "assistent-llm"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func engineVM(id string) ports.VM {
	return ports.VM{ID: id, Role: ports.RoleEngine, Place: place, Address: "10.0.0." + id + ":80"}
}

func report(change func(*domain.LoadReport)) domain.LoadReport {
	r := domain.LoadReport{Slots: 4, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 40, Models: []string{model.Name}}
	if change != nil {
		change(&r)
	}
	return r
}

func tracked(t *testing.T, n int) *Tracker {
	t.Helper()
	tr := New(Options{Node: "n1", Place: place})
	var rows []ports.VM
	for i := range n {
		rows = append(rows, engineVM(fmt.Sprint(i)))
	}
	tr.ObserveVMs(start, rows)
	for i := range n {
		observe(t, tr, 0, fmt.Sprint(i), nil)
	}
	return tr
}

func observe(t *testing.T, tr *Tracker, d time.Duration, id string, change func(*domain.LoadReport)) {
	t.Helper()
	if err := tr.ObserveReport(at(d), domain.UpstreamID(id), report(change)); err != nil {
		t.Fatal(err)
	}
}

func dispatch(t *testing.T, tr *Tracker, d time.Duration, id string, prompt int) *Dispatch {
	t.Helper()
	work, err := tr.Start(at(d), domain.UpstreamID(id), prompt, 7)
	if err != nil {
		t.Fatal(err)
	}
	return work
}

func estimate(tr *Tracker, d time.Duration, i int) routing.Estimate {
	u := tr.routing(at(d))[i]
	return u.Estimate(0)
}

// A report that does not know of newer dispatches must not hide them, and one
// that does must not count them twice.
func TestReportIsCorrectedByOwnWork(t *testing.T) {
	cases := []struct {
		name   string
		report domain.LoadReport
		want   float64
	}{
		{"reading before both", domain.LoadReport{Age: 3 * time.Second, Running: 1}, 3},
		{"reading between them", domain.LoadReport{Age: 1500 * time.Millisecond, Running: 2}, 3},
		{"reading after both", domain.LoadReport{Running: 3}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := tracked(t, 1)
			dispatch(t, tr, time.Second, "0", 100)
			dispatch(t, tr, 2*time.Second, "0", 100)
			observe(t, tr, 3*time.Second, "0", func(r *domain.LoadReport) { r.Age, r.Running = c.report.Age, c.report.Running })
			if got := estimate(tr, 3*time.Second, 0).Requests; got != c.want {
				t.Errorf("%v requests, want %v", got, c.want)
			}
		})
	}
}

func TestEndedWorkLeavesTheEstimate(t *testing.T) {
	tr := tracked(t, 1)
	d := dispatch(t, tr, time.Second, "0", 500)
	if e := estimate(tr, time.Second, 0); e.Requests != 1 || e.Wait != 500*time.Millisecond {
		t.Fatalf("%+v", e)
	}
	d.FirstToken(at(2 * time.Second))
	d.End(at(3*time.Second), OutcomeSucceeded)
	d.End(at(3*time.Second), OutcomeFailed)
	d.FirstToken(at(3 * time.Second))
	if e := estimate(tr, 3*time.Second, 0); e.Requests != 0 || e.Wait != 0 {
		t.Fatalf("%+v", e)
	}
	u := tr.routing(at(3 * time.Second))[0]
	if len(u.Prefixes) != 1 || u.Own.InFlight() != 0 || u.Own.PendingTokens() != 0 {
		t.Errorf("prefixes %v, %d in flight, %d tokens pending", u.Prefixes, u.Own.InFlight(), u.Own.PendingTokens())
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	tr := tracked(t, 1)
	observe(t, tr, 2*time.Second, "0", func(r *domain.LoadReport) { r.Running = 3 })
	observe(t, tr, 3*time.Second, "0", func(r *domain.LoadReport) { r.Age = 2 * time.Second })
	if got := estimate(tr, 3*time.Second, 0).Requests; got != 3 {
		t.Errorf("%v requests, want 3", got)
	}
}

func TestOthersBacklogDrainsBetweenReports(t *testing.T) {
	tr := tracked(t, 1)
	tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 1, PendingTokens: 1000}})
	if w := estimate(tr, 1500*time.Millisecond, 0).Wait; w != 500*time.Millisecond {
		t.Errorf("wait %v", w)
	}
	observe(t, tr, 2*time.Second, "0", func(r *domain.LoadReport) { r.Running, r.Waiting, r.QueuedTokens = 1, 1, 2000 })
	if w := estimate(tr, 3*time.Second, 0).Wait; w != 2*time.Second {
		t.Errorf("wait behind prompts without a slot %v", w)
	}
}

func TestPartialHeartbeatKeepsOtherCounts(t *testing.T) {
	tr := tracked(t, 2)
	tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 5}})
	tr.ObservePeer(at(2*time.Second), "n2", []PeerLoad{{Upstream: "1", InFlight: 3}})
	if got := estimate(tr, 2*time.Second, 0).Requests; got != 5 {
		t.Errorf("%v requests where the second heartbeat named another upstream, want 5", got)
	}
	tr.ObservePeer(at(6*time.Second+defaultPeerTTL), "n2", nil)
	if got := estimate(tr, 6*time.Second+defaultPeerTTL, 0).Requests; got != 0 {
		t.Errorf("%v requests by a count older than its TTL, want 0", got)
	}
}

func TestEndOfWorkIsTold(t *testing.T) {
	tr := tracked(t, 1)
	d, err := tr.Start(at(0), "0", 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	d.End(at(time.Second), OutcomeSucceeded)
	if got := tr.PeerLoads(at(2 * time.Second)); len(got) != 1 || got[0].InFlight != 0 {
		t.Errorf("loads %+v after the last request ended, want a count of zero", got)
	}
	if got := tr.PeerLoads(at(2*time.Second + defaultPeerTTL)); len(got) != 0 {
		t.Errorf("loads %+v long after the last request ended, want none", got)
	}
}

func TestPeersCountUntilForgotten(t *testing.T) {
	tr := tracked(t, 1)
	tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 5}})
	if got := estimate(tr, 2*time.Second, 0).Requests; got != 5 {
		t.Errorf("%v requests, want 5", got)
	}
	if got := estimate(tr, 20*time.Second, 0).Requests; got != 0 {
		t.Errorf("%v requests of a silent node", got)
	}
	tr.ObservePeer(at(21*time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 5}})
	tr.ForgetPeer("n2")
	if got := tr.routing(at(21 * time.Second))[0].OthersInFlight; got != 0 {
		t.Errorf("%v in flight from a node that left", got)
	}
}

func TestNodesPreferDifferentUpstreams(t *testing.T) {
	owners := make(map[domain.UpstreamID]int)
	nodes := []domain.NodeID{"n1", "n2", "n3"}
	for _, self := range nodes {
		tr := New(Options{Node: self, Place: place})
		tr.ObserveVMs(start, []ports.VM{engineVM("0"), engineVM("1"), engineVM("2"), engineVM("3")})
		for _, other := range nodes {
			if other != self {
				tr.ObservePeer(start, other, nil)
			}
		}
		for _, u := range tr.routing(start) {
			if u.Preferred {
				owners[u.Ref.ID]++
			}
		}
	}
	for id, n := range owners {
		if n != 1 {
			t.Errorf("%d nodes prefer %q", n, id)
		}
	}
	if len(owners) != 4 {
		t.Errorf("owners %v", owners)
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	says := map[string]func(*Tracker){
		"vm list": func(tr *Tracker) {
			vm := engineVM("0")
			vm.Leaving = true
			tr.ObserveVMs(at(time.Second), []ports.VM{vm})
		},
		"upstream": func(tr *Tracker) {
			_ = tr.ObserveReport(at(time.Second), "0", report(func(r *domain.LoadReport) { r.Leaving = true }))
		},
		"peer": func(tr *Tracker) {
			tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", Leaving: true}})
		},
	}
	for name, say := range says {
		t.Run(name, func(t *testing.T) {
			tr := tracked(t, 1)
			say(tr)
			tr.ObserveVMs(at(2*time.Second), []ports.VM{engineVM("0")}) // the list lags
			tr.ObserveProbe(at(2*time.Second), "0", true)
			_, err := tr.Start(at(2*time.Second), "0", 1, 0)
			if e := errkind.From(err); e == nil || e.Kind != errkind.NoCapacity || e.Verdict() != domain.RunNo {
				t.Fatalf("start: %v", err)
			}
			if a := tr.Aggregate(at(2 * time.Second)); a.Targets[0].Slots != 0 {
				t.Errorf("aggregate %+v counts it", a)
			}
		})
	}
}

func TestStaleListDoesNotBringBackWhatLeft(t *testing.T) {
	tr := tracked(t, 2)
	d := dispatch(t, tr, 0, "0", 1)
	tr.ObserveLeaving("0")
	tr.ObserveVMs(at(time.Second), []ports.VM{engineVM("1")})
	if s := tr.State("0"); s != domain.UpstreamLeaving {
		t.Fatalf("%s with a request in flight", s)
	}
	d.End(at(2*time.Second), OutcomeSucceeded)
	tr.ObserveVMs(at(3*time.Second), []ports.VM{engineVM("1")})
	tr.ObserveVMs(at(4*time.Second), []ports.VM{engineVM("0"), engineVM("1")})
	if s := tr.State("0"); s != domain.UpstreamGone {
		t.Fatalf("state %s", s)
	}
}

func TestUnlistedUpstreamStaysWhileItReports(t *testing.T) {
	tr := tracked(t, 2)
	for s := range 20 {
		observe(t, tr, time.Duration(s)*time.Second, "0", nil)
		tr.ObserveVMs(at(time.Duration(s)*time.Second), nil)
	}
	if tr.State("0") != domain.UpstreamLive || tr.State("1") != domain.UpstreamGone {
		t.Fatalf("reporting %s, silent %s", tr.State("0"), tr.State("1"))
	}
	tr.ObserveVMs(at(21*time.Second), []ports.VM{engineVM("1")})
	if tr.State("1") != domain.UpstreamLive {
		t.Errorf("listed again: %s", tr.State("1"))
	}
}

func TestReusedAddressIsANewUpstream(t *testing.T) {
	tr := tracked(t, 1)
	old := dispatch(t, tr, 0, "0", 100)
	vm := engineVM("0")
	vm.ID = "9"
	tr.ObserveVMs(at(time.Second), []ports.VM{engineVM("0"), vm}) // the list still has both
	if tr.State("0") != domain.UpstreamGone || tr.State("9") != domain.UpstreamLive {
		t.Fatalf("old %s, new %s", tr.State("0"), tr.State("9"))
	}
	if err := tr.ObserveReport(at(time.Second), "9", report(func(r *domain.LoadReport) { r.Upstream = "0" })); errkind.From(err).Kind != errkind.Conflict {
		t.Errorf("report of the old VM: %v", err)
	}
	old.End(at(2*time.Second), OutcomeFailed)
	if e := estimate(tr, 2*time.Second, 0); e.Requests != 0 {
		t.Errorf("the old VM's work counts at the new one: %+v", e)
	}
}

func TestEjectionKeepsAFloor(t *testing.T) {
	for _, c := range []struct{ upstreams, suspects int }{{1, 0}, {2, 1}, {3, 1}, {4, 2}, {7, 3}} {
		tr := tracked(t, c.upstreams)
		var wg sync.WaitGroup
		for i := range c.upstreams {
			wg.Go(func() {
				for range 2 * defaultEjectAfter {
					tr.Failed(start, domain.UpstreamID(fmt.Sprint(i)))
				}
			})
		}
		wg.Wait()
		if got := len(tr.Probes(at(defaultProbeInterval))); got != c.suspects {
			t.Errorf("%d of %d are suspect, want %d", got, c.upstreams, c.suspects)
		}
	}
}

func TestSuspectIsProbedAndReturnsSlowly(t *testing.T) {
	tr := tracked(t, 2)
	for range defaultEjectAfter {
		d := dispatch(t, tr, 0, "0", 1)
		d.End(start, OutcomeFailed)
	}
	if _, err := tr.Start(start, "0", 1, 0); err == nil {
		t.Fatal("a suspect took work")
	}
	if due := tr.Probes(at(defaultProbeInterval - 1)); len(due) != 0 {
		t.Fatalf("probe before its time: %v", due)
	}
	tr.ObserveProbe(at(time.Second), "0", false)
	if due := tr.Probes(at(2 * time.Second)); len(due) != 0 {
		t.Fatalf("probe without doubled wait: %v", due)
	}
	tr.ObserveProbe(at(3*time.Second), "0", true)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, minSlowStartShare}, {defaultSlowStart / 2, 0.5}, {defaultSlowStart, 1}} {
		if got := tr.routing(at(3*time.Second + c.after))[0].SlowStart; got != c.want {
			t.Errorf("share %v after %v, want %v", got, c.after, c.want)
		}
	}
}

func TestSuccessEndsASeriesOfFailures(t *testing.T) {
	tr := tracked(t, 2)
	for range 3 * defaultEjectAfter {
		tr.Failed(start, "0")
		tr.Succeeded("0")
	}
	if s := tr.State("0"); s != domain.UpstreamLive {
		t.Errorf("state %s", s)
	}
}
