package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// Sources from which a node knows that an upstream is cold, as they appear in logs.
const (
	coldFromEntry      = "entry"
	coldFromEvacuation = "evacuation ended"
	coldFromLoss       = "connection lost"
	coldFromToldLoss   = "connection of another node refused"
	coldFromSuspension = "node was suspended"
	coldFromStatement  = "health response"
)

// Evidence that an upstream has not started again, as it appears in logs.
const (
	sameFromAnswer = "answer on an older connection"
	sameFromEntry  = "entry"
	sameFromHealth = "health response"
	sameFromNode   = "another node"
)

const (
	// entryDelay is the maximum time from the write of an entry until it is applied here.
	entryDelay = 4 * time.Second
	// busyPeriod is the time since the latest byte from an upstream within which a time-out means that
	// it is busy.
	busyPeriod = 3 * time.Second
	// TickInterval is the interval of Catalog.Tick; after maxTickGap without a call the node was
	// suspended.
	TickInterval = 250 * time.Millisecond
	maxTickGap   = time.Second
	// bufferedFor is how long after a suspension messages may be read that arrived before its end.
	bufferedFor = 300 * time.Millisecond
	// maxOutdatedFor is the maximum time for which entries from before a suspension count as
	// outdated, if there is no newer list.
	maxOutdatedFor = 3 * time.Second
)

// coldness is what a node knows of an upstream's cold phase.
type coldness struct {
	// until is when the cold phase ends, from the entry or an evacuation.
	until time.Time
	// statedUntil is the end of the cold phase that the upstream stated itself.
	statedUntil time.Time
	// restart is whether it has started again unnoticed.
	restart restart
	// lastByteAt is when the latest bytes of an answer arrived.
	lastByteAt time.Time
	// outdatedSince is when this node noticed that it had been suspended; zero once newer entries
	// are known.
	outdatedSince time.Time
}

func (c *coldness) cold(now time.Time) bool {
	return now.Before(c.until) || c.restart.cold(now) ||
		!c.outdatedSince.IsZero() && now.Sub(c.outdatedSince) < maxOutdatedFor
}

// end returns when the cold phase ends; zero if that is not known.
func (c *coldness) end() time.Time {
	if c.restart.presumed() && c.restart.coldUntil.IsZero() {
		return time.Time{}
	}
	if c.restart.presumed() && c.restart.coldUntil.After(c.until) {
		return c.restart.coldUntil
	}
	return c.until
}

// confirmEntry records that the upstream's entry is known as of a time.
func (c *coldness) confirmEntry(asOf time.Time) {
	if asOf.Sub(c.outdatedSince) > bufferedFor {
		c.outdatedSince = time.Time{}
	}
}

func (u *upstream) cold(now time.Time) bool { return u.coldness.cold(now) }

// hasColdPhase reports whether the service's upstreams are cold after a start.
func (p *Pool) hasColdPhase() bool { return p.config.ColdStart > 0 && p.config.MaxColdRate > 0 }

// extendCold records that an upstream may be cold until t. It never shortens the cold
// period.
func (p *Pool) extendCold(now time.Time, u *upstream, t time.Time, from string) {
	if !t.After(u.coldness.until) {
		return
	}
	wasCold := u.cold(now)
	u.coldness.until = t
	p.startColdPace(now, u, wasCold, from)
}

// startColdPace lets the first request wait if the upstream counts as cold since the last change.
func (p *Pool) startColdPace(now time.Time, u *upstream, wasCold bool, from string) {
	if wasCold || !u.cold(now) {
		return
	}
	rate, _ := p.ownRate(now, u)
	u.pace.Delay(now, rate, p.options.ColdPhase(u.ID))
	p.options.Log.Log(event.InstanceCold, event.F("instance", u.ID), event.F("service", p.service), event.F("from", from),
		event.F("for_ms", max(0, u.coldness.until.Sub(now).Milliseconds())), event.F("own_rate", rate))
}

// recordAnswer records that bytes of an answer arrived.
func (p *Pool) recordAnswer(now time.Time, u *upstream, connectedAt time.Time) {
	u.coldness.lastByteAt = now
	lostAt := u.coldness.restart.lost.from
	if u.coldness.restart.recordAnswer(now, connectedAt, p.config.ColdStart) {
		p.recordNotCold(now, u, sameFromAnswer, lostAt)
	}
}

// recordNotCold records that a presumed restart is settled. lostAt is when the first connection was lost.
func (p *Pool) recordNotCold(now time.Time, u *upstream, from string, lostAt time.Time) {
	// A new process is still cold that soon, so the old one had closed its connection as an idle one.
	if from == sameFromAnswer || from == sameFromHealth && now.Sub(lostAt) < p.config.ColdStart {
		p.idleTimeout.learn(now, u.idleClosedAfter)
	}
	u.idleClosedAfter = 0
	p.options.Log.Log(event.InstanceNotCold, event.F("instance", u.ID), event.F("service", p.service), event.F("from", from))
}

// ConnectedAt records when the connection of the request was established; zero means that this is not known.
func (t *Ticket) ConnectedAt(at time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if !at.IsZero() {
		t.connectedAt = at
	}
}

// ConnectionLost records that the upstream refused, closed or reset a connection, or did not accept it
// in time. It may have started again under its ID; until it is known not to have, it counts as cold.
func (t *Ticket) ConnectionLost(now time.Time, loss Loss) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasColdPhase() {
		return
	}
	u := t.record()
	if loss == LossTimedOut && now.Sub(u.coldness.lastByteAt) < busyPeriod {
		return
	}
	since := now
	if loss == LossRefused {
		since = t.SentAt // the refusal may be read late
	}
	p.recordLoss(now, since, u, loss)
}

// recordLoss records that a connection to an upstream was lost at some time after since.
func (p *Pool) recordLoss(now, since time.Time, u *upstream, loss Loss) {
	if loss != LossClosed && p.paths.lost() {
		return // it tells nothing of the upstream
	}
	wasCold := u.cold(now)
	if !wasCold {
		u.idleClosedAfter = 0
	}
	if u.coldness.restart.recordLoss(now, since, loss) {
		p.options.StatementsChanged()
	}
	p.startColdPace(now, u, wasCold, coldFromLoss)
}

// inherit adopts what the former record of the upstream says of its process; it may be nil. The pace
// is kept for a new process, as the bound concerns the upstream, and so is a restart that is presumed since later than the entry
// may be.
func (u *upstream) inherit(now time.Time, former *upstream) {
	if former == nil {
		return
	}
	u.pace = former.pace
	if former.Started == u.Started {
		u.coldness, u.silence, u.leavingStated, u.limit = former.coldness, former.silence, former.leavingStated, former.limit
		return
	}
	if lost := former.coldness.restart.lost; !lost.isZero() && u.ColdRemaining == 0 && now.Sub(lost.until) <= entryDelay {
		u.coldness.restart = former.coldness.restart
	}
	u.coldness.restart.lossIDs = former.coldness.restart.lossIDs
}

// tick records that the node is not suspended. After a suspension its upstreams count as cold until
// newer entries are known.
func (p *Pool) tick(now time.Time) {
	last := p.tickedAt
	p.tickedAt = now
	p.endBrittle(now)
	if last.IsZero() || elapsed(last, now) <= maxTickGap || !p.hasColdPhase() {
		return
	}
	for _, u := range p.upstreams {
		wasCold := u.cold(now)
		u.coldness.outdatedSince = now
		p.startColdPace(now, u, wasCold, coldFromSuspension)
	}
}

// elapsed returns the time between two readings of the clock. The monotonic clock does not count
// while a VM is suspended, the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
