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
	start       = time.Unix(1700000000, 0)
	place       = domain.Place{Region: "nl-west", FailureDomain: "nl-west-a"}
	remotePlace = domain.Place{Region: "de-west", FailureDomain: "de-west-a"}
	model       = domain.Target{Kind: domain.TargetModel, Name: "assistent-llm"}
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

func newTestTracker(t *testing.T, n int) *Tracker {
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

// Dispatches after the sample time of a load report must be added to the reported
// load, and earlier ones must not be counted twice.
func TestReportIsCorrectedByDispatchesSinceSample(t *testing.T) {
	cases := []struct {
		name   string
		report domain.LoadReport
		want   float64
	}{
		{"sample before both dispatches", domain.LoadReport{Age: 3 * time.Second, Running: 1}, 3},
		{"sample between the dispatches", domain.LoadReport{Age: 1500 * time.Millisecond, Running: 2}, 3},
		{"sample after both dispatches", domain.LoadReport{Running: 3}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := newTestTracker(t, 1)
			dispatch(t, tr, time.Second, "0", 100)
			dispatch(t, tr, 2*time.Second, "0", 100)
			observe(t, tr, 3*time.Second, "0", func(r *domain.LoadReport) { r.Age, r.Running = c.report.Age, c.report.Running })
			if got := estimate(tr, 3*time.Second, 0).Requests; got != c.want {
				t.Errorf("got %v requests, want %v", got, c.want)
			}
		})
	}
}

func TestEndedRequestIsRemovedFromEstimate(t *testing.T) {
	tr := newTestTracker(t, 1)
	d := dispatch(t, tr, time.Second, "0", 500)
	if e := estimate(tr, time.Second, 0); e.Requests != 1 || e.Wait != 500*time.Millisecond {
		t.Fatalf("got %+v, want 1 request and a wait of 500ms", e)
	}
	d.FirstToken(at(2 * time.Second))
	d.End(at(3*time.Second), OutcomeSucceeded)
	d.End(at(3*time.Second), OutcomeFailed)
	d.FirstToken(at(3 * time.Second))
	if e := estimate(tr, 3*time.Second, 0); e.Requests != 0 || e.Wait != 0 {
		t.Fatalf("got %+v, want no requests and no wait", e)
	}
	u := tr.routing(at(3 * time.Second))[0]
	if len(u.Prefixes) != 1 || u.Work.InFlight() != 0 || u.Work.PendingTokens() != 0 {
		t.Errorf("got prefixes %v, %d in flight, %d tokens pending; want 1 prefix, 0 and 0", u.Prefixes, u.Work.InFlight(), u.Work.PendingTokens())
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	tr := newTestTracker(t, 1)
	observe(t, tr, 2*time.Second, "0", func(r *domain.LoadReport) { r.Running = 3 })
	observe(t, tr, 3*time.Second, "0", func(r *domain.LoadReport) { r.Age = 2 * time.Second })
	if got := estimate(tr, 3*time.Second, 0).Requests; got != 3 {
		t.Errorf("got %v requests, want 3", got)
	}
}

func TestQueueOfOtherNodesDrainsBetweenReports(t *testing.T) {
	tr := newTestTracker(t, 1)
	tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 1, PendingTokens: 1000}})
	if w := estimate(tr, 1500*time.Millisecond, 0).Wait; w != 500*time.Millisecond {
		t.Errorf("got wait %v, want 500ms", w)
	}
	observe(t, tr, 2*time.Second, "0", func(r *domain.LoadReport) { r.Running, r.Waiting, r.QueuedTokens = 1, 1, 2000 })
	if w := estimate(tr, 3*time.Second, 0).Wait; w != 2*time.Second {
		t.Errorf("got wait %v with prompts waiting for a slot, want 2s", w)
	}
}

func TestPartialHeartbeatRetainsOtherCounts(t *testing.T) {
	tr := newTestTracker(t, 2)
	tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 5}})
	tr.ObservePeer(at(2*time.Second), "n2", []PeerLoad{{Upstream: "1", InFlight: 3}})
	if got := estimate(tr, 2*time.Second, 0).Requests; got != 5 {
		t.Errorf("got %v requests after a heartbeat that named another upstream, want 5", got)
	}
	tr.ObservePeer(at(6*time.Second+defaultPeerTTL), "n2", nil)
	if got := estimate(tr, 6*time.Second+defaultPeerTTL, 0).Requests; got != 0 {
		t.Errorf("got %v requests from a count older than its TTL, want 0", got)
	}
}

func TestPeerLoadsIncludeEndOfWork(t *testing.T) {
	tr := newTestTracker(t, 1)
	d, err := tr.Start(at(0), "0", 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	d.End(at(time.Second), OutcomeSucceeded)
	if got := tr.PeerLoads(at(2 * time.Second)); len(got) != 1 || got[0].InFlight != 0 {
		t.Errorf("got loads %+v after the last request ended, want one with zero requests", got)
	}
	if got := tr.PeerLoads(at(2*time.Second + defaultPeerTTL)); len(got) != 0 {
		t.Errorf("got loads %+v later than PeerTTL after the last request ended, want none", got)
	}
}

func TestPeerCountsAreValidUntilExpiredOrRemoved(t *testing.T) {
	tr := newTestTracker(t, 1)
	tr.ObservePeer(at(time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 5}})
	if got := estimate(tr, 2*time.Second, 0).Requests; got != 5 {
		t.Errorf("got %v requests, want 5", got)
	}
	if got := estimate(tr, 20*time.Second, 0).Requests; got != 0 {
		t.Errorf("got %v requests of a node without recent heartbeats, want 0", got)
	}
	tr.ObservePeer(at(21*time.Second), "n2", []PeerLoad{{Upstream: "0", InFlight: 5}})
	tr.RemovePeer("n2")
	if got := tr.routing(at(21 * time.Second))[0].OthersInFlight; got != 0 {
		t.Errorf("got %v requests in flight of a node that left, want 0", got)
	}
}

func TestNodesPreferDifferentUpstreams(t *testing.T) {
	preferredBy := make(map[domain.UpstreamID]int)
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
				preferredBy[u.Ref.ID]++
			}
		}
	}
	for id, n := range preferredBy {
		if n != 1 {
			t.Errorf("got %d nodes that prefer %q, want 1", n, id)
		}
	}
	if len(preferredBy) != 4 {
		t.Errorf("got upstreams preferred by a node %v, want all 4", preferredBy)
	}
}

func TestLeavingUpstreamAcceptsNoRequests(t *testing.T) {
	announcements := map[string]func(*Tracker){
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
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			tr := newTestTracker(t, 1)
			announce(tr)
			tr.ObserveVMs(at(2*time.Second), []ports.VM{engineVM("0")}) // outdated list
			tr.ObserveProbe(at(2*time.Second), "0", true)
			_, err := tr.Start(at(2*time.Second), "0", 1, 0)
			if e := errkind.From(err); e == nil || e.Kind != errkind.NoCapacity || e.Verdict() != domain.RunNo {
				t.Fatalf("Start: got error %v, want kind no_capacity and verdict no", err)
			}
			if a := tr.Aggregate(at(2 * time.Second)); a.Targets[0].Slots != 0 {
				t.Errorf("got aggregate %+v, want 0 slots", a)
			}
		})
	}
}

func TestStaleListDoesNotRestoreRemovedUpstream(t *testing.T) {
	tr := newTestTracker(t, 2)
	d := dispatch(t, tr, 0, "0", 1)
	tr.ObserveLeaving("0")
	tr.ObserveVMs(at(time.Second), []ports.VM{engineVM("1")})
	if s := tr.State("0"); s != domain.UpstreamLeaving {
		t.Fatalf("got state %s with a request in flight, want leaving", s)
	}
	d.End(at(2*time.Second), OutcomeSucceeded)
	tr.ObserveVMs(at(3*time.Second), []ports.VM{engineVM("1")})
	tr.ObserveVMs(at(4*time.Second), []ports.VM{engineVM("0"), engineVM("1")})
	if s := tr.State("0"); s != domain.UpstreamGone {
		t.Fatalf("got state %s, want gone", s)
	}
}

func TestUnlistedUpstreamIsRetainedWhileReporting(t *testing.T) {
	tr := newTestTracker(t, 2)
	for s := range 20 {
		observe(t, tr, time.Duration(s)*time.Second, "0", nil)
		tr.ObserveVMs(at(time.Duration(s)*time.Second), nil)
	}
	if tr.State("0") != domain.UpstreamLive || tr.State("1") != domain.UpstreamGone {
		t.Fatalf("got state %s with load reports and %s without, want live and gone", tr.State("0"), tr.State("1"))
	}
	tr.ObserveVMs(at(21*time.Second), []ports.VM{engineVM("1")})
	if tr.State("1") != domain.UpstreamLive {
		t.Errorf("got state %s after the upstream was listed again, want live", tr.State("1"))
	}
}

func TestReassignedAddressIsNewUpstream(t *testing.T) {
	tr := newTestTracker(t, 1)
	old := dispatch(t, tr, 0, "0", 100)
	vm := engineVM("0")
	vm.ID = "9"
	tr.ObserveVMs(at(time.Second), []ports.VM{engineVM("0"), vm}) // the outdated list contains both
	if tr.State("0") != domain.UpstreamGone || tr.State("9") != domain.UpstreamLive {
		t.Fatalf("got state %s for the old VM and %s for the new one, want gone and live", tr.State("0"), tr.State("9"))
	}
	if err := tr.ObserveReport(at(time.Second), "9", report(func(r *domain.LoadReport) { r.Upstream = "0" })); errkind.From(err).Kind != errkind.Conflict {
		t.Errorf("report of the old VM: got error %v, want kind conflict", err)
	}
	old.End(at(2*time.Second), OutcomeFailed)
	if e := estimate(tr, 2*time.Second, 0); e.Requests != 0 {
		t.Errorf("got %+v for the new VM, want no requests of the old VM", e)
	}
}

func TestEjectionRetainsMinimumOfLiveUpstreams(t *testing.T) {
	for _, c := range []struct{ upstreams, wantSuspects int }{{1, 0}, {2, 1}, {3, 1}, {4, 2}, {7, 3}} {
		tr := newTestTracker(t, c.upstreams)
		var wg sync.WaitGroup
		for i := range c.upstreams {
			wg.Go(func() {
				for range 2 * defaultEjectAfter {
					tr.RecordFailure(start, domain.UpstreamID(fmt.Sprint(i)))
				}
			})
		}
		wg.Wait()
		if got := len(tr.DueProbes(at(defaultProbeInterval))); got != c.wantSuspects {
			t.Errorf("got %d of %d upstreams suspect, want %d", got, c.upstreams, c.wantSuspects)
		}
	}
}

func TestSuspectIsProbedAndRecoversWithSlowStart(t *testing.T) {
	tr := newTestTracker(t, 2)
	for range defaultEjectAfter {
		d := dispatch(t, tr, 0, "0", 1)
		d.End(start, OutcomeFailed)
	}
	if _, err := tr.Start(start, "0", 1, 0); err == nil {
		t.Fatal("Start on a suspect upstream did not fail")
	}
	if due := tr.DueProbes(at(defaultProbeInterval - 1)); len(due) != 0 {
		t.Fatalf("got probes %v before the probe interval elapsed, want none", due)
	}
	tr.ObserveProbe(at(time.Second), "0", false)
	if due := tr.DueProbes(at(2 * time.Second)); len(due) != 0 {
		t.Fatalf("got probes %v before the doubled interval elapsed, want none", due)
	}
	tr.ObserveProbe(at(3*time.Second), "0", true)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, minSlowStartFraction}, {defaultSlowStart / 2, 0.5}, {defaultSlowStart, 1}} {
		if got := tr.routing(at(3*time.Second + c.after))[0].SlowStart; got != c.want {
			t.Errorf("got usable fraction %v after %v, want %v", got, c.after, c.want)
		}
	}
}

func TestSuccessResetsFailureCount(t *testing.T) {
	tr := newTestTracker(t, 2)
	for range 3 * defaultEjectAfter {
		tr.RecordFailure(start, "0")
		tr.RecordSuccess("0")
	}
	if s := tr.State("0"); s != domain.UpstreamLive {
		t.Errorf("got state %s, want live", s)
	}
}
