package routing

import (
	"testing"
	"time"
)

func chosen(t *testing.T, s *Snapshot, d Decision) string {
	t.Helper()
	switch d.Action {
	case ActionLocal:
		return string(s.Upstream(d.Upstream).Ref.ID)
	case ActionForward:
		return string(s.Domain(d.Domain).Place.FailureDomain)
	}
	return string(d.Kind)
}

func TestScorersPreferBetterUpstream(t *testing.T) {
	cases := []struct {
		name    string
		a, b    func(*Upstream)
		request func(*Request)
		want    string
	}{
		{"all slots occupied", func(u *Upstream) { u.Running = 6 }, nil, nil, "b"},
		{"queued prompts", nil, func(u *Upstream) { u.QueuedTokens = 5000 }, nil, "a"},
		{"pending prompt of this node", func(u *Upstream) { u.Work.Start(5000) }, nil, nil, "b"},
		{"requests of other nodes in flight", nil, func(u *Upstream) { u.OthersInFlight = 8 }, nil, "a"},
		{"requests of other nodes since the report", nil, func(u *Upstream) { u.OthersDeltaSinceReport = 8 }, nil, "a"},
		{"cached prefix", nil, func(u *Upstream) { u.Prefixes = []uint64{3, 42} }, func(r *Request) { r.PrefixHash, r.PrefixTokens = 42, 900 }, "b"},
		{"slow start", func(u *Upstream) { u.SlowStart, u.Running = 0.1, 1 }, func(u *Upstream) { u.Running = 1 }, nil, "b"},
		{"price", func(u *Upstream) { u.CostPerMillionTokens = 1000 }, nil, nil, "b"},
		{"preferred by another node", func(u *Upstream) { u.Preferred = true }, nil, nil, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := build(t, []Upstream{testUpstream("a", c.a), testUpstream("b", c.b)})
			req := request(s, "sofia")
			if c.request != nil {
				c.request(&req)
			}
			for seed := range uint64(20) {
				req.Seed = seed
				if got := chosen(t, s, latencyRouter(t).Decide(s, &req, testTime)); got != c.want {
					t.Fatalf("seed %d: chose %q, want %q", seed, got, c.want)
				}
			}
		})
	}
}

func TestHomeRegionIsPreferredDespiteRoundTrip(t *testing.T) {
	s := build(t, []Upstream{testUpstream("a", nil)}, testDomain(nil))
	req := request(s, "sofia", "frankfurt")
	req.Home = "frankfurt"
	if got := chosen(t, s, latencyRouter(t).Decide(s, &req, testTime)); got != "frankfurt-b" {
		t.Fatalf("chose %q, want the home region's frankfurt-b", got)
	}
}

func TestGateForwardsOnlyAboveThreshold(t *testing.T) {
	for _, c := range []struct {
		queued int
		want   string
	}{{0, "a"}, {1200, "a"}, {2600, "frankfurt-b"}} {
		s := build(t, []Upstream{testUpstream("a", func(u *Upstream) { u.QueuedTokens, u.Preferred = c.queued, true })}, testDomain(nil))
		req := request(s, "sofia", "frankfurt")
		if got := chosen(t, s, latencyRouter(t).Decide(s, &req, testTime)); got != c.want {
			t.Errorf("%d tokens queued: chose %q, want %q", c.queued, got, c.want)
		}
	}
}

func TestNearlyFullUpstreamIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name           string
		profile        Profile
		slots, running int
		want           string
	}{
		{"half full", ProfileLatency, 6, 2, "a"},
		{"nearly full", ProfileLatency, 6, 5, "frankfurt-b"},
		{"nearly full, cost profile", ProfileCost, 6, 5, "a"},
		{"idle upstream with one slot", ProfileLatency, 1, 0, "a"},
	} {
		up := testUpstream("a", func(u *Upstream) { u.Slots, u.Running, u.Preferred = c.slots, c.running, true })
		s := build(t, []Upstream{up}, testDomain(nil))
		req := request(s, "sofia", "frankfurt")
		tuning, err := c.profile.Tuning()
		if err != nil {
			t.Fatal(err)
		}
		if got := chosen(t, s, New(tuning.Policy()).Decide(s, &req, testTime)); got != c.want {
			t.Errorf("%s: chose %q, want %q", c.name, got, c.want)
		}
	}
}

func TestNearEqualCandidatesShareRequests(t *testing.T) {
	s := build(t, []Upstream{testUpstream("a", nil), testUpstream("b", nil), testUpstream("c", func(u *Upstream) { u.Running = 9 })})
	req := request(s, "sofia")
	r := latencyRouter(t)
	seen := make(map[string]int)
	for seed := range uint64(200) {
		req.Seed = seed
		seen[chosen(t, s, r.Decide(s, &req, testTime))]++
	}
	if seen["a"] < 50 || seen["b"] < 50 || seen["c"] > 0 {
		t.Fatalf("got decisions %v, want at least 50 for a and b each and none for c", seen)
	}
}

func TestChooseNodeBoundsLoad(t *testing.T) {
	nodes := []NodeLoad{{Key: HashKey("n1")}, {Key: HashKey("n2")}, {Key: HashKey("n3")}}
	if ChooseNode(1, nil, 1.25) != -1 {
		t.Error("ChooseNode without nodes did not return -1")
	}
	const forwards = 300
	for range forwards {
		nodes[ChooseNode(7, nodes, 1.25)].InFlight++
	}
	for i, n := range nodes {
		if n.InFlight > forwards*125/300+1 {
			t.Errorf("node %d has %d of %d requests, more than 1.25 times the mean", i, n.InFlight, forwards)
		}
	}
}

func TestLinkBudgetRefills(t *testing.T) {
	l := NewLinkBudget(1000, 2*time.Second)
	l.Consume(testTime, 3000)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{{0, -1000}, {time.Second, 0}, {2 * time.Second, 1000}, {time.Minute, 2000}} {
		if got := l.Remaining(testTime.Add(c.after)); got != c.want {
			t.Errorf("after %v: got %d bytes left, want %d", c.after, got, c.want)
		}
	}
}

func TestBaselinesFollowTheirRule(t *testing.T) {
	s := build(t, []Upstream{testUpstream("busy", func(u *Upstream) { u.Running = 12 })}, testDomain(func(d *Domain) { d.RoundTrip = 2 * time.Second }))
	req := request(s, "sofia", "frankfurt")
	want := map[string]string{"least_in_flight": "frankfurt-b", "nearest": "busy", "fastest": "frankfurt-b"}
	for _, p := range Baselines() {
		got := chosen(t, s, New(BaselinePolicy(p)).Decide(s, &req, testTime))
		if w := want[p.Name()]; w != "" && got != w {
			t.Errorf("%s chose %q, want %q", p.Name(), got, w)
		}
	}
}
