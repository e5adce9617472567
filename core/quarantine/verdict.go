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
	held := t.heldSuspects()
	t.removeExplained(held)
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
			t.findAlternatives(held)
			return
		}
		best.heldAt, best.requestedAt, best.trials = now, now, 0
		t.options.Log.Log(event.PartHeld, event.F("part", format(best.ID)), event.F("kind", best.kind()), event.F("crashes", len(best.crashes)),
			event.F("moments", best.moments(settled)), event.F("answered", !best.answeredAt.IsZero()), event.F("from", "own verdict"))
		t.notify()
		held = append(held, best)
		t.removeExplained(held)
	}
}

func (t *Table) heldSuspects() []*suspect {
	var held []*suspect
	for _, p := range t.suspects {
		if p.held() {
			held = append(held, p)
		}
	}
	return held
}

// alternativeTo reports whether p may be the cause of the crashes that implicate q instead of q: it was present at all of them, and
// it is not known to have been answered if q is not.
func (p *suspect) alternativeTo(q *suspect) bool {
	return len(p.crashes) >= len(q.crashes) && p != q && (p.answeredAt.IsZero() || !q.answeredAt.IsZero()) &&
		!slices.ContainsFunc(q.crashes, func(c crash) bool { return !p.hasCrash(c) })
}

// findAlternatives finds the alternatives of the held suspects. A request without one of them may be sound, and shows which one is
// the cause.
func (t *Table) findAlternatives(held []*suspect) {
	for _, h := range held {
		h.alternatives = nil
	}
	if len(held) == 0 {
		return
	}
	for _, p := range t.suspects {
		for _, h := range held {
			if p.alternativeTo(h) {
				h.alternatives = append(h.alternatives, p.Subject)
			}
		}
	}
}

// decisive returns the first held subject of a request by which it is refused: the request has all others that may be the
// cause instead. It returns false if there is none.
func (t *Table) decisive(tracked, all []Subject) (Subject, bool) {
	i := slices.IndexFunc(tracked, func(s Subject) bool {
		p := t.suspects[s]
		return p != nil && p.held() && !slices.ContainsFunc(p.alternatives, func(q Subject) bool { return !slices.Contains(all, q) })
	})
	if i < 0 {
		return Subject{}, false
	}
	return tracked[i], true
}

// accused reports whether the crashes until settled suffice to hold the suspect.
func (p *suspect) accused(settled time.Time) bool {
	if len(p.crashes) < minMoments || p.processes() < minProcesses { // most have a single crash
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
// it was present at more of them, or it was never answered, or longer ago.
func morePlausible(p, q *suspect, settled time.Time) bool {
	return cmp.Or(
		cmp.Compare(q.moments(settled), p.moments(settled)),
		p.answeredAt.Compare(q.answeredAt),
		cmp.Compare(p.ID, q.ID),
	) < 0
}

// removeExplained removes the crashes that a held suspect explains from the evidence
// against the others, except against its alternatives.
func (t *Table) removeExplained(held []*suspect) {
	if len(held) == 0 {
		return
	}
	for _, p := range t.suspects {
		if p.held() {
			continue
		}
		for _, h := range held {
			if len(p.crashes) > 0 && !p.alternativeTo(h) {
				p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return h.hasCrash(c) })
			}
		}
	}
}
