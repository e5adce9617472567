package upstreams

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Succeeded ends a series of failures.
func (t *Tracker) Succeeded(id domain.UpstreamID) {
	t.with(id, func(u *upstream) { u.failures = 0 })
}

// Failed counts a failure. The last of Options.EjectAfter in a row makes the
// upstream suspect, unless too few of one of its targets would stay live.
func (t *Tracker) Failed(now time.Time, id domain.UpstreamID) {
	eject := false
	t.with(id, func(u *upstream) {
		u.failures++
		eject = u.failures >= t.options.EjectAfter && u.state() == domain.UpstreamLive
	})
	if eject {
		t.eject(now, id)
	}
}

func (t *Tracker) eject(now time.Time, id domain.UpstreamID) {
	t.ejecting.Lock()
	defer t.ejecting.Unlock()
	counts := t.countByTarget()
	t.with(id, func(u *upstream) {
		for _, target := range u.targets() {
			if !counts[target].allowsEjection(t.options.MaxEjectedShare) {
				return
			}
		}
		if !u.apply(eventEject) {
			return
		}
		u.failures = 0
		u.probeInterval = t.options.ProbeInterval
		u.probeAt = now.Add(u.probeInterval)
	})
}

type targetCount struct{ live, suspect int }

// allowsEjection tells if one more live upstream may become suspect.
func (c targetCount) allowsEjection(maxShare float64) bool {
	floor := math.Ceil(float64(c.live+c.suspect) * (1 - maxShare))
	return float64(c.live-1) >= max(floor, 1)
}

func (t *Tracker) countByTarget() map[domain.Target]targetCount {
	counts := make(map[domain.Target]targetCount)
	t.each(func(_ *shard, u *upstream) {
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

// Probes returns the suspects that are due for a probe, ordered by id.
func (t *Tracker) Probes(now time.Time) []domain.UpstreamRef {
	var due []domain.UpstreamRef
	t.each(func(_ *shard, u *upstream) {
		if u.state() == domain.UpstreamSuspect && !now.Before(u.probeAt) {
			due = append(due, u.ref)
		}
	})
	sortRefs(due)
	return due
}

// ObserveProbe takes a probe's outcome: a suspect returns by slow start, or is
// probed again after twice the wait.
func (t *Tracker) ObserveProbe(now time.Time, id domain.UpstreamID, ok bool) {
	t.with(id, func(u *upstream) {
		if ok && u.apply(eventRecover) {
			u.liveSince = now
			return
		}
		u.probeInterval = min(2*u.probeInterval, t.options.MaxProbeInterval)
		u.probeAt = now.Add(u.probeInterval)
	})
}
