package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/membership"
)

// maxFirstPolls is the maximum number of upstreams that are polled for the first
// time in one round.
const maxFirstPolls = 32

// upstreamState is the state that the load loop keeps for one upstream.
type upstreamState struct {
	// state is the last state that was logged.
	state domain.UpstreamState
	// cacheSequence is the sequence number after which cache events are requested next.
	cacheSequence uint64
	// polled is set once the upstream was polled.
	polled bool
	// reportedAt is the time of the latest load report; zero if there is none.
	reportedAt time.Time
}

// upstreamStates holds the state for each upstream of this node's failure domain.
type upstreamStates struct {
	mu     sync.Mutex
	states map[domain.UpstreamID]*upstreamState
}

// update changes the state of one upstream under the lock.
func (u *upstreamStates) update(id domain.UpstreamID, change func(*upstreamState)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.states == nil {
		u.states = make(map[domain.UpstreamID]*upstreamState)
	}
	if u.states[id] == nil {
		u.states[id] = &upstreamState{}
	}
	change(u.states[id])
}

// get returns a copy of the state of one upstream.
func (u *upstreamStates) get(id domain.UpstreamID) upstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	if st := u.states[id]; st != nil {
		return *st
	}
	return upstreamState{}
}

// changed records a state and reports whether it differs from the last one.
func (u *upstreamStates) changed(id domain.UpstreamID, s domain.UpstreamState) (changed bool) {
	u.update(id, func(st *upstreamState) { changed, st.state = st.state != s, s })
	return changed
}

// takeUnpolled removes the state of upstreams that are not in refs. It returns up to
// maxFirstPolls of refs that were not polled yet, and marks them as polled.
func (u *upstreamStates) takeUnpolled(refs []domain.UpstreamRef) []domain.UpstreamRef {
	u.mu.Lock()
	defer u.mu.Unlock()
	var unpolled []domain.UpstreamRef
	retained := make(map[domain.UpstreamID]*upstreamState, len(refs))
	for _, ref := range refs {
		st := u.states[ref.ID]
		if st == nil {
			st = &upstreamState{}
		}
		retained[ref.ID] = st
		if !st.polled && len(unpolled) < maxFirstPolls {
			st.polled = true
			unpolled = append(unpolled, ref)
		}
	}
	u.states = retained
	return unpolled
}

// reportAgeMS returns the age of the latest load report in milliseconds, or -1 if
// there is none.
func (u *upstreamStates) reportAgeMS(now time.Time, id domain.UpstreamID) int64 {
	reportedAt := u.get(id).reportedAt
	if reportedAt.IsZero() {
		return -1
	}
	return now.Sub(reportedAt).Milliseconds()
}

// loadLoop polls the upstreams for their load, at a limited rate; upstreams that were
// not polled yet are polled first and immediately.
func (n *Node) loadLoop(ctx context.Context) {
	next := 0
	every(ctx, loadInterval/loadPollsPerSecond, func(now time.Time) {
		refs := n.tracker.Refs()
		for _, ref := range n.upstreamStates.takeUnpolled(refs) {
			n.background.Go(func() { n.pollLoad(ctx, ref) })
		}
		if len(refs) > 0 {
			ref := refs[next%len(refs)]
			next++
			n.background.Go(func() { n.pollLoad(ctx, ref) })
		}
		for _, ref := range n.tracker.DueProbes(now) {
			n.background.Go(func() { n.probe(ctx, ref) })
		}
	})
}

// loadSettled reports whether the node knows where requests can run: every upstream
// of this node's failure domain has reported what it serves, or the VM list has none
// there and the load of another failure domain is known.
func (n *Node) loadSettled() bool {
	if n.knowsOwnLoad() {
		return true
	}
	return n.vms.Load() != nil && len(n.tracker.Refs()) == 0 && n.loadedDomains() > 0
}

// loadedDomains returns the number of other failure domains whose load is in the
// routing snapshot.
func (n *Node) loadedDomains() int {
	s, loaded := n.snapshot.Load(), 0
	for _, d := range n.group.View().OtherDomains {
		inSnapshot := func(t membership.TargetLoad) bool { return s.HasTarget(t.Target) }
		if d.Reachable && slices.ContainsFunc(d.Targets, inSnapshot) {
			loaded++
		}
	}
	return loaded
}

// knowsOwnLoad reports whether this node's failure domain has upstreams and all of
// them have reported what they serve.
func (n *Node) knowsOwnLoad() bool {
	s := n.snapshot.Load()
	for i := range int32(s.UpstreamCount()) {
		if u := s.Upstream(i); len(u.Targets) == 0 || u.Slots == 0 {
			return false
		}
	}
	return s.UpstreamCount() > 0
}

// load requests the load report of an upstream.
func (n *Node) load(ctx context.Context, ref domain.UpstreamRef) (domain.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if ref.Target.Kind == domain.TargetService {
		return n.service.Load(ctx, ref)
	}
	return n.engine.Load(ctx, ref)
}

// pollLoad requests and records the load of an upstream, and the cache events of an
// engine.
func (n *Node) pollLoad(ctx context.Context, ref domain.UpstreamRef) {
	report, err := n.load(ctx, ref)
	if err != nil {
		if ctx.Err() == nil {
			n.tracker.RecordFailure(time.Now(), ref.ID)
		}
		n.logStateChange(ref.ID)
		return
	}
	n.upstreamStates.update(ref.ID, func(u *upstreamState) { u.reportedAt = time.Now().Add(-report.Age) })
	if err := n.tracker.ObserveReport(time.Now(), ref.ID, report); err != nil {
		n.tracker.ObserveLeaving(ref.ID)
	}
	n.logStateChange(ref.ID)
	if ref.Target.Kind != domain.TargetService {
		n.pollCache(ctx, ref)
	}
}

// pollCache requests and records the cache events of an engine.
func (n *Node) pollCache(ctx context.Context, ref domain.UpstreamRef) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	events, err := n.engine.CacheEvents(ctx, ref, n.upstreamStates.get(ref.ID).cacheSequence)
	if err == nil && len(events) > 0 {
		next := n.tracker.ObserveCache(ref.ID, events)
		n.upstreamStates.update(ref.ID, func(u *upstreamState) { u.cacheSequence = next })
	}
}

// probe checks whether an upstream responds.
func (n *Node) probe(ctx context.Context, ref domain.UpstreamRef) {
	_, err := n.load(ctx, ref)
	n.tracker.ObserveProbe(time.Now(), ref.ID, err == nil)
	n.logStateChange(ref.ID)
}

// logStateChange logs the state of an upstream if it changed.
func (n *Node) logStateChange(id domain.UpstreamID) {
	state := n.tracker.State(id)
	if n.upstreamStates.changed(id, state) {
		n.log.Log(event.UpstreamChanged, event.F("upstream", id), event.F("state", state))
	}
}
