package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictedShare is the inverse of the share of parts that are removed at once when there
// are too many.
const evictedShare = 8

// evict removes expired parts once there are too many, and those with the least evidence if
// that is not sufficient.
func (t *Table) evict(now time.Time) {
	if len(t.parts) < maxParts {
		return
	}
	t.expire(now)
	if len(t.parts) < maxParts {
		return
	}
	list := slices.SortedFunc(maps.Values(t.parts), func(a, b *part) int {
		return cmp.Or(compareBool(a.held(), b.held()), cmp.Compare(len(a.crashes), len(b.crashes)), a.latest().Compare(b.latest()))
	})
	for _, p := range list[:len(list)/evictedShare] {
		delete(t.parts, p.id)
	}
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

// expire removes old evidence, ends holds without requests and removes parts without
// either.
func (t *Table) expire(now time.Time) {
	for id, p := range t.parts {
		if p.held() {
			if now.Sub(p.requestedAt) > heldRetention || now.Sub(p.heldAt) > maxHeldFor {
				p.crashes = nil
				p.release()
				t.logRelease(p, "expired")
			}
			continue
		}
		p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return now.Sub(c.at) > evidenceRetention })
		if len(p.crashes) == 0 && now.Sub(p.clearedAt) > clearedRetention {
			if !p.answeredAt.IsZero() {
				t.answers.record(p.answeredAt, id)
			}
			delete(t.parts, id)
		}
	}
	for _, processes := range []map[uint64]time.Time{t.refuted, t.crashed, t.runAgain} {
		maps.DeleteFunc(processes, func(_ uint64, at time.Time) bool { return now.Sub(at) > evidenceRetention })
	}
}
