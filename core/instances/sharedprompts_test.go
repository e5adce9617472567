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

// engines keep the shared prompts that they read; each one reads at readRate.
type engines struct {
	holds map[domain.UpstreamID]map[uint64]bool
	free  map[domain.UpstreamID]time.Time
	again int
	seen  map[uint64]bool
}

const (
	readRate     = 75 // prompt tokens per millisecond, as in Options
	sharedTokens = 13300
	ownTokens    = 3700
	prompts      = 93
)

// serve lets an engine read a prompt and returns when the answer begins.
func (e *engines) serve(at time.Time, id domain.UpstreamID, key uint64) time.Time {
	tokens := ownTokens
	if !e.holds[id][key] {
		tokens += sharedTokens
		if e.seen[key] {
			e.again += sharedTokens
		}
		if e.holds[id] == nil {
			e.holds[id] = make(map[uint64]bool)
		}
		e.holds[id][key], e.seen[key] = true, true
	}
	begin := at
	if e.free[id].After(begin) {
		begin = e.free[id]
	}
	e.free[id] = begin.Add(time.Duration(tokens/readRate) * time.Millisecond)
	return e.free[id]
}

// region is a node of each region with its own catalog.
type region struct {
	place domain.Place
	pool  *instances.Pool
}

func regions(t *testing.T) []region {
	t.Helper()
	sizes := map[domain.Region]int{"west": 8, "east": 6, "south": 4}
	var list []region
	for _, name := range []domain.Region{"west", "east", "south"} {
		place := domain.Place{Region: name, FailureDomain: domain.FailureDomain(name + "-a")}
		c := instances.NewCatalog(instances.Options{Self: place})
		table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 24, EventTokens: 8}}}, routes.Limits{})
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
		list = append(list, region{place, c.Pool("model")})
	}
	return list
}

// TestSharedPromptsAreReadOnceInTheFleet plays long prompts at three regions, one
// of them at its peak, and compares what engines read again and when answers
// begin with nodes that keep every prompt in their region.
func TestSharedPromptsAreReadOnceInTheFleet(t *testing.T) {
	againFleet, lateFleet := playPrompts(t, true)
	againOwn, lateOwn := playPrompts(t, false)
	t.Logf("read again: %d tokens, kept in the region %d; late: %d, kept %d", againFleet, againOwn, lateFleet, lateOwn)
	if againFleet > againOwn/2 {
		t.Errorf("%d tokens read again, more than half of %d", againFleet, againOwn)
	}
	if lateFleet > lateOwn {
		t.Errorf("%d answers are late, %d if each region keeps its own", lateFleet, lateOwn)
	}
}

func playPrompts(t *testing.T, fleet bool) (again, late int) {
	const objective, roundTrip = 800 * time.Millisecond, 110 * time.Millisecond
	list := regions(t)
	e := &engines{holds: make(map[domain.UpstreamID]map[uint64]bool), free: make(map[domain.UpstreamID]time.Time), seen: make(map[uint64]bool)}
	draw := rand.New(rand.NewPCG(7, 7))
	for at := time.Duration(0); at < 30*time.Second; at += 30 * time.Millisecond {
		now := start.Add(at)
		from := list[0] // at its peak: three quarters of the requests
		if draw.IntN(4) == 0 {
			from = list[1+draw.IntN(2)]
		}
		key := uint64(draw.IntN(prompts) + 1)
		q := instances.Query{LocalAllowed: true, Request: placement.Request{
			Prompt:       []placement.Part{{ID: key, Tokens: sharedTokens}, {ID: draw.Uint64(), Tokens: ownTokens}},
			PromptTokens: sharedTokens + ownTokens, Objective: objective, Left: 6 * time.Second, Spread: draw.Uint32(),
		}}
		if fleet {
			q.Others = others(list, from, now, roundTrip)
		}
		d, ticket := from.pool.Place(now, placement.DefaultPolicy(), &q)
		arrives := now
		if d.Choice == placement.Remote {
			arrives = now.Add(roundTrip / 2)
			q.LocalAllowed, q.Others = true, nil
			for _, r := range list {
				if r.place.Region == d.Region {
					_, ticket = r.pool.Place(arrives, placement.DefaultPolicy(), &q)
				}
			}
		}
		if ticket == nil {
			late++
			continue
		}
		begins := e.serve(arrives, ticket.ID, key)
		if d.Choice == placement.Remote {
			begins = begins.Add(roundTrip / 2)
		}
		if begins.Sub(now) > objective {
			late++
		}
		ticket.FirstByte(begins, instances.Reading{}, true)
		ticket.Done(begins, instances.Answered)
	}
	return e.again, late
}

func others(list []region, from region, now time.Time, roundTrip time.Duration) []placement.RegionLoad {
	var loads []placement.RegionLoad
	for _, r := range list {
		if r.place != from.place {
			l := r.pool.Load(now)
			loads = append(loads, placement.RegionLoad{Region: r.place.Region, Delay: l.Delay, RoundTrip: roundTrip, Free: l.Free})
		}
	}
	return loads
}
