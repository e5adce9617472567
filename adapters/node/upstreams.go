package node

import (
	"context"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// upstreamHealth remembers what was logged of each upstream, and the cache
// events read so far.
type upstreamHealth struct {
	mu     sync.Mutex
	states map[domain.UpstreamID]domain.UpstreamState
	events map[domain.UpstreamID]uint64
	asked  map[domain.UpstreamID]bool
}

// maxFirstPolls bounds the upstreams that are asked for the first time at once.
const maxFirstPolls = 32

// neverAsked returns up to limit upstreams that were not asked for their load
// yet and marks them as asked.
func (h *upstreamHealth) neverAsked(refs []domain.UpstreamRef, limit int) []domain.UpstreamRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.asked == nil {
		h.asked = make(map[domain.UpstreamID]bool)
	}
	var fresh []domain.UpstreamRef
	for _, ref := range refs {
		if !h.asked[ref.ID] && len(fresh) < limit {
			h.asked[ref.ID] = true
			fresh = append(fresh, ref)
		}
	}
	return fresh
}

// changed tells if the state differs from the one logged last.
func (h *upstreamHealth) changed(id domain.UpstreamID, s domain.UpstreamState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.states == nil {
		h.states = make(map[domain.UpstreamID]domain.UpstreamState)
	}
	if h.states[id] == s {
		return false
	}
	h.states[id] = s
	return true
}

func (h *upstreamHealth) after(id domain.UpstreamID) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[id]
}

func (h *upstreamHealth) setAfter(id domain.UpstreamID, after uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.events == nil {
		h.events = make(map[domain.UpstreamID]uint64)
	}
	h.events[id] = after
}

// loadLoop asks the upstreams for their load, a bounded number each second;
// those that were never asked come first and at once.
func (n *Node) loadLoop(ctx context.Context) {
	next := 0
	every(ctx, loadInterval/loadPollsPerSecond, func(now time.Time) {
		refs := n.tracker.Refs()
		for _, ref := range n.health.neverAsked(refs, maxFirstPolls) {
			n.background.Go(func() { n.pollLoad(ctx, ref) })
		}
		if len(refs) > 0 {
			ref := refs[next%len(refs)]
			next++
			n.background.Go(func() { n.pollLoad(ctx, ref) })
		}
		for _, ref := range n.tracker.Probes(now) {
			n.background.Go(func() { n.probe(ctx, ref) })
		}
	})
}

// knowsOwnLoad tells if every upstream of the own failure domain has said what
// it serves, and there is one.
func (n *Node) knowsOwnLoad() bool {
	s := n.snapshot.Load()
	for i := range int32(s.Upstreams()) {
		if u := s.Upstream(i); len(u.Targets) == 0 || u.Slots == 0 {
			return false
		}
	}
	return s.Upstreams() > 0
}

func (n *Node) load(ctx context.Context, ref domain.UpstreamRef) (domain.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if ref.Target.Kind == domain.TargetService {
		return n.service.Load(ctx, ref)
	}
	return n.engine.Load(ctx, ref)
}

func (n *Node) pollLoad(ctx context.Context, ref domain.UpstreamRef) {
	report, err := n.load(ctx, ref)
	if err != nil {
		if ctx.Err() == nil {
			n.tracker.Failed(time.Now(), ref.ID)
		}
		n.noteState(ref.ID)
		return
	}
	if err := n.tracker.ObserveReport(time.Now(), ref.ID, report); err != nil {
		n.tracker.ObserveLeaving(ref.ID)
	}
	n.noteState(ref.ID)
	if ref.Target.Kind != domain.TargetService {
		n.pollCache(ctx, ref)
	}
}

func (n *Node) pollCache(ctx context.Context, ref domain.UpstreamRef) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	events, err := n.engine.CacheEvents(ctx, ref, n.health.after(ref.ID))
	if err == nil && len(events) > 0 {
		n.health.setAfter(ref.ID, n.tracker.ObserveCache(ref.ID, events))
	}
}

func (n *Node) probe(ctx context.Context, ref domain.UpstreamRef) {
	_, err := n.load(ctx, ref)
	n.tracker.ObserveProbe(time.Now(), ref.ID, err == nil)
	n.noteState(ref.ID)
}

func (n *Node) noteState(id domain.UpstreamID) {
	state := n.tracker.State(id)
	if n.health.changed(id, state) {
		n.log.Log(event.UpstreamChanged, event.F("upstream", id), event.F("state", state))
	}
}
