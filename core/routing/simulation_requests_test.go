package routing_test

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

const (
	warmUpTime    = 10 * time.Second
	simulatedTime = 60 * time.Second
	outageStart   = 20 * time.Second
	outageEnd     = 40 * time.Second
	prefixCount   = 60
	outageSite    = 1
)

// result holds the measurements of one simulation.
type result struct {
	firstTokens []time.Duration
	offered     int
	onTime      int
	forwarded   int
	started     int
	cost        float64
	refused     int
	dropped     int
}

// scheduleArrivals submits requests to a site as a Poisson process.
func (sim *simulation) scheduleArrivals(i int, rate func() float64) {
	gap := time.Duration(sim.random.ExpFloat64() / rate() * float64(time.Second))
	sim.schedule(gap, func() {
		sim.submit(i)
		sim.scheduleArrivals(i, rate)
	})
}

// submit sends a new request to a random node of a site, or of another site while
// that one is down.
func (sim *simulation) submit(i int) {
	for sim.sites[i].down {
		i = (i + 1 + sim.random.IntN(2)) % len(sim.sites)
	}
	s := sim.sites[i]
	j := sim.newJob()
	if sim.counted(j) {
		sim.result.offered++
	}
	sim.decide(s.nodes[sim.random.IntN(len(s.nodes))], j)
}

func (sim *simulation) counted(j *job) bool { return j.arrivedAt >= warmUpTime }

func (sim *simulation) newJob() *job {
	j := &job{prompt: 200, output: 60, arrivedAt: sim.now}
	if sim.random.Float64() < 0.3 {
		j.prompt, j.output, j.prefixTokens = 6000, 600, 4000
		skew := sim.random.Float64()
		j.prefix = 1 + uint64(skew*skew*prefixCount)
	}
	return j
}

func (sim *simulation) decide(n *node, j *job) {
	req := sim.request(n, j, false)
	d := n.router.Decide(n.snapshot, &req, sim.time())
	if d.Action == routing.ActionRefuse || sim.late(d) {
		sim.refuse(j)
		return
	}
	if d.Action == routing.ActionLocal {
		sim.dispatch(n, j, d)
		return
	}
	to := sim.siteOf(n.snapshot.Domain(d.Domain).Place)
	d.Link.Consume(sim.time(), routing.EstimateLinkBytes(&req))
	if sim.variant.ownWork {
		work, err := n.domains.StartForward(sim.time(), to.place.FailureDomain, target, j.prompt)
		sim.must(err)
		j.dispatches = append(j.dispatches, work)
	}
	j.forwarded = true
	j.returnLatency = sim.fleet.oneWayLatency
	sim.schedule(sim.fleet.oneWayLatency, func() { sim.receive(n, to, j) })
}

// receive handles a forwarded request at the receiving site, which runs or refuses
// it.
func (sim *simulation) receive(from *node, to *site, j *job) {
	if to.down {
		j.excluded = append(j.excluded, to.place.FailureDomain)
		sim.retry(from, j)
		return
	}
	n := to.nodes[sim.random.IntN(len(to.nodes))]
	req := sim.request(n, j, true)
	d := n.router.Decide(n.snapshot, &req, sim.time())
	if d.Action == routing.ActionRefuse || sim.late(d) {
		j.excluded = append(j.excluded, to.place.FailureDomain)
		sim.retry(from, j)
		return
	}
	sim.dispatch(n, j, d)
}

func (sim *simulation) retry(from *node, j *job) {
	sim.schedule(sim.fleet.oneWayLatency, func() {
		sim.finish(j, upstreams.OutcomeNeutral)
		j.forwarded, j.returnLatency = false, 0
		sim.decide(from, j)
	})
}

func (sim *simulation) late(d routing.Decision) bool { return sim.refuseLate && d.FirstToken > maxTTFT }

func (sim *simulation) request(n *node, j *job, localOnly bool) routing.Request {
	return routing.Request{
		Target: target, Allowed: n.snapshot.Regions().Set(func(domain.Region) bool { return true }),
		LocalOnly: localOnly, PromptTokens: j.prompt, OutputTokens: j.output,
		PrefixHash: j.prefix, PrefixTokens: j.prefixTokens, BodyBytes: 4 * j.prompt,
		ExcludedDomains: j.excluded, Seed: sim.random.Uint64(),
	}
}

func (sim *simulation) siteOf(p domain.Place) *site {
	return sim.sites[slices.IndexFunc(sim.sites[:], func(s *site) bool { return s.place == p })]
}

func (sim *simulation) dispatch(n *node, j *job, d routing.Decision) {
	id := n.snapshot.Upstream(d.Upstream).Ref.ID
	e := n.site.engines[slices.IndexFunc(n.site.engines, func(e *engine) bool { return e.id == id })]
	if sim.variant.ownWork {
		work, err := n.tracker.Start(sim.time(), id, j.prompt, j.prefix)
		sim.must(err)
		j.dispatches = append(j.dispatches, work)
	}
	if sim.counted(j) {
		sim.result.started++
		sim.result.cost += e.cost * float64(j.prompt+j.output)
		if j.forwarded {
			sim.result.forwarded++
		}
	}
	if e.running < e.slots {
		sim.prefill(e, j)
		return
	}
	e.waiting = append(e.waiting, j)
	e.queuedTokens += j.prompt
}

func (sim *simulation) prefill(e *engine, j *job) {
	e.running++
	uncached := j.prompt
	if e.touchCache(j.prefix) {
		uncached -= j.prefixTokens
	}
	e.prefillDoneAt = max(e.prefillDoneAt, sim.now) + seconds(float64(uncached)/enginePrefillRate)
	generation := e.site.generation
	sim.schedule(e.prefillDoneAt-sim.now, func() {
		if e.site.generation != generation {
			sim.drop(j)
			return
		}
		sim.firstToken(j)
		sim.schedule(seconds(float64(j.output)/engineDecodeRate), func() { sim.end(e, generation, j) })
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// touchCache reports whether the prefix is cached and makes it the most recently
// used one; a full cache evicts the least recently used prefix.
func (e *engine) touchCache(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else if len(e.cache) >= engineCachePrefixes {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	return i >= 0
}

func (sim *simulation) firstToken(j *job) {
	for _, d := range j.dispatches {
		d.FirstToken(sim.time())
	}
	if !sim.counted(j) {
		return
	}
	latency := sim.now + j.returnLatency - j.arrivedAt
	sim.result.firstTokens = append(sim.result.firstTokens, latency)
	if latency <= maxTTFT {
		sim.result.onTime++
	}
}

func (sim *simulation) end(e *engine, generation int, j *job) {
	sim.finish(j, upstreams.OutcomeSucceeded)
	if e.site.generation != generation {
		return
	}
	e.running--
	if len(e.waiting) == 0 {
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.queuedTokens -= next.prompt
	sim.prefill(e, next)
}

func (sim *simulation) finish(j *job, outcome upstreams.Outcome) {
	for _, d := range j.dispatches {
		d.End(sim.time(), outcome)
	}
	j.dispatches = nil
}

func (sim *simulation) refuse(j *job) {
	if sim.counted(j) {
		sim.result.refused++
	}
}

func (sim *simulation) drop(j *job) {
	sim.finish(j, upstreams.OutcomeNeutral)
	if sim.counted(j) {
		sim.result.dropped++
	}
}

// scheduleOutage takes a site down, which drops all its requests; it restarts with
// new nodes and cold caches.
func (sim *simulation) scheduleOutage(s *site) {
	sim.schedule(outageStart, func() {
		s.down = true
		s.generation++
		for _, e := range s.engines {
			for _, j := range e.waiting {
				sim.drop(j)
			}
			*e = engine{id: e.id, site: s, slots: e.slots, cost: e.cost}
		}
		sim.schedule(failureDetectionDelay, func() { sim.announceReachable(s, false) })
	})
	sim.schedule(outageEnd, func() {
		s.down = false
		sim.startNodes(s)
		sim.announceReachable(s, true)
	})
}

func (sim *simulation) announceReachable(s *site, up bool) {
	for _, o := range sim.sites {
		if o != s {
			sim.setReachable(o, s, up)
		}
	}
}

// slotRate returns the request rate, in requests per second, that occupies all
// slots of the engines.
func (sim *simulation) slotRate() float64 {
	const meanSeconds = 0.7*(60/engineDecodeRate+200/enginePrefillRate) + 0.3*(600/engineDecodeRate+6000/enginePrefillRate)
	slots := 0
	for i := range sim.sites {
		slots += sim.fleet.engines[i] * sim.fleet.slots[i]
	}
	return float64(slots) / meanSeconds
}
