package instances_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// kind is a kind of request in a mixed load.
type kind struct {
	priority     int
	perSecond    float64
	outputTokens int
	slotTime     time.Duration
	objective    time.Duration
}

// kindResult counts the requests of a kind by what their callers got.
type kindResult struct{ inTime, late, refused int }

// mixedEngine runs the most urgent of the waiting requests whenever a slot is free.
type mixedEngine struct {
	slots, running int
	waiting        [10][]func(now time.Time)
}

func (e *mixedEngine) waitingCount() int {
	n := 0
	for _, list := range e.waiting {
		n += len(list)
	}
	return n
}

func (e *mixedEngine) startQueued(now time.Time) {
	for p := range e.waiting {
		for e.running < e.slots && len(e.waiting[p]) > 0 {
			next := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			e.running++
			next(now)
		}
	}
}

// simulateMixedLoad plays kinds of requests of different urgency for 20 s on 20 nodes that
// share 6 engines of 16 slots.
func simulateMixedLoad(t *testing.T, kinds []kind) []kindResult {
	t.Helper()
	const nodes, engines, slots, duration = 20, 6, 16, 20 * time.Second
	table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: slots}}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(7, 7))
	pools, byID := make([]*instances.Pool, nodes), make(map[domain.UpstreamID]*mixedEngine)
	for i := range pools {
		c := instances.NewCatalog(instances.Options{Self: localPlace})
		c.Configure(table)
		for e := range engines {
			id := domain.UpstreamID(fmt.Sprint("e", e))
			c.Put(start, instances.Instance{ID: id, Service: "model", Place: localPlace, Slots: slots})
			byID[id] = &mixedEngine{slots: slots}
		}
		pools[i] = c.Pool("model")
	}
	var events eventQueue
	schedule := func(at time.Time, run func(time.Time)) { heap.Push(&events, event{at, run}) }
	results := make([]kindResult, len(kinds))
	send := func(now time.Time, i int) {
		k, r := kinds[i], &results[i]
		q := instances.Query{LocalAllowed: true, Request: placement.Request{OutputTokens: k.outputTokens, Priority: k.priority, Urgent: k.priority == 0,
			Objective: k.objective, Remaining: 8 * time.Second, Random: rng.Uint32()}}
		_, ticket := pools[rng.IntN(nodes)].Place(now, placement.DefaultPolicy(), &q)
		if ticket == nil {
			r.refused++
			return
		}
		e := byID[ticket.ID]
		schedule(now.Add(networkDelay), func(at time.Time) {
			e.waiting[k.priority] = append(e.waiting[k.priority], func(at time.Time) {
				ticket.FirstByte(at, instances.ReportedLoad{Running: e.running, Waiting: e.waitingCount(), Slots: slots}, true)
				if at.Sub(now) <= k.objective {
					r.inTime++
				} else {
					r.late++
				}
				schedule(at.Add(time.Duration((0.5+rng.Float64())*float64(k.slotTime))), func(at time.Time) {
					e.running--
					ticket.Done(at, instances.Answered)
					e.startQueued(at)
				})
			})
			e.startQueued(at)
		})
	}
	for i, k := range kinds {
		for at := start; at.Before(start.Add(duration)); at = at.Add(time.Duration(rng.ExpFloat64() / k.perSecond * float64(time.Second))) {
			schedule(at, func(now time.Time) { send(now, i) })
		}
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(event)
		e.run(e.at)
	}
	return results
}

// TestUrgentRequestsAreServedWhileOthersFillTheEngines guards against refusing urgent
// requests for the wait that less urgent ones have: engines admit urgent requests first.
func TestUrgentRequestsAreServedWhileOthersFillTheEngines(t *testing.T) {
	urgent := kind{priority: 0, perSecond: 20, outputTokens: 120, slotTime: 900 * time.Millisecond, objective: time.Second}
	for _, load := range []float64{0.8, 1.5, 3} {
		short := kind{priority: 2, perSecond: load * 200, outputTokens: 45, slotTime: 400 * time.Millisecond, objective: 3 * time.Second}
		results := simulateMixedLoad(t, []kind{urgent, short})
		t.Logf("short requests at %.1f of the engines' rate: urgent %+v, short %+v", load, results[0], results[1])
		sent := results[0].inTime + results[0].late + results[0].refused
		if results[0].inTime < sent*95/100 {
			t.Errorf("short requests at %.1f of the engines' rate: %d of %d urgent requests are answered in time, want at least 95 in 100", load, results[0].inTime, sent)
		}
		if served := results[1].inTime; float64(served) < 0.85*min(load*200, 200)*20*(1-20*0.9/96) {
			t.Errorf("short requests at %.1f of the engines' rate: only %d of them are answered in time", load, served)
		}
	}
}
