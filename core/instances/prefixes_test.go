package instances_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
)

// TestHeldPartsAreWeighedAgainstTheWait plays loads of prompts that share documents. What the nodes expect
// engines to hold must lead to decisions that cost callers less than three fixed policies, and at most a tenth
// more than true knowledge of what engines hold.
func TestHeldPartsAreWeighedAgainstTheWait(t *testing.T) {
	skewed, hot := zipf(600, 1), zipf(300, 0.6)
	for _, c := range []struct {
		name     string
		pick     func(rng *rand.Rand, at time.Duration) int
		capacity int
		nodes    int
	}{
		{"skewed", skewed, 380_486, 16},
		{"uniform", func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(400) }, 380_486, 16},
		{"shifting", func(rng *rand.Rand, at time.Duration) int { return skewed(rng, at) + 97*int(at/(8*time.Second)) }, 380_486, 16},
		{"hot part", func(rng *rand.Rand, at time.Duration) int {
			if rng.IntN(3) == 0 {
				return 5
			}
			return hot(rng, at)
		}, 380_486, 16},
		{"little memory", func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(150) }, 150_000, 16},
		{"little memory, few nodes", zipf(300, 1), 150_000, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			base := regionLoad(40, 100, c.pick, 0, 0)
			base.nodes, base.capacity, base.duration = c.nodes, c.capacity, 30*time.Second
			play := func(change func(*memoryLoad)) []*memorySim {
				l := base
				change(&l)
				return playSeeds(t, l, 2)
			}
			never := play(func(l *memoryLoad) { l.prefixesKnown = false })
			fixed := play(func(*memoryLoad) {})
			always := play(func(l *memoryLoad) { l.capacityKnown, l.policy.PrefillWeight = true, 30 })
			exact := play(func(l *memoryLoad) { l.oracle = true })
			oracle := play(func(l *memoryLoad) { l.capacityKnown, l.cachesKnown = true, true })
			got := play(func(l *memoryLoad) { l.capacityKnown = true })
			for _, p := range []struct {
				name   string
				result []*memorySim
			}{{"expected parts", got}, {"never the holder", never}, {"fixed time and weight", fixed}, {"always the holder", always}, {"true parts", oracle}, {"true parts and loads", exact}} {
				r, read := total(p.result, 0), 0
				for _, s := range p.result {
					read += s.readTokens
				}
				t.Logf("%s, %s: cost %.1f ms, long prompts in time %.3f, largest %.3f, questions %.3f; read %.1f M tokens, %.1f M of them again", c.name, p.name, r.cost, r.inTime, r.largeInTime, total(p.result, 1).inTime, float64(read)/1e6, float64(r.reread)/1e6)
			}
			cost := total(got, 0).cost
			for name, other := range map[string][]*memorySim{"never the holder": never, "a fixed time and weight": fixed, "always the holder": always} {
				if limit := total(other, 0).cost; cost >= limit {
					t.Errorf("got a cost of %.1f ms, want less than the %.1f of %s", cost, limit, name)
				}
			}
			if limit := 1.1 * total(oracle, 0).cost; cost > limit {
				t.Errorf("got a cost of %.1f ms, want at most the %.1f of a tenth above that with true knowledge", cost, limit)
			}
		})
	}
}

// TestPartialPrefixCounts guards against a model that knows whole prompts only: the first parts of a prompt
// save their prefill where its last shared part was never read, and a later part saves nothing without them.
func TestPartialPrefixCounts(t *testing.T) {
	common, own := placement.Part{ID: 1, Tokens: 10_000}, placement.Part{ID: 9, Tokens: 1000}
	c := memoryPool(t, instances.Options{}, "e1")
	placePrompt(c, start, 100, common, placement.Part{ID: 2, Tokens: 5000}, placement.Part{ID: 3, Tokens: 1000})
	later := start.Add(2 * time.Second)
	if d, _ := placePrompt(c, later, 100, common, placement.Part{ID: 4, Tokens: 5000}, own); d.Tokens != 6000 {
		t.Errorf("got %d tokens to prefill, want the 6,000 behind the common part", d.Tokens)
	}
	if d, _ := placePrompt(c, later.Add(2*time.Second), 100, placement.Part{ID: 5, Tokens: 500}, placement.Part{ID: 2, Tokens: 5000}, own); d.Tokens != 6500 {
		t.Errorf("got %d tokens to prefill, want all 6,500 as the first part is not held", d.Tokens)
	}
}

// TestEvictedPartsAreNotExpected guards against a fixed time for which parts count as held: an engine evicts them
// as soon as others need its memory, and holds them for minutes if none does.
func TestEvictedPartsAreNotExpected(t *testing.T) {
	document, own := placement.Part{ID: 1, Tokens: 30_000}, placement.Part{ID: 9, Tokens: 1000}
	idle := memoryPool(t, instances.Options{}, "e1")
	placePrompt(idle, start, 100, document, placement.Part{ID: 2, Tokens: 1000})
	if d, _ := placePrompt(idle, start.Add(2*time.Minute), 100, document, own); d.Tokens != 1000 {
		t.Errorf("idle engine: got %d tokens to prefill after two minutes, want 1,000", d.Tokens)
	}
	busy := memoryPool(t, instances.Options{}, "e1")
	placePrompt(busy, start, 100, document, placement.Part{ID: 2, Tokens: 1000})
	for i := range 8 {
		at := start.Add(time.Duration(i+1) * time.Second)
		d, ticket := placePrompt(busy, at, 100, placement.Part{ID: uint64(100 + i), Tokens: 12_000})
		if ticket == nil {
			t.Fatalf("request %d: got %+v, want an engine", i, d)
		}
		ticket.FirstByte(at.Add(d.Delay), instances.ReportedLoad{}, true)
		ticket.Done(at.Add(d.Delay), instances.Answered)
	}
	if d, _ := placePrompt(busy, start.Add(10*time.Second), 100, document, own); d.Tokens != 31_000 {
		t.Errorf("busy engine: got %d tokens to prefill after 96,000 others, want all 31,000", d.Tokens)
	}
}

// TestPartsOfRestartedEngineAreForgotten guards against requests that follow a part to an engine that has
// started again since it read it.
func TestPartsOfRestartedEngineAreForgotten(t *testing.T) {
	c := memoryPool(t, instances.Options{}, "e1")
	document := placement.Part{ID: 1, Tokens: 30_000}
	placePrompt(c, start, 100, document, placement.Part{ID: 2, Tokens: 1000})
	c.Put(start, instances.Instance{ID: "e1", Service: "model", Place: localPlace, Slots: 12, Started: 5})
	if d, _ := placePrompt(c, start.Add(2*time.Second), 100, document, placement.Part{ID: 9, Tokens: 1000}); d.Tokens != 31_000 {
		t.Errorf("got %d tokens to prefill, want all 31,000", d.Tokens)
	}
}

// TestLargePromptIsReadOnce guards against refusing a large prompt for the time of its first reading: it would
// never be held, and be refused for ever.
func TestLargePromptIsReadOnce(t *testing.T) {
	c := memoryPool(t, instances.Options{}, "e1", "e2")
	q := instances.Query{LocalAllowed: true, Request: placement.Request{Prompt: []placement.Part{{ID: 1, Tokens: 80_000}, {ID: 2, Tokens: 1000}}, PromptTokens: 81_000, OutputTokens: 100, Objective: 800 * time.Millisecond, Remaining: 6 * time.Second}}
	if d, ticket := c.Pool("model").Place(start, placement.DefaultPolicy(), &q); ticket == nil {
		t.Errorf("got %+v for a first reading of 1.08 s at an objective of 0.8 s, want an engine", d)
	}
	own := instances.Query{LocalAllowed: true, Request: placement.Request{Prompt: []placement.Part{{ID: 3, Tokens: 81_000}}, PromptTokens: 81_000, OutputTokens: 100, Objective: 800 * time.Millisecond, Remaining: 6 * time.Second}}
	if d, ticket := c.Pool("model").Place(start.Add(5*time.Second), placement.DefaultPolicy(), &own); ticket != nil {
		t.Errorf("got %+v for a prompt that nothing shares, want a refusal", d)
	}
}
