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
	// recentChangeAge is the time during which a change of the local domain's load is
	// sent to other domains with each heartbeat.
	recentChangeAge = 12 * time.Second
	// minWaitMillis is the smallest nonzero reported wait; larger waits are rounded
	// down to powers of two.
	minWaitMillis = 16
	// refreshAfter is the age at which an unchanged load gets a new sequence, so that
	// it supersedes the report of a former node of the domain.
	refreshAfter = 15 * time.Second
	// freeSteps is the number of steps to which free slots are rounded.
	freeSteps = 8
	// maxDemandAge is the age above which a demand is removed.
	maxDemandAge = 2 * time.Minute
	// maxPeerLoadAge is the age above which another node's load on upstreams is
	// removed.
	maxPeerLoadAge = 15 * time.Second
	// maxStoredDemands limits the number of demands stored by a node.
	maxStoredDemands = 4096
)

// ownTarget is the published load of one target of the local domain.
type ownTarget struct {
	load      TargetLoad
	changedAt time.Time
}

type demandKey struct {
	customer domain.CustomerID
	node     domain.NodeID
}

type demandRecord struct {
	demand     LimitDemand
	receivedAt time.Time
	relayCount int
	// crossDomainSends is how often the demand was sent to other domains.
	crossDomainSends int
}

type peerLoads struct {
	loads      map[domain.UpstreamID]UpstreamLoad
	receivedAt time.Time
}

// loadTable holds the local domain's load under one lock.
type loadTable struct {
	mu           sync.Mutex
	sequence     uint64
	targets      map[domain.Target]*ownTarget
	order        []domain.Target
	nextTarget   int
	upstreams    []UpstreamLoad
	nextUpstream int
	peers        map[domain.NodeID]*peerLoads
	demands      map[demandKey]*demandRecord
	demandOrder  []demandKey // order of rotation
}

func newLoadTable() *loadTable {
	return &loadTable{
		targets: make(map[domain.Target]*ownTarget),
		peers:   make(map[domain.NodeID]*peerLoads),
		demands: make(map[demandKey]*demandRecord),
	}
}

// publish rounds and stores the local domain's load. Targets whose rounded load is
// unchanged keep their sequence until it is refreshed.
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

// nextSequence returns the current Unix time in milliseconds, or the highest known
// sequence of the domain plus one if the clock is behind it.
func (t *loadTable) nextSequence(now time.Time) uint64 {
	t.sequence = max(t.sequence+1, uint64(now.UnixMilli()))
	return t.sequence
}

// observeSequence applies the highest sequence of this domain that another node knows.
func (t *loadTable) observeSequence(sequence uint64) {
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
	if ok && load == known.load && now.Sub(known.changedAt) < refreshAfter {
		return
	}
	load.Sequence = sequence
	known.load = load
	known.changedAt = now
}

// quantise rounds a load so that small changes cause no traffic.
func quantise(l TargetLoad) TargetLoad {
	step := max(1, l.Slots/freeSteps)
	l.Free = l.Free / step * step
	if l.WaitMillis < minWaitMillis {
		l.WaitMillis = 0
		return l
	}
	l.WaitMillis = 1 << (bits.Len32(l.WaitMillis) - 1)
	return l
}

// report returns a sequence and up to n target loads of the local domain: recent
// changes and a rotating share of the rest.
func (t *loadTable) report(now time.Time, n int) (uint64, []TargetLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]TargetLoad, 0, n)
	for range t.order {
		if len(selected) == n {
			break
		}
		t.nextTarget = (t.nextTarget + 1) % len(t.order)
		own := t.targets[t.order[t.nextTarget]]
		rotated := len(selected) < n/4
		if rotated || now.Sub(own.changedAt) < recentChangeAge {
			selected = append(selected, own.load)
		}
	}
	return t.nextSequence(now), selected
}

// highestSequence returns the highest known sequence of the local domain.
func (t *loadTable) highestSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}

func (t *loadTable) setUpstreams(loads []UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstreams = slices.Clone(loads)
}

// ownUpstreams returns a rotating share of the local node's load on upstreams, leaving
// and suspect ones first.
func (t *loadTable) ownUpstreams(n int) []UpstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]UpstreamLoad, 0, n)
	for _, u := range t.upstreams {
		if (u.Leaving || u.Suspect) && len(selected) < n/2 {
			selected = append(selected, u)
		}
	}
	for range t.upstreams {
		if len(selected) == n {
			break
		}
		t.nextUpstream = (t.nextUpstream + 1) % len(t.upstreams)
		if u := t.upstreams[t.nextUpstream]; !slices.Contains(selected, u) {
			selected = append(selected, u)
		}
	}
	return selected
}

func (t *loadTable) mergeUpstreams(now time.Time, from domain.NodeID, loads []UpstreamLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[from]
	if !ok {
		p = &peerLoads{loads: make(map[domain.UpstreamID]UpstreamLoad)}
		t.peers[from] = p
	}
	p.receivedAt = now
	for _, l := range loads {
		p.loads[l.Upstream] = l
	}
}

// setDemands sets the demands of the local node.
func (t *loadTable) setDemands(now time.Time, demands []LimitDemand) {
	for _, d := range demands {
		t.mergeDemand(now, d)
	}
}

func (t *loadTable) mergeDemand(now time.Time, d LimitDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := demandKey{d.Customer, d.Node}
	known, ok := t.demands[key]
	if !ok && len(t.demands) >= maxStoredDemands {
		return
	}
	if !ok {
		t.demands[key] = &demandRecord{demand: d, receivedAt: now}
		t.demandOrder = append(t.demandOrder, key)
		return
	}
	if d.Sequence <= known.demand.Sequence {
		return
	}
	known.demand = d
	known.receivedAt = now
	known.relayCount = 0
	known.crossDomainSends = 0
}

// relayDemands returns up to n demands that were relayed less than maxRelays times
// since they changed, in rotation.
func (t *loadTable) relayDemands(n int) []LimitDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]LimitDemand, 0, n)
	for range t.demandOrder {
		if len(selected) == n {
			break
		}
		key := t.demandOrder[0]
		t.demandOrder = append(t.demandOrder[1:], key)
		record := t.demands[key]
		if record.relayCount < maxRelays {
			record.relayCount++
			selected = append(selected, record.demand)
		}
	}
	return selected
}

// domainDemands returns up to n aggregate demands of the given origin, those sent least
// often since they changed first.
func (t *loadTable) domainDemands(origin domain.NodeID, n int) []LimitDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []*demandRecord
	for _, k := range t.demandOrder {
		if k.node == origin {
			own = append(own, t.demands[k])
		}
	}
	slices.SortStableFunc(own, func(a, b *demandRecord) int { return cmp.Compare(a.crossDomainSends, b.crossDomainSends) })
	selected := make([]LimitDemand, 0, min(n, len(own)))
	for _, record := range own[:min(n, len(own))] {
		record.crossDomainSends++
		selected = append(selected, record.demand)
	}
	return selected
}

// expire removes old demands and the loads of peers without recent heartbeats.
func (t *loadTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demandOrder = slices.DeleteFunc(t.demandOrder, func(k demandKey) bool {
		expired := now.Sub(t.demands[k].receivedAt) > maxDemandAge
		if expired {
			delete(t.demands, k)
		}
		return expired
	})
	for id, p := range t.peers {
		if now.Sub(p.receivedAt) > maxPeerLoadAge {
			delete(t.peers, id)
		}
	}
}

// allDemands returns all known demands.
func (t *loadTable) allDemands() []LimitDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]LimitDemand, 0, len(t.demandOrder))
	for _, k := range t.demandOrder {
		all = append(all, t.demands[k].demand)
	}
	return all
}

// peerWork returns the total load of the peers per upstream.
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
