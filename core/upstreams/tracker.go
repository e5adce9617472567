package upstreams

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
)

const shardCount = 16

// Tracker tracks the upstreams of the node's failure domain. It is safe for
// concurrent use.
type Tracker struct {
	options Options
	shards  [shardCount]shard
	// ejectMu serializes ejections, because the limit depends on all shards.
	ejectMu sync.Mutex
	// listMu serializes updates from the VM list and guards listSeen.
	listMu sync.Mutex
	// listSeen is set after the first VM list that contains upstreams.
	listSeen bool
}

// shard holds a part of the upstreams, guarded by mu.
type shard struct {
	mu         sync.Mutex
	byID       map[domain.UpstreamID]*upstream
	tombstones map[domain.UpstreamID]time.Time
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	t := &Tracker{options: o.withDefaults()}
	for i := range t.shards {
		t.shards[i].byID = make(map[domain.UpstreamID]*upstream)
		t.shards[i].tombstones = make(map[domain.UpstreamID]time.Time)
	}
	return t
}

func (t *Tracker) shard(id domain.UpstreamID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// withUpstream calls f with an upstream while holding its shard's lock. It returns
// false if the upstream is not tracked.
func (t *Tracker) withUpstream(id domain.UpstreamID, f func(u *upstream)) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.byID[id]
	if ok {
		f(u)
	}
	return ok
}

// forEach calls f with every upstream while holding its shard's lock, one shard
// after the other.
func (t *Tracker) forEach(f func(s *shard, u *upstream)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, u := range s.byID {
			f(s, u)
		}
		s.mu.Unlock()
	}
}

// ObserveReport records a load report. It fails with kind not_found if the upstream
// is not tracked, and with kind conflict if the report is from another upstream
// because the address was reassigned to another VM.
func (t *Tracker) ObserveReport(now time.Time, id domain.UpstreamID, rep domain.LoadReport) error {
	if rep.Upstream != "" && rep.Upstream != id {
		return errkind.New(errkind.Conflict, "load report for upstream %q was sent by %q", id, rep.Upstream)
	}
	known := t.withUpstream(id, func(u *upstream) {
		u.observe(rep, now)
		if rep.Leaving {
			u.leave()
		}
	})
	if !known {
		return errkind.New(errkind.NotFound, "upstream %q is not tracked", id)
	}
	return nil
}

// ObserveLeaving records an announcement, from any source, that an upstream is leaving.
func (t *Tracker) ObserveLeaving(id domain.UpstreamID) {
	t.withUpstream(id, func(u *upstream) { u.leave() })
}

// ObserveCache records cache events of an engine and returns the sequence number
// after which to request the next events.
func (t *Tracker) ObserveCache(id domain.UpstreamID, events []ports.CacheEvent) uint64 {
	var next uint64
	t.withUpstream(id, func(u *upstream) {
		for _, e := range events {
			u.observeCache(e)
		}
		next = u.cacheSequence
	})
	return next
}

func (u *upstream) observeCache(e ports.CacheEvent) {
	if e.Sequence <= u.cacheSequence {
		return
	}
	u.cacheSequence = e.Sequence
	if e.Evicted {
		delete(u.prefixes, e.Prefix)
		return
	}
	u.addPrefix(e.Prefix)
}

// ObservePeer records the requests that another node of the failure domain has in
// flight. A heartbeat contains only some of the upstreams; the earlier counts of the
// others remain valid for PeerTTL. Of the states that a peer reports, leaving is
// adopted and suspect is not.
func (t *Tracker) ObservePeer(now time.Time, node domain.NodeID, loads []PeerLoad) {
	byID := make(map[domain.UpstreamID]PeerLoad, len(loads))
	for _, l := range loads {
		byID[l.Upstream] = l
	}
	t.forEach(func(_ *shard, u *upstream) {
		l, named := byID[u.ref.ID]
		if !named {
			u.peers.observeAlive(node, now)
			return
		}
		u.peers.observe(node, l, now, t.options.PeerTTL)
		if l.Leaving {
			u.leave()
		}
	})
}

// RemovePeer removes the counts of a node that has left.
func (t *Tracker) RemovePeer(node domain.NodeID) {
	t.forEach(func(_ *shard, u *upstream) { u.peers.removeNode(node) })
}

// PeerLoads returns the work of this node for its heartbeats, ordered by id.
// Upstreams without work for PeerTTL are omitted unless they are leaving or suspect.
func (t *Tracker) PeerLoads(now time.Time) []PeerLoad {
	var loads []PeerLoad
	t.forEach(func(_ *shard, u *upstream) {
		l := PeerLoad{
			Upstream:      u.ref.ID,
			InFlight:      u.work.counters.InFlight(),
			PendingTokens: max(u.work.counters.PendingTokens(), 0),
			Leaving:       u.state() == domain.UpstreamLeaving,
			Suspect:       u.state() == domain.UpstreamSuspect,
		}
		if l.InFlight > 0 || u.work.changedSince(now.Add(-t.options.PeerTTL)) || l.Leaving || l.Suspect {
			loads = append(loads, l)
		}
	})
	slices.SortFunc(loads, func(a, b PeerLoad) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return loads
}

// Refs returns the upstreams to request load reports from, ordered by id.
func (t *Tracker) Refs() []domain.UpstreamRef {
	var refs []domain.UpstreamRef
	t.forEach(func(_ *shard, u *upstream) { refs = append(refs, u.ref) })
	sortRefs(refs)
	return refs
}

// State returns the state of an upstream; gone if it is not tracked.
func (t *Tracker) State(id domain.UpstreamID) domain.UpstreamState {
	state := domain.UpstreamGone
	t.withUpstream(id, func(u *upstream) { state = u.state() })
	return state
}

// AppendTo adds the upstreams to the builder of a routing snapshot, ordered by id.
func (t *Tracker) AppendTo(now time.Time, b *routing.Builder) {
	for _, u := range t.routing(now) {
		b.AddUpstream(u)
	}
}

func (t *Tracker) routing(now time.Time) []routing.Upstream {
	var all []routing.Upstream
	t.forEach(func(_ *shard, u *upstream) { all = append(all, u.routing(now, t.options)) })
	slices.SortFunc(all, func(a, b routing.Upstream) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return all
}

func sortRefs(refs []domain.UpstreamRef) {
	slices.SortFunc(refs, func(a, b domain.UpstreamRef) int { return cmp.Compare(a.ID, b.ID) })
}
