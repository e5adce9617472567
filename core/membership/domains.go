package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// rttWeight is the weight of a new round trip time against the estimate.
	rttWeight = 0.2
	// maxFailures is the number of failed heartbeats in a row after which a
	// node leaves the sample of its domain.
	maxFailures = 2
	// maxReadings bounds the failure domains in one heartbeat.
	maxReadings = 6
	// detailed bounds those among them that carry targets.
	detailed = 3
	// newsPerDomain, times the number of domains, is the growth of a reading's
	// time that is passed on as a change; less would crowd each other out.
	newsPerDomain = 250 * time.Millisecond
	// detailEvery is the number of heartbeats of which one carries the nodes
	// of a domain.
	detailEvery = 4
	// detailNodes bounds the nodes in it.
	detailNodes = 2
	// maxFutureRTT bounds a believable relayed round trip time.
	maxFutureRTT = 10 * time.Second
)

// targetRecord is the newest reading of one target.
type targetRecord struct {
	load TargetLoad
	turn turn
}

// sampleNode is a node of another domain to forward to.
type sampleNode struct {
	node   domain.NodeRef
	failed int
}

// domainRecord is what a node knows of another failure domain.
type domainRecord struct {
	place     domain.Place
	sequence  uint64
	heard     time.Time // when a node of the domain itself last said so
	told      time.Time // the reading's time when last counted as a change
	rtt       time.Duration
	rttOwn    bool // measured by this node
	liveNodes uint32
	targets   map[domain.Target]*targetRecord
	nodes     []sampleNode
	seeds     []domain.NodeRef // from the VM list
	nextNode  int
	turn      turn
	// draining holds nodes that said they leave, newest first.
	draining []domain.NodeRef
}

// domainTable holds the other failure domains under one lock.
type domainTable struct {
	mu      sync.Mutex
	records map[domain.FailureDomain]*domainRecord
	order   []domain.FailureDomain
	nextTo  int
	nextOf  int
	relays  int
	picks   uint64 // counts relays, to order turns
	max     int    // nodes in a sample
}

func newDomainTable(maxNodes int) *domainTable {
	return &domainTable{records: make(map[domain.FailureDomain]*domainRecord), max: maxNodes}
}

func (t *domainTable) ensure(p domain.Place) *domainRecord {
	if r, ok := t.records[p.FailureDomain]; ok {
		return r
	}
	r := &domainRecord{place: p, targets: make(map[domain.Target]*targetRecord)}
	t.records[p.FailureDomain] = r
	i, _ := slices.BinarySearch(t.order, p.FailureDomain)
	t.order = slices.Insert(t.order, i, p.FailureDomain)
	return r
}

// learn takes a reading, direct or relayed. Each target's newest sequence wins,
// so order and repetition of messages do not matter. A relayed reading counts as
// news only with a higher sequence, so that relays in a circle do not refresh it.
func (t *domainTable) learn(now time.Time, d DomainLoad, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[d.Place.FailureDomain]
	if !ok {
		if d.Place.Region == "" {
			return
		}
		r = t.ensure(d.Place)
	}
	for _, load := range d.Targets {
		r.learnTarget(load)
	}
	if d.RTTMicros != 0 && !r.rttOwn {
		r.rtt = min(time.Duration(d.RTTMicros)*time.Microsecond, maxFutureRTT)
	}
	if len(d.Nodes) > 0 && (direct || d.Sequence > r.sequence || len(r.nodes) == 0) {
		r.sample(d.Nodes, t.max)
	}
	if !direct && d.Sequence <= r.sequence {
		return
	}
	heard := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	if heard.After(r.heard) {
		r.heard = heard
	}
	if heard.Sub(r.told) > newsPerDomain*time.Duration(len(t.order)) {
		r.told = heard
		r.turn.relays = 0
	}
	if d.Sequence > r.sequence {
		r.sequence = d.Sequence
	}
	if d.LiveNodes > 0 {
		r.liveNodes = d.LiveNodes
	}
}

func (r *domainRecord) learnTarget(load TargetLoad) {
	known, ok := r.targets[load.Target]
	if !ok {
		r.targets[load.Target] = &targetRecord{load: load}
		return
	}
	if load.Sequence <= known.load.Sequence {
		return
	}
	same := known.load
	same.Sequence = load.Sequence
	if same != load {
		known.turn.relays = 0
	}
	known.load = load
}

// sample merges newly named nodes in front of the ones known. Draining nodes are
// kept apart, so that the word of them is passed on.
func (r *domainRecord) sample(nodes []domain.NodeRef, limit int) {
	merged := make([]sampleNode, 0, limit)
	for _, n := range nodes {
		if n.State == domain.NodeServing || n.State == "" {
			merged = append(merged, sampleNode{node: n})
		}
	}
	r.sampleDraining(nodes, limit)
	for _, old := range r.nodes {
		named := slices.ContainsFunc(nodes, func(n domain.NodeRef) bool {
			return n.ID == old.node.ID || n.PeerAddress == old.node.PeerAddress
		})
		if !named {
			merged = append(merged, old)
		}
	}
	merged = slices.DeleteFunc(merged, func(s sampleNode) bool { return r.drains(s.node) })
	r.nodes = merged[:min(limit, len(merged))]
}

// sampleDraining merges newly named draining nodes in front of the ones known. A
// new process of a node takes its place.
func (r *domainRecord) sampleDraining(nodes []domain.NodeRef, limit int) {
	merged := draining(nodes)
	for _, old := range r.draining {
		named := slices.ContainsFunc(nodes, func(n domain.NodeRef) bool {
			return n.ID == old.ID && (n.State == domain.NodeDraining || n.Incarnation != old.Incarnation)
		})
		if !named {
			merged = append(merged, old)
		}
	}
	r.draining = merged[:min(limit, len(merged))]
}

// drains tells if this very process of a node is known to drain: it never serves
// again, whatever late messages say.
func (r *domainRecord) drains(n domain.NodeRef) bool {
	return slices.ContainsFunc(r.draining, func(d domain.NodeRef) bool {
		return d.ID == n.ID && d.Incarnation == n.Incarnation
	})
}

// setSeeds takes the VM list's nodes of all other domains.
func (t *domainTable) setSeeds(nodes []domain.NodeRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		r.seeds = nil
	}
	for _, n := range nodes {
		r := t.ensure(n.Place)
		r.seeds = append(r.seeds, n)
	}
}

// size returns the number of other failure domains.
func (t *domainTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.order)
}

// contact returns the node of the next domain in turn that assigned accepts.
func (t *domainTable) contact(assigned func(domain.FailureDomain) bool) (domain.NodeRef, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range t.order {
		t.nextTo = (t.nextTo + 1) % len(t.order)
		fd := t.order[t.nextTo]
		if !assigned(fd) {
			continue
		}
		if n, ok := t.records[fd].next(); ok {
			return n, true
		}
	}
	return domain.NodeRef{}, false
}

// next takes nodes of the sample and of the VM list in turn.
func (r *domainRecord) next() (domain.NodeRef, bool) {
	total := len(r.nodes) + len(r.seeds)
	if total == 0 {
		return domain.NodeRef{}, false
	}
	r.nextNode = (r.nextNode + 1) % total
	if len(r.nodes) > 0 && !r.nodes[0].bad() {
		return r.nodes[r.nextNode%len(r.nodes)].node, true
	}
	if r.nextNode < len(r.nodes) {
		return r.nodes[r.nextNode].node, true
	}
	return r.seeds[r.nextNode-len(r.nodes)], true
}

func (s sampleNode) bad() bool { return s.failed >= maxFailures }

// measured notes a round trip to a node of the domain.
func (t *domainTable) measured(fd domain.FailureDomain, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fd]
	if !ok {
		return
	}
	if !r.rttOwn {
		r.rtt = rtt
	}
	r.rttOwn = true
	r.rtt += time.Duration(rttWeight * float64(rtt-r.rtt))
}

// fail notes a failed heartbeat; a node that keeps failing goes to the end.
func (t *domainTable) fail(n domain.NodeRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[n.Place.FailureDomain]
	if !ok {
		return
	}
	i := slices.IndexFunc(r.nodes, func(s sampleNode) bool { return s.node.ID == n.ID })
	if i < 0 {
		return
	}
	s := r.nodes[i]
	s.failed++
	if s.bad() {
		r.nodes = append(slices.Delete(r.nodes, i, i+1), s)
		return
	}
	r.nodes[i] = s
}

// forget drops domains that neither the VM list nor a reading holds any more.
func (t *domainTable) forget(now time.Time, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fd, r := range t.records {
		if len(r.seeds) > 0 || now.Sub(r.heard) <= after {
			continue
		}
		delete(t.records, fd)
		if i, ok := slices.BinarySearch(t.order, fd); ok {
			t.order = slices.Delete(t.order, i, i+1)
		}
	}
}

func (r *domainRecord) refs() []domain.NodeRef {
	refs := make([]domain.NodeRef, 0, len(r.nodes))
	for _, s := range r.nodes {
		if !s.bad() {
			refs = append(refs, s.node)
		}
	}
	return refs
}

func compareTargets(a, b domain.Target) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// views returns the domains for a View, by name.
func (t *domainTable) views(now time.Time, unreachableAfter time.Duration) []Domain {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Domain, 0, len(t.order))
	for _, fd := range t.order {
		r := t.records[fd]
		d := Domain{
			Place:     r.place,
			Nodes:     r.refs(),
			LiveNodes: int(r.liveNodes),
			Heard:     r.heard,
			RTT:       r.rtt,
			Reachable: !r.heard.IsZero() && now.Sub(r.heard) <= unreachableAfter,
			Targets:   make([]TargetLoad, 0, len(r.targets)),
		}
		for _, rec := range r.targets {
			d.Targets = append(d.Targets, rec.load)
		}
		slices.SortFunc(d.Targets, func(a, b TargetLoad) int { return compareTargets(a.Target, b.Target) })
		all = append(all, d)
	}
	return all
}
