package instances

import (
	"fmt"
	"time"
)

// Loss is how a connection to an upstream was lost.
type Loss uint8

const (
	// LossClosed means that the upstream closed or reset the connection. It may have crashed, or accept no
	// more connections.
	LossClosed Loss = iota
	// LossTimedOut means that the upstream did not accept the connection in time. The fault may be this node's.
	LossTimedOut
	// LossRefused means that no process accepted connections at the upstream's address.
	LossRefused
)

const (
	// lossRefutedAfter is how long after the loss of a connection an answer must arrive to show
	// that its process still runs; the last bytes before a crash may be read after it.
	lossRefutedAfter = 100 * time.Millisecond
	// evidenceRetention is how long other nodes are told of lost connections, and of evidence against a
	// restart.
	evidenceRetention = 10 * time.Second
	// maxMessageDelay is the longest time from the composition of a message between nodes until it is applied. Nodes
	// tell each other ages, as their clocks differ, and evidence against a restart must not appear newer than it is.
	maxMessageDelay = 900 * time.Millisecond
	// repeatTolerance is the maximum difference between the ages of the same loss in repeated messages.
	repeatTolerance = 300 * time.Millisecond
	// warmPeriod is how long before the statement of an upstream that it is warm losses do not matter.
	warmPeriod = 10 * time.Minute
)

// period is a period of time; it is zero if there is none.
type period struct{ from, until time.Time }

func (p period) isZero() bool { return p.until.IsZero() }

// covers reports whether q lies within p.
func (p period) covers(q period) bool { return p.from.Before(q.from) && p.until.After(q.until) }

// Ages is a period of the past, told by the ages of its ends.
type Ages struct{ From, Until time.Duration }

func (p period) ages(now time.Time) *Ages {
	return &Ages{max(0, now.Sub(p.from)), max(0, now.Sub(p.until))}
}

// String returns the ages as "2s to 1s ago", or "none".
func (a *Ages) String() string {
	if a == nil {
		return "none"
	}
	return fmt.Sprintf("%v to %v ago", a.From, a.Until)
}

func (a *Ages) before(now time.Time) period { return period{now.Add(-a.From), now.Add(-a.Until)} }

// restart is what a node knows of whether an upstream has started again under its ID. Its new process is cold,
// and its entry may be written late or never.
type restart struct {
	// lost is the period of lost connections since it was last known that the process had not ended; while it is
	// not zero, a restart is presumed.
	lost period
	// refused is the part of lost in which connections of this node were refused.
	refused period
	// told is set if lost includes what another node told of.
	told bool
	// coldUntil is when the cold phase of a presumed new process ends; zero until the upstream has answered a
	// request that was sent after the latest loss.
	coldUntil time.Time
	// same is a period in which the upstream was one process, because connections stayed open.
	same period
	// warmAt is when the upstream last stated that it is warm.
	warmAt time.Time
	// settledUntil is the time up to which losses are known to be no sign of a cold upstream, or no longer.
	settledUntil time.Time
	// disputedAt is when losses were last refuted, so that other nodes should know the evidence.
	disputedAt time.Time
}

func (r *restart) presumed() bool { return !r.lost.isZero() }

func (r *restart) cold(now time.Time) bool {
	return r.presumed() && (r.coldUntil.IsZero() || now.Before(r.coldUntil))
}

// recordLoss records that this node lost a connection. It reports whether other nodes should know it at once.
func (r *restart) recordLoss(now time.Time, loss Loss) (news bool) {
	r.add(period{now, now})
	if loss != LossRefused {
		return false
	}
	news = r.refused.isZero()
	if news {
		r.refused.from = now
	}
	r.refused.until = now
	return news
}

// recordToldLoss records the losses that another node tells of. It reports whether they are news.
func (r *restart) recordToldLoss(now time.Time, told period) (news bool) {
	switch {
	case !told.until.After(r.settledUntil):
		return false
	case r.same.covers(period{told.from.Add(-maxMessageDelay), told.until.Add(lossRefutedAfter)}):
		r.disputedAt = now
		return false
	case r.presumed() && !told.until.After(r.lost.until.Add(repeatTolerance)):
		if told.from.Before(r.lost.from) {
			r.lost.from = told.from
		}
		return false
	}
	r.add(told)
	r.told = true
	return true
}

// unconfirmed reports whether this node alone knows of the losses, and for long enough that an answer on an older
// connection would have refuted them if there were one.
func (r *restart) unconfirmed(now time.Time) bool {
	return r.presumed() && !r.told && r.refused.isZero() && now.Sub(r.lost.from) > 2*lossRefutedAfter
}

func (r *restart) add(losses period) {
	if !r.presumed() || losses.from.Before(r.lost.from) {
		r.lost.from = losses.from
	}
	if losses.until.After(r.lost.until) {
		r.lost.until = losses.until
	}
	r.coldUntil = time.Time{}
}

// recordAnswer records that bytes of an answer arrived on a connection that was established at connectedAt. One
// from before the losses shows that its process still runs; it reports whether all losses are refuted.
func (r *restart) recordAnswer(now, connectedAt time.Time, coldStart time.Duration) (refuted bool) {
	r.extendSame(period{connectedAt, now})
	if !r.presumed() {
		return false
	}
	if refutedUntil := r.same.until.Add(-lossRefutedAfter); r.same.from.Before(r.lost.from) && refutedUntil.After(r.lost.from) {
		r.disputedAt = now
		if refutedUntil.After(r.lost.until) {
			r.settle()
			return true
		}
		r.lost.from = refutedUntil
	}
	if connectedAt.After(r.lost.until) && r.coldUntil.IsZero() {
		r.coldUntil = now.Add(coldStart)
	}
	return false
}

// extendSame adds a period in which one connection stayed open.
func (r *restart) extendSame(open period) {
	if !open.from.Before(r.same.until.Add(-lossRefutedAfter)) {
		r.same = open
		return
	}
	if open.from.Before(r.same.from) {
		r.same.from = open.from
	}
	if open.until.After(r.same.until) {
		r.same.until = open.until
	}
}

// recordEntry records a new entry of the same process. It reports whether it settled the losses.
func (r *restart) recordEntry(now time.Time) (settled bool) {
	if !r.presumed() || now.Sub(r.lost.until) <= entryDelay {
		return false
	}
	r.settle()
	return true
}

// recordWarm records that the upstream stated that it is warm in the answer to a health request that was sent at sentAt. It
// reports whether that settled the losses.
func (r *restart) recordWarm(now, sentAt time.Time) (settled bool) {
	r.warmAt, r.disputedAt = sentAt, now
	return r.recordSettled(period{sentAt.Add(-warmPeriod), sentAt})
}

// recordSettled records that losses within a period are no sign of a cold upstream. It reports whether it settled the
// present ones.
func (r *restart) recordSettled(settled period) bool {
	if !r.presumed() || !settled.covers(r.lost) {
		return false
	}
	r.settle()
	return true
}

func (r *restart) settle() {
	r.settledUntil = r.lost.until.Add(repeatTolerance)
	r.lost, r.refused, r.told, r.coldUntil = period{}, period{}, false, time.Time{}
}

// toldLoss returns the losses that other nodes should know; nil if there are none.
func (r *restart) toldLoss(now time.Time) *Ages {
	if !r.presumed() || r.refused.isZero() || now.Sub(r.refused.until) > evidenceRetention {
		return nil
	}
	return r.refused.ages(now)
}

// toldSettled returns the period within which losses are known to be no sign of a cold upstream, if other nodes should
// know it; nil otherwise.
func (r *restart) toldSettled(now time.Time) *Ages {
	switch {
	case r.disputedAt.IsZero() || now.Sub(r.disputedAt) > evidenceRetention:
		return nil
	case r.warmAt.After(r.same.until):
		return period{r.warmAt.Add(-warmPeriod), r.warmAt}.ages(now)
	case r.same.isZero():
		return nil
	}
	return r.same.ages(now)
}
