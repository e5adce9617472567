package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// recentReading is the time for which a change of the own domain's load is
	// sent to other domains with each heartbeat.
	recentReading = 12 * time.Second
	// waitStepMillis is the smallest wait told apart; above it, powers of two.
	waitStepMillis = 16
	// refreshAfter is the age at which an unchanged reading gets a new sequence,
	// so that it outranks what a former node of the domain said.
	refreshAfter = 15 * time.Second
	// freeSteps is the number of steps in which free slots are told.
	freeSteps = 8
	// demandAge is the age at which another node's demand is dropped.
	demandAge = 2 * time.Minute
	// loadAge is the age at which another node's work at upstreams is dropped.
	loadAge = 15 * time.Second
	// maxDemandsKept bounds the demands that a node holds.
	maxDemandsKept = 4096
)

// ownTarget is the published reading of one target of the own domain.
type ownTarget struct {
	load    TargetLoad
	changed time.Time
}

type demandKey struct {
	customer domain.CustomerID
	node     domain.NodeID
}

type demandRecord struct {
	demand LimitDemand
	heard  time.Time
	relays int
	// crossed is how often the demand was sent to other domains.
	crossed int
}

type peerLoads struct {
	loads map[domain.UpstreamID]UpstreamLoad
	heard time.Time
}

// loadTable holds the own domain's load under one lock.
type loadTable struct {
	mu        sync.Mutex
	sequence  uint64
	targets   map[domain.Target]*ownTarget
	order     []domain.Target
	nextOwn   int
	upstreams []UpstreamLoad
	nextUp    int
	peers     map[domain.NodeID]*peerLoads
	demands   map[demandKey]*demandRecord
	queue     []demandKey // rotation of demands
}

func newLoadTable() *loadTable {
	return &loadTable{
		targets: make(map[domain.Target]*ownTarget),
		peers:   make(map[domain.NodeID]*peerLoads),
		demands: make(map[demandKey]*demandRecord),
	}
}

// publish quantises the own domain's load; only changed targets get a new
// sequence, and so only they are sent on.
func (t *loadTable) publish(now time.Time, loads []TargetLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.nextSequence(now)
	seen := make(map[domain.Target]bool, len(loads))
	for _, load := range loads {
		seen[load.Target] = true
		t.publishTarget(now, next, quantise(load))
	}
	for target, known := range t.targets {
		if !seen[target] && known.load.Slots != 0 {
			t.publishTarget(now, next, TargetLoad{Target: target})
		}
	}
}

// nextSequence follows the clock, and the highest number known of the domain
// where a clock is behind.
func (t *loadTable) nextSequence(now time.Time) uint64 {
	t.sequence = max(t.sequence+1, uint64(now.UnixMilli()))
	return t.sequence
}

// observe takes the number that another node knows of this domain.
func (t *loadTable) observe(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence = max(t.sequence, sequence)
}

func (t *loadTable) publishTarget(now time.Time, sequence uint64, load TargetLoad) {
	known, ok := t.targets[load.Target]
	if !ok {
		known = &ownTarget{}
		t.targets[load.Target] = known
		i, _ := slices.BinarySearchFunc(t.order, load.Target, compareTargets)
		t.order = slices.Insert(t.order, i, load.Target)
	}
	load.Sequence = known.load.Sequence
	if ok && load == known.load && now.Sub(known.changed) < refreshAfter {
		return
	}
	load.Sequence = sequence
	known.load = load
	known.changed = now
}

// quantise rounds a reading so that small changes cost no message.
func quantise(l TargetLoad) TargetLoad {
	step := max(1, l.Slots/freeSteps)
	l.Free = l.Free / step * step
	if l.WaitMillis < waitStepMillis {
		l.WaitMillis = 0
		return l
	}
	l.WaitMillis = 1 << (bits.Len32(l.WaitMillis) - 1)
	return l
}

// reading returns the own domain's recent changes and a share of the rest.
func (t *loadTable) reading(now time.Time, n int) (uint64, []TargetLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := make([]TargetLoad, 0, n)
	for range t.order {
		if len(picked) == n {
			break
		}
		t.nextOwn = (t.nextOwn + 1) % len(t.order)
		own := t.targets[t.order[t.nextOwn]]
		rotated := len(picked) < n/4
		if rotated || now.Sub(own.changed) < recentReading {
			picked = append(picked, own.load)
		}
	}
	return t.nextSequence(now), picked
}

// highest returns the highest number known of the domain's readings.
func (t *loadTable) highest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}

func (t *loadTable) setUpstreams(loads []UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstreams = slices.Clone(loads)
}

// ownUpstreams returns a rotating share of the own work at upstreams; leaving
// and suspect ones go first.
func (t *loadTable) ownUpstreams(n int) []UpstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := make([]UpstreamLoad, 0, n)
	for _, u := range t.upstreams {
		if (u.Leaving || u.Suspect) && len(picked) < n/2 {
			picked = append(picked, u)
		}
	}
	for range t.upstreams {
		if len(picked) == n {
			break
		}
		t.nextUp = (t.nextUp + 1) % len(t.upstreams)
		if u := t.upstreams[t.nextUp]; !slices.Contains(picked, u) {
			picked = append(picked, u)
		}
	}
	return picked
}

func (t *loadTable) learnUpstreams(now time.Time, from domain.NodeID, loads []UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[from]
	if !ok {
		p = &peerLoads{loads: make(map[domain.UpstreamID]UpstreamLoad)}
		t.peers[from] = p
	}
	p.heard = now
	for _, l := range loads {
		p.loads[l.Upstream] = l
	}
}

// setDemands takes the own node's demands.
func (t *loadTable) setDemands(now time.Time, demands []LimitDemand) {
	for _, d := range demands {
		t.learnDemand(now, d)
	}
}

func (t *loadTable) learnDemand(now time.Time, d LimitDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := demandKey{d.Customer, d.Node}
	known, ok := t.demands[key]
	if !ok && len(t.demands) >= maxDemandsKept {
		return
	}
	if !ok {
		t.demands[key] = &demandRecord{demand: d, heard: now}
		t.queue = append(t.queue, key)
		return
	}
	if d.Sequence <= known.demand.Sequence {
		return
	}
	known.demand = d
	known.heard = now
	known.relays = 0
	known.crossed = 0
}

// relayDemands returns up to n demands that are new or next in turn.
func (t *loadTable) relayDemands(n int) []LimitDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := make([]LimitDemand, 0, n)
	for range t.queue {
		if len(picked) == n {
			break
		}
		key := t.queue[0]
		t.queue = append(t.queue[1:], key)
		rec := t.demands[key]
		if rec.relays < maxRelays {
			rec.relays++
			picked = append(picked, rec.demand)
		}
	}
	return picked
}

// domainDemands returns up to n demands of the whole domain, those that crossed
// least often since they changed first.
func (t *loadTable) domainDemands(party domain.NodeID, n int) []LimitDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []*demandRecord
	for _, k := range t.queue {
		if k.node == party {
			own = append(own, t.demands[k])
		}
	}
	slices.SortStableFunc(own, func(a, b *demandRecord) int { return cmp.Compare(a.crossed, b.crossed) })
	picked := make([]LimitDemand, 0, min(n, len(own)))
	for _, rec := range own[:min(n, len(own))] {
		rec.crossed++
		picked = append(picked, rec.demand)
	}
	return picked
}

// expire drops old demands and the loads of silent peers.
func (t *loadTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue = slices.DeleteFunc(t.queue, func(k demandKey) bool {
		old := now.Sub(t.demands[k].heard) > demandAge
		if old {
			delete(t.demands, k)
		}
		return old
	})
	for id, p := range t.peers {
		if now.Sub(p.heard) > loadAge {
			delete(t.peers, id)
		}
	}
}

// allDemands returns all known demands of nodes of the own domain.
func (t *loadTable) allDemands() []LimitDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]LimitDemand, 0, len(t.queue))
	for _, k := range t.queue {
		all = append(all, t.demands[k].demand)
	}
	return all
}

// peerWork sums the peers' work per upstream.
func (t *loadTable) peerWork() map[domain.UpstreamID]PeerWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[domain.UpstreamID]PeerWork)
	for _, p := range t.peers {
		for id, l := range p.loads {
			s := sums[id]
			s.InFlight += l.InFlight
			s.PendingTokens += l.PendingTokens
			s.Leaving = s.Leaving || l.Leaving
			if l.Suspect {
				s.SuspectedBy++
			}
			sums[id] = s
		}
	}
	return sums
}
