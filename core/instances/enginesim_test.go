package instances_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Rules of the simulated engines. A step prefills at most a chunk and generates one token of each
// stream; events have engineStride tokens.
const (
	engineStep   = 6 * time.Millisecond
	engineChunk  = 4096
	engineStride = 8
	engineRate   = 75 // prompt tokens per millisecond
	// rereadWindow is the time since the last use of a part within which reading it again counts.
	rereadWindow = 10 * time.Second
)

// requestKind is a kind of request with its own objective.
type requestKind struct {
	name      string
	priority  int
	objective time.Duration
	gapAim    time.Duration
	perSecond float64
	// next returns the parts and the output of a request.
	next func(rng *rand.Rand, at time.Duration) ([]placement.Part, int)
	// results
	total, inTime, late, refused, pauses int
	largeTotal, largeInTime              int
	cost                                 time.Duration
}

// memoryLoad is a load on engines of one region.
type memoryLoad struct {
	nodes, engines, slots, capacity int
	kinds                           func() []*requestKind
	duration                        time.Duration
	// capacityKnown is set if the nodes know the engines' memory.
	capacityKnown bool
	// prefixesKnown is set if the nodes know which parts prompts share.
	prefixesKnown bool
	// oracle is set if each decision is made with the true state of all engines, cachesKnown if nodes
	// know what engines hold, but not more of their load.
	oracle, cachesKnown bool
	// noisy is set if the engines are slow at times, speedsStated if they state it.
	noisy, speedsStated bool
	policy              placement.Policy
}

type memorySim struct {
	*memoryLoad
	events  eventQueue
	now     time.Time
	rng     *rand.Rand
	engines map[domain.UpstreamID]*memoryEngine
	ids     []domain.UpstreamID
	pools   []*instances.Pool
	kinds   []*requestKind
	usedAt  map[uint64]time.Time
	// readTokens and rereadTokens are the tokens of parts that were prefilled, and those of them that were
	// used within rereadWindow before.
	readTokens, rereadTokens, preemptions int
	notices                               int
}

func (s *memorySim) schedule(t time.Time, run func(time.Time)) { heap.Push(&s.events, event{t, run}) }

// use counts the use of a part and whether it must be read.
func (s *memorySim) use(now time.Time, p placement.Part, held bool) {
	if !held {
		s.readTokens += p.Tokens
		if last, used := s.usedAt[p.ID]; used && now.Sub(last) < rereadWindow {
			s.rereadTokens += p.Tokens
		}
	}
	s.usedAt[p.ID] = now
}

// emit records a token of a request.
func (s *memorySim) emit(now time.Time, e *memoryEngine, r *memoryRequest) {
	const network = 3 * time.Millisecond
	if r.firstAt.IsZero() {
		r.firstAt, r.lastEventAt = now, now
		if r.firstByte != nil {
			r.firstByte(now.Add(network))
		}
	} else if r.emitted%engineStride == 0 {
		r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
		r.lastEventAt = now
		if r.progress != nil {
			r.progress(now)
		}
	}
	if r.emitted < r.output {
		return
	}
	e.release(now, r, true)
	took := r.firstAt.Sub(r.arrived)
	k := r.kind
	pause := max(0, r.maxGap-k.gapAim)
	k.cost += took + pause
	ok := took <= k.objective && pause == 0
	switch {
	case ok:
		k.inTime++
	case pause > 0:
		k.pauses++
	default:
		k.late++
	}
	if k.large(r.prompt) {
		k.largeTotal++
		if ok {
			k.largeInTime++
		}
	}
	if r.done != nil {
		r.done(now.Add(network))
	}
}

// large reports whether a prompt is among the largest of its kind.
func (k *requestKind) large(tokens int) bool { return tokens >= 40_000 }

func playMemoryLoad(t testing.TB, l memoryLoad, seed uint64) *memorySim {
	t.Helper()
	s := &memorySim{memoryLoad: &l, rng: rand.New(rand.NewPCG(seed, 23)), engines: make(map[domain.UpstreamID]*memoryEngine), usedAt: make(map[uint64]time.Time), kinds: l.kinds(), now: start}
	e := &routes.Engine{Slots: l.slots, TokensPerEvent: engineStride}
	if l.capacityKnown {
		e.CacheTokens = l.capacity
	}
	var list []routes.Route
	for _, k := range s.kinds {
		list = append(list, routes.Route{Name: k.name, Host: k.name + ".example", PathPrefix: "/", Kind: routes.Streaming, MaxEventGap: k.gapAim, Timeout: 6 * time.Second, MaxAttempts: 2, Objective: k.objective, Priority: k.priority, Split: []routes.WeightedService{{Service: "model", Weight: 1}}})
	}
	table, err := routes.New(1, list, []routes.Service{{Name: "model", Engine: e}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range l.engines {
		id := domain.UpstreamID(fmt.Sprint("engine-", i))
		s.ids = append(s.ids, id)
		s.engines[id] = &memoryEngine{sim: s, slots: l.slots, memory: l.capacity, cache: make(map[uint64]*cachedPart), noise: newNoisyUpstream(rand.New(rand.NewPCG(seed, uint64(1000+i))), l.slots)}
	}
	catalogs := make([]*instances.Catalog, l.nodes)
	for i := range catalogs {
		catalogs[i] = instances.NewCatalog(instances.Options{Self: localPlace, SendNotice: func(n instances.Notice) {
			s.notices++
			s.schedule(s.now.Add(8*time.Millisecond), func(at time.Time) {
				for j, other := range catalogs {
					if j != i {
						other.ApplyNotices(at, []instances.Notice{n})
					}
				}
			})
		}})
		catalogs[i].Configure(table)
		for _, id := range s.ids {
			catalogs[i].Put(start, instances.Instance{ID: id, Service: "model", Slots: l.slots, Place: localPlace})
		}
		s.pools = append(s.pools, catalogs[i].Pool("model"))
	}
	for i, k := range s.kinds {
		// The arrivals do not depend on the decisions.
		arrivals := rand.New(rand.NewPCG(seed, uint64(100+i)))
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			if next := now.Add(time.Duration(arrivals.ExpFloat64() / k.perSecond * 1e9)); next.Before(start.Add(l.duration)) {
				s.schedule(next, arrive)
			}
			r := &memoryRequest{kind: k, arrived: now}
			r.parts, r.output = k.next(arrivals, now.Sub(start))
			for _, p := range r.parts {
				r.prompt += p.Tokens
			}
			r.hidden = r.parts
			if !l.prefixesKnown {
				r.hidden = []placement.Part{{ID: s.rng.Uint64(), Tokens: r.prompt}}
			}
			k.total++
			s.place(now, r, s.rng.IntN(l.nodes))
		}
		s.schedule(start.Add(time.Duration(arrivals.ExpFloat64()/k.perSecond*1e9)), arrive)
	}
	for len(s.events) > 0 {
		ev := heap.Pop(&s.events).(event)
		s.now = ev.at
		ev.run(ev.at)
	}
	for _, e := range s.engines {
		s.preemptions += e.preemptions
	}
	return s
}

func (s *memorySim) place(now time.Time, r *memoryRequest, node int) {
	const network = 3 * time.Millisecond
	if s.oracle {
		if id, ok := s.best(r); ok {
			s.engines[id].enqueue(now.Add(network), r, false)
		} else {
			s.refuse(r)
		}
		return
	}
	q := instances.Query{LocalAllowed: true, Request: placement.Request{Prompt: r.hidden, PromptTokens: r.prompt, OutputTokens: r.output,
		Objective: r.kind.objective, Elapsed: now.Sub(r.arrived), Remaining: 6 * time.Second, Urgent: r.kind.priority == 0, Random: s.rng.Uint32()}}
	if s.cachesKnown {
		for _, id := range s.ids {
			s.pools[node].SetHeldParts(now, id, s.engines[id].heldOf(r.parts))
		}
	}
	d, ticket := s.pools[node].Place(now, s.policy, &q)
	switch d.Choice {
	case placement.Wait:
		s.schedule(now.Add(max(5*time.Millisecond, d.BacklogWait)), func(now time.Time) { s.place(now, r, node) })
		return
	case placement.Refuse:
		s.refuse(r)
		return
	}
	e := s.engines[ticket.ID]
	r.firstByte = func(at time.Time) {
		load := instances.ReportedLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
		if s.noisy && s.speedsStated {
			load.Slowdown, _ = e.noise.speed(at)
		}
		s.schedule(at, func(now time.Time) { ticket.FirstByte(now, load, true) })
	}
	r.progress = ticket.Progress
	r.done = func(at time.Time) {
		s.schedule(at, func(now time.Time) { ticket.Done(now, instances.Answered) })
	}
	s.schedule(now.Add(network), func(now time.Time) { e.enqueue(now, r, false) })
}

func (s *memorySim) refuse(r *memoryRequest) {
	r.kind.refused++
	r.kind.cost += 2 * r.kind.objective
	if r.kind.large(r.prompt) {
		r.kind.largeTotal++
	}
}

// best returns the engine at which the request costs callers least, with all that engines know.
func (s *memorySim) best(r *memoryRequest) (best domain.UpstreamID, ok bool) {
	lowest := math.Inf(1)
	shared, held := 0, 0
	for _, p := range r.parts[:len(r.parts)-1] {
		shared += p.Tokens
	}
	for _, e := range s.engines {
		held = max(held, e.heldTokens(r))
	}
	firstRead := float64(max(0, shared-held)) / engineRate
	for _, i := range s.rng.Perm(len(s.ids)) {
		e := s.engines[s.ids[i]]
		pending, streams := 0, 0
		for _, o := range e.running {
			if o.prefilling {
				pending += o.toPrefill
			} else {
				pending += o.prompt - e.heldTokens(o)
			}
			if o.toPrefill == 0 {
				streams++
			}
		}
		for _, o := range e.waiting {
			pending += o.prompt - e.heldTokens(o)
		}
		tokens := r.prompt - e.heldTokens(r)
		delay := float64(pending+tokens)/engineRate + 10
		if excess := e.load() + 1 - e.slots; excess > 0 {
			delay += float64(excess) / float64(e.slots) * 500
			if r.kind.priority == 0 {
				delay += 200
			}
		}
		if s.noisy {
			slowdown, _ := e.noise.speed(s.now)
			delay *= slowdown
		}
		cost := delay + float64(tokens)/engineRate*(0.5+0.1*float64(streams)) + float64(e.load())*2
		if delay-firstRead < float64(r.kind.objective.Milliseconds()) && cost < lowest {
			lowest, best, ok = cost, s.ids[i], true
		}
	}
	return best, ok
}

// meanCost returns the mean cost of a request in milliseconds: the time to first byte, the pauses beyond
// the aim, and twice the objective if it was refused.
func (s *memorySim) meanCost() float64 {
	total, cost := 0, time.Duration(0)
	for _, k := range s.kinds {
		total += k.total
		cost += k.cost
	}
	return cost.Seconds() * 1000 / float64(total)
}

func (s *memorySim) String() string {
	text := fmt.Sprintf("cost %.1f ms, preempted %d, read %.1f M, again %.1f M, notices %d;", s.meanCost(), s.preemptions, float64(s.readTokens)/1e6, float64(s.rereadTokens)/1e6, s.notices)
	for _, k := range s.kinds {
		text += fmt.Sprintf(" %s: %d, %.3f in time, %d late, %d refused, %d paused, largest %.3f, cost %.0f;", k.name, k.total, float64(k.inTime)/float64(k.total), k.late, k.refused, k.pauses,
			float64(k.largeInTime)/float64(max(1, k.largeTotal)), k.cost.Seconds()*1000/float64(k.total))
	}
	return text
}

// documents generates prompts of a common part, a document of a size that depends on its number, and an
// own part.
type documents struct {
	// output is the least output of a request in tokens.
	output int
	// pick returns the number of a document.
	pick func(rng *rand.Rand, at time.Duration) int
}

func (d documents) next(rng *rand.Rand, at time.Duration) ([]placement.Part, int) {
	doc := d.pick(rng, at)
	size := 12_000
	switch doc % 10 { // the largest tenth has prompts of up to 93,000 tokens
	case 0:
		size = 40_000 + doc*7919%48_000
	case 1, 2:
		size = 20_000
	}
	return []placement.Part{{ID: uint64(1 + doc%8), Tokens: 1300}, {ID: uint64(1000 + doc), Tokens: size}, {ID: rng.Uint64() | 1<<63, Tokens: 3000 + rng.IntN(1400)}}, d.output + rng.IntN(60)
}

func question(rng *rand.Rand, _ time.Duration) ([]placement.Part, int) {
	return []placement.Part{{ID: rng.Uint64() | 1<<63, Tokens: 200 + rng.IntN(400)}}, 60 + rng.IntN(120)
}

func zipf(number int, s float64) func(*rand.Rand, time.Duration) int {
	cumulative := make([]float64, number)
	sum := 0.0
	for i := range cumulative {
		sum += 1 / math.Pow(float64(i+1), s)
		cumulative[i] = sum
	}
	return func(rng *rand.Rand, _ time.Duration) int {
		i, _ := slices.BinarySearchFunc(cumulative, rng.Float64()*sum, cmp.Compare[float64])
		return min(i, number-1) * 37 % number
	}
}
