package instances

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// latencyRatioTolerance is the ratio to the pool's average below which an upstream
// counts as equally fast; maxLatencyRatio is the upper bound of the ratio.
const (
	latencyRatioTolerance = 1.5
	maxLatencyRatio       = 8
	// latencyRatioHalfLife is the time in which an upstream's excess over the pool's
	// average halves without a new measurement. An upstream that was slow gets no
	// requests that could show its recovery while the others are not busy.
	latencyRatioHalfLife = 5 * time.Second
)

// relativeLatency returns the ratio of the upstream's response time to that of the pool; 1
// if it is within latencyRatioTolerance.
func (p *Pool) relativeLatency(now time.Time, u *upstream) float64 {
	ratio := u.latencyRatio / p.latencyRatio
	if age := now.Sub(u.latencyMeasuredAt); ratio > 1 && age > 0 {
		ratio = 1 + (ratio-1)*math.Exp2(-float64(age)/float64(latencyRatioHalfLife))
	}
	if ratio < latencyRatioTolerance {
		return 1
	}
	return min(maxLatencyRatio, ratio)
}

// maxEngineRatio is the maximum ratio of one answer of an engine to the pool's average. Requests that wait for
// slots and memory or are preempted take many times as long at engines that are not slow.
const maxEngineRatio = 2

// minExpectedDelay keeps the ratio of actual to expected delay meaningful for very
// small expected delays.
const minExpectedDelay = 20 * time.Millisecond

func (p *Pool) updateLatencyRatio(t *Ticket, now time.Time) {
	took := t.atUsualSpeed(t.withoutLull(now, t.Expected))
	expected := max(minExpectedDelay, time.Duration(float64(t.Expected)/p.relativeLatency(t.SentAt, t.upstream)/t.expectedSlowdown))
	ratio := min(10, max(0.1, float64(took)/float64(expected)))
	if t.reserved {
		ratio = min(maxEngineRatio*p.latencyRatio, ratio)
	}
	t.upstream.latencyMeasuredAt = now
	t.upstream.latencyRatio += latencyRatioGain * (ratio - t.upstream.latencyRatio)
	p.latencyRatio += poolGain * (ratio - p.latencyRatio)
}

// atUsualSpeed returns how long something that took the given time would have taken without the
// upstream's slowdown. Learned values are those at the usual speed, as estimates multiply them by the
// slowdown at their time.
func (t *Ticket) atUsualSpeed(took time.Duration) time.Duration {
	return time.Duration(float64(took) / t.slowdown)
}

// updateMeanSlotTime updates the average time for which a request occupies a slot,
// excluding the time in the upstream's queue. An engine's answer begins once the
// queueing time is over.
func (p *Pool) updateMeanSlotTime(t *Ticket, now time.Time) {
	took := now.Sub(t.SentAt)
	if p.config.Engine != nil {
		took = now.Sub(t.firstByteAt) + p.idleTTFB.value
	} else if t.queued {
		return
	}
	p.meanSlotTime += time.Duration(poolGain * float64(t.atUsualSpeed(took)-p.meanSlotTime))
}

// recordOutcome updates the failure rates and marks the upstream suspect if they
// are too high.
func (p *Pool) recordOutcome(now time.Time, u *upstream, o Outcome, gain float64) {
	u.restoreIfHeard()
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
		u.givenUp.recordFailure(o)
	}
	u.failureRate += gain * (bad - u.failureRate)
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
