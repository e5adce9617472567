package routing

import "sync/atomic"

// InFlightWork counts this node's requests and prompt tokens at one upstream, or at one
// target of a remote failure domain. Decisions read it without a lock; the tracker
// is the only writer and serializes its calls.
type InFlightWork struct {
	inFlight      atomic.Int64
	inFlightDelta atomic.Int64
	pending       atomic.Int64
}

// Start counts the dispatch of a request with the given number of prompt tokens.
func (w *InFlightWork) Start(promptTokens int) {
	w.inFlight.Add(1)
	w.inFlightDelta.Add(1)
	w.pending.Add(int64(promptTokens))
}

// FirstToken removes a prefilled prompt from the pending tokens.
func (w *InFlightWork) FirstToken(promptTokens int) { w.pending.Add(-int64(promptTokens)) }

// End removes a finished request from the requests in flight.
func (w *InFlightWork) End() {
	w.inFlight.Add(-1)
	w.inFlightDelta.Add(-1)
}

// SetInFlightDelta sets the change in the number of requests in flight since the
// sample time of the latest load report.
func (w *InFlightWork) SetInFlightDelta(delta int) { w.inFlightDelta.Store(int64(delta)) }

// InFlight returns the number of this node's requests in flight.
func (w *InFlightWork) InFlight() int { return int(w.inFlight.Load()) }

// PendingTokens returns the number of prompt tokens that were dispatched and are
// not yet prefilled.
func (w *InFlightWork) PendingTokens() int { return int(w.pending.Load()) }

// read returns the counters, or zeros if w is nil.
func (w *InFlightWork) read() (inFlight, delta, pending float64) {
	if w == nil {
		return 0, 0, 0
	}
	return float64(w.inFlight.Load()), float64(w.inFlightDelta.Load()), float64(w.pending.Load())
}
