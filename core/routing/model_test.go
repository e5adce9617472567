package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

const (
	reportEvery    = 500 * time.Millisecond
	reportLag      = time.Second
	heartbeatEvery = time.Second
	snapshotEvery  = 100 * time.Millisecond
	detectAfter    = 2 * time.Second
	firstTokenDue  = 2 * time.Second
	enginePrefill  = 8000.0
	engineDecode   = 40.0
	cachedPrefixes = 24
)

var (
	epoch  = time.Unix(1700000000, 0)
	target = domain.Target{Kind: domain.TargetModel, Name: "assistent-llm"}
)

// fleet is the size of a deployment.
type fleet struct {
	name          string
	engines       [3]int
	slots         [3]int
	cost          [3]float64
	demand        [3]float64 // share of the callers, by domain
	oneWay        time.Duration
	bytesPerSec   float64
	nodesByDomain int
	profile       routing.Profile
}

// event is one step of the model.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model is a discrete-event model of one deployment under one policy.
type model struct {
	fleet   fleet
	variant variant
	now     time.Duration
	queue   eventQueue
	seq     int
	random  *rand.Rand
	sites   [3]*site
	result  result
	// refuseLate turns requests away whose predicted first token is late.
	refuseLate bool
}

type site struct {
	place   domain.Place
	engines []*engine
	nodes   []*node
	down    bool
	epoch   int
}

type node struct {
	id       domain.NodeID
	site     *site
	tracker  *upstreams.Tracker
	domains  *upstreams.Domains
	router   *routing.Router
	snapshot *routing.Snapshot
}

// engine batches up to slots requests and prefills one prompt after the other.
type engine struct {
	id        domain.UpstreamID
	site      *site
	slots     int
	cost      float64
	running   int
	waiting   []*job
	queued    int
	prefilled time.Duration
	cache     []uint64
}

// job is one request under way.
type job struct {
	prompt, output, prefixTokens int
	prefix                       uint64
	arrived                      time.Duration
	back                         time.Duration
	away                         bool
	excluded                     []domain.FailureDomain
	dispatches                   []*upstreams.Dispatch
}

func (m *model) time() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now + d, seq: m.seq, run: run})
}

func (m *model) every(d time.Duration, run func()) {
	run()
	m.after(d, func() { m.every(d, run) })
}

func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
}

func newModel(f fleet, v variant, seed uint64) *model {
	m := &model{fleet: f, variant: v, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range m.sites {
		m.sites[i] = m.newSite(i)
	}
	for _, s := range m.sites {
		m.startNodes(s)
	}
	for _, s := range m.sites {
		m.every(reportEvery, func() { m.report(s) })
		m.every(heartbeatEvery, func() { m.heartbeat(s) })
		m.every(snapshotEvery, func() { m.rebuild(s) })
	}
	return m
}

func (m *model) newSite(i int) *site {
	place := domain.Place{Region: domain.Region(fmt.Sprintf("region-%d", i)), FailureDomain: domain.FailureDomain(fmt.Sprintf("domain-%d", i))}
	s := &site{place: place}
	for j := range m.fleet.engines[i] {
		id := domain.UpstreamID(fmt.Sprintf("engine-%d-%02d", i, j))
		s.engines = append(s.engines, &engine{id: id, site: s, slots: m.fleet.slots[i], cost: m.fleet.cost[i]})
	}
	return s
}

func (m *model) startNodes(s *site) {
	s.nodes = nil
	for i := range m.fleet.nodesByDomain {
		n := &node{id: domain.NodeID(fmt.Sprintf("%s-%d", s.place.FailureDomain, i)), site: s}
		n.tracker = upstreams.New(upstreams.Options{Node: n.id, Place: s.place})
		n.domains = upstreams.NewDomains(upstreams.Options{Place: s.place})
		n.router = routing.New(m.variant.policy(m.fleet.profile))
		var rows []ports.VM
		for _, e := range s.engines {
			rows = append(rows, ports.VM{ID: string(e.id), Role: ports.RoleEngine, Place: s.place, Address: string(e.id)})
		}
		n.tracker.ObserveVMs(m.time(), rows)
		for _, e := range s.engines {
			m.must(n.tracker.ObserveReport(m.time(), e.id, m.reading(e)))
		}
		s.nodes = append(s.nodes, n)
	}
	for _, o := range m.sites {
		if o != nil && o != s {
			m.setReachable(s, o, !o.down)
			m.setReachable(o, s, true)
			m.linkUp(s, o)
		}
	}
	m.rebuild(s)
}

func (m *model) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (m *model) setReachable(at, other *site, up bool) {
	for _, n := range at.nodes {
		n.domains.SetReachable(other.place, up, 2*m.fleet.oneWay)
	}
}

func (m *model) linkUp(at, other *site) {
	for _, n := range at.nodes {
		rate := m.fleet.bytesPerSec / float64(m.fleet.nodesByDomain)
		n.domains.SetLink(other.place, routing.NewLinkBudget(rate, 2*time.Second))
	}
}

func (m *model) reading(e *engine) domain.LoadReport {
	pending := max(e.prefilled-m.now, 0).Seconds() * enginePrefill
	return domain.LoadReport{
		Upstream: e.id, Age: reportLag, Running: e.running, Waiting: len(e.waiting), Slots: e.slots,
		PrefillTokensPerSecond: enginePrefill, DecodeTokensPerSecond: engineDecode,
		QueuedTokens: e.queued + int(pending), Models: []string{target.Name}, CostPerMillionTokens: e.cost,
	}
}

// report sends the engines' readings, which arrive late.
func (m *model) report(s *site) {
	if s.down {
		return
	}
	for _, e := range s.engines {
		rep := m.reading(e)
		m.after(reportLag, func() {
			for _, n := range s.nodes {
				m.must(n.tracker.ObserveReport(m.time(), e.id, rep))
			}
		})
	}
}

// heartbeat exchanges own work inside the domain and its aggregate with others.
func (m *model) heartbeat(s *site) {
	if s.down {
		return
	}
	if m.variant.othersWork {
		for _, from := range s.nodes {
			loads := from.tracker.PeerLoads(m.time())
			for _, to := range s.nodes {
				if to != from {
					to.tracker.ObservePeer(m.time(), from.id, loads)
				}
			}
		}
	}
	sum := s.nodes[0].tracker.Aggregate(m.time())
	sequence := uint64(m.now/time.Millisecond) + 1
	m.after(m.fleet.oneWay, func() {
		for _, o := range m.sites {
			for _, n := range o.nodes {
				n.domains.Observe(m.time(), sum, sequence, m.fleet.oneWay)
			}
		}
	})
}

func (m *model) rebuild(s *site) {
	for _, n := range s.nodes {
		b := routing.NewBuilder(s.place)
		n.tracker.AppendTo(m.time(), b)
		n.domains.AppendTo(m.time(), b)
		snapshot, err := b.Build()
		m.must(err)
		n.snapshot = snapshot
	}
}
