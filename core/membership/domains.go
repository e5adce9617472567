package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// rttGain is the weight of a measurement in the round-trip time average.
	rttGain = 0.2
	// maxFailures is the number of consecutive failed heartbeats after which a node
	// is no longer offered in the sample of its domain.
	maxFailures = 2
	// maxRelayedDomains limits the failure domains in one heartbeat.
	maxRelayedDomains = 6
	// maxDetailedDomains limits the relayed domains that include target loads.
	maxDetailedDomains = 3
	// minAdvancePerDomain, times the number of domains, is the minimum advance of a
	// report's time that is relayed as a change. With a smaller advance, changes would
	// crowd each other out.
	minAdvancePerDomain = 250 * time.Millisecond
	// detailInterval is the interval, in heartbeats, at which the nodes of a domain
	// are included.
	detailInterval = 4
	// maxDetailNodes limits the serving nodes in such a heartbeat.
	maxDetailNodes = 2
	// maxPlausibleRTT limits a relayed round-trip time.
	maxPlausibleRTT = 10 * time.Second
)

// targetRecord is the newest reported load of one target.
type targetRecord struct {
	load     TargetLoad
	priority relayPriority
}

// sampleNode is a node of another domain to which requests can be forwarded.
type sampleNode struct {
	node     domain.NodeRef
	failures int
}

// domainRecord is a node's information about another failure domain.
type domainRecord struct {
	place        domain.Place
	sequence     uint64
	reportedAt   time.Time // origin time of the newest report by a node of the domain
	lastChangeAt time.Time // reportedAt when it last counted as a change
	rtt          time.Duration
	rttMeasured  bool // measured by this node
	liveNodes    uint32
	targets      map[domain.Target]*targetRecord
	nodes        []sampleNode
	seeds        []domain.NodeRef // from the VM list
	nextNode     int
	priority     relayPriority
	// draining holds nodes that announced that they are draining, newest first.
	draining []domain.NodeRef
}

// domainTable holds the other failure domains under one lock.
type domainTable struct {
	mu            sync.Mutex
	records       map[domain.FailureDomain]*domainRecord
	order         []domain.FailureDomain
	nextDomain    int
	nextDetailed  int
	relayMessages int
	relaySequence uint64 // number of relayed items, to order priorities
	maxNodes      int    // maximum size of a sample of nodes
}

func newDomainTable(maxNodes int) *domainTable {
	return &domainTable{records: make(map[domain.FailureDomain]*domainRecord), maxNodes: maxNodes}
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

// merge applies a report, direct or relayed. For each target the highest sequence
// wins, so that reordered and repeated messages have no effect. A relayed report
// updates the domain's age only if its sequence is higher, so that circular relays
// do not refresh it.
func (t *domainTable) merge(now time.Time, d DomainLoad, direct bool) {
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
		r.mergeTarget(load)
	}
	if d.RTTMicros != 0 && !r.rttMeasured {
		r.rtt = min(time.Duration(d.RTTMicros)*time.Microsecond, maxPlausibleRTT)
	}
	if len(d.Nodes) > 0 && (direct || d.Sequence > r.sequence || len(r.nodes) == 0) {
		r.mergeNodes(d.Nodes, t.maxNodes)
	}
	if !direct && d.Sequence <= r.sequence {
		return
	}
	reportedAt := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	if reportedAt.After(r.reportedAt) {
		r.reportedAt = reportedAt
	}
	if reportedAt.Sub(r.lastChangeAt) > minAdvancePerDomain*time.Duration(len(t.order)) {
		r.lastChangeAt = reportedAt
		r.priority.relayCount = 0
	}
	if d.Sequence > r.sequence {
		r.sequence = d.Sequence
	}
	if d.LiveNodes > 0 {
		r.liveNodes = d.LiveNodes
	}
}

func (r *domainRecord) mergeTarget(load TargetLoad) {
	known, ok := r.targets[load.Target]
	if !ok {
		r.targets[load.Target] = &targetRecord{load: load}
		return
	}
	if load.Sequence <= known.load.Sequence {
		return
	}
	withoutChange := known.load
	withoutChange.Sequence = load.Sequence
	if withoutChange != load {
		known.priority.relayCount = 0
	}
	known.load = load
}

// mergeNodes puts the nodes of a report in front of the known ones. Draining nodes are
// stored separately, so that their state is relayed.
func (r *domainRecord) mergeNodes(nodes []domain.NodeRef, limit int) {
	merged := make([]sampleNode, 0, limit)
	for _, n := range nodes {
		if n.State == domain.NodeServing || n.State == "" {
			merged = append(merged, sampleNode{node: n})
		}
	}
	r.mergeDraining(nodes, limit)
	for _, old := range r.nodes {
		mentioned := slices.ContainsFunc(nodes, func(n domain.NodeRef) bool {
			return n.ID == old.node.ID || n.PeerAddress == old.node.PeerAddress
		})
		if !mentioned {
			merged = append(merged, old)
		}
	}
	merged = slices.DeleteFunc(merged, func(s sampleNode) bool { return r.isDraining(s.node) })
	r.nodes = merged[:min(limit, len(merged))]
}

// mergeDraining puts the draining nodes of a report in front of the known ones. A new
// process of a node replaces the draining one.
func (r *domainRecord) mergeDraining(nodes []domain.NodeRef, limit int) {
	merged := draining(nodes)
	for _, old := range r.draining {
		mentioned := slices.ContainsFunc(nodes, func(n domain.NodeRef) bool {
			return n.ID == old.ID && (n.State == domain.NodeDraining || n.Incarnation != old.Incarnation)
		})
		if !mentioned {
			merged = append(merged, old)
		}
	}
	r.draining = merged[:min(limit, len(merged))]
}

// isDraining reports whether this incarnation of a node is known to be draining. It
// never serves again, whatever state late messages contain.
func (r *domainRecord) isDraining(n domain.NodeRef) bool {
	return slices.ContainsFunc(r.draining, func(d domain.NodeRef) bool {
		return d.ID == n.ID && d.Incarnation == n.Incarnation
	})
}

// setSeeds sets the nodes of all other domains from the VM list.
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

// nextContact returns a node of the next domain in the rotation that assigned accepts.
func (t *domainTable) nextContact(assigned func(domain.FailureDomain) bool) (domain.NodeRef, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range t.order {
		t.nextDomain = (t.nextDomain + 1) % len(t.order)
		fd := t.order[t.nextDomain]
		if !assigned(fd) {
			continue
		}
		if n, ok := t.records[fd].nextContact(); ok {
			return n, true
		}
	}
	return domain.NodeRef{}, false
}

// nextContact rotates through the sample as long as its first node responds, and
// otherwise through the sample and the nodes of the VM list.
func (r *domainRecord) nextContact() (domain.NodeRef, bool) {
	total := len(r.nodes) + len(r.seeds)
	if total == 0 {
		return domain.NodeRef{}, false
	}
	r.nextNode = (r.nextNode + 1) % total
	if len(r.nodes) > 0 && !r.nodes[0].failing() {
		return r.nodes[r.nextNode%len(r.nodes)].node, true
	}
	if r.nextNode < len(r.nodes) {
		return r.nodes[r.nextNode].node, true
	}
	return r.seeds[r.nextNode-len(r.nodes)], true
}

func (s sampleNode) failing() bool { return s.failures >= maxFailures }

// updateRTT applies a measured round-trip time to a node of the domain.
func (t *domainTable) updateRTT(fd domain.FailureDomain, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fd]
	if !ok {
		return
	}
	if !r.rttMeasured {
		r.rtt = rtt
	}
	r.rttMeasured = true
	r.rtt += time.Duration(rttGain * float64(rtt-r.rtt))
}

// recordFailure records a failed heartbeat; a node that keeps failing is moved to the
// end of the sample.
func (t *domainTable) recordFailure(n domain.NodeRef) {
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
	s.failures++
	if s.failing() {
		r.nodes = append(slices.Delete(r.nodes, i, i+1), s)
		return
	}
	r.nodes[i] = s
}

// expire removes domains that are not in the VM list and have not reported for the
// given time.
func (t *domainTable) expire(now time.Time, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fd, r := range t.records {
		if len(r.seeds) > 0 || now.Sub(r.reportedAt) <= after {
			continue
		}
		delete(t.records, fd)
		if i, ok := slices.BinarySearch(t.order, fd); ok {
			t.order = slices.Delete(t.order, i, i+1)
		}
	}
}

func (r *domainRecord) reachableNodes() []domain.NodeRef {
	nodes := make([]domain.NodeRef, 0, len(r.nodes))
	for _, s := range r.nodes {
		if !s.failing() {
			nodes = append(nodes, s.node)
		}
	}
	return nodes
}

func compareTargets(a, b domain.Target) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// views returns the domains for a View, sorted by name.
func (t *domainTable) views(now time.Time, unreachableAfter time.Duration) []Domain {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Domain, 0, len(t.order))
	for _, fd := range t.order {
		r := t.records[fd]
		d := Domain{
			Place:      r.place,
			Nodes:      r.reachableNodes(),
			LiveNodes:  int(r.liveNodes),
			ReportedAt: r.reportedAt,
			RTT:        r.rtt,
			Reachable:  !r.reportedAt.IsZero() && now.Sub(r.reportedAt) <= unreachableAfter,
			Targets:    make([]TargetLoad, 0, len(r.targets)),
		}
		for _, target := range r.targets {
			d.Targets = append(d.Targets, target.load)
		}
		slices.SortFunc(d.Targets, func(a, b TargetLoad) int { return compareTargets(a.Target, b.Target) })
		all = append(all, d)
	}
	return all
}
