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
	// repeatTolerance is the maximum difference between the ages of the same loss in repeated messages without its ID.
	repeatTolerance = 300 * time.Millisecond
)

// period is a period of time; it is zero if there is none.
type period struct{ from, until time.Time }

func (p period) isZero() bool { return p.until.IsZero() }

// Ages is a period of the past, told by the ages of its ends, as the clocks of nodes differ.
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
	// refused is the period in which connections of this node or others were refused: answers that are read later on
	// older connections are from before it.
	refused period
	// announced is what other nodes are told of them.
	announced announcement
	lossIDs   lossIDs
	// told is set if lost includes what another node told of.
	told bool
	// pathRefused is set if connections of this node were refused while others found the process running, until this node
	// gets an answer.
	pathRefused bool
	// pathLost is set if this node has lost its path to the upstream since, so that the losses may be those of the path.
	pathLost bool
	// presumedSince is when this node began to presume a restart.
	presumedSince time.Time
	// coldUntil is when the cold phase of a presumed new process ends; zero until the upstream has answered a
	// request that was sent after the latest loss.
	coldUntil time.Time
	// same is a period in which the upstream was one process, because connections stayed open.
	same period
	// warmAt is when the upstream was last asked for its health and stated that it is warm.
	warmAt time.Time
	// settledUntil is the time up to which losses are known to be no sign of a cold upstream, or no longer.
	settledUntil time.Time
}

func (r *restart) presumed() bool { return !r.lost.isZero() }

func (r *restart) cold(now time.Time) bool {
	return r.presumed() && (r.coldUntil.IsZero() || now.Before(r.coldUntil))
}

// recordLoss records that this node lost a connection at some time after since. It reports whether other nodes should know it at
// once.
func (r *restart) recordLoss(now, since time.Time, loss Loss) (news bool) {
	if !r.coldUntil.IsZero() { // a process has answered since
		r.announced.sent = false
	}
	known := !r.announced.isZero() && r.coldUntil.IsZero()
	r.add(period{since, now})
	if loss != LossRefused || r.pathRefused {
		return false
	}
	if r.pathLost { // the refusals before may have been due to the path, which is back
		r.pathLost, r.refused = false, period{}
	}
	r.addRefused(period{since, now})
	return r.announce(now) && !known
}

func (r *restart) add(losses period) {
	if !r.coldUntil.IsZero() && r.coldUntil.Before(losses.from) { // the phase that followed the earlier ones has ended
		r.settle(r.lost.until)
	}
	if !r.presumed() {
		r.presumedSince = losses.until
	}
	if !r.presumed() || losses.from.Before(r.lost.from) {
		r.lost.from = losses.from
	}
	r.lost.until = maxTime(r.lost.until, losses.until)
	r.coldUntil = time.Time{}
}

func (r *restart) addRefused(p period) {
	if r.refused.isZero() || p.from.Before(r.refused.from) {
		r.refused.from = p.from
	}
	r.refused.until = maxTime(r.refused.until, p.until)
}

// unconfirmed reports whether this node alone knows of the losses, as far as its path lets it know, and for longer than a time,
// within which an answer on an older connection would have refuted them if there were one.
func (r *restart) unconfirmed(now time.Time, wait time.Duration) bool {
	return r.presumed() && !r.told && (r.refused.isZero() || r.pathLost) && now.Sub(r.presumedSince) > wait
}

// recordAnswer records that bytes of an answer arrived on a connection that was established at connectedAt. One
// from before the losses shows that its process still runs; it reports whether all losses are refuted.
func (r *restart) recordAnswer(now, connectedAt time.Time, coldStart time.Duration) (refuted bool) {
	r.extendSame(period{connectedAt, now})
	r.pathRefused = false
	if !r.presumed() {
		return false
	}
	refutedUntil := r.same.until.Add(-lossRefutedAfter)
	if r.refused.isZero() && r.same.from.Before(r.lost.from) && refutedUntil.After(r.lost.from) {
		if refutedUntil.After(r.lost.until) {
			r.settle(refutedUntil)
			return true
		}
		r.lost.from = refutedUntil
	}
	if connectedAt.After(r.lost.until) && r.coldUntil.IsZero() {
		r.coldUntil = now.Add(coldStart)
	}
	return false
}

// recordReply records the answer to a request that was sent after sentAt on a connection from connectedAt. The process that
// had accepted the connection then still ran, however late the answer is read. It reports whether all losses are refuted.
func (r *restart) recordReply(sentAt, connectedAt time.Time, coldStart time.Duration) (refuted bool) {
	if !r.presumed() {
		return false
	}
	if r.told {
		// The message may have been underway for any time. If that is longer than a cold phase, its losses are of no
		// consequence any more.
		connectedAt = connectedAt.Add(coldStart)
	}
	if !connectedAt.Before(r.lost.from) || !sentAt.After(r.lost.until) {
		return false
	}
	r.settle(sentAt)
	return true
}

// extendSame adds a period in which one connection stayed open.
func (r *restart) extendSame(open period) {
	if !open.from.Before(r.same.until.Add(-lossRefutedAfter)) {
		r.same = open
		return
	}
	r.same = period{minTime(r.same.from, open.from), maxTime(r.same.until, open.until)}
}

// recordEntry records a new entry of the same process. It reports whether it settled the losses.
func (r *restart) recordEntry(now time.Time) (settled bool) {
	if !r.presumed() || now.Sub(r.lost.until) <= entryDelay {
		return false
	}
	r.settle(r.lost.until)
	return true
}

// recordWarm records that the upstream stated that it is warm in the answer to a health request that was sent at sentAt, by
// this node or another. It reports whether that settled the losses.
func (r *restart) recordWarm(sentAt time.Time, byOther bool) (settled bool) {
	if !byOther {
		r.warmAt, r.pathRefused = sentAt, false
	}
	if !r.presumed() {
		return false
	}
	if byOther && !r.told && !r.refused.isZero() && r.refused.from.Before(sentAt) {
		r.pathRefused = true // also if it goes on being refused
	}
	if !r.lost.until.Before(sentAt) {
		return false
	}
	r.settle(sentAt)
	return true
}

// settle ends the presumption of a restart. Losses up to a time are known to be no sign of one.
func (r *restart) settle(until time.Time) {
	r.settledUntil = maxTime(r.settledUntil, until)
	r.lost, r.refused, r.told, r.pathLost, r.coldUntil = period{}, period{}, false, false, time.Time{}
	r.announced = announcement{}
}

// warmAge returns the time since the upstream stated that it is warm, if other nodes should know it; zero otherwise.
func (r *restart) warmAge(now time.Time) time.Duration {
	if age := now.Sub(r.warmAt); !r.warmAt.IsZero() && age <= evidenceRetention {
		return max(time.Millisecond, age)
	}
	return 0
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
