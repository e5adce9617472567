package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// targetSlots assigns the free slots for one target.
type targetSlots struct {
	target string
	// undispatched is the number of requests that were admitted but not yet dispatched;
	// Capacity does not account for them yet.
	undispatched int
}

// tryAcquire implements resource.
func (r *targetSlots) tryAcquire(now time.Time, e *entry) acquireResult {
	h := e.headroom()
	if !h.Known {
		r.undispatched++
		return acquired
	}
	if now.Add(h.TimeToFirstToken).After(e.deadline) {
		return tooLate
	}
	if h.FreeSlots-float64(r.undispatched) < 1 {
		return mustWait
	}
	r.undispatched++
	return acquired
}

// release implements resource.
func (r *targetSlots) release(time.Time, *entry) { r.undispatched = max(r.undispatched-1, 0) }

// serviceRate implements resource.
func (r *targetSlots) serviceRate(_ time.Time, e *entry) (float64, time.Duration) {
	h := e.headroom()
	delay := h.TimeToFirstToken
	if h.Slots > 0 && h.FreeSlots < 1 {
		// A slot becomes free after a fraction of a service time.
		delay += time.Duration(float64(h.ServiceTime) / h.Slots)
	}
	return h.Slots, delay
}

// refusal implements resource.
func (r *targetSlots) refusal(reason refusalReason, e *entry, wait time.Duration) error {
	retryAfter := max(wait, minRetryAfter)
	switch {
	case reason == queueFull:
		return errkind.New(errkind.Overloaded, "the queue for %s is full", r.target).WithRetryAfter(retryAfter)
	case e.callerDeadline:
		return errkind.New(errkind.DeadlineUnreachable, "the first token from %s is expected in %s, after the request's deadline", r.target, wait.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	case reason == waitExpired:
		return errkind.New(errkind.Overloaded, "no slot for %s became free in time", r.target).WithRetryAfter(retryAfter)
	}
	return errkind.New(errkind.Overloaded, "the first token from %s is expected in %s, after the maximum queueing time", r.target, wait.Round(time.Millisecond)).WithRetryAfter(retryAfter)
}

// minRetryAfter is the minimum retry delay that is advised to callers.
const minRetryAfter = time.Second
