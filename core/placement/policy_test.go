package placement_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const ms = time.Millisecond

func engineSpeeds() placement.Speeds {
	return placement.Speeds{PrefillRate: 100, Hold: 400 * ms, First: 30 * ms}
}

func engine(id string, change func(*placement.Candidate)) placement.Candidate {
	c := placement.Candidate{ID: domain.UpstreamID(id), Slots: 24, Slowness: 1, Usable: true}
	if change != nil {
		change(&c)
	}
	return c
}

func draft() placement.Request {
	return placement.Request{
		Prompt:       []placement.Part{{ID: 7, Tokens: 13000}, {ID: 99, Tokens: 3700}},
		PromptTokens: 16700, Objective: 800 * ms, Left: 6 * time.Second,
	}
}

func TestChoose(t *testing.T) {
	cached := func(c *placement.Candidate) { c.CachedTokens = 13000 }
	far := []placement.RegionLoad{{Region: "east", Delay: 40 * ms, RoundTrip: 110 * ms, Free: 20}}
	full := func(c *placement.Candidate) { c.InFlight = 80 }
	cases := []struct {
		name       string
		request    func(*placement.Request)
		candidates []placement.Candidate
		others     []placement.RegionLoad
		want       placement.Choice
		index      int
	}{
		{"least loaded", nil, []placement.Candidate{engine("a", func(c *placement.Candidate) { c.InFlight = 9 }), engine("b", nil)}, nil, placement.Local, 1},
		{"cached prompt outweighs some load", nil, []placement.Candidate{engine("a", nil), engine("b", func(c *placement.Candidate) { c.CachedTokens, c.InFlight = 13000, 9 })}, nil, placement.Local, 1},
		{"a long backlog outweighs the cached prompt", nil, []placement.Candidate{engine("a", nil), engine("b", func(c *placement.Candidate) { c.CachedTokens, c.PendingTokens = 13000, 60000 })}, nil, placement.Local, 0},
		{"unusable is left out", nil, []placement.Candidate{engine("a", func(c *placement.Candidate) { c.Usable = false }), engine("b", full)}, far, placement.Remote, 0},
		{"tried is left out", func(r *placement.Request) { r.Exclude = []domain.UpstreamID{"a"} }, []placement.Candidate{engine("a", cached), engine("b", nil)}, nil, placement.Local, 1},
		{"full region sends away", nil, []placement.Candidate{engine("a", full)}, far, placement.Remote, 0},
		{"free region keeps its own", nil, []placement.Candidate{engine("a", nil)}, far, placement.Local, 0},
		{"another region that is full is no use", nil, []placement.Candidate{engine("a", full)}, []placement.RegionLoad{{Region: "east", Free: 0}}, placement.Refuse, 0},
		{"full everywhere is refused at once", nil, []placement.Candidate{engine("a", full)}, nil, placement.Refuse, 0},
		{"not allowed here goes away", nil, nil, far, placement.Remote, 0},
		{"nothing known is refused", nil, nil, nil, placement.Refuse, 0},
		{"deadline bounds the wait", func(r *placement.Request) { r.Left = 20 * ms }, []placement.Candidate{engine("a", nil)}, far, placement.Refuse, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := draft()
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
	slow := engine("slow", func(c *placement.Candidate) { c.Slowness = 4 })
	busy := engine("busy", func(c *placement.Candidate) { c.InFlight = 12 })
	r := draft()
	got := placement.DefaultPolicy().Choose(&r, engineSpeeds(), []placement.Candidate{slow, busy}, nil)
	if got.Index != 1 {
		t.Errorf("chose the upstream that is four times slower: %+v", got)
	}
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	r := draft()
	candidates := []placement.Candidate{engine("a", nil), engine("b", nil)}
	p := placement.DefaultPolicy()
	if n := testing.AllocsPerRun(100, func() { p.Choose(&r, engineSpeeds(), candidates, nil) }); n != 0 {
		t.Errorf("%v allocations a decision", n)
	}
}

// TestLongPromptWaitsForABacklog: sent at once, it would make the streams that the
// engine serves pause for longer than their route allows.
func TestLongPromptWaitsForABacklog(t *testing.T) {
	s := engineSpeeds()
	s.MaxPendingTokens = 24000
	busy := engine("a", func(c *placement.Candidate) { c.PendingTokens = 20000 })
	p := placement.DefaultPolicy()
	r := draft()
	got := p.Choose(&r, s, []placement.Candidate{busy}, nil)
	if want := 127 * ms; got.Choice != placement.Wait || got.For != want {
		t.Errorf("got %+v, want a wait of %v until 7,300 of 20,000 tokens are left", got, want)
	}
	r.Elapsed = 300 * ms // held for long enough
	if got := p.Choose(&r, s, []placement.Candidate{busy}, nil); got.Choice != placement.Local {
		t.Errorf("got %+v, want the request sent", got)
	}
	question := placement.Request{PromptTokens: 400, Objective: 600 * ms, Left: 4 * time.Second}
	if got := p.Choose(&question, s, []placement.Candidate{busy}, nil); got.Choice != placement.Local {
		t.Errorf("got %+v, want a short prompt sent at once", got)
	}
}
