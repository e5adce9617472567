package instances_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// decisionsDigest returns a hash of all decisions of a played load: four nodes, eight upstreams,
// prompts with and without shared parts, and another region. Upstreams report the load with each
// answer, complete it with report, and shed some requests.
func decisionsDigest(t *testing.T, engine *routes.Engine, report func(*instances.ReportedLoad)) uint64 {
	t.Helper()
	const nodes, upstreams, slots = 4, 8, 6
	table, err := routes.New(1, nil, []routes.Service{{Name: "app", Engine: engine}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	var events eventQueue
	now := start
	catalogs := make([]*instances.Catalog, nodes)
	for i := range catalogs {
		catalogs[i] = instances.NewCatalog(instances.Options{Self: localPlace, SendNotice: func(n instances.Notice) {
			heap.Push(&events, event{now.Add(9 * time.Millisecond), func(at time.Time) {
				for j, other := range catalogs {
					if j != i {
						other.ApplyNotices(at, []instances.Notice{n})
					}
				}
			}})
		}})
		catalogs[i].Configure(table)
		for u := range upstreams {
			catalogs[i].Put(start, instances.Instance{ID: domain.UpstreamID(fmt.Sprint("u", u)), Service: "app", Slots: slots, Place: localPlace})
		}
	}
	digest := fnv.New64a()
	rng := rand.New(rand.NewPCG(3, 3))
	running := make(map[domain.UpstreamID]int)
	var arrive func(at time.Time)
	arrive = func(at time.Time) {
		if next := at.Add(time.Duration(rng.ExpFloat64() * 7e6)); next.Before(start.Add(20 * time.Second)) {
			heap.Push(&events, event{next, arrive})
		}
		q := instances.Query{LocalAllowed: true, Request: placement.Request{Objective: 600 * time.Millisecond, Remaining: 6 * time.Second, Random: rng.Uint32(), Urgent: rng.IntN(2) == 0}}
		if engine != nil {
			q.PromptTokens, q.OutputTokens = 300+rng.IntN(400), 90
			if rng.IntN(6) == 0 {
				q.Prompt = []placement.Part{{ID: uint64(1 + rng.IntN(30)), Tokens: 9000}, {ID: rng.Uint64(), Tokens: 2500}}
				q.PromptTokens = 11500
			}
		}
		if rng.IntN(3) == 0 {
			q.OtherRegions = []placement.RegionLoad{{Region: "east", Delay: 50 * time.Millisecond, RoundTrip: 110 * time.Millisecond, FreeCapacity: 3}}
		}
		catalog := catalogs[rng.IntN(nodes)]
		d, ticket := catalog.Pool("app").Place(at, placement.DefaultPolicy(), &q)
		if err := binary.Write(digest, binary.LittleEndian, []int64{int64(d.Choice), int64(d.Index), int64(d.Delay), int64(d.SlotWait), int64(d.Cost), int64(d.BacklogWait), int64(d.Tokens)}); err != nil {
			t.Fatal(err)
		}
		if rng.IntN(100) == 0 {
			l := catalog.Pool("app").Load(at)
			if err := binary.Write(digest, binary.LittleEndian, []int64{int64(l.Free * 1e6), int64(l.Delay), int64(l.MeanSlotTime)}); err != nil {
				t.Fatal(err)
			}
		}
		if ticket == nil {
			return
		}
		id := ticket.ID
		running[id]++
		r := instances.ReportedLoad{Running: min(slots, running[id]), Waiting: max(0, running[id]-slots), Slots: slots}
		report(&r)
		firstByte := at.Add(time.Duration(20+running[id]*10+rng.IntN(30)) * time.Millisecond).Add(time.Duration(d.Tokens/75) * time.Millisecond)
		shed := rng.IntN(40) == 0
		heap.Push(&events, event{firstByte, func(at time.Time) { ticket.FirstByte(at, r, !shed) }})
		heap.Push(&events, event{firstByte.Add(time.Duration(100+rng.IntN(400)) * time.Millisecond), func(at time.Time) {
			running[id]--
			outcome := instances.Answered
			if shed {
				outcome = instances.Shed
			}
			ticket.Done(at, outcome)
		}})
	}
	heap.Push(&events, event{start, arrive})
	for events.Len() > 0 {
		e := heap.Pop(&events).(event)
		now = e.at
		e.run(now)
	}
	return digest.Sum64()
}

// TestDecisionsWithoutStatedSpeedAreUnchanged guards deployments whose upstreams do not state
// their slowdown, or always the usual speed, against any change of their decisions by it. The
// hashes are those of the code before slowdowns were stated.
func TestDecisionsWithoutStatedSpeedAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine *routes.Engine
		want   uint64
	}{
		{"service without engines", nil, 0x8c4bce6a787db61c},
		{"engines", &routes.Engine{Slots: 6, TokensPerEvent: 8}, 0x114505a9efcca07f},
	} {
		if got := decisionsDigest(t, c.engine, func(*instances.ReportedLoad) {}); got != c.want {
			t.Errorf("%s: got decisions with hash %#x, want %#x", c.name, got, c.want)
		}
		if got := decisionsDigest(t, c.engine, func(r *instances.ReportedLoad) { r.Slowdown = 1 }); got != c.want {
			t.Errorf("%s, usual speed stated: got decisions with hash %#x, want %#x", c.name, got, c.want)
		}
	}
}
