package upstreams

import (
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	// minSlowStartFraction is the usable fraction of the capacity at the beginning of
	// a slow start.
	minSlowStartFraction = 0.1
	maxPrefixes          = 2048
)

// upstream is the tracked state of one VM; its shard's lock guards it.
type upstream struct {
	ref       domain.UpstreamRef
	engine    bool
	lifecycle *fsm.FSM
	// liveSince is the time at which the slow start began; zero for none.
	liveSince time.Time
	// listedAt is when the VM list last contained the upstream, reportedAt when its
	// last load report was received.
	listedAt, reportedAt time.Time
	firstSeen            time.Time
	// sampledAt is the sample time of the load report.
	sampledAt time.Time
	report    domain.LoadReport
	// othersQueuedTokens is the number of queued prompt tokens in the report that
	// this node did not dispatch.
	othersQueuedTokens int
	work               workHistory
	peers              peers

	// leavingAnnounced is set once the VM list, the upstream or a peer reported that
	// the upstream is leaving.
	leavingAnnounced bool

	failures      int
	nextProbeAt   time.Time
	probeInterval time.Duration

	prefixes map[uint64]struct{}
	// cacheSequence is the sequence number of the last cache event received.
	cacheSequence uint64
}

func newUpstream(vm ports.VM, now time.Time, slow bool) *upstream {
	u := &upstream{
		ref:       domain.UpstreamRef{ID: domain.UpstreamID(vm.ID), Place: vm.Place, Address: vm.Address},
		engine:    vm.Role == ports.RoleEngine,
		lifecycle: newLifecycle(),
		listedAt:  now,
		firstSeen: now,
		work:      newWorkHistory(),
		peers:     newPeers(),
		prefixes:  make(map[uint64]struct{}),
	}
	if !u.engine {
		u.ref.Target = domain.Target{Kind: domain.TargetService, Name: vm.Target}
	}
	if slow {
		u.liveSince = now
	}
	return u
}

// observe records a load report. It returns false and ignores the load if the report is
// older than the previous one.
func (u *upstream) observe(rep domain.LoadReport, now time.Time) bool {
	sampledAt := now.Add(-rep.Age)
	u.reportedAt = now
	if sampledAt.Before(u.sampledAt) {
		return false
	}
	u.sampledAt = sampledAt
	u.report = rep
	u.report.Models = slices.Clone(rep.Models)
	u.othersQueuedTokens = max(rep.QueuedTokens-u.work.rebase(sampledAt), 0)
	u.peers.rebase(sampledAt)
	if u.engine && len(rep.Models) > 0 {
		u.ref.Target = domain.Target{Kind: domain.TargetModel, Name: rep.Models[0]}
	}
	return true
}

// leave records an announcement that the upstream is leaving.
func (u *upstream) leave() {
	u.leavingAnnounced = true
	u.transition(eventLeave)
}

func (u *upstream) targets() []domain.Target {
	if !u.engine {
		return []domain.Target{u.ref.Target}
	}
	targets := make([]domain.Target, 0, len(u.report.Models))
	for _, m := range u.report.Models {
		targets = append(targets, domain.Target{Kind: domain.TargetModel, Name: m})
	}
	return targets
}

// slowStart returns the usable fraction of the capacity.
func (u *upstream) slowStart(now time.Time, duration time.Duration) float64 {
	if u.liveSince.IsZero() {
		return 1
	}
	return min(max(now.Sub(u.liveSince).Seconds()/duration.Seconds(), minSlowStartFraction), 1)
}

// addPrefix records a cached prompt prefix and evicts an arbitrary one if there are
// too many.
func (u *upstream) addPrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	if len(u.prefixes) >= maxPrefixes {
		for old := range u.prefixes {
			delete(u.prefixes, old)
			break
		}
	}
	u.prefixes[prefix] = struct{}{}
}

// isPreferred reports whether rendezvous hashing assigns the upstream to this node
// among the live nodes of its failure domain.
func (u *upstream) isPreferred(now time.Time, o Options) bool {
	item := routing.HashKey(string(u.ref.ID))
	localWeight := routing.RendezvousWeight(item, routing.HashKey(string(o.Node)))
	for node, c := range u.peers.byNode {
		if now.Sub(c.lastSeen) <= o.PeerTTL && routing.RendezvousWeight(item, routing.HashKey(string(node))) > localWeight {
			return false
		}
	}
	return true
}

// estimateOthersQueue estimates the queued prompt tokens that this node did not
// dispatch. The report and the heartbeats are delayed and the upstream prefills in
// the meantime, unless prompts were waiting for a slot.
func (u *upstream) estimateOthersQueue(now time.Time) int {
	prefillRate := u.report.PrefillTokensPerSecond
	queued := float64(u.othersQueuedTokens)
	if u.report.Waiting == 0 {
		queued -= prefillRate * now.Sub(u.sampledAt).Seconds()
	}
	return int(max(queued, u.peers.pendingTokens(now, prefillRate), 0))
}

func (u *upstream) routing(now time.Time, o Options) routing.Upstream {
	prefixes := make([]uint64, 0, len(u.prefixes))
	for p := range u.prefixes {
		prefixes = append(prefixes, p)
	}
	return routing.Upstream{
		Ref:                    u.ref,
		Targets:                u.targets(),
		State:                  u.state(),
		Running:                u.report.Running,
		Waiting:                u.report.Waiting,
		Slots:                  u.report.Slots,
		OthersInFlight:         u.peers.inFlight(now, o.PeerTTL),
		OthersDeltaSinceReport: u.peers.changeSinceSample(now, o.PeerTTL),
		QueuedTokens:           u.estimateOthersQueue(now),
		PrefillTokensPerSecond: u.report.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  u.report.DecodeTokensPerSecond,
		CostPerMillionTokens:   u.report.CostPerMillionTokens,
		Preferred:              u.isPreferred(now, o),
		SlowStart:              u.slowStart(now, o.SlowStart),
		Prefixes:               prefixes,
		Work:                   u.work.counters,
	}
}
