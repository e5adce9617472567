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

// maxFirstPolls bounds the upstreams that are asked for the first time at once.
const maxFirstPolls = 32

// upstreamNote is what the load loop remembers of one upstream.
type upstreamNote struct {
	// state is the state that was logged last.
	state domain.UpstreamState
	// cacheEvents is the sequence number to ask for cache events after.
	cacheEvents uint64
	asked       bool
	// read is when the latest load report was read off; zero without one.
	read time.Time
}

// upstreamNotes holds a note for each upstream of the own failure domain.
type upstreamNotes struct {
	mu    sync.Mutex
	notes map[domain.UpstreamID]*upstreamNote
}

// update changes one note under the lock.
func (u *upstreamNotes) update(id domain.UpstreamID, change func(*upstreamNote)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notes == nil {
		u.notes = make(map[domain.UpstreamID]*upstreamNote)
	}
	if u.notes[id] == nil {
		u.notes[id] = &upstreamNote{}
	}
	change(u.notes[id])
}

// get returns a copy of one note.
func (u *upstreamNotes) get(id domain.UpstreamID) upstreamNote {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := u.notes[id]; n != nil {
		return *n
	}
	return upstreamNote{}
}

// changed tells if the state differs from the one logged last.
func (u *upstreamNotes) changed(id domain.UpstreamID, s domain.UpstreamState) (changed bool) {
	u.update(id, func(n *upstreamNote) { changed, n.state = n.state != s, s })
	return changed
}

// neverAsked forgets upstreams that are not in refs any more, and returns up to
// maxFirstPolls of refs that were not asked for their load yet, marked as asked.
func (u *upstreamNotes) neverAsked(refs []domain.UpstreamRef) []domain.UpstreamRef {
	u.mu.Lock()
	defer u.mu.Unlock()
	var fresh []domain.UpstreamRef
	kept := make(map[domain.UpstreamID]*upstreamNote, len(refs))
	for _, ref := range refs {
		n := u.notes[ref.ID]
		if n == nil {
			n = &upstreamNote{}
		}
		kept[ref.ID] = n
		if !n.asked && len(fresh) < maxFirstPolls {
			n.asked = true
			fresh = append(fresh, ref)
		}
	}
	u.notes = kept
	return fresh
}

// reportAgeMS returns the age of the latest load report in milliseconds; -1
// without one.
func (u *upstreamNotes) reportAgeMS(now time.Time, id domain.UpstreamID) int64 {
	read := u.get(id).read
	if read.IsZero() {
		return -1
	}
	return now.Sub(read).Milliseconds()
}

// loadLoop asks the upstreams for their load, a bounded number each second;
// those that were never asked come first and at once.
func (n *Node) loadLoop(ctx context.Context) {
	next := 0
	every(ctx, loadInterval/loadPollsPerSecond, func(now time.Time) {
		refs := n.tracker.Refs()
		for _, ref := range n.notes.neverAsked(refs) {
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

// loadSettled tells if the node knows where requests can run: every upstream of
// the own failure domain has said what it serves, or the VM list names none
// there and another domain's load is known.
func (n *Node) loadSettled() bool {
	if n.knowsOwnLoad() {
		return true
	}
	return n.vms.Load() != nil && len(n.tracker.Refs()) == 0 && n.loadedDomains() > 0
}

// loadedDomains counts the other failure domains whose load decisions know.
func (n *Node) loadedDomains() int {
	s, loaded := n.snapshot.Load(), 0
	for _, d := range n.group.View().Others {
		knows := func(t membership.TargetLoad) bool { return s.Knows(t.Target) }
		if d.Reachable && slices.ContainsFunc(d.Targets, knows) {
			loaded++
		}
	}
	return loaded
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
	n.notes.update(ref.ID, func(u *upstreamNote) { u.read = time.Now().Add(-report.Age) })
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
	events, err := n.engine.CacheEvents(ctx, ref, n.notes.get(ref.ID).cacheEvents)
	if err == nil && len(events) > 0 {
		next := n.tracker.ObserveCache(ref.ID, events)
		n.notes.update(ref.ID, func(u *upstreamNote) { u.cacheEvents = next })
	}
}

func (n *Node) probe(ctx context.Context, ref domain.UpstreamRef) {
	_, err := n.load(ctx, ref)
	n.tracker.ObserveProbe(time.Now(), ref.ID, err == nil)
	n.noteState(ref.ID)
}

func (n *Node) noteState(id domain.UpstreamID) {
	state := n.tracker.State(id)
	if n.notes.changed(id, state) {
		n.log.Log(event.UpstreamChanged, event.F("upstream", id), event.F("state", state))
	}
}
