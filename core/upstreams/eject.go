package upstreams

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// RecordSuccess resets the number of consecutive failures.
func (t *Tracker) RecordSuccess(id domain.UpstreamID) {
	t.withUpstream(id, func(u *upstream) { u.failures = 0 })
}

// RecordFailure counts a failure. After Options.EjectAfter consecutive failures the
// upstream becomes suspect, unless too few upstreams of one of its targets would
// remain live.
func (t *Tracker) RecordFailure(now time.Time, id domain.UpstreamID) {
	eject := false
	t.withUpstream(id, func(u *upstream) {
		u.failures++
		eject = u.failures >= t.options.EjectAfter && u.state() == domain.UpstreamLive
	})
	if eject {
		t.eject(now, id)
	}
}

func (t *Tracker) eject(now time.Time, id domain.UpstreamID) {
	t.ejectMu.Lock()
	defer t.ejectMu.Unlock()
	counts := t.countByTarget()
	t.withUpstream(id, func(u *upstream) {
		for _, target := range u.targets() {
			if !counts[target].allowsEjection(t.options.MaxEjectedFraction) {
				return
			}
		}
		if !u.transition(eventEject) {
			return
		}
		u.failures = 0
		u.probeInterval = t.options.ProbeInterval
		u.nextProbeAt = now.Add(u.probeInterval)
	})
}

// targetCount is the number of live and suspect upstreams of a target.
type targetCount struct{ live, suspect int }

// allowsEjection reports whether one more live upstream may become suspect.
func (c targetCount) allowsEjection(maxFraction float64) bool {
	minLive := math.Ceil(float64(c.live+c.suspect) * (1 - maxFraction))
	return float64(c.live-1) >= max(minLive, 1)
}

func (t *Tracker) countByTarget() map[domain.Target]targetCount {
	counts := make(map[domain.Target]targetCount)
	t.forEach(func(_ *shard, u *upstream) {
		for _, target := range u.targets() {
			c := counts[target]
			switch u.state() {
			case domain.UpstreamLive:
				c.live++
			case domain.UpstreamSuspect:
				c.suspect++
			}
			counts[target] = c
		}
	})
	return counts
}

// DueProbes returns the suspect upstreams that are due for a probe, ordered by id.
func (t *Tracker) DueProbes(now time.Time) []domain.UpstreamRef {
	var due []domain.UpstreamRef
	t.forEach(func(_ *shard, u *upstream) {
		if u.state() == domain.UpstreamSuspect && !now.Before(u.nextProbeAt) {
			due = append(due, u.ref)
		}
	})
	sortRefs(due)
	return due
}

// ObserveProbe records the result of a probe. A suspect upstream returns to service
// with a slow start if the probe succeeded; otherwise the probe interval doubles.
func (t *Tracker) ObserveProbe(now time.Time, id domain.UpstreamID, ok bool) {
	t.withUpstream(id, func(u *upstream) {
		if ok && u.transition(eventRecover) {
			u.liveSince = now
			return
		}
		u.probeInterval = min(2*u.probeInterval, t.options.MaxProbeInterval)
		u.nextProbeAt = now.Add(u.probeInterval)
	})
}
