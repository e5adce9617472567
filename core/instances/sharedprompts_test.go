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

// engineFleet simulates engines that cache the shared prompts they have prefilled.
// Each engine prefills at prefillRate. repeatedTokens counts the tokens that more than
// one engine prefilled.
type engineFleet struct {
	cached          map[domain.UpstreamID]map[uint64]bool
	idleAt          map[domain.UpstreamID]time.Time
	repeatedTokens  int
	prefilledBefore map[uint64]bool
}

const (
	prefillRate   = 75 // prompt tokens per millisecond, the default of Options
	sharedTokens  = 13300
	uniqueTokens  = 3700
	sharedPrompts = 93
)

// prefill simulates the prefill of a prompt on an engine and returns when the answer
// starts.
func (e *engineFleet) prefill(at time.Time, id domain.UpstreamID, key uint64) time.Time {
	tokens := uniqueTokens
	if !e.cached[id][key] {
		tokens += sharedTokens
		if e.prefilledBefore[key] {
			e.repeatedTokens += sharedTokens
		}
		if e.cached[id] == nil {
			e.cached[id] = make(map[uint64]bool)
		}
		e.cached[id][key], e.prefilledBefore[key] = true, true
	}
	startsAt := at
	if e.idleAt[id].After(startsAt) {
		startsAt = e.idleAt[id]
	}
	e.idleAt[id] = startsAt.Add(time.Duration(tokens/prefillRate) * time.Millisecond)
	return e.idleAt[id]
}

// regionNode is one node of a region, with its own catalog.
type regionNode struct {
	place domain.Place
	pool  *instances.Pool
}

func newRegionNodes(t *testing.T, cacheTokens int) []regionNode {
	t.Helper()
	sizes := map[domain.Region]int{"west": 8, "east": 6, "south": 4}
	var nodes []regionNode
	for _, name := range []domain.Region{"west", "east", "south"} {
		place := domain.Place{Region: name, FailureDomain: domain.FailureDomain(name + "-a")}
		c := instances.NewCatalog(instances.Options{Self: place})
		table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 24, CacheTokens: cacheTokens, TokensPerEvent: 8}}}, routes.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		c.Configure(table)
		for other, n := range sizes {
			for i := range n {
				c.Put(start, instances.Instance{ID: domain.UpstreamID(fmt.Sprintf("%s-%d", other, i)), Service: "model", Slots: 24,
					Place: domain.Place{Region: other, FailureDomain: domain.FailureDomain(other + "-a")}})
			}
		}
		nodes = append(nodes, regionNode{place, c.Pool("model")})
	}
	return nodes
}

// TestSharedPromptsArePrefilledOnceInFleet simulates long prompts in three regions,
// one of them at peak load. It compares the tokens prefilled repeatedly and the late
// answers with those of nodes that place every prompt in their own region.
func TestSharedPromptsArePrefilledOnceInFleet(t *testing.T) {
	for _, cacheTokens := range []int{0, 380_000} { // zero means that the nodes do not know it
		repeatedFleet, lateFleet := simulatePrompts(t, cacheTokens, true)
		repeatedLocal, lateLocal := simulatePrompts(t, cacheTokens, false)
		t.Logf("memory %d: tokens prefilled repeatedly: %d, within regions only %d; late answers: %d, within regions only %d", cacheTokens, repeatedFleet, repeatedLocal, lateFleet, lateLocal)
		if repeatedFleet > repeatedLocal/2 {
			t.Errorf("memory %d: got %d tokens prefilled repeatedly, want at most half of %d", cacheTokens, repeatedFleet, repeatedLocal)
		}
		if lateFleet > lateLocal {
			t.Errorf("memory %d: got %d late answers, want at most the %d without other regions", cacheTokens, lateFleet, lateLocal)
		}
	}
}

func simulatePrompts(t *testing.T, cacheTokens int, useOtherRegions bool) (repeatedTokens, late int) {
	const objective, roundTrip = 800 * time.Millisecond, 110 * time.Millisecond
	nodes := newRegionNodes(t, cacheTokens)
	e := &engineFleet{cached: make(map[domain.UpstreamID]map[uint64]bool), idleAt: make(map[domain.UpstreamID]time.Time), prefilledBefore: make(map[uint64]bool)}
	rng := rand.New(rand.NewPCG(7, 7))
	for at := time.Duration(0); at < 30*time.Second; at += 30 * time.Millisecond {
		now := start.Add(at)
		sender := nodes[0] // at peak load: three quarters of the requests
		if rng.IntN(4) == 0 {
			sender = nodes[1+rng.IntN(2)]
		}
		key := uint64(rng.IntN(sharedPrompts) + 1)
		q := instances.Query{LocalAllowed: true, Request: placement.Request{
			Prompt:       []placement.Part{{ID: key, Tokens: sharedTokens}, {ID: rng.Uint64(), Tokens: uniqueTokens}},
			PromptTokens: sharedTokens + uniqueTokens, Objective: objective, Remaining: 6 * time.Second, Random: rng.Uint32(),
		}}
		if useOtherRegions {
			q.OtherRegions = loadsOfOthers(nodes, sender, now, roundTrip)
		}
		d, ticket := sender.pool.Place(now, placement.DefaultPolicy(), &q)
		arrivesAt := now
		if d.Choice == placement.Remote {
			arrivesAt = now.Add(roundTrip / 2)
			q.LocalAllowed, q.OtherRegions = true, nil
			for _, node := range nodes {
				if node.place.Region == d.Region {
					_, ticket = node.pool.Place(arrivesAt, placement.DefaultPolicy(), &q)
				}
			}
		}
		if ticket == nil {
			late++
			continue
		}
		startsAt := e.prefill(arrivesAt, ticket.ID, key)
		if d.Choice == placement.Remote {
			startsAt = startsAt.Add(roundTrip / 2)
		}
		if startsAt.Sub(now) > objective {
			late++
		}
		ticket.FirstByte(startsAt, instances.ReportedLoad{}, true)
		ticket.Done(startsAt, instances.Answered)
	}
	return e.repeatedTokens, late
}

func loadsOfOthers(nodes []regionNode, sender regionNode, now time.Time, roundTrip time.Duration) []placement.RegionLoad {
	var loads []placement.RegionLoad
	for _, node := range nodes {
		if node.place != sender.place {
			l := node.pool.Load(now)
			loads = append(loads, placement.RegionLoad{Region: node.place.Region, Delay: l.Delay, RoundTrip: roundTrip, FreeCapacity: l.Free})
		}
	}
	return loads
}
