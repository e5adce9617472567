package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
	"github.com/crocusspread/crocusspread/core/virtualtime"
)

const (
	reportInterval        = 500 * time.Millisecond
	reportDelay           = time.Second
	heartbeatInterval     = time.Second
	snapshotInterval      = 100 * time.Millisecond
	failureDetectionDelay = 2 * time.Second
	maxTTFT               = 2 * time.Second
	enginePrefillRate     = 8000.0
	engineDecodeRate      = 40.0
	engineCachePrefixes   = 24
)

var (
	startTime = time.Unix(1700000000, 0)
	target    = domain.Target{Kind: domain.TargetModel, Name: "assistent-llm"}
)

// fleet describes a deployment; arrays are indexed by failure domain.
type fleet struct {
	name               string
	engines            [3]int
	slots              [3]int
	cost               [3]float64
	demand             [3]float64 // fraction of the requests by failure domain
	oneWayLatency      time.Duration
	linkBytesPerSecond float64
	nodesPerDomain     int
	profile            routing.Profile
}

// simulation is a discrete-event simulation of one deployment with one policy.
type simulation struct {
	fleet   fleet
	variant variant
	now     time.Duration
	queue   virtualtime.Queue
	random  *rand.Rand
	sites   [3]*site
	result  result
	// refuseLate refuses requests whose predicted first token misses the objective.
	refuseLate bool
}

// site is one failure domain of the simulation.
type site struct {
	place      domain.Place
	engines    []*engine
	nodes      []*node
	down       bool
	generation int
}

type node struct {
	id       domain.NodeID
	site     *site
	tracker  *upstreams.Tracker
	domains  *upstreams.Domains
	router   *routing.Router
	snapshot *routing.Snapshot
}

// engine batches up to slots requests and prefills one prompt at a time.
type engine struct {
	id            domain.UpstreamID
	site          *site
	slots         int
	cost          float64
	running       int
	waiting       []*job
	queuedTokens  int
	prefillDoneAt time.Duration
	cache         []uint64
}

// job is one request in progress.
type job struct {
	prompt, output, prefixTokens int
	prefix                       uint64
	arrivedAt                    time.Duration
	returnLatency                time.Duration
	forwarded                    bool
	excluded                     []domain.FailureDomain
	dispatches                   []*upstreams.Dispatch
}

func (sim *simulation) time() time.Time { return startTime.Add(sim.now) }

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.queue.Add(sim.now+d, run)
}

func (sim *simulation) scheduleEvery(d time.Duration, run func()) {
	run()
	sim.schedule(d, func() { sim.scheduleEvery(d, run) })
}

func (sim *simulation) run(until time.Duration) {
	for at, run, ok := sim.queue.Next(until); ok; at, run, ok = sim.queue.Next(until) {
		sim.now = at
		run()
	}
}

func newSimulation(f fleet, v variant, seed uint64) *simulation {
	sim := &simulation{fleet: f, variant: v, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range sim.sites {
		sim.sites[i] = sim.newSite(i)
	}
	for _, s := range sim.sites {
		sim.startNodes(s)
	}
	for _, s := range sim.sites {
		sim.scheduleEvery(reportInterval, func() { sim.sendReports(s) })
		sim.scheduleEvery(heartbeatInterval, func() { sim.heartbeat(s) })
		sim.scheduleEvery(snapshotInterval, func() { sim.rebuildSnapshots(s) })
	}
	return sim
}

func (sim *simulation) newSite(i int) *site {
	place := domain.Place{Region: domain.Region(fmt.Sprintf("region-%d", i)), FailureDomain: domain.FailureDomain(fmt.Sprintf("domain-%d", i))}
	s := &site{place: place}
	for j := range sim.fleet.engines[i] {
		id := domain.UpstreamID(fmt.Sprintf("engine-%d-%02d", i, j))
		s.engines = append(s.engines, &engine{id: id, site: s, slots: sim.fleet.slots[i], cost: sim.fleet.cost[i]})
	}
	return s
}

func (sim *simulation) startNodes(s *site) {
	s.nodes = nil
	for i := range sim.fleet.nodesPerDomain {
		n := &node{id: domain.NodeID(fmt.Sprintf("%s-%d", s.place.FailureDomain, i)), site: s}
		n.tracker = upstreams.New(upstreams.Options{Node: n.id, Place: s.place})
		n.domains = upstreams.NewDomains(upstreams.Options{Place: s.place})
		n.router = routing.New(sim.variant.policy(sim.fleet.profile))
		var rows []ports.VM
		for _, e := range s.engines {
			rows = append(rows, ports.VM{ID: string(e.id), Role: ports.RoleEngine, Place: s.place, Address: string(e.id)})
		}
		n.tracker.ObserveVMs(sim.time(), rows)
		for _, e := range s.engines {
			sim.must(n.tracker.ObserveReport(sim.time(), e.id, sim.loadReport(e)))
		}
		s.nodes = append(s.nodes, n)
	}
	for _, o := range sim.sites {
		if o != nil && o != s {
			sim.setReachable(s, o, !o.down)
			sim.setReachable(o, s, true)
			sim.resetLink(s, o)
		}
	}
	sim.rebuildSnapshots(s)
}

func (sim *simulation) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (sim *simulation) setReachable(at, other *site, up bool) {
	for _, n := range at.nodes {
		n.domains.SetReachable(other.place, up, 2*sim.fleet.oneWayLatency)
	}
}

func (sim *simulation) resetLink(at, other *site) {
	for _, n := range at.nodes {
		rate := sim.fleet.linkBytesPerSecond / float64(sim.fleet.nodesPerDomain)
		n.domains.SetLink(other.place, routing.NewLinkBudget(rate, 2*time.Second))
	}
}

func (sim *simulation) loadReport(e *engine) domain.LoadReport {
	pending := max(e.prefillDoneAt-sim.now, 0).Seconds() * enginePrefillRate
	return domain.LoadReport{
		Upstream: e.id, Age: reportDelay, Running: e.running, Waiting: len(e.waiting), Slots: e.slots,
		PrefillTokensPerSecond: enginePrefillRate, DecodeTokensPerSecond: engineDecodeRate,
		QueuedTokens: e.queuedTokens + int(pending), Models: []string{target.Name}, CostPerMillionTokens: e.cost,
	}
}

// sendReports sends the load reports of a site's engines, which arrive after
// reportDelay.
func (sim *simulation) sendReports(s *site) {
	if s.down {
		return
	}
	for _, e := range s.engines {
		sample := sim.loadReport(e)
		sim.schedule(reportDelay, func() {
			for _, n := range s.nodes {
				sim.must(n.tracker.ObserveReport(sim.time(), e.id, sample))
			}
		})
	}
}

// heartbeat sends each node's own work to the other nodes of its failure domain
// and the domain's aggregate to the other domains.
func (sim *simulation) heartbeat(s *site) {
	if s.down {
		return
	}
	if sim.variant.othersWork {
		for _, from := range s.nodes {
			loads := from.tracker.PeerLoads(sim.time())
			for _, to := range s.nodes {
				if to != from {
					to.tracker.ObservePeer(sim.time(), from.id, loads)
				}
			}
		}
	}
	aggregate := s.nodes[0].tracker.Aggregate(sim.time())
	sequence := uint64(sim.now/time.Millisecond) + 1
	sim.schedule(sim.fleet.oneWayLatency, func() {
		for _, o := range sim.sites {
			for _, n := range o.nodes {
				n.domains.Observe(sim.time(), aggregate, sequence, sim.fleet.oneWayLatency)
			}
		}
	})
}

func (sim *simulation) rebuildSnapshots(s *site) {
	for _, n := range s.nodes {
		b := routing.NewBuilder(s.place)
		n.tracker.AppendTo(sim.time(), b)
		n.domains.AppendTo(sim.time(), b)
		snapshot, err := b.Build()
		sim.must(err)
		n.snapshot = snapshot
	}
}
