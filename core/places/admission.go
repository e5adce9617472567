package places

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Acquire decides on a request or lets it wait. Decided returns it once there is a decision.
func (b *Broker) Acquire(now time.Time, w *Waiter) {
	w.arrivedAt, w.objectiveAt, w.deadlineAt = now, now.Add(w.ObjectiveLeft), now.Add(w.Left)
	if r, returned := b.refused[w.Key]; returned {
		delete(b.refused, w.Key)
		w.objectiveAt = r.objectiveAt
	}
	w.late = w.objectiveAt.Sub(now) < b.minService(w)
	if !w.late {
		b.order.Arrive(now, w.Priority)
	}
	if w.Left < b.minService(w) {
		b.refuse(now, w, errkind.DeadlineUnreachable, 0)
		return
	}
	if !b.Usable() {
		b.refuse(now, w, errkind.NoCapacity, 0)
		return
	}
	b.order.Add(w)
	b.dispatch(now)
	if w.Decision.Granted() || w.Decision.Kind != "" {
		return
	}
	expected := b.expectedWait(now, w)
	if b.cross(now, w, expected) {
		return
	}
	if inTime, _ := b.order.Len(); inTime > maxWaiting || !b.admits(now, w, expected) {
		b.order.Remove(w)
		b.refuse(now, w, errkind.Overloaded, expected)
	}
}

// minService returns the time that a request must have left when it is granted a place. Where
// permits are held for longer than objectives, as for streams, answers begin before the end.
func (b *Broker) minService(w *Waiter) time.Duration {
	return time.Duration(min(minServiceRatio*float64(b.hold), maxServiceRatio*float64(w.Objective)))
}

// expectedWait returns the expected wait of a waiting request.
func (b *Broker) expectedWait(now time.Time, w *Waiter) time.Duration {
	capacity := b.capacity()
	ahead, share := b.order.Ahead(now, w, capacity)
	if capacity <= 0 || share <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(float64(time.Hour), float64(ahead)/(share*capacity)*float64(time.Second)))
}

// admits reports whether a request may wait.
func (b *Broker) admits(now time.Time, w *Waiter, expected time.Duration) bool {
	if w.late {
		return b.mayBeServedLate(now, w)
	}
	ratio := maxWaitRatio
	if w.Priority == 0 {
		ratio = maxUrgentWaitRatio
	}
	return expected <= time.Duration(ratio*float64(w.Objective)) && expected <= w.objectiveAt.Sub(now)-b.minService(w)
}

// mayBeServedLate reports whether places are expected to be idle before the deadline of a
// request that cannot meet its objective.
func (b *Broker) mayBeServedLate(now time.Time, w *Waiter) bool {
	capacity := b.capacity()
	for _, u := range b.upstreams {
		if u.borrowed() && u.free(now) {
			capacity += u.limit / (u.trip + b.hold).Seconds()
		}
	}
	spare := capacity - b.order.Rate(now, math.MaxInt)
	inTime, late := b.order.Len()
	if spare < minSpareRatio*capacity || late > maxLate {
		return false
	}
	wait := time.Duration(float64(inTime+late) / spare * float64(time.Second))
	return wait <= w.deadlineAt.Sub(now)-b.hold
}

// retryAfter returns when a refused request should come back. Returns are spread over the
// capacity that is expected to be free.
func (b *Broker) retryAfter(now time.Time, w *Waiter) time.Duration {
	capacity := b.capacity()
	spare := max(minSpareRatio*capacity, capacity-b.order.Rate(now, math.MaxInt), 1)
	next := b.returnAt
	if earliest := now.Add(minReturn); next.Before(earliest) {
		next = earliest
	}
	next = next.Add(time.Duration(float64(time.Second) / spare))
	longest := time.Duration(maxReturnShare * float64(w.deadlineAt.Sub(now)))
	wait := time.Duration(float64(next.Sub(now)) * (1 - returnJitter/2 + returnJitter*w.Random))
	if wait > longest && longest > minReturn {
		// Nothing is foreseen to be free before; peaks move within seconds.
		return time.Duration((1 - returnSpread*w.Random) * float64(longest))
	}
	b.returnAt = next
	return wait
}

func (b *Broker) refuse(now time.Time, w *Waiter, kind errkind.Kind, expected time.Duration) {
	w.Decision = Decision{Kind: kind, RetryAfter: b.retryAfter(now, w), Waited: now.Sub(w.arrivedAt), Expected: expected}
	b.decided = append(b.decided, w)
	if w.Key != 0 && len(b.refused) < maxRefused {
		b.refused[w.Key] = refusal{w.objectiveAt, now.Add(w.Decision.RetryAfter + returnDelay)}
	}
}

func (b *Broker) refuseHopeless(now time.Time) {
	usable := b.Usable()
	for i := 0; i < len(b.order.waiting); {
		w := b.order.waiting[i]
		kind := errkind.Kind("")
		switch {
		case !usable:
			kind = errkind.NoCapacity
		case now.Add(b.minService(w)).After(w.deadlineAt):
			kind = errkind.DeadlineUnreachable
		case !w.late && now.Add(b.minService(w)).After(w.objectiveAt):
			b.order.Remove(w)
			w.late = true
			if b.mayBeServedLate(now, w) {
				b.order.Add(w)
				continue
			}
			b.refuse(now, w, errkind.Overloaded, 0)
			continue
		case w.late && !b.mayBeServedLate(now, w):
			kind = errkind.Overloaded
		}
		if kind == "" {
			i++
			continue
		}
		b.order.Remove(w)
		b.refuse(now, w, kind, 0)
	}
}
