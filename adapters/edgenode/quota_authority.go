package edgenode

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/boottime"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quota"
)

const (
	// electionInterval is how often a node looks whether the authority is lost, and
	// inactiveInterval how often it looks whether accounts have quotas.
	electionInterval = 100 * time.Millisecond
	inactiveInterval = time.Second
	// candidateDelay is how long after its start a node is no candidate: it may not know of
	// the authority, nor of larger nodes.
	candidateDelay = 2 * time.Second
	// electionRetryDelay is the time between two attempts of a node to become the authority.
	electionRetryDelay = time.Second
	// assumedLeaseAge is the time since the last renewal that is assumed for a lease that
	// was found in the store: another look follows within two seconds, unless the node that
	// holds it announces itself.
	assumedLeaseAge = 2 * time.Second
	// authorityHashKey is the key by which the candidates are ranked.
	authorityHashKey = 0x71756f7461617574
	// announcedPerRegion is the number of likely holders of a region that a new authority
	// contacts; the others learn of it by exchanges.
	announcedPerRegion = 2
)

// authorityEntry is the entry of the authority in the store.
type authorityEntry struct {
	Node        domain.NodeID      `json:"node"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Address     string             `json:"address"`
	// Era is the era of the store in which the entry was written.
	Era uint64 `json:"era"`
}

// election is what a node knows of its own term as the authority. Only the loop of the election
// and the shutdown use it.
type election struct {
	mu    sync.Mutex
	lease ports.Lease
	// revision is that of the entry.
	revision uint64
	// renewAt is when the lease is to be renewed, attemptAt when the node tries to become the
	// authority; zero if that is not decided.
	renewAt, attemptAt time.Duration
	// reclaimed is set once the node has looked for an entry of its former process, whose term
	// it continues without waiting for the end of the lease: after all processes were killed at
	// once no other node can begin one sooner.
	reclaimed bool
}

// runElection makes this node the authority when none acts and it is a candidate, and renews its
// lease, until ctx ends.
func (q *quotas) runElection(ctx context.Context) {
	for ctx.Err() == nil {
		if !q.active() {
			q.resign(ctx)
			sleep(ctx, inactiveInterval)
			continue
		}
		q.elect(ctx)
		q.connect()
		sleep(ctx, electionInterval)
	}
}

// connect keeps the connection open over which this node draws. The first requests of an account
// would otherwise wait for several round trips between regions, and be refused.
func (q *quotas) connect() {
	holder := q.regionHolder(boottime.Now())
	if holder.ID != q.node.settings.Node {
		q.node.mesh.KeepConnected(holder.PeerAddress)
		return
	}
	if a, known := q.view.Current(); known && a.Node != holder.ID {
		q.node.mesh.KeepConnected(a.Address)
	}
}

func (q *quotas) elect(ctx context.Context) {
	e := &q.election
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	if e.lease.ID != 0 {
		switch {
		case q.authority.Ended(now):
			q.lose("the lease was not renewed in time")
		case now >= e.renewAt && q.candidateRank() < 0:
			q.resignLocked(ctx, "this node drains, or a larger one is known")
		case now >= e.renewAt:
			e.renewAt = now + quota.RenewInterval
			q.renew(ctx)
		}
		return
	}
	if !e.reclaimed && q.node.members.State() == domain.NodeServing {
		e.reclaimed = true
		q.attempt(ctx, true)
		return
	}
	since, lost := q.view.Lost(now)
	if !lost {
		e.attemptAt = 0
		return
	}
	if e.attemptAt == 0 {
		rank := q.candidateRank()
		if rank < 0 {
			return
		}
		e.attemptAt = max(now, since) + quota.CandidateDelay(rank, rand.Float64())
	}
	if now >= e.attemptAt {
		e.attemptAt = now + time.Duration(rand.Float64()*float64(electionRetryDelay)) + electionRetryDelay
		q.attempt(ctx, false)
	}
}

// candidateRank returns this node's rank among the nodes of the largest capacity, -1 if it is not
// a candidate.
func (q *quotas) candidateRank() int {
	if q.node.members.State() != domain.NodeServing || time.Since(q.node.startedAt) < candidateDelay {
		return -1
	}
	s := q.node.settings
	list := slices.DeleteFunc(q.node.members.Alive(time.Now()), func(m peers.Member) bool { return m.State != domain.NodeServing })
	list = rankMembers(authorityHashKey, largest(append(list, peers.Member{ID: s.Node, Capacity: s.CPUCores})))
	return slices.IndexFunc(list, func(m peers.Member) bool { return m.ID == s.Node })
}

// rankMembers sorts members by rendezvous hash, highest first.
func rankMembers(key uint64, list []peers.Member) []peers.Member {
	weight := func(m *peers.Member) uint64 { return placement.RendezvousWeight(key, domain.UpstreamID(m.ID)) }
	slices.SortFunc(list, func(a, b peers.Member) int { return cmp.Compare(weight(&b), weight(&a)) })
	return list
}

// attempt makes this node the authority unless another one is; with onlyReclaim, only if its
// former process was.
func (q *quotas) attempt(ctx context.Context, onlyReclaim bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n := q.node
	n.metrics.Count("quota.elections", 1)
	key := n.deps.Documents.QuotaAuthorityKey()
	item, err := n.deps.Store.Get(ctx, key)
	n.health.recordOutcome(ctx, "read quota authority", err)
	if err != nil {
		return
	}
	replaceable, ended := q.replaceable(&item)
	if !replaceable || onlyReclaim && (item.Revision == 0 || !ended) {
		return
	}
	sentAt := boottime.Now()
	lease, err := n.deps.Store.GrantLease(ctx, max(quota.LeaseTTL, n.settings.MinLease))
	n.health.recordOutcome(ctx, "grant lease", err)
	if err != nil {
		return
	}
	self := quota.Announcement{Node: n.settings.Node, Address: n.settings.PeerAddress, Era: lease.Era}
	text, err := json.Marshal(authorityEntry{Node: self.Node, Incarnation: n.members.Incarnation(), Address: self.Address, Era: self.Era})
	if err == nil {
		self.Term, err = n.deps.Store.Put(ctx, key, text, lease, item.Revision)
	}
	if errors.Is(err, errkind.Of(errkind.Conflict)) || errors.Is(err, errkind.Of(errkind.NotFound)) {
		return // another node was faster, or the lease is gone
	}
	n.health.recordOutcome(ctx, "write quota authority", err)
	if err != nil {
		return // if it was written, the entry ends with its lease, which nobody renews
	}
	levels := q.lastLevels(ctx, self.Era)
	start := boottime.Now()
	if known, _ := q.view.Announcement(start); !ended || known.Term != 0 && known.Era < lease.Era {
		start += lease.TTL // the store lost the lease of the node before, which may not know it yet
	}
	e := &q.election
	e.lease, e.revision, e.renewAt, e.attemptAt = lease, self.Term, sentAt+quota.RenewInterval, 0
	q.authority.Begin(start, sentAt, lease.TTL, levels)
	self.Age = boottime.Now() - sentAt
	q.view.Merge(boottime.Now(), self)
	n.log.Log(event.QuotaAuthority, event.F("node", n.settings.Node), event.F("term", self.Term), event.F("era", self.Era), event.F("active", true), event.F("continued_accounts", len(levels)))
	q.announce()
}

// levelsTimeout limits the call to the last authority; the accounts wait for it.
const levelsTimeout = 300 * time.Millisecond

// lastLevels returns the levels of the last authority if it is known to have resigned.
func (q *quotas) lastLevels(ctx context.Context, era uint64) []quota.Level {
	last, _ := q.view.Announcement(boottime.Now())
	if last.Node != "" || last.Address == "" || last.Era != era {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, levelsTimeout)
	defer cancel()
	if last.Address == q.node.settings.PeerAddress {
		return q.node.HandOverQuota()
	}
	levels, err := q.node.mesh.QuotaLevels(ctx, last.Address)
	if err != nil {
		q.node.metrics.Count("quota.levels_failed", 1)
	}
	return levels
}

// replaceable reports whether this node may replace an entry: if there is none, if it is of an
// earlier era of the store, in which case nobody renews its lease, or if this node's former
// process wrote it. ended is set if the process that wrote it is certain to grant nothing any
// more. Any other entry is applied.
func (q *quotas) replaceable(item *ports.Item) (replaceable, ended bool) {
	if item.Revision == 0 {
		return true, true
	}
	var entry authorityEntry
	if err := json.Unmarshal(item.Value, &entry); err != nil {
		q.node.log.Log(event.InstanceRefused, event.F("key", item.Key), event.F("error", err))
		return false, false
	}
	switch {
	case entry.Era < q.node.era.latest():
		return true, false // the store may have lost the entry of a later authority
	case entry.Node == q.node.settings.Node && entry.Incarnation < q.node.members.Incarnation():
		return true, true
	}
	q.view.Merge(boottime.Now(), quota.Announcement{Node: entry.Node, Address: entry.Address, Era: entry.Era, Term: item.Revision, Age: assumedLeaseAge})
	return false, false
}

// renewTimeout limits a renewal, so that there are three within the lease.
const renewTimeout = 800 * time.Millisecond

// renew renews the lease. A failure says little of the store, as the time is short.
func (q *quotas) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	e := &q.election
	sentAt := boottime.Now()
	err := q.node.deps.Store.KeepAlive(ctx, e.lease)
	if errors.Is(err, errkind.Of(errkind.NotFound)) {
		q.lose("the store has no such lease")
		return
	}
	if err != nil {
		q.node.metrics.Count("quota.renewals_failed", 1)
		return
	}
	now := boottime.Now()
	q.authority.Renew(now, sentAt, e.lease.TTL)
	q.view.Merge(now, quota.Announcement{Node: q.node.settings.Node, Address: q.node.settings.PeerAddress, Era: e.lease.Era, Term: e.revision, Age: now - sentAt})
}

// lose ends the term of this node.
func (q *quotas) lose(why string) {
	q.authority.End()
	q.forgetTerm(why)
}

// forgetTerm records that this node is not the authority any more.
func (q *quotas) forgetTerm(why string) {
	e := &q.election
	q.view.Forget(boottime.Now(), e.revision)
	q.node.log.Log(event.QuotaAuthority, event.F("node", q.node.settings.Node), event.F("term", e.revision), event.F("active", false), event.F("why", why))
	e.lease, e.revision = ports.Lease{}, 0
}

// resign ends the term of this node, if it has one, so that another one may begin at once.
func (q *quotas) resign(ctx context.Context) {
	if q == nil {
		return
	}
	e := &q.election
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease.ID != 0 {
		q.resignLocked(ctx, "the node stops, or no account has a quota")
	}
}

// resignLocked does the same for a caller that holds the lock of the election.
func (q *quotas) resignLocked(ctx context.Context, why string) {
	e := &q.election
	era, term := e.lease.Era, e.revision
	q.authority.Resign(boottime.Now())
	q.forgetTerm(why)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := q.node.deps.Store.Delete(ctx, q.node.deps.Documents.QuotaAuthorityKey(), term); err != nil {
		q.node.log.Log(event.PlatformFailed, event.F("call", "delete quota authority"), event.F("error", err))
		return
	}
	q.view.Merge(boottime.Now(), quota.Announcement{Address: q.node.settings.PeerAddress, Era: era, Term: term})
	q.announce()
}

// announce tells the likely holders of each region of the authority.
func (q *quotas) announce() {
	n := q.node
	for _, region := range n.settings.regions() {
		ranked := rankMembers(holderHashKey, largest(n.members.Targets(time.Now(), region)))
		for _, m := range ranked[:min(announcedPerRegion, len(ranked))] {
			go n.exchange(context.Background(), m)
		}
	}
}
