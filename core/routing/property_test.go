package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

var states = []domain.UpstreamState{domain.UpstreamLive, domain.UpstreamSuspect, domain.UpstreamLeaving, domain.UpstreamGone}

// world is a drawn snapshot with what a plain reading of the rules allows.
type world struct {
	snapshot       *Snapshot
	request        Request
	allowed        map[domain.Region]bool
	usable         int
	allowedServing int
}

func drawWorld(t *rapid.T) *world {
	w := &world{allowed: make(map[domain.Region]bool)}
	for i := range 5 {
		r := domain.Region(fmt.Sprintf("r%d", i))
		w.allowed[r] = rapid.Bool().Draw(t, string(r))
	}
	w.request.LocalOnly = rapid.Bool().Draw(t, "local only")
	b := NewBuilder(domain.Place{Region: "r0", FailureDomain: "d0"})
	for i := range rapid.IntRange(0, 4).Draw(t, "upstreams") {
		w.drawUpstream(t, b, i)
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "domains") {
		w.drawDomain(t, b, i+1)
	}
	s, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	w.snapshot = s
	w.request.Target = testTarget
	w.request.Allowed = s.Regions().Set(func(r domain.Region) bool { return w.allowed[r] })
	w.request.Seed = rapid.Uint64().Draw(t, "seed")
	w.request.PromptTokens = rapid.IntRange(0, 10000).Draw(t, "prompt")
	w.request.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
	return w
}

func (w *world) drawUpstream(t *rapid.T, b *Builder, i int) {
	u := Upstream{
		Ref:     domain.UpstreamRef{ID: domain.UpstreamID(fmt.Sprint("u", i)), Place: b.own},
		Targets: []domain.Target{testTarget}, State: rapid.SampledFrom(states).Draw(t, "state"),
		Running: rapid.IntRange(0, 50).Draw(t, "running"), Slots: rapid.IntRange(0, 16).Draw(t, "slots"),
		SlowStart: rapid.Float64Range(0, 1).Draw(t, "slow start"),
	}
	excluded := rapid.IntRange(0, 3).Draw(t, "excluded") == 0
	if excluded {
		w.request.ExcludedUpstreams = append(w.request.ExcludedUpstreams, u.Ref.ID)
	}
	b.AddUpstream(u)
	w.count("r0", u.State == domain.UpstreamLive && !excluded)
}

func (w *world) drawDomain(t *rapid.T, b *Builder, i int) {
	d := Domain{
		Place:     domain.Place{Region: domain.Region(fmt.Sprint("r", i%5)), FailureDomain: domain.FailureDomain(fmt.Sprint("d", i))},
		Reachable: rapid.Bool().Draw(t, "reachable"),
		Targets:   []DomainTarget{{Target: testTarget, Slots: rapid.IntRange(0, 9).Draw(t, "domain slots")}},
	}
	b.AddDomain(d)
	w.count(d.Place.Region, d.Reachable && d.Targets[0].Slots > 0 && !w.request.LocalOnly)
}

func (w *world) count(r domain.Region, usable bool) {
	if !w.allowed[r] {
		return
	}
	w.allowedServing++
	if usable {
		w.usable++
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

func TestNoDecisionNamesAForbiddenPlace(t *testing.T) {
	all := routers(t)
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for _, r := range all {
			w.check(t, r.Decide(w.snapshot, &w.request, testTime))
		}
	})
}

// check holds a decision against the rules: an allowed region and a usable place
// if there is one, else the kind of refusal that says why.
func (w *world) check(t *rapid.T, d Decision) {
	switch {
	case d.Action == ActionLocal && !w.allowed["r0"]:
		t.Fatalf("ran in the forbidden own region")
	case d.Action == ActionLocal && w.snapshot.Upstream(d.Upstream).State != domain.UpstreamLive:
		t.Fatalf("ran on an upstream that is %s", w.snapshot.Upstream(d.Upstream).State)
	case d.Action == ActionForward && !w.allowed[w.snapshot.Domain(d.Domain).Place.Region]:
		t.Fatalf("forwarded to a forbidden region")
	case d.Action == ActionForward && w.request.LocalOnly:
		t.Fatalf("forwarded a second time")
	case (d.Action == ActionRefuse) != (w.usable == 0):
		t.Fatalf("action %d with %d usable places", d.Action, w.usable)
	case d.Kind == errkind.NoCapacity && w.allowedServing == 0:
		t.Fatalf("no_capacity though every region is forbidden")
	case d.Kind == errkind.RegionForbidden && w.allowedServing > 0:
		t.Fatalf("region_forbidden though %d places are allowed", w.allowedServing)
	}
}
