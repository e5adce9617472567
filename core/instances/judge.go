package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// slownessBand is the ratio up to which upstreams count as equally fast.
const (
	slownessBand = 1.5
	maxSlowness  = 8
)

func (p *Pool) relativeSlowness(u *upstream) float64 {
	ratio := u.slowness / p.slowness
	if ratio < slownessBand {
		return 1
	}
	return min(maxSlowness, ratio)
}

// minExpected keeps the ratio of actual to expected delay meaningful.
const minExpected = 20 * time.Millisecond

func (p *Pool) learnSpeed(t *Ticket, took time.Duration) {
	expected := max(minExpected, time.Duration(float64(t.Expected)/p.relativeSlowness(t.up)))
	ratio := min(10, max(0.1, float64(took)/float64(expected)))
	t.up.slowness += speedGain * (ratio - t.up.slowness)
	p.slowness += learnGain * (ratio - p.slowness)
}

// learnHold learns how long a request takes up its place, without the time in the
// upstream's queue: an engine's answer begins when that time is over.
func (p *Pool) learnHold(t *Ticket, now time.Time) {
	took := now.Sub(t.sentAt)
	if p.config.Engine != nil {
		took = now.Sub(t.begunAt) + defaultFirst
	} else if t.queued {
		return
	}
	p.hold += time.Duration(learnGain * float64(took-p.hold))
}

// judge updates the failure rates and decides if the upstream becomes suspect.
func (p *Pool) judge(now time.Time, u *upstream, o Outcome) {
	bad := 0.0
	switch o {
	case Abandoned:
		return
	case Misdirected:
		u.movedUntil = now.Add(movedFor)
		p.options.Log.Log(event.InstanceSuspect, event.F("instance", u.ID), event.F("service", p.service),
			event.F("outcome", o.String()), event.F("for_ms", movedFor.Milliseconds()))
		return
	case Shed:
		u.others, u.readAt = max(u.othersNow(now, p.usualOthers(now)), float64(u.Slots-u.inFlight)), now
		return
	case ServerError, Broken, Unreachable:
		bad = 1
	}
	u.failures += failureGain * (bad - u.failures)
	p.failures += learnGain * (bad - p.failures)
	switch {
	case bad == 0 && u.failures < failureExcess:
		u.suspicion = 0
	case o == Unreachable, bad > 0 && u.failures > p.failures+failureExcess:
		before := u.suspectUntil
		u.suspect(now)
		if u.suspectUntil != before {
			p.options.Log.Log(event.InstanceSuspect, event.F("instance", u.ID), event.F("service", p.service),
				event.F("outcome", o.String()), event.F("failure_rate", u.failures), event.F("pool_failure_rate", p.failures),
				event.F("for_ms", u.suspicion.Milliseconds()))
		}
	}
}
