package instances_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// BenchmarkPlaceLongPrompts places long prompts with shared parts in a pool of 600 engines, a third of them in the
// node's region.
func BenchmarkPlaceLongPrompts(b *testing.B) {
	table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 64, CacheTokens: 380_000, TokensPerEvent: 8}}}, routes.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	c := instances.NewCatalog(instances.Options{Self: localPlace})
	c.Configure(table)
	for i := range 600 {
		place := localPlace
		if i%3 != 0 {
			place = domain.Place{Region: domain.Region(fmt.Sprint("r", i%3)), FailureDomain: domain.FailureDomain(fmt.Sprint("r", i%3, "-a"))}
		}
		c.Put(start, instances.Instance{ID: domain.UpstreamID(fmt.Sprint("engine-", i)), Service: "model", Slots: 64, Place: place})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	others := []placement.RegionLoad{{Region: "r1", Delay: 40 * time.Millisecond, RoundTrip: 110 * time.Millisecond, FreeCapacity: 20}, {Region: "r2", Delay: 40 * time.Millisecond, RoundTrip: 110 * time.Millisecond, FreeCapacity: 20}}
	prompts := make([][]placement.Part, 200)
	for i := range prompts {
		prompts[i] = []placement.Part{{ID: uint64(i%10 + 1), Tokens: 4000}, {ID: uint64(i + 100), Tokens: 9300}, {ID: uint64(i + 1000), Tokens: 3700}}
	}
	pool, policy := c.Pool("model"), placement.DefaultPolicy()
	q := instances.Query{LocalAllowed: true, OtherRegions: make([]placement.RegionLoad, len(others))}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		copy(q.OtherRegions, others)
		q.Request = placement.Request{Prompt: prompts[rng.IntN(len(prompts))], PromptTokens: 17000, OutputTokens: 300, Objective: 800 * time.Millisecond, Remaining: 6 * time.Second, Random: rng.Uint32()}
		if _, ticket := pool.Place(now, policy, &q); ticket != nil {
			ticket.FirstByte(now.Add(60*time.Millisecond), instances.ReportedLoad{Running: 5, Slots: 64}, true)
			ticket.Done(now.Add(60*time.Millisecond), instances.Answered)
		}
	}
}
