package instances_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/routes"
)

// noisyUpstream is slow for 15 in 100 of the time, for 600 ms on average.
type noisyUpstream struct {
	slots, running int
	waiting        []func(now time.Time)
	// changes are the times at which the speed changes; the upstream is slow after every other one,
	// from the first on.
	changes []time.Time
	// prefilledAt is when all prompts sent so far are prefilled.
	prefilledAt time.Time
	// busy is the integral of the requests at the upstream over time, up to countedAt.
	busy      time.Duration
	countedAt time.Time
}

const (
	noisySlowdown = 2.5
	noisySlow     = 600 * time.Millisecond
	noisyUsual    = noisySlow * 85 / 15
	noisyDuration = 60 * time.Second
	// noisyRequests bounds the number of requests of a played load.
	noisyRequests = 20_000
)

func newNoisyUpstream(rng *rand.Rand, slots int) *noisyUpstream {
	u := &noisyUpstream{slots: slots, countedAt: start}
	at := start
	for at.Before(start.Add(2 * noisyDuration)) {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(noisyUsual)))
		u.changes = append(u.changes, at)
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(noisySlow)))
		u.changes = append(u.changes, at)
	}
	return u
}

// speed returns the slowdown at a time and when it changes.
func (u *noisyUpstream) speed(at time.Time) (slowdown float64, until time.Time) {
	i, found := slices.BinarySearchFunc(u.changes, at, time.Time.Compare)
	if found {
		i++
	}
	if i == len(u.changes) {
		return 1, at.Add(time.Hour)
	}
	if i%2 == 1 {
		return noisySlowdown, u.changes[i]
	}
	return 1, u.changes[i]
}

// end returns when work that begins at a time and usually takes d is done.
func (u *noisyUpstream) end(at time.Time, d time.Duration) time.Time {
	for {
		slowdown, until := u.speed(at)
		took := time.Duration(float64(d) * slowdown)
		if !at.Add(took).After(until) {
			return at.Add(took)
		}
		d -= time.Duration(float64(until.Sub(at)) / slowdown)
		at = until
	}
}

func (u *noisyUpstream) load() int { return u.running + len(u.waiting) }

// count adds the time since the last change of the load to busy.
func (u *noisyUpstream) count(now time.Time) {
	u.busy += time.Duration(u.load()) * now.Sub(u.countedAt)
	u.countedAt = now
}

// noisyLoad is a service with noisy upstreams and the load on it.
type noisyLoad struct {
	name                    string
	nodes, upstreams, slots int
	// work is the mean time for which a request usually occupies a slot. An engine's answers
	// begin after idleTTFB and the prefill, those of other services at their end.
	work   time.Duration
	engine bool
	// load is the offered work relative to what the upstreams can do on average.
	load float64
	// maxRatio is the maximum ratio of the p99 of the time to first byte to the oracle's.
	maxRatio float64
}

const (
	noisyIdleTTFB = 30 * time.Millisecond
	noisyPrefill  = 75 // prompt tokens per millisecond
)

// noisyResult holds the times to first byte of the answers, and the highest mean load of an upstream
// relative to the mean of all.
type noisyResult struct {
	firstBytes []time.Duration
	refused    int
	peakLoad   float64
	// notices is the number of notices of slowdowns.
	notices int
}

func (r *noisyResult) quantile(q float64) time.Duration {
	return r.firstBytes[int(q*float64(len(r.firstBytes)-1))]
}

// knowledge is what decides where requests of a played load are sent.
type knowledge int

const (
	// noSpeeds means nodes whose upstreams do not state their speed.
	noSpeeds knowledge = iota
	// statedSpeeds means nodes that learn speeds from answers and from each other.
	statedSpeeds
	// trueSpeeds means nodes that know the speeds of all upstreams at any time.
	trueSpeeds
	// trueLoads means one decision for all nodes that knows speeds and loads.
	trueLoads
)

const noisySeeds = 3

// play plays the load once.
func (l *noisyLoad) play(t *testing.T, seed uint64, k knowledge) noisyResult {
	t.Helper()
	service := routes.Service{Name: "app"}
	if l.engine {
		service.Engine = &routes.Engine{Slots: l.slots, TokensPerEvent: 8}
	}
	table, err := routes.New(1, nil, []routes.Service{service}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 17))
	upstreams := make(map[domain.UpstreamID]*noisyUpstream)
	var ids []domain.UpstreamID
	for i := range l.upstreams {
		ids = append(ids, domain.UpstreamID(fmt.Sprint("u", i)))
		upstreams[ids[i]] = newNoisyUpstream(rng, l.slots)
	}
	var events eventQueue
	var r noisyResult
	now := start
	catalogs := make([]*instances.Catalog, l.nodes)
	for i := range catalogs {
		catalogs[i] = instances.NewCatalog(instances.Options{Self: localPlace, SendNotice: func(n instances.Notice) {
			if n.Slowdown > 0 {
				r.notices++
			}
			heap.Push(&events, event{now.Add(8 * time.Millisecond), func(at time.Time) {
				for j, other := range catalogs {
					if j != i {
						other.ApplyNotices(at, []instances.Notice{n})
					}
				}
			}})
		}})
		catalogs[i].Configure(table)
		for _, id := range ids {
			catalogs[i].Put(start, instances.Instance{ID: id, Service: "app", Slots: l.slots, Place: localPlace})
		}
		// Two nodes exchange what they know every 300 ms.
		var exchange func(at time.Time)
		exchange = func(at time.Time) {
			if at.Before(start.Add(noisyDuration)) {
				heap.Push(&events, event{at.Add(time.Duration((0.85 + 0.3*rng.Float64()) * 3e8)), exchange})
			}
			if other := catalogs[rng.IntN(l.nodes)]; other != catalogs[i] {
				sent, received := catalogs[i].Speeds(at), other.Speeds(at)
				other.ApplySpeeds(at, sent)
				catalogs[i].ApplySpeeds(at, received)
			}
		}
		if k == statedSpeeds {
			heap.Push(&events, event{start.Add(time.Duration(rng.IntN(3e8))), exchange})
		}
	}
	first := func(sentAt, at time.Time) { r.firstBytes = append(r.firstBytes, at.Sub(sentAt)) }
	startQueued := func(u *noisyUpstream, now time.Time) {
		for u.running < u.slots && len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			u.running++
			next(now)
		}
	}
	load := l.load / 1.225 // the mean slowdown
	rate := load * float64(l.upstreams*l.slots) / l.work.Seconds()
	end := start.Add(min(noisyDuration, time.Duration(noisyRequests/rate*float64(time.Second))))
	var arrive func(at time.Time)
	arrive = func(at time.Time) {
		if next := at.Add(time.Duration(rng.ExpFloat64() / rate * 1e9)); next.Before(end) {
			heap.Push(&events, event{next, arrive})
		}
		q := instances.Query{LocalAllowed: true, Request: placement.Request{Objective: 800 * time.Millisecond, Remaining: 6 * time.Second, Random: rng.Uint32()}}
		if l.engine {
			q.PromptTokens, q.OutputTokens = 200+rng.IntN(400), 64
			if rng.IntN(10) == 0 {
				q.PromptTokens = 6000
			}
			q.Prompt = []placement.Part{{ID: rng.Uint64(), Tokens: q.PromptTokens}}
		}
		work := time.Duration((0.5 + rng.Float64()) * float64(l.work))
		prefill := time.Duration(float64(q.PromptTokens) / noisyPrefill * 1e6)
		node := rng.IntN(l.nodes)
		var id domain.UpstreamID
		var ticket *instances.Ticket
		if k == trueLoads {
			best := time.Duration(-1)
			for _, i := range rng.Perm(len(ids)) {
				u := upstreams[ids[i]]
				slowdown, _ := u.speed(at)
				delay := time.Duration(slowdown * (float64(noisyIdleTTFB+prefill) + float64(max(0, u.load()+1-u.slots))/float64(u.slots)*float64(l.work)))
				if !l.engine {
					delay += time.Duration(slowdown*float64(l.work)) - time.Duration(slowdown*float64(noisyIdleTTFB))
				}
				if l.engine {
					delay += max(0, u.prefilledAt.Sub(at)) + time.Duration(u.load())*time.Millisecond
				}
				if best < 0 || delay < best {
					best, id = delay, ids[i]
				}
			}
		} else {
			if k == trueSpeeds {
				for id, u := range upstreams {
					slowdown, _ := u.speed(at)
					catalogs[node].ApplySpeeds(at, []instances.Speed{{Service: "app", Instance: id, Slowdown: slowdown}})
				}
			}
			_, ticket = catalogs[node].Pool("app").Place(at, placement.DefaultPolicy(), &q)
			if ticket == nil {
				r.refused++
				return
			}
			id = ticket.ID
		}
		u := upstreams[id]
		report := func(now time.Time) {
			if ticket == nil {
				return
			}
			load := instances.ReportedLoad{Running: u.running, Waiting: len(u.waiting), Slots: u.slots}
			if k != noSpeeds {
				load.Slowdown, _ = u.speed(now)
			}
			ticket.FirstByte(now, load, true)
		}
		u.count(at)
		u.waiting = append(u.waiting, func(begin time.Time) {
			doneAt := u.end(begin, work)
			if l.engine {
				if u.prefilledAt.Before(begin) {
					u.prefilledAt = begin
				}
				u.prefilledAt = u.end(u.prefilledAt, prefill)
				firstAt := u.end(u.prefilledAt, noisyIdleTTFB)
				doneAt = u.end(firstAt, work)
				heap.Push(&events, event{firstAt, func(now time.Time) {
					first(at, now)
					report(now)
				}})
			}
			heap.Push(&events, event{doneAt, func(now time.Time) {
				u.count(now)
				if !l.engine {
					first(at, now)
					report(now)
				}
				if ticket != nil {
					ticket.Done(now, instances.Answered)
				}
				u.running--
				startQueued(u, now)
			}})
		})
		startQueued(u, at)
	}
	heap.Push(&events, event{start, arrive})
	for events.Len() > 0 {
		e := heap.Pop(&events).(event)
		now = e.at
		e.run(now)
	}
	slices.Sort(r.firstBytes)
	sum := time.Duration(0)
	for _, u := range upstreams {
		sum += u.busy
	}
	for _, u := range upstreams {
		r.peakLoad = max(r.peakLoad, float64(u.busy)*float64(len(upstreams))/float64(sum))
	}
	return r
}

// noisyLoads are a small service and engines, at middling and at high load. Engines also prefill and
// begin answers, which is not part of work. An answer of the small service of 60 ms takes a tenth of the
// time for which an upstream is slow, and tells so at its end only.
var noisyLoads = []noisyLoad{
	{name: "small service", nodes: 24, upstreams: 6, slots: 6, work: 15 * time.Millisecond, load: 0.5, maxRatio: 1.3},
	{name: "small service, longer work", nodes: 24, upstreams: 6, slots: 6, work: 60 * time.Millisecond, load: 0.5, maxRatio: 1.5},
	{name: "small service, busy", nodes: 24, upstreams: 6, slots: 6, work: 60 * time.Millisecond, load: 0.75, maxRatio: 1.3},
	{name: "few nodes", nodes: 4, upstreams: 6, slots: 6, work: 60 * time.Millisecond, load: 0.6, maxRatio: 1.3},
	{name: "engines", nodes: 24, upstreams: 12, slots: 12, work: 400 * time.Millisecond, engine: true, load: 0.4, maxRatio: 1.3},
	{name: "engines, busy", nodes: 24, upstreams: 12, slots: 12, work: 400 * time.Millisecond, engine: true, load: 0.65, maxRatio: 1.3},
}

// playSeeds plays the load with several seeds.
func (l *noisyLoad) playSeeds(t *testing.T, k knowledge) noisyResult {
	var all noisyResult
	for seed := range uint64(noisySeeds) {
		r := l.play(t, seed, k)
		all.firstBytes = append(all.firstBytes, r.firstBytes...)
		all.refused += r.refused
		all.notices += r.notices
		all.peakLoad = max(all.peakLoad, r.peakLoad)
	}
	slices.Sort(all.firstBytes)
	return all
}

// TestNoisyUpstreamsAreAvoidedWithoutHerding guards against requests that wait at an upstream that is slow
// at the moment, and against all nodes choosing the one that has just become fast. The oracle makes the
// same decisions with the true speeds.
func TestNoisyUpstreamsAreAvoidedWithoutHerding(t *testing.T) {
	for _, l := range noisyLoads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			oracle, got, unstated, exact := l.playSeeds(t, trueSpeeds), l.playSeeds(t, statedSpeeds), l.playSeeds(t, noSpeeds), l.playSeeds(t, trueLoads)
			ratio := float64(got.quantile(0.99)) / float64(oracle.quantile(0.99))
			t.Logf("p50 and p99 in ms: with stated speeds %d %d, %.2f times that with true speeds %d %d, without speeds %d %d, with true speeds and loads %d %d; highest load %.2f, %d refused, %.1f notices per second",
				got.quantile(0.5).Milliseconds(), got.quantile(0.99).Milliseconds(), ratio, oracle.quantile(0.5).Milliseconds(), oracle.quantile(0.99).Milliseconds(),
				unstated.quantile(0.5).Milliseconds(), unstated.quantile(0.99).Milliseconds(), exact.quantile(0.5).Milliseconds(), exact.quantile(0.99).Milliseconds(),
				got.peakLoad, got.refused, float64(got.notices)/(noisySeeds*noisyDuration.Seconds()))
			if ratio > l.maxRatio {
				t.Errorf("got a p99 of the time to first byte of %v, want at most %.2f times the oracle's %v", got.quantile(0.99), l.maxRatio, oracle.quantile(0.99))
			}
			if got.quantile(0.99) > unstated.quantile(0.99) {
				t.Errorf("got a p99 of the time to first byte of %v, want at most the %v without speeds", got.quantile(0.99), unstated.quantile(0.99))
			}
			if got.peakLoad > 1.3 {
				t.Errorf("got a mean load of the busiest upstream of %.2f times the mean of all, want at most 1.3", got.peakLoad)
			}
			if maxRefused := len(got.firstBytes) / 200; got.refused > maxRefused {
				t.Errorf("got %d of %d requests refused, want at most %d", got.refused, len(got.firstBytes), maxRefused)
			}
		})
	}
}
