package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	// maxSampleAge is the maximum age of the sample in a load report.
	maxSampleAge = 10 * time.Second
	// maxWorkChanges is the maximum number of changes retained for one upstream.
	maxWorkChanges = 4096
)

// workChange is one change in the number of this node's requests in flight and
// pending prompt tokens.
type workChange struct {
	at       time.Time
	inFlight int
	pending  int
}

// workHistory counts this node's work and retains its recent changes, so that the
// change since a past time can be computed. The owner's lock guards it; the counters
// are read without a lock.
type workHistory struct {
	counters *routing.InFlightWork
	changes  []workChange
}

func newWorkHistory() workHistory { return workHistory{counters: new(routing.InFlightWork)} }

func (h *workHistory) start(now time.Time, promptTokens int) {
	h.counters.Start(promptTokens)
	h.add(workChange{at: now, inFlight: 1, pending: promptTokens})
}

func (h *workHistory) firstToken(now time.Time, promptTokens int) {
	h.counters.FirstToken(promptTokens)
	h.add(workChange{at: now, pending: -promptTokens})
}

func (h *workHistory) end(now time.Time) {
	h.counters.End()
	h.add(workChange{at: now, inFlight: -1})
}

func (h *workHistory) add(c workChange) {
	h.prune(c.at)
	h.changes = append(h.changes, c)
}

func (h *workHistory) prune(now time.Time) {
	pruned := max(len(h.changes)-maxWorkChanges+1, 0)
	for pruned < len(h.changes) && now.Sub(h.changes[pruned].at) > maxSampleAge {
		pruned++
	}
	if pruned > 0 {
		h.changes = append(h.changes[:0], h.changes[pruned:]...)
	}
}

// changedSince reports whether the work changed after t.
func (h *workHistory) changedSince(t time.Time) bool {
	return len(h.changes) > 0 && h.changes[len(h.changes)-1].at.After(t)
}

// rebase sets the change in requests in flight relative to the sample time of a
// load report. It returns the prompt tokens that were pending at that time.
func (h *workHistory) rebase(sampledAt time.Time) (pendingAtSample int) {
	inFlight, pending := 0, 0
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].at.After(sampledAt); i-- {
		inFlight += h.changes[i].inFlight
		pending += h.changes[i].pending
	}
	h.counters.SetInFlightDelta(inFlight)
	return h.counters.PendingTokens() - pending
}
