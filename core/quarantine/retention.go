package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictedShare is the inverse of the share of suspects that are removed at once when there
// are too many.
const evictedShare = 8

// evict removes expired suspects once there are too many whole requests, or too many parts, and
// those with the least evidence if that is not sufficient.
func (t *Table) evict(now time.Time, requests bool) {
	if t.count(requests) < maxSuspects {
		return
	}
	t.expire(now)
	if t.count(requests) < maxSuspects {
		return
	}
	list := slices.SortedFunc(func(yield func(*suspect) bool) {
		for s, p := range t.suspects {
			if s.Request == requests && !yield(p) {
				return
			}
		}
	}, func(a, b *suspect) int {
		return cmp.Or(compareBool(a.held(), b.held()), cmp.Compare(len(a.crashes), len(b.crashes)), a.latest().Compare(b.latest()))
	})
	for _, p := range list[:len(list)/evictedShare] {
		t.remove(p.Subject)
	}
}

// count returns the number of suspects that are whole requests, or parts.
func (t *Table) count(requests bool) int {
	n := int(t.requests.Load())
	if !requests {
		n = len(t.suspects) - n
	}
	return n
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// expire removes old evidence, ends holds without requests and removes suspects without
// either.
func (t *Table) expire(now time.Time) {
	for s, p := range t.suspects {
		if p.held() {
			if now.Sub(p.requestedAt) > heldRetention || now.Sub(p.heldAt) > maxHeldFor {
				p.crashes = nil
				p.release()
				t.changed = true
				t.logRelease(p, "expired")
			}
			continue
		}
		p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return now.Sub(c.at) > evidenceRetention })
		if len(p.crashes) == 0 && now.Sub(p.clearedAt) > clearedRetention {
			if !s.Request && !p.answeredAt.IsZero() {
				t.answers.record(p.answeredAt, s.ID)
			}
			t.remove(s)
		}
	}
	for _, processes := range []map[uint64]time.Time{t.refuted, t.crashed, t.runAgain} {
		maps.DeleteFunc(processes, func(_ uint64, at time.Time) bool { return now.Sub(at) > evidenceRetention })
	}
}
