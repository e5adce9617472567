package instances_test

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// playSeeds plays a load with several seeds and returns the results.
func playSeeds(t *testing.T, l memoryLoad, seeds int) []*memorySim {
	t.Helper()
	results := make([]*memorySim, seeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = playMemoryLoad(t, l, uint64(i)) })
	}
	wg.Wait()
	return results
}

// totals are the sums of the results of several seeds.
type totals struct {
	cost, inTime, largeInTime float64
	preemptions, reread       int
}

// total returns the mean cost and the sums of other results. The shares of answers in time are those
// of one kind.
func total(results []*memorySim, kind int) totals {
	var s totals
	inTime, all, largeInTime, large := 0, 0, 0, 0
	for _, r := range results {
		s.cost += r.meanCost() / float64(len(results))
		s.preemptions += r.preemptions
		s.reread += r.rereadTokens
		k := r.kinds[kind]
		inTime, all = inTime+k.inTime, all+k.total
		largeInTime, large = largeInTime+k.largeInTime, large+k.largeTotal
	}
	s.inTime, s.largeInTime = float64(inTime)/float64(all), float64(largeInTime)/float64(max(1, large))
	return s
}

// privatePrompts returns prompts without shared parts, a tenth of which are large, with long answers.
func privatePrompts(rng *rand.Rand, _ time.Duration) ([]placement.Part, int) {
	size := 17_000
	if rng.IntN(10) == 0 {
		size = 40_000 + rng.IntN(50_000)
	}
	return []placement.Part{{ID: rng.Uint64() | 1<<63, Tokens: size}}, 1000 + rng.IntN(1000)
}

// tightMemoryLoad is a load whose answers need perSecond/7 of the memory of eight engines.
func tightMemoryLoad(perSecond float64, longPriority, questionPriority int) memoryLoad {
	return memoryLoad{nodes: 16, engines: 8, slots: 64, capacity: 330_000, duration: 40 * time.Second, prefixesKnown: true, policy: placement.DefaultPolicy(),
		kinds: func() []*requestKind {
			return []*requestKind{
				{name: "long", priority: longPriority, objective: 1500 * time.Millisecond, gapAim: 480 * time.Millisecond, perSecond: perSecond, next: privatePrompts},
				{name: "question", priority: questionPriority, objective: 600 * time.Millisecond, gapAim: 480 * time.Millisecond, perSecond: 20, next: question},
			}
		}}
}

// TestRequestsKeepWithinEngineMemory guards against requests that are sent to engines whose memory running
// requests need until their end: they wait there, and others are preempted for them. Nodes that know the
// memory must answer more requests in time than those that do not, at any load.
func TestRequestsKeepWithinEngineMemory(t *testing.T) {
	for _, c := range []struct {
		perSecond                      float64
		longPriority, questionPriority int
		maxPreemptions                 int
		minLong, minQuestion           float64
		// minLarge is the least share of the largest prompts that are answered in time. Those
		// of 90,000 tokens take 1.2 of the 1.5 s to read.
		minLarge float64
	}{
		{6, 0, 0, 0, 0.98, 0.99, 0.9},
		{8, 0, 0, 5, 0.9, 0.99, 0.6},
		{10, 0, 0, 25, 0.75, 0.98, 0.4},
		{10, 1, 0, 25, 0.75, 0.98, 0.4},
		{10, 0, 1, 25, 0.75, 0.98, 0.4},
	} {
		l := tightMemoryLoad(c.perSecond, c.longPriority, c.questionPriority)
		unknown := playSeeds(t, l, 5)
		l.capacityKnown = true
		known := playSeeds(t, l, 5)
		long, question, before := total(known, 0), total(known, 1), total(unknown, 0)
		t.Logf("%.0f per second, priorities %d and %d: cost %.0f, %d preemptions, long prompts in time %.3f, largest %.3f, questions %.3f; memory unknown: %.0f, %d, %.3f, %.3f, %.3f", c.perSecond, c.longPriority, c.questionPriority,
			long.cost, long.preemptions, long.inTime, long.largeInTime, question.inTime, before.cost, before.preemptions, before.inTime, before.largeInTime, total(unknown, 1).inTime)
		if long.preemptions > c.maxPreemptions {
			t.Errorf("%.0f per second: got %d preemptions, want at most %d", c.perSecond, long.preemptions, c.maxPreemptions)
		}
		if long.inTime < c.minLong || question.inTime < c.minQuestion || long.largeInTime < c.minLarge {
			t.Errorf("%.0f per second: got %.3f of long prompts, %.3f of the largest and %.3f of questions in time, want at least %.2f, %.2f and %.2f", c.perSecond,
				long.inTime, long.largeInTime, question.inTime, c.minLong, c.minLarge, c.minQuestion)
		}
		if long.cost > before.cost {
			t.Errorf("%.0f per second: got a cost of %.0f ms, want at most the %.0f without knowledge of the memory", c.perSecond, long.cost, before.cost)
		}
	}
}

// TestUrgentRequestsAvoidPreemption guards against urgent questions that preempt long prompts, or the
// reverse, at full engines while others have free slots. Few nodes know well which engines are full. At any
// number of nodes the requests must cost callers less than if the nodes do not know the engines' memory.
func TestUrgentRequestsAvoidPreemption(t *testing.T) {
	for _, c := range []struct {
		nodes                          int
		long, question                 float64
		longPriority, questionPriority int
	}{
		{3, 45, 200, 1, 0}, {3, 30, 240, 1, 0}, {3, 45, 200, 0, 1}, {3, 30, 240, 0, 1},
		{16, 45, 200, 1, 0}, {16, 30, 240, 1, 0}, {16, 45, 200, 0, 1}, {16, 30, 240, 0, 1},
	} {
		l := regionLoad(c.long, c.question, zipf(300, 0.9), c.longPriority, c.questionPriority)
		l.nodes = c.nodes
		seeds := 8
		if c.nodes > 3 {
			seeds = 4
		}
		unknown := total(playSeeds(t, l, seeds), 0)
		l.capacityKnown = true
		with := total(playSeeds(t, l, seeds), 0)
		without := with
		if c.nodes == 3 { // more nodes do not know which engines are full
			l.policy.PreemptionWeight = 0
			without = total(playSeeds(t, l, seeds), 0)
		}
		t.Logf("%d nodes, %.0f long prompts and %.0f questions per second, priorities %d and %d: cost %.1f, %d preemptions; without the loss of preempted requests %.1f, %d; memory unknown %.1f, %d", c.nodes, c.long, c.question, c.longPriority, c.questionPriority,
			with.cost, with.preemptions, without.cost, without.preemptions, unknown.cost, unknown.preemptions)
		if c.nodes == 3 && (with.preemptions > without.preemptions || with.cost > without.cost) {
			t.Errorf("%.0f long prompts, %.0f questions: got %d preemptions at a cost of %.1f, want at most %d and %.1f", c.long, c.question, with.preemptions, with.cost, without.preemptions, without.cost)
		}
		if with.cost > unknown.cost {
			t.Errorf("%d nodes, %.0f long prompts, %.0f questions: got a cost of %.1f, want at most %.1f", c.nodes, c.long, c.question, with.cost, unknown.cost)
		}
	}
}

// TestStatedSpeedsHelpWithLongPrompts guards against the spreading of requests over noisy engines that costs more than
// it brings where long prompts, questions and priorities meet.
func TestStatedSpeedsHelpWithLongPrompts(t *testing.T) {
	for _, c := range []struct {
		nodes                          int
		long, question                 float64
		longPriority, questionPriority int
	}{{3, 30, 80, 0, 0}, {3, 30, 150, 0, 1}, {16, 30, 80, 0, 0}, {16, 30, 150, 1, 0}, {16, 25, 180, 1, 0}, {16, 30, 150, 0, 1}} {
		l := regionLoad(c.long, c.question, zipf(300, 0.9), c.longPriority, c.questionPriority)
		l.nodes, l.capacityKnown, l.noisy = c.nodes, true, true
		unstated := total(playSeeds(t, l, 4), 0)
		l.speedsStated = true
		stated := total(playSeeds(t, l, 4), 0)
		t.Logf("%d nodes, %.0f long prompts and %.0f questions per second, priorities %d and %d: cost %.1f, %d preemptions; speeds not stated %.1f, %d", c.nodes, c.long, c.question, c.longPriority, c.questionPriority,
			stated.cost, stated.preemptions, unstated.cost, unstated.preemptions)
		if stated.cost > unstated.cost {
			t.Errorf("%d nodes, %.0f long prompts, %.0f questions: got a cost of %.1f ms with stated speeds, want at most the %.1f without", c.nodes, c.long, c.question, stated.cost, unstated.cost)
		}
	}
}

// regionLoad is the load of a region with 24 engines of 12 slots: long prompts that share documents, and
// short questions.
func regionLoad(longRate, questionRate float64, pick func(*rand.Rand, time.Duration) int, longPriority, questionPriority int) memoryLoad {
	return memoryLoad{nodes: 16, engines: 24, slots: 12, capacity: 380_486, duration: 20 * time.Second, prefixesKnown: true, policy: placement.DefaultPolicy(),
		kinds: func() []*requestKind {
			return []*requestKind{
				{name: "long", priority: longPriority, objective: 800 * time.Millisecond, gapAim: 480 * time.Millisecond, perSecond: longRate, next: documents{pick: pick, output: 40}.next},
				{name: "question", priority: questionPriority, objective: 600 * time.Millisecond, gapAim: 480 * time.Millisecond, perSecond: questionRate, next: question},
			}
		}}
}

// memoryPool returns a catalog with engines of 100,000 tokens.
func memoryPool(t *testing.T, o instances.Options, ids ...domain.UpstreamID) *instances.Catalog {
	t.Helper()
	table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 12, CacheTokens: 100_000, TokensPerEvent: 8}}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	o.Self = localPlace
	c := instances.NewCatalog(o)
	c.Configure(table)
	for _, id := range ids {
		c.Put(start, instances.Instance{ID: id, Service: "model", Place: localPlace, Slots: 12})
	}
	return c
}

func placePrompt(c *instances.Catalog, now time.Time, output int, parts ...placement.Part) (placement.Decision, *instances.Ticket) {
	q := instances.Query{LocalAllowed: true, Request: placement.Request{Prompt: parts, OutputTokens: output, Objective: 2 * time.Second, Remaining: 10 * time.Second}}
	for _, p := range parts {
		q.PromptTokens += p.Tokens
	}
	return c.Pool("model").Place(now, placement.DefaultPolicy(), &q)
}

// TestSharedPartsAreReservedOnce guards against counting a part once for each request that uses it: an engine
// would seem full with a few requests on a popular document.
func TestSharedPartsAreReservedOnce(t *testing.T) {
	c := memoryPool(t, instances.Options{}, "e1")
	document := placement.Part{ID: 7, Tokens: 40_000}
	var tickets []*instances.Ticket
	for i := range 10 {
		sentAt := start.Add(time.Duration(i) * time.Second)
		d, ticket := placePrompt(c, sentAt, 1000, document, placement.Part{ID: uint64(100 + i), Tokens: 3000})
		if ticket == nil {
			t.Fatalf("request %d on a document that is in memory got no engine", i)
		}
		ticket.FirstByte(sentAt.Add(d.Delay), instances.ReportedLoad{}, true)
		tickets = append(tickets, ticket)
	}
	now := start.Add(10 * time.Second)
	if d, ticket := placePrompt(c, now, 1000, placement.Part{ID: 200, Tokens: 30_000}); ticket != nil {
		t.Errorf("got %+v, want no engine for 31,000 tokens while 80,000 of 100,000 are reserved", d)
	}
	for _, ticket := range tickets {
		ticket.Done(now, instances.Answered)
	}
	if d, ticket := placePrompt(c, now, 1000, placement.Part{ID: 200, Tokens: 30_000}); ticket == nil {
		t.Errorf("got %+v, want an engine after all requests have ended", d)
	}
}

// TestReservationsOfOtherNodesCount guards against two nodes that fill the same engine, and against
// reservations of requests that have long ended.
func TestReservationsOfOtherNodesCount(t *testing.T) {
	second := memoryPool(t, instances.Options{}, "e1")
	first := memoryPool(t, instances.Options{SendNotice: func(n instances.Notice) { second.ApplyNotices(start, []instances.Notice{n}) }}, "e1")
	if _, ticket := placePrompt(first, start, 400, placement.Part{ID: 1, Tokens: 60_000}); ticket == nil {
		t.Fatal("no engine for the first request")
	}
	soon, later := start.Add(time.Second), start.Add(10*time.Second)
	if d, ticket := placePrompt(second, soon, 400, placement.Part{ID: 2, Tokens: 60_000}); ticket != nil {
		t.Errorf("got %+v, want no engine while another node's request has 60,400 of 100,000 tokens", d)
	}
	if d, ticket := placePrompt(second, later, 400, placement.Part{ID: 2, Tokens: 60_000}); ticket == nil {
		t.Errorf("got %+v, want an engine once the request has ended", d)
	}
}

// TestRequestLargerThanMemoryIsRefused guards against sending what an engine rejects.
func TestRequestLargerThanMemoryIsRefused(t *testing.T) {
	c := memoryPool(t, instances.Options{}, "e1")
	if d, ticket := placePrompt(c, start, 1000, placement.Part{ID: 1, Tokens: 99_500}); ticket != nil {
		t.Errorf("got %+v for 100,500 tokens, want a refusal", d)
	}
}

// TestPartsLargerThanPromptAreIgnored guards against callers that state part sizes by which an engine would
// seem full for everyone.
func TestPartsLargerThanPromptAreIgnored(t *testing.T) {
	c := memoryPool(t, instances.Options{}, "e1")
	for i, parts := range [][]placement.Part{
		{{ID: 1, Tokens: math.MaxInt}, {ID: 2, Tokens: math.MaxInt}, {ID: 3, Tokens: 100}},
		{{ID: 1, Tokens: 90_000}, {ID: 2, Tokens: 100}},
		{{ID: 1, Tokens: 900}, {ID: 2, Tokens: 900}, {ID: 3, Tokens: 100}},
	} {
		now := start.Add(time.Duration(i) * time.Second)
		q := instances.Query{LocalAllowed: true, Request: placement.Request{Prompt: parts, PromptTokens: 1000, OutputTokens: 100, Objective: time.Second, Remaining: 5 * time.Second}}
		if d, ticket := c.Pool("model").Place(now, placement.DefaultPolicy(), &q); ticket == nil {
			t.Errorf("request %d: got %+v, want an engine", i, d)
		}
	}
	if d, ticket := placePrompt(c, start.Add(5*time.Second), 100, placement.Part{ID: 9, Tokens: 80_000}); ticket == nil {
		t.Errorf("got %+v for 80,100 of 100,000 tokens, want an engine: 3,300 are reserved", d)
	}
	huge := instances.Query{LocalAllowed: true, Request: placement.Request{PromptTokens: math.MaxInt, OutputTokens: math.MaxInt, Objective: time.Second, Remaining: 5 * time.Second}}
	if d, ticket := c.Pool("model").Place(start.Add(8*time.Second), placement.DefaultPolicy(), &huge); ticket != nil {
		t.Errorf("got %+v for a prompt of all tokens, want a refusal", d)
	}
}

// Where neither accounts nor stated speeds call for it, engines are used as before their memory was
// tracked: on a fleet of 142 engines of 32 slots the model read 2.5 times as many shared tokens again.
func TestMemoryIsTrackedOnDemand(t *testing.T) {
	pool := func(accounts []routes.Account) (*instances.Catalog, *instances.Pool) {
		c := instances.NewCatalog(instances.Options{Self: domain.Place{Region: "west"}, MemoryOnDemand: true})
		c.Put(start, instances.Instance{ID: "u1", Service: "model", Slots: 4, Place: domain.Place{Region: "west"}})
		table, err := routes.New(1, nil, []routes.Service{{Name: "model", Engine: &routes.Engine{Slots: 4, CacheTokens: 10_000, TokensPerEvent: 1}}}, routes.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		if err := table.SetAccounts(accounts); err != nil {
			t.Fatal(err)
		}
		c.Configure(table)
		return c, c.Pool("model")
	}
	fills := func(p *instances.Pool) bool {
		q := &instances.Query{Request: placement.Request{PromptTokens: 9_000, OutputTokens: 10, Objective: time.Minute, Remaining: time.Minute}, LocalAllowed: true}
		_, first := p.Place(start, placement.DefaultPolicy(), q)
		d, second := p.Place(start, placement.DefaultPolicy(), q)
		for _, ticket := range []*instances.Ticket{first, second} {
			if ticket != nil {
				ticket.Done(start, instances.Answered)
			}
		}
		return d.OutOfMemory || d.ReservedTokens > 0
	}
	catalog, plain := pool(nil)
	if fills(plain) {
		t.Error("memory is tracked in a deployment that does not call for it")
	}
	catalog.ApplySpeeds(start, []instances.Speed{{Service: "model", Instance: "u1", Slowdown: 1.5}})
	if !fills(plain) {
		t.Error("memory is not tracked although an upstream states its speed")
	}
	if _, p := pool([]routes.Account{{Name: "a", Keys: []string{"k"}}}); !fills(p) {
		t.Error("memory is not tracked although there are accounts")
	}
}
