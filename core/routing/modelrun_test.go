package routing_test

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

const (
	warmUp   = 10 * time.Second
	duration = 60 * time.Second
	lostAt   = 20 * time.Second
	backAt   = 40 * time.Second
	prefixes = 60
	lostSite = 1
)

// result gathers the figures of one run.
type result struct {
	firstTokens []time.Duration
	offered     int
	inTime      int
	away        int
	started     int
	cost        float64
	refused     int
	lost        int
}

// arrive runs one caller after another for a site.
func (m *model) arrive(i int, rate func() float64) {
	gap := time.Duration(m.random.ExpFloat64() / rate() * float64(time.Second))
	m.after(gap, func() {
		m.enter(i)
		m.arrive(i, rate)
	})
}

// enter brings one request to a node of its site, or of another if it is lost.
func (m *model) enter(i int) {
	for m.sites[i].down {
		i = (i + 1 + m.random.IntN(2)) % len(m.sites)
	}
	s := m.sites[i]
	j := m.newJob()
	if m.measured(j) {
		m.result.offered++
	}
	m.decide(s.nodes[m.random.IntN(len(s.nodes))], j)
}

func (m *model) measured(j *job) bool { return j.arrived >= warmUp }

func (m *model) newJob() *job {
	j := &job{prompt: 200, output: 60, arrived: m.now}
	if m.random.Float64() < 0.3 {
		j.prompt, j.output, j.prefixTokens = 6000, 600, 4000
		skew := m.random.Float64()
		j.prefix = 1 + uint64(skew*skew*prefixes)
	}
	return j
}

func (m *model) decide(n *node, j *job) {
	req := m.request(n, j, false)
	d := n.router.Decide(n.snapshot, &req, m.time())
	if d.Action == routing.ActionRefuse || m.late(d) {
		m.refuse(j)
		return
	}
	if d.Action == routing.ActionLocal {
		m.dispatch(n, j, d)
		return
	}
	to := m.siteOf(n.snapshot.Domain(d.Domain).Place)
	d.Link.Take(m.time(), routing.LinkBytes(&req))
	if m.variant.ownWork {
		work, err := n.domains.StartForward(m.time(), to.place.FailureDomain, target, j.prompt)
		m.must(err)
		j.dispatches = append(j.dispatches, work)
	}
	j.away = true
	j.back = m.fleet.oneWay
	m.after(m.fleet.oneWay, func() { m.receive(n, to, j) })
}

// receive handles a forwarded request at another site, which runs or refuses it.
func (m *model) receive(from *node, to *site, j *job) {
	if to.down {
		j.excluded = append(j.excluded, to.place.FailureDomain)
		m.again(from, j)
		return
	}
	n := to.nodes[m.random.IntN(len(to.nodes))]
	req := m.request(n, j, true)
	d := n.router.Decide(n.snapshot, &req, m.time())
	if d.Action == routing.ActionRefuse || m.late(d) {
		j.excluded = append(j.excluded, to.place.FailureDomain)
		m.again(from, j)
		return
	}
	m.dispatch(n, j, d)
}

func (m *model) again(from *node, j *job) {
	m.after(m.fleet.oneWay, func() {
		m.finish(j, upstreams.OutcomeNeutral)
		j.away, j.back = false, 0
		m.decide(from, j)
	})
}

func (m *model) late(d routing.Decision) bool { return m.refuseLate && d.FirstToken > firstTokenDue }

func (m *model) request(n *node, j *job, localOnly bool) routing.Request {
	return routing.Request{
		Target: target, Allowed: n.snapshot.Regions().Set(func(domain.Region) bool { return true }),
		LocalOnly: localOnly, PromptTokens: j.prompt, OutputTokens: j.output,
		PrefixHash: j.prefix, PrefixTokens: j.prefixTokens, BodyBytes: 4 * j.prompt,
		ExcludedDomains: j.excluded, Seed: m.random.Uint64(),
	}
}

func (m *model) siteOf(p domain.Place) *site {
	return m.sites[slices.IndexFunc(m.sites[:], func(s *site) bool { return s.place == p })]
}

func (m *model) dispatch(n *node, j *job, d routing.Decision) {
	id := n.snapshot.Upstream(d.Upstream).Ref.ID
	e := n.site.engines[slices.IndexFunc(n.site.engines, func(e *engine) bool { return e.id == id })]
	if m.variant.ownWork {
		work, err := n.tracker.Start(m.time(), id, j.prompt, j.prefix)
		m.must(err)
		j.dispatches = append(j.dispatches, work)
	}
	if m.measured(j) {
		m.result.started++
		m.result.cost += e.cost * float64(j.prompt+j.output)
		if j.away {
			m.result.away++
		}
	}
	if e.running < e.slots {
		m.prefill(e, j)
		return
	}
	e.waiting = append(e.waiting, j)
	e.queued += j.prompt
}

func (m *model) prefill(e *engine, j *job) {
	e.running++
	uncached := j.prompt
	if e.use(j.prefix) {
		uncached -= j.prefixTokens
	}
	e.prefilled = max(e.prefilled, m.now) + seconds(float64(uncached)/enginePrefill)
	life := e.site.epoch
	m.after(e.prefilled-m.now, func() {
		if e.site.epoch != life {
			m.lose(j)
			return
		}
		m.firstToken(j)
		m.after(seconds(float64(j.output)/engineDecode), func() { m.end(e, life, j) })
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// use tells if the prefix is cached, and caches it in place of the oldest.
func (e *engine) use(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else if len(e.cache) >= cachedPrefixes {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	return i >= 0
}

func (m *model) firstToken(j *job) {
	for _, d := range j.dispatches {
		d.FirstToken(m.time())
	}
	if !m.measured(j) {
		return
	}
	took := m.now + j.back - j.arrived
	m.result.firstTokens = append(m.result.firstTokens, took)
	if took <= firstTokenDue {
		m.result.inTime++
	}
}

func (m *model) end(e *engine, life int, j *job) {
	m.finish(j, upstreams.OutcomeSucceeded)
	if e.site.epoch != life {
		return
	}
	e.running--
	if len(e.waiting) == 0 {
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.queued -= next.prompt
	m.prefill(e, next)
}

func (m *model) finish(j *job, outcome upstreams.Outcome) {
	for _, d := range j.dispatches {
		d.End(m.time(), outcome)
	}
	j.dispatches = nil
}

func (m *model) refuse(j *job) {
	if m.measured(j) {
		m.result.refused++
	}
}

func (m *model) lose(j *job) {
	m.finish(j, upstreams.OutcomeNeutral)
	if m.measured(j) {
		m.result.lost++
	}
}

// losing takes a site away, with all that runs there; it returns with new nodes
// and cold caches.
func (m *model) losing(s *site) {
	m.after(lostAt, func() {
		s.down = true
		s.epoch++
		for _, e := range s.engines {
			for _, j := range e.waiting {
				m.lose(j)
			}
			*e = engine{id: e.id, site: s, slots: e.slots, cost: e.cost}
		}
		m.after(detectAfter, func() { m.notice(s, false) })
	})
	m.after(backAt, func() {
		s.down = false
		m.startNodes(s)
		m.notice(s, true)
	})
}

func (m *model) notice(s *site, up bool) {
	for _, o := range m.sites {
		if o != s {
			m.setReachable(o, s, up)
		}
	}
}

// slotRate is the number of requests a second that the engines' slots allow.
func (m *model) slotRate() float64 {
	const meanSeconds = 0.7*(60/engineDecode+200/enginePrefill) + 0.3*(600/engineDecode+6000/enginePrefill)
	slots := 0
	for i := range m.sites {
		slots += m.fleet.engines[i] * m.fleet.slots[i]
	}
	return float64(slots) / meanSeconds
}
