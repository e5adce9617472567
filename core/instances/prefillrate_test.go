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

// promptLoad is a load of long prompts without shared parts on the engines of one region.
type promptLoad struct {
	// rate is the engines' prefill rate in tokens per millisecond.
	rate float64
	// load is the offered number of tokens relative to what the engines can prefill.
	load float64
}

// promptResult counts the requests of a simulated load by what their callers got.
type promptResult struct{ inTime, late, refused int }

// simulatePromptLoad plays the load for 30 s on six nodes that share twelve engines. Each
// engine prefills in order of arrival; the nodes learn of each other's prompts through
// notices.
func simulatePromptLoad(t *testing.T, l promptLoad) promptResult {
	t.Helper()
	const (
		nodes, engines = 6, 12
		promptTokens   = 4000
		objective      = 800 * time.Millisecond
		noticeDelay    = 15 * time.Millisecond
		idleTTFB       = 40 * time.Millisecond
		duration       = 30 * time.Second
	)
	place := domain.Place{Region: "west", FailureDomain: "west-a"}
	table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 64, TokensPerEvent: 8}}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	var events eventQueue
	now := start
	catalogs := make([]*instances.Catalog, nodes)
	for i := range catalogs {
		catalogs[i] = instances.NewCatalog(instances.Options{Self: place, SendNotice: func(n instances.Notice) {
			heap.Push(&events, event{now.Add(noticeDelay), func(at time.Time) {
				for j, other := range catalogs {
					if j != i {
						other.ApplyNotices(at, []instances.Notice{n})
					}
				}
			}})
		}})
		catalogs[i].Configure(table)
		for e := range engines {
			catalogs[i].Put(start, instances.Instance{ID: domain.UpstreamID(fmt.Sprintf("engine-%d", e)), Service: "model", Slots: 64, Place: place})
		}
	}
	var result promptResult
	idleAt := make(map[domain.UpstreamID]time.Time)
	rng := rand.New(rand.NewPCG(11, 11))
	prefillTime := time.Duration(promptTokens / l.rate * float64(time.Millisecond))
	var arrive func(at time.Time)
	arrive = func(at time.Time) {
		gap := time.Duration(rng.ExpFloat64() * float64(prefillTime) / (engines * l.load))
		if next := at.Add(gap); next.Before(start.Add(duration)) {
			heap.Push(&events, event{next, arrive})
		}
		q := instances.Query{LocalAllowed: true, Request: placement.Request{
			Prompt:       []placement.Part{{ID: rng.Uint64(), Tokens: promptTokens}},
			PromptTokens: promptTokens, Objective: objective, Remaining: 6 * time.Second, Random: rng.Uint32(),
		}}
		_, ticket := catalogs[rng.IntN(nodes)].Pool("model").Place(at, placement.DefaultPolicy(), &q)
		if ticket == nil {
			result.refused++
			return
		}
		startsAt := at
		if idleAt[ticket.ID].After(at) {
			startsAt = idleAt[ticket.ID]
		}
		idleAt[ticket.ID] = startsAt.Add(prefillTime)
		heap.Push(&events, event{idleAt[ticket.ID].Add(idleTTFB), func(done time.Time) {
			ticket.FirstByte(done, instances.ReportedLoad{}, true)
			ticket.Done(done, instances.Answered)
			if done.Sub(at) > objective {
				result.late++
			} else {
				result.inTime++
			}
		}})
	}
	heap.Push(&events, event{start, arrive})
	for events.Len() > 0 {
		e := heap.Pop(&events).(event)
		now = e.at
		e.run(now)
	}
	return result
}

// TestLongPromptsAreAnsweredInTimeByEnginesOfAnySpeed plays the same relative load on
// engines that are slower or faster than the rate assumed at the start.
func TestLongPromptsAreAnsweredInTimeByEnginesOfAnySpeed(t *testing.T) {
	for _, l := range []promptLoad{{rate: 20, load: 0.7}, {rate: 38, load: 0.8}, {rate: 75, load: 0.8}, {rate: 300, load: 0.8}, {rate: 38, load: 1.3}, {rate: 75, load: 1.3}, {rate: 300, load: 1.3}} {
		r := simulatePromptLoad(t, l)
		total := r.inTime + r.late + r.refused
		t.Logf("%.0f tokens per ms, load %.1f: %d in time, %d late, %d refused", l.rate, l.load, r.inTime, r.late, r.refused)
		if want := 0.85 * min(1, 1/l.load) * float64(total); float64(r.inTime) < want {
			t.Errorf("%.0f tokens per ms, load %.1f: got %d of %d requests answered in time, want at least %.0f", l.rate, l.load, r.inTime, total, want)
		}
		if maxLate := total / 20; r.late > maxLate {
			t.Errorf("%.0f tokens per ms, load %.1f: got %d of %d answers late, want at most %d", l.rate, l.load, r.late, total, maxLate)
		}
	}
}
