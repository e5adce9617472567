package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// judge holds the suspects that enough crashes implicate. The caller must hold t.mu.
func (t *Table) judge(now time.Time) {
	if !t.changed {
		return
	}
	t.removeExplained()
	settled := now.Add(-settleTime)
	waiting := false
	for {
		var best *suspect
		for _, p := range t.suspects {
			if p.held() || len(p.crashes) == 0 {
				continue
			}
			waiting = waiting || p.unsettled(settled)
			if p.accused(settled) && (best == nil || morePlausible(p, best, settled)) {
				best = p
			}
		}
		if best == nil {
			t.changed = waiting
			return
		}
		best.heldAt, best.requestedAt, best.trials = now, now, 0
		t.options.Log.Log(event.PartHeld, event.F("part", format(best.ID)), event.F("kind", best.kind()), event.F("crashes", len(best.crashes)),
			event.F("moments", best.moments(settled)), event.F("answered", !best.answeredAt.IsZero()), event.F("from", "own verdict"))
		t.notify()
		t.removeExplained()
	}
}

// accused reports whether the crashes until settled suffice to hold the suspect.
func (p *suspect) accused(settled time.Time) bool {
	if p.processes() < minProcesses {
		return false
	}
	moments := p.moments(settled)
	if !p.answeredAt.IsZero() {
		return moments >= minMomentsAnswered
	}
	many := !p.Request && len(p.crashes) >= manyCrashes
	return moments >= minMoments || many && moments >= manyCrashesMoments
}

// morePlausible reports whether p is more likely than q to be the cause of the crashes:
// it was present at more of them; it was never answered, or longer ago; or it is the more
// specific one, as a sound part is shared by more prompts than it appears to.
func morePlausible(p, q *suspect, settled time.Time) bool {
	return cmp.Or(
		cmp.Compare(q.moments(settled), p.moments(settled)),
		p.answeredAt.Compare(q.answeredAt),
		cmp.Compare(q.position, p.position),
		cmp.Compare(p.ID, q.ID),
	) < 0
}

// removeExplained removes the crashes that a held suspect explains from the evidence
// against the others.
func (t *Table) removeExplained() {
	for _, h := range t.suspects {
		if !h.held() {
			continue
		}
		for _, p := range t.suspects {
			if !p.held() {
				p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return h.hasCrash(c) })
			}
		}
	}
}
