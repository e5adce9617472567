package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// slownessTolerance is the ratio to the pool's average below which an upstream
// counts as equally fast; maxSlowness is the upper bound of the ratio.
const (
	slownessTolerance = 1.5
	maxSlowness       = 8
)

func (p *Pool) relativeSlowness(u *upstream) float64 {
	ratio := u.slowness / p.slowness
	if ratio < slownessTolerance {
		return 1
	}
	return min(maxSlowness, ratio)
}

// minExpectedDelay keeps the ratio of actual to expected delay meaningful for very
// small expected delays.
const minExpectedDelay = 20 * time.Millisecond

func (p *Pool) updateSlowness(t *Ticket, took time.Duration) {
	expected := max(minExpectedDelay, time.Duration(float64(t.Expected)/p.relativeSlowness(t.upstream)))
	ratio := min(10, max(0.1, float64(took)/float64(expected)))
	t.upstream.slowness += slownessGain * (ratio - t.upstream.slowness)
	p.slowness += poolGain * (ratio - p.slowness)
}

// updateHoldTime updates the average time for which a request occupies a slot,
// excluding the time in the upstream's queue. An engine's answer begins once the
// queueing time is over.
func (p *Pool) updateHoldTime(t *Ticket, now time.Time) {
	took := now.Sub(t.sentAt)
	if p.config.Engine != nil {
		took = now.Sub(t.firstByteAt) + defaultFirstByte
	} else if t.queued {
		return
	}
	p.holdTime += time.Duration(poolGain * float64(took-p.holdTime))
}

// recordOutcome updates the failure rates and marks the upstream suspect if they
// are too high.
func (p *Pool) recordOutcome(now time.Time, u *upstream, o Outcome) {
	bad := 0.0
	switch o {
	case Canceled:
		return
	case Misdirected:
		u.misdirectedUntil = now.Add(misdirectedFor)
		p.options.Log.Log(event.InstanceSuspect, event.F("instance", u.ID), event.F("service", p.service),
			event.F("outcome", o.String()), event.F("for_ms", misdirectedFor.Milliseconds()))
		return
	case Shed:
		u.otherRequests, u.loadReportedAt = max(u.otherRequestsAt(now, p.meanOtherRequests(now)), float64(u.Slots-u.inFlight)), now
		return
	case ServerError, Broken, Unreachable:
		bad = 1
	}
	u.failureRate += failureGain * (bad - u.failureRate)
	p.failureRate += poolGain * (bad - p.failureRate)
	switch {
	case bad == 0 && u.failureRate < maxFailureRateExcess:
		u.suspectFor = 0
	case o == Unreachable, bad > 0 && u.failureRate > p.failureRate+maxFailureRateExcess:
		before := u.suspectUntil
		u.markSuspect(now)
		if u.suspectUntil != before {
			p.options.Log.Log(event.InstanceSuspect, event.F("instance", u.ID), event.F("service", p.service),
				event.F("outcome", o.String()), event.F("failure_rate", u.failureRate), event.F("pool_failure_rate", p.failureRate),
				event.F("for_ms", u.suspectFor.Milliseconds()))
		}
	}
}
