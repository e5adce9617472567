package placement_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const ms = time.Millisecond

func engineSpeeds() placement.ServicePerformance {
	return placement.ServicePerformance{PrefillRate: 100, MeanSlotTime: 400 * ms, IdleTTFB: 30 * ms}
}

func engine(id string, change func(*placement.Candidate)) placement.Candidate {
	c := placement.Candidate{ID: domain.UpstreamID(id), Slots: 24, LatencyRatio: 1, Usable: true}
	if change != nil {
		change(&c)
	}
	return c
}

func longPromptRequest() placement.Request {
	return placement.Request{
		Prompt:       []placement.Part{{ID: 7, Tokens: 13000}, {ID: 99, Tokens: 3700}},
		PromptTokens: 16700, Objective: 800 * ms, Remaining: 6 * time.Second,
	}
}

func TestChoose(t *testing.T) {
	cached := func(c *placement.Candidate) { c.CachedTokens = 13000 }
	otherRegions := []placement.RegionLoad{{Region: "east", Delay: 40 * ms, RoundTrip: 110 * ms, FreeCapacity: 20}}
	fullSlots := func(c *placement.Candidate) { c.InFlight = 80 }
	cases := []struct {
		name       string
		request    func(*placement.Request)
		candidates []placement.Candidate
		others     []placement.RegionLoad
		want       placement.Choice
		index      int
	}{
		{"least loaded", nil, []placement.Candidate{engine("a", func(c *placement.Candidate) { c.InFlight = 9 }), engine("b", nil)}, nil, placement.Local, 1},
		{"cached prompt outweighs moderate load", nil, []placement.Candidate{engine("a", nil), engine("b", func(c *placement.Candidate) { c.CachedTokens, c.InFlight = 13000, 9 })}, nil, placement.Local, 1},
		{"long backlog outweighs cached prompt", nil, []placement.Candidate{engine("a", nil), engine("b", func(c *placement.Candidate) { c.CachedTokens, c.PendingTokens = 13000, 60000 })}, nil, placement.Local, 0},
		{"unusable upstream is skipped", nil, []placement.Candidate{engine("a", func(c *placement.Candidate) { c.Usable = false }), engine("b", fullSlots)}, otherRegions, placement.Remote, 0},
		{"excluded upstream is skipped", func(r *placement.Request) { r.Excluded = []domain.UpstreamID{"a"} }, []placement.Candidate{engine("a", cached), engine("b", nil)}, nil, placement.Local, 1},
		{"full local region sends to another region", nil, []placement.Candidate{engine("a", fullSlots)}, otherRegions, placement.Remote, 0},
		{"free local region is preferred", nil, []placement.Candidate{engine("a", nil)}, otherRegions, placement.Local, 0},
		{"full remote region is not chosen", nil, []placement.Candidate{engine("a", fullSlots)}, []placement.RegionLoad{{Region: "east", FreeCapacity: 0}}, placement.Refuse, 0},
		{"all upstreams full is refused", nil, []placement.Candidate{engine("a", fullSlots)}, nil, placement.Refuse, 0},
		{"no local candidates sends to another region", nil, nil, otherRegions, placement.Remote, 0},
		{"no candidates and no regions is refused", nil, nil, nil, placement.Refuse, 0},
		{"deadline before the expected delay is refused", func(r *placement.Request) { r.Remaining = 20 * ms }, []placement.Candidate{engine("a", nil)}, otherRegions, placement.Refuse, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := longPromptRequest()
			if c.request != nil {
				c.request(&r)
			}
			got := placement.DefaultPolicy().Choose(&r, engineSpeeds(), c.candidates, c.others)
			if got.Choice != c.want || got.Choice == placement.Local && got.Index != c.index {
				t.Errorf("got %+v, want choice %v index %d", got, c.want, c.index)
			}
		})
	}
}

func TestSlowUpstreamIsAvoided(t *testing.T) {
	slow := engine("slow", func(c *placement.Candidate) { c.LatencyRatio = 4 })
	busy := engine("busy", func(c *placement.Candidate) { c.InFlight = 12 })
	r := longPromptRequest()
	got := placement.DefaultPolicy().Choose(&r, engineSpeeds(), []placement.Candidate{slow, busy}, nil)
	if got.Index != 1 {
		t.Errorf("got the upstream that is four times slower, want the busy one: %+v", got)
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	r := longPromptRequest()
	candidates := []placement.Candidate{engine("a", nil), engine("b", nil)}
	p := placement.DefaultPolicy()
	if n := testing.AllocsPerRun(100, func() { p.Choose(&r, engineSpeeds(), candidates, nil) }); n != 0 {
		t.Errorf("got %v allocations per decision, want 0", n)
	}
}

// A long prompt sent to an engine with a prefill backlog would pause the engine's
// streams for longer than their route allows.
func TestLongPromptWaitsForBacklog(t *testing.T) {
	s := engineSpeeds()
	s.MaxPendingTokens = 24000
	busy := engine("a", func(c *placement.Candidate) { c.PendingTokens = 20000 })
	p := placement.DefaultPolicy()
	r := longPromptRequest()
	got := p.Choose(&r, s, []placement.Candidate{busy}, nil)
	if want := 127 * ms; got.Choice != placement.Wait || got.BacklogWait != want {
		t.Errorf("got %+v, want a wait of %v until 7,300 of the 20,000 pending tokens remain", got, want)
	}
	r.Elapsed = 300 * ms // a further wait would exceed MaxBacklogWaitRatio
	if got := p.Choose(&r, s, []placement.Candidate{busy}, nil); got.Choice != placement.Local {
		t.Errorf("got %+v, want choice Local because the wait would exceed MaxBacklogWaitRatio", got)
	}
	shortRequest := placement.Request{PromptTokens: 400, Objective: 600 * ms, Remaining: 4 * time.Second}
	if got := p.Choose(&shortRequest, s, []placement.Candidate{busy}, nil); got.Choice != placement.Local {
		t.Errorf("got %+v, want choice Local for a short prompt", got)
	}
}

// A request must not be sent to an engine whose memory running requests need, while another one or
// another region has room.
func TestRequestIsSentWhereItsMemoryFits(t *testing.T) {
	full := func(release float64) func(*placement.Candidate) {
		return func(c *placement.Candidate) {
			c.MemoryTokens, c.ReservedTokens, c.NeedTokens, c.ReleaseRate, c.CachedTokens = 100_000, 95_000, 20_000, release, 13_000
		}
	}
	roomy := engine("b", func(c *placement.Candidate) {
		c.MemoryTokens, c.ReservedTokens, c.NeedTokens, c.InFlight = 100_000, 20_000, 20_000, 20
	})
	others := []placement.RegionLoad{{Region: "east", Delay: 40 * ms, RoundTrip: 110 * ms, FreeCapacity: 20}}
	tooLarge := engine("a", func(c *placement.Candidate) { c.MemoryTokens, c.NeedTokens = 100_000, 100_001 })
	for _, c := range []struct {
		name       string
		candidates []placement.Candidate
		others     []placement.RegionLoad
		want       placement.Choice
		index      int
	}{
		{"another engine fits", []placement.Candidate{engine("a", full(100)), roomy}, nil, placement.Local, 1},
		{"memory is free soon", []placement.Candidate{engine("a", full(100))}, nil, placement.Wait, 0},
		{"memory is free late, another region has room", []placement.Candidate{engine("a", full(10))}, others, placement.Remote, 0},
		{"memory is free late", []placement.Candidate{engine("a", full(10))}, nil, placement.Refuse, 0},
		{"nothing releases memory", []placement.Candidate{engine("a", full(0))}, nil, placement.Refuse, 0},
		{"larger than the memory", []placement.Candidate{tooLarge}, nil, placement.Refuse, 0},
	} {
		r := longPromptRequest()
		if got := placement.DefaultPolicy().Choose(&r, engineSpeeds(), c.candidates, c.others); got.Choice != c.want || got.Choice == placement.Local && got.Index != c.index {
			t.Errorf("%s: got %+v, want choice %v index %d", c.name, got, c.want, c.index)
		}
	}
}
