package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

var (
	testTime    = time.Unix(1700000000, 0)
	testTarget  = domain.Target{Kind: domain.TargetModel, Name: "weave-model"}
	localPlace  = domain.Place{Region: "sofia", FailureDomain: "sofia-a"}
	remotePlace = domain.Place{Region: "frankfurt", FailureDomain: "frankfurt-b"}
)

func testUpstream(id domain.UpstreamID, change func(*Upstream)) Upstream {
	u := Upstream{
		Ref: domain.UpstreamRef{ID: id, Place: localPlace}, Targets: []domain.Target{testTarget},
		State: domain.UpstreamLive, Slots: 4, Work: new(InFlightWork),
	}
	if change != nil {
		change(&u)
	}
	return u
}

func testDomain(change func(*Domain)) Domain {
	d := Domain{
		Place: remotePlace, Reachable: true, RoundTrip: 110 * time.Millisecond,
		Targets: []DomainTarget{{Target: testTarget, Slots: 64, Free: 64, Work: new(InFlightWork)}},
	}
	if change != nil {
		change(&d)
	}
	return d
}

func build(t testing.TB, ups []Upstream, domains ...Domain) *Snapshot {
	t.Helper()
	b := NewBuilder(localPlace)
	for _, u := range ups {
		b.AddUpstream(u)
	}
	for _, d := range domains {
		b.AddDomain(d)
	}
	s, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func request(s *Snapshot, regions ...domain.Region) Request {
	allowed := func(r domain.Region) bool { return slices.Contains(regions, r) }
	return Request{Target: testTarget, Allowed: s.Regions().Set(allowed), PromptTokens: 1000, OutputTokens: 100}
}

func latencyRouter(t testing.TB) *Router {
	t.Helper()
	tuning, err := ProfileLatency.Tuning()
	if err != nil {
		t.Fatal(err)
	}
	return New(tuning.Policy())
}

func inState(s domain.UpstreamState) func(*Upstream) { return func(u *Upstream) { u.State = s } }

func TestFiltersRejectUnusableCandidates(t *testing.T) {
	exhaustedLink := NewLinkBudget(1e6, time.Second)
	exhaustedLink.Consume(testTime, 2e6)
	cases := []struct {
		name     string
		upstream func(*Upstream)
		domain   func(*Domain)
		request  func(*Request)
		reason   Reason
		kind     errkind.Kind
	}{
		{"leaving", inState(domain.UpstreamLeaving), nil, func(r *Request) { r.LocalOnly = true }, ReasonLeaving, errkind.NoCapacity},
		{"suspect", inState(domain.UpstreamSuspect), nil, func(r *Request) { r.LocalOnly = true }, ReasonNotLive, errkind.NoCapacity},
		{"gone", inState(domain.UpstreamGone), nil, func(r *Request) { r.LocalOnly = true }, ReasonNotLive, errkind.NoCapacity},
		{"local region forbidden", nil, nil, func(r *Request) { r.Allowed.bits = [regionWords]uint64{} }, ReasonRegion, errkind.RegionForbidden},
		{"upstream already tried", nil, nil, func(r *Request) {
			r.LocalOnly = true
			r.ExcludedUpstreams = []domain.UpstreamID{"up"}
		}, ReasonExcluded, errkind.NoCapacity},
		{"second hop", inState(domain.UpstreamGone), nil, func(r *Request) { r.LocalOnly = true }, ReasonForwardedHop, errkind.NoCapacity},
		{"unreachable", inState(domain.UpstreamGone), func(d *Domain) { d.Reachable = false }, nil, ReasonUnreachable, errkind.NoCapacity},
		{"domain without slots", inState(domain.UpstreamGone), func(d *Domain) { d.Targets[0].Slots = 0 }, nil, ReasonUnreachable, errkind.NoCapacity},
		{"link budget exhausted", inState(domain.UpstreamGone), func(d *Domain) { d.Link = exhaustedLink }, nil, ReasonLinkBudget, errkind.NoCapacity},
		{"domain already tried", inState(domain.UpstreamGone), nil, func(r *Request) {
			r.ExcludedDomains = []domain.FailureDomain{remotePlace.FailureDomain}
		}, ReasonExcluded, errkind.NoCapacity},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := build(t, []Upstream{testUpstream("up", c.upstream)}, testDomain(c.domain))
			req := request(s, "sofia", "frankfurt")
			if c.request != nil {
				c.request(&req)
			}
			e := latencyRouter(t).Explain(s, &req, testTime)
			if e.Decision.Kind != c.kind {
				t.Errorf("got kind %q, want %q", e.Decision.Kind, c.kind)
			}
			if !slices.ContainsFunc(e.Candidates, func(n CandidateExplanation) bool { return n.Reason == c.reason }) {
				t.Errorf("no candidate was rejected with reason %q: %+v", c.reason, e.Candidates)
			}
		})
	}
}

func TestUnknownTargetIsRefused(t *testing.T) {
	s := build(t, []Upstream{testUpstream("up", nil)})
	req := request(s, "sofia")
	req.Target.Name = "other"
	d := latencyRouter(t).Decide(s, &req, testTime)
	if d.Kind != errkind.UnknownTarget || errkind.From(d.Err(&req)).Verdict() != domain.RunNo {
		t.Fatalf("got %+v, want a refusal with kind unknown_target and verdict no", d)
	}
}

// The bits of a region set refer to the region table of its snapshot; with another
// table they would allow the wrong regions.
func TestRegionSetOfAnotherSnapshotIsRefused(t *testing.T) {
	old := build(t, []Upstream{testUpstream("up", nil)})
	req := request(old, "sofia")
	s := build(t, nil, testDomain(nil))
	if d := latencyRouter(t).Decide(s, &req, testTime); d.Kind != errkind.Internal {
		t.Fatalf("got %+v, want a refusal with kind internal", d)
	}
}

func TestExplainMatchesDecide(t *testing.T) {
	s := build(t, []Upstream{testUpstream("a", nil), testUpstream("b", func(u *Upstream) { u.Targets = nil })}, testDomain(nil))
	req := request(s, "sofia", "frankfurt")
	r := latencyRouter(t)
	e, d := r.Explain(s, &req, testTime), r.Decide(s, &req, testTime)
	if e.Decision != d || d.Action != ActionLocal {
		t.Fatalf("Explain decided %+v, Decide decided %+v", e.Decision, d)
	}
	for _, n := range e.Candidates {
		sum := 0.0
		for _, p := range n.Parts {
			sum += p.Seconds
		}
		if n.Score-sum > 1e-9 || sum-n.Score > 1e-9 || n.Chosen != (n.Upstream == "a") {
			t.Errorf("got %+v, want a score equal to the sum of its parts and only upstream a chosen", n)
		}
		if (n.Upstream == "b") != (n.Reason == ReasonNotLoaded) {
			t.Errorf("got %+v, want target_not_loaded for upstream b only", n)
		}
	}
}

// The test allocates the view itself, because sync.Pool drops pooled objects at
// random under the race detector.
func TestDecideDoesNotAllocate(t *testing.T) {
	s := benchSnapshot(t, benchUpstreams/benchDomains, 2)
	req := Request{Target: benchTarget(1), Allowed: s.Regions().Set(func(domain.Region) bool { return true }), PrefixHash: 1}
	r := latencyRouter(t)
	v := new(View)
	if n := testing.AllocsPerRun(1000, func() { r.decide(v, s, &req, testTime, nil) }); n > 0 {
		t.Errorf("got %v allocations per decision, want 0", n)
	}
}
