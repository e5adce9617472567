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

// Tracker holds the upstreams of the own failure domain. It is safe for
// concurrent use.
type Tracker struct {
	options Options
	shards  [shardCount]shard
	// ejecting serialises ejections, whose floor looks at every shard.
	ejecting sync.Mutex
	// listing serialises readings of the VM list.
	listing sync.Mutex
	listed  bool
}

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

// with runs f on an upstream under its shard's lock; false if it is unknown.
func (t *Tracker) with(id domain.UpstreamID, f func(u *upstream)) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.byID[id]
	if ok {
		f(u)
	}
	return ok
}

// each runs f on every upstream under its shard's lock, shard by shard.
func (t *Tracker) each(f func(s *shard, u *upstream)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, u := range s.byID {
			f(s, u)
		}
		s.mu.Unlock()
	}
}

// ObserveReport takes a load report. It fails with kind not_found if the
// upstream is not tracked, and with kind conflict if the report's own name
// differs: the address was given to another VM.
func (t *Tracker) ObserveReport(now time.Time, id domain.UpstreamID, rep domain.LoadReport) error {
	if rep.Upstream != "" && rep.Upstream != id {
		return errkind.New(errkind.Conflict, "the report of upstream %q came from %q", id, rep.Upstream)
	}
	known := t.with(id, func(u *upstream) {
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

// ObserveLeaving marks an upstream as leaving, whoever said so.
func (t *Tracker) ObserveLeaving(id domain.UpstreamID) {
	t.with(id, func(u *upstream) { u.leave() })
}

// ObserveCache takes cache events of an engine and returns the sequence number
// to ask after next.
func (t *Tracker) ObserveCache(id domain.UpstreamID, events []ports.CacheEvent) uint64 {
	var next uint64
	t.with(id, func(u *upstream) {
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
	u.remember(e.Prefix)
}

// ObservePeer takes what another node of the domain has in flight. A heartbeat
// names a part of its upstreams: what was heard of the others holds for PeerTTL. A
// peer's suspicion is its own: only its word that an upstream is leaving is taken
// over.
func (t *Tracker) ObservePeer(now time.Time, node domain.NodeID, loads []PeerLoad) {
	byID := make(map[domain.UpstreamID]PeerLoad, len(loads))
	for _, l := range loads {
		byID[l.Upstream] = l
	}
	t.each(func(_ *shard, u *upstream) {
		l, named := byID[u.ref.ID]
		if !named {
			u.others.hear(node, now)
			return
		}
		u.others.observe(node, l, now, t.options.PeerTTL)
		if l.Leaving {
			u.leave()
		}
	})
}

// ForgetPeer drops the counts of a node that has left.
func (t *Tracker) ForgetPeer(node domain.NodeID) {
	t.each(func(_ *shard, u *upstream) { u.others.forget(node) })
}

// PeerLoads returns this node's own work, for its heartbeats, ordered by id.
// Upstreams without work for PeerTTL are left out unless leaving or suspect.
func (t *Tracker) PeerLoads(now time.Time) []PeerLoad {
	var loads []PeerLoad
	t.each(func(_ *shard, u *upstream) {
		l := PeerLoad{
			Upstream:      u.ref.ID,
			InFlight:      u.work.own.InFlight(),
			PendingTokens: max(u.work.own.PendingTokens(), 0),
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

// Refs returns the upstreams whose load should be asked for, ordered by id.
func (t *Tracker) Refs() []domain.UpstreamRef {
	var refs []domain.UpstreamRef
	t.each(func(_ *shard, u *upstream) { refs = append(refs, u.ref) })
	sortRefs(refs)
	return refs
}

// State returns an upstream's state; gone if it is not tracked.
func (t *Tracker) State(id domain.UpstreamID) domain.UpstreamState {
	state := domain.UpstreamGone
	t.with(id, func(u *upstream) { state = u.state() })
	return state
}

// AppendTo adds the upstreams to a routing snapshot, ordered by id.
func (t *Tracker) AppendTo(now time.Time, b *routing.Builder) {
	for _, u := range t.routing(now) {
		b.AddUpstream(u)
	}
}

func (t *Tracker) routing(now time.Time) []routing.Upstream {
	var all []routing.Upstream
	t.each(func(_ *shard, u *upstream) { all = append(all, u.routing(now, t.options)) })
	slices.SortFunc(all, func(a, b routing.Upstream) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return all
}

func sortRefs(refs []domain.UpstreamRef) {
	slices.SortFunc(refs, func(a, b domain.UpstreamRef) int { return cmp.Compare(a.ID, b.ID) })
}
