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
	// minSlowStartShare is the share of its capacity that an upstream starts with.
	minSlowStartShare = 0.1
	maxPrefixes       = 2048
)

// upstream is the tracked state of one VM; its shard's lock guards it.
type upstream struct {
	ref    domain.UpstreamRef
	engine bool
	cycle  *fsm.FSM
	// liveSince starts the slow start; zero for none.
	liveSince time.Time
	// listedAt and reportedAt are when the VM list or a report last had it.
	listedAt, reportedAt time.Time
	firstSeen            time.Time
	// reading is the moment that the report describes.
	reading time.Time
	report  domain.LoadReport
	// backlog is the report's prompt tokens that were not this node's own.
	backlog int
	work    journal
	others  peers

	// told is set once the list, the upstream or a peer said that it is leaving.
	told bool

	failures      int
	probeAt       time.Time
	probeInterval time.Duration

	prefixes map[uint64]struct{}
	// cacheSequence is the last cache event seen.
	cacheSequence uint64
}

func newUpstream(vm ports.VM, now time.Time, slow bool) *upstream {
	u := &upstream{
		ref:       domain.UpstreamRef{ID: domain.UpstreamID(vm.ID), Place: vm.Place, Address: vm.Address},
		engine:    vm.Role == ports.RoleEngine,
		cycle:     newLifeCycle(),
		listedAt:  now,
		firstSeen: now,
		work:      newJournal(),
		others:    newPeers(),
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

func (u *upstream) observe(rep domain.LoadReport, now time.Time) bool {
	reading := now.Add(-rep.Age)
	u.reportedAt = now
	if reading.Before(u.reading) {
		return false
	}
	u.reading = reading
	u.report = rep
	u.report.Models = slices.Clone(rep.Models)
	u.backlog = max(rep.QueuedTokens-u.work.rebase(reading), 0)
	u.others.rebase(reading)
	if u.engine && len(rep.Models) > 0 {
		u.ref.Target = domain.Target{Kind: domain.TargetModel, Name: rep.Models[0]}
	}
	return true
}

// leave takes someone's word that the upstream is leaving.
func (u *upstream) leave() {
	u.told = true
	u.apply(eventLeave)
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

// slowStart returns the usable share of the capacity.
func (u *upstream) slowStart(now time.Time, ramp time.Duration) float64 {
	if u.liveSince.IsZero() {
		return 1
	}
	return min(max(now.Sub(u.liveSince).Seconds()/ramp.Seconds(), minSlowStartShare), 1)
}

func (u *upstream) remember(prefix uint64) {
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

// preferredBy tells if this node is the one of its domain's that the upstream
// falls to by rendezvous hashing.
func (u *upstream) preferredBy(now time.Time, o Options) bool {
	item := routing.HashKey(string(u.ref.ID))
	own := routing.Rendezvous(item, routing.HashKey(string(o.Node)))
	for node, c := range u.others.byNode {
		if now.Sub(c.heard) <= o.PeerTTL && routing.Rendezvous(item, routing.HashKey(string(node))) > own {
			return false
		}
	}
	return true
}

// othersBacklog estimates the prompt tokens ahead that are not this node's own:
// the report and the heartbeats lag, and the upstream prefills meanwhile, unless
// prompts waited for a slot.
func (u *upstream) othersBacklog(now time.Time) int {
	speed := u.report.PrefillTokensPerSecond
	reported := float64(u.backlog)
	if u.report.Waiting == 0 {
		reported -= speed * now.Sub(u.reading).Seconds()
	}
	return int(max(reported, u.others.backlog(now, speed), 0))
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
		OthersInFlight:         u.others.inFlight(now, o.PeerTTL),
		OthersSinceReport:      u.others.sinceReading(now, o.PeerTTL),
		QueuedTokens:           u.othersBacklog(now),
		PrefillTokensPerSecond: u.report.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  u.report.DecodeTokensPerSecond,
		CostPerMillionTokens:   u.report.CostPerMillionTokens,
		Preferred:              u.preferredBy(now, o),
		SlowStart:              u.slowStart(now, o.SlowStart),
		Prefixes:               prefixes,
		Own:                    u.work.own,
	}
}
