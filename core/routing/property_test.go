package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

var upstreamStates = []domain.UpstreamState{domain.UpstreamLive, domain.UpstreamSuspect, domain.UpstreamLeaving, domain.UpstreamGone}

// scenario is a generated snapshot and request, with the outcome that a simple
// reference implementation of the rules expects.
type scenario struct {
	snapshot       *Snapshot
	request        Request
	allowed        map[domain.Region]bool
	usable         int
	allowedServing int
}

func drawScenario(t *rapid.T) *scenario {
	sc := &scenario{allowed: make(map[domain.Region]bool)}
	for i := range 5 {
		r := domain.Region(fmt.Sprintf("r%d", i))
		sc.allowed[r] = rapid.Bool().Draw(t, string(r))
	}
	sc.request.LocalOnly = rapid.Bool().Draw(t, "local only")
	b := NewBuilder(domain.Place{Region: "r0", FailureDomain: "d0"})
	for i := range rapid.IntRange(0, 4).Draw(t, "upstreams") {
		sc.drawUpstream(t, b, i)
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "domains") {
		sc.drawDomain(t, b, i+1)
	}
	s, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	sc.snapshot = s
	sc.request.Target = testTarget
	sc.request.Allowed = s.Regions().Set(func(r domain.Region) bool { return sc.allowed[r] })
	sc.request.Seed = rapid.Uint64().Draw(t, "seed")
	sc.request.PromptTokens = rapid.IntRange(0, 10000).Draw(t, "prompt")
	sc.request.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
	return sc
}

func (sc *scenario) drawUpstream(t *rapid.T, b *Builder, i int) {
	u := Upstream{
		Ref:     domain.UpstreamRef{ID: domain.UpstreamID(fmt.Sprint("u", i)), Place: b.place},
		Targets: []domain.Target{testTarget}, State: rapid.SampledFrom(upstreamStates).Draw(t, "state"),
		Running: rapid.IntRange(0, 50).Draw(t, "running"), Slots: rapid.IntRange(0, 16).Draw(t, "slots"),
		SlowStart: rapid.Float64Range(0, 1).Draw(t, "slow start"),
	}
	excluded := rapid.IntRange(0, 3).Draw(t, "excluded") == 0
	if excluded {
		sc.request.ExcludedUpstreams = append(sc.request.ExcludedUpstreams, u.Ref.ID)
	}
	b.AddUpstream(u)
	sc.count("r0", u.State == domain.UpstreamLive && !excluded)
}

func (sc *scenario) drawDomain(t *rapid.T, b *Builder, i int) {
	d := Domain{
		Place:     domain.Place{Region: domain.Region(fmt.Sprint("r", i%5)), FailureDomain: domain.FailureDomain(fmt.Sprint("d", i))},
		Reachable: rapid.Bool().Draw(t, "reachable"),
		Targets:   []DomainTarget{{Target: testTarget, Slots: rapid.IntRange(0, 9).Draw(t, "domain slots")}},
	}
	b.AddDomain(d)
	sc.count(d.Place.Region, d.Reachable && d.Targets[0].Slots > 0 && !sc.request.LocalOnly)
}

func (sc *scenario) count(r domain.Region, usable bool) {
	if !sc.allowed[r] {
		return
	}
	sc.allowedServing++
	if usable {
		sc.usable++
	}
}

func routers(t testing.TB) []*Router {
	cost, err := ProfileCost.Tuning()
	if err != nil {
		t.Fatal(err)
	}
	all := []*Router{latencyRouter(t), New(cost.Policy())}
	for _, p := range Baselines() {
		all = append(all, New(BaselinePolicy(p)))
	}
	return all
}

func TestDecideChoosesOnlyAllowedUsableCandidates(t *testing.T) {
	all := routers(t)
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		for _, r := range all {
			sc.check(t, r.Decide(sc.snapshot, &sc.request, testTime))
		}
	})
}

// check verifies a decision: the request runs at a usable candidate in an allowed
// region if there is one, and is otherwise refused with the matching kind.
func (sc *scenario) check(t *rapid.T, d Decision) {
	switch {
	case d.Action == ActionLocal && !sc.allowed["r0"]:
		t.Fatalf("got a local decision, but the plan forbids the local region")
	case d.Action == ActionLocal && sc.snapshot.Upstream(d.Upstream).State != domain.UpstreamLive:
		t.Fatalf("got a decision for an upstream that is %s, want one that is live", sc.snapshot.Upstream(d.Upstream).State)
	case d.Action == ActionForward && !sc.allowed[sc.snapshot.Domain(d.Domain).Place.Region]:
		t.Fatalf("got a forward to a region that the plan forbids")
	case d.Action == ActionForward && sc.request.LocalOnly:
		t.Fatalf("got a forward of a request that was already forwarded")
	case (d.Action == ActionRefuse) != (sc.usable == 0):
		t.Fatalf("got action %d with %d usable candidates", d.Action, sc.usable)
	case d.Kind == errkind.NoCapacity && sc.allowedServing == 0:
		t.Fatalf("got kind no_capacity, want region_forbidden: the plan forbids every region")
	case d.Kind == errkind.RegionForbidden && sc.allowedServing > 0:
		t.Fatalf("got kind region_forbidden with %d candidates in allowed regions", sc.allowedServing)
	}
}
