package routing

import "sync/atomic"

// OwnWork counts this node's work at one upstream, or at one target of another
// failure domain. Decisions read it without a lock; its writer, the tracker,
// serialises its own calls.
type OwnWork struct {
	inFlight      atomic.Int64
	inFlightDelta atomic.Int64
	pending       atomic.Int64
}

// Start counts a dispatch of a prompt of the given length, in tokens.
func (w *OwnWork) Start(promptTokens int) {
	w.inFlight.Add(1)
	w.inFlightDelta.Add(1)
	w.pending.Add(int64(promptTokens))
}

// FirstToken counts a prompt as prefilled.
func (w *OwnWork) FirstToken(promptTokens int) { w.pending.Add(-int64(promptTokens)) }

// End counts a dispatch as over.
func (w *OwnWork) End() {
	w.inFlight.Add(-1)
	w.inFlightDelta.Add(-1)
}

// Rebase states how the number of requests in flight changed since the moment
// that the newest load report describes.
func (w *OwnWork) Rebase(inFlightDelta int) { w.inFlightDelta.Store(int64(inFlightDelta)) }

// InFlight returns the number of this node's requests in flight.
func (w *OwnWork) InFlight() int { return int(w.inFlight.Load()) }

// PendingTokens returns the prompt tokens dispatched and not yet prefilled.
func (w *OwnWork) PendingTokens() int { return int(w.pending.Load()) }

func (w *OwnWork) read() (inFlight, delta, pending float64) {
	if w == nil {
		return 0, 0, 0
	}
	return float64(w.inFlight.Load()), float64(w.inFlightDelta.Load()), float64(w.pending.Load())
}
