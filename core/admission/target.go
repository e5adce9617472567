package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// room rations the free slots for one target.
type room struct {
	target string
	// handed counts requests that were let through and not yet dispatched; what
	// Capacity tells does not hold them yet.
	handed int
}

// take implements resource.
func (r *room) take(now time.Time, e *entry) verdict {
	h := e.headroom()
	if !h.Known {
		r.handed++
		return taken
	}
	if now.Add(h.FirstToken).After(e.due) {
		return late
	}
	if h.Free-float64(r.handed) < 1 {
		return full
	}
	r.handed++
	return taken
}

// back implements resource.
func (r *room) back(time.Time, *entry) { r.handed = max(r.handed-1, 0) }

// pace implements resource.
func (r *room) pace(_ time.Time, e *entry) (float64, time.Duration) {
	h := e.headroom()
	idle := h.FirstToken
	if h.Slots > 0 && h.Free < 1 {
		// One of the slots ends after a part of a service time.
		idle += time.Duration(float64(h.Service) / h.Slots)
	}
	return h.Slots, idle
}

// refusal implements resource.
func (r *room) refusal(why refusalReason, e *entry, wait time.Duration) error {
	advice := max(wait, minAdvice)
	switch {
	case why == queueFull:
		return errkind.New(errkind.Overloaded, "the queue for %s is full", r.target).WithRetryAfter(advice)
	case e.stated:
		return errkind.New(errkind.DeadlineUnreachable, "the first token from %s is expected in %s, after the request's deadline", r.target, wait.Round(time.Millisecond)).WithRetryAfter(advice)
	case why == waitedTooLong:
		return errkind.New(errkind.Overloaded, "no place for %s became free in time", r.target).WithRetryAfter(advice)
	}
	return errkind.New(errkind.Overloaded, "the first token from %s is expected in %s, too late to queue for", r.target, wait.Round(time.Millisecond)).WithRetryAfter(advice)
}

// minAdvice is the shortest wait that callers are advised.
const minAdvice = time.Second
