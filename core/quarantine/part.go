package quarantine

import (
	"slices"
	"time"
)

// crash is a crash of one process of an upstream.
type crash struct {
	// process identifies the process; see ProcessID.
	process uint64
	at      time.Time
}

// part is what is known about a part of prompts.
type part struct {
	id uint64
	// position is the greatest index of the part in the prompts that were seen with it.
	position int
	// crashes holds the crashes that implicate the part.
	crashes []crash
	// answeredAt is when an upstream last answered a prompt with the part; zero if it is
	// not known that one did.
	answeredAt time.Time
	// clearedAt is when this node last discarded evidence because of an answer.
	clearedAt time.Time
	// heldAt is when the part was held; zero if it is not held.
	heldAt time.Time
	// requestedAt is when a request with the held part last arrived at any node.
	requestedAt time.Time
	// trials is the number of trial requests that were sent since the part was held.
	trials int
}

func (p *part) held() bool { return !p.heldAt.IsZero() }

// addCrash adds a crash unless the part has been answered since, and reports whether the
// part changed. A process counts again only if it started again since: runAgainAt is when it
// is known to have run last.
func (p *part) addCrash(now time.Time, c crash, runAgainAt time.Time) bool {
	if !c.at.After(p.answeredAt) {
		p.clearedAt = now
		return false
	}
	if slices.ContainsFunc(p.crashes, func(known crash) bool {
		return known.process == c.process && !(runAgainAt.After(known.at) && c.at.Sub(known.at) >= minRestartTime)
	}) {
		return false
	}
	p.crashes = append(p.crashes, c)
	if len(p.crashes) > maxCrashesPerPart {
		p.crashes = slices.Delete(p.crashes, 0, 1)
	}
	return true
}

func (p *part) hasCrash(process uint64) bool {
	return slices.ContainsFunc(p.crashes, func(c crash) bool { return c.process == process })
}

// processes returns the number of processes whose crashes implicate the part.
func (p *part) processes() int {
	distinct := make(map[uint64]bool, len(p.crashes))
	for _, c := range p.crashes {
		distinct[c.process] = true
	}
	return len(distinct)
}

// answered clears the part of the evidence before an answer. It ends a hold from before the
// answer, and one for which no evidence remains, and reports whether it ended one.
func (p *part) answered(now, at time.Time) (released bool) {
	if !at.After(p.answeredAt) {
		return false
	}
	p.answeredAt = at
	before := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return !c.at.After(at) })
	released = p.held() && (at.After(p.heldAt) || len(p.crashes) == 0)
	if released {
		p.release()
	}
	if released || len(p.crashes) < before {
		p.clearedAt = now
	}
	return released
}

func (p *part) release() { p.heldAt, p.requestedAt, p.trials = time.Time{}, time.Time{}, 0 }

// removeCrash removes a crash of a process at the given time or before, and reports whether
// there was one.
func (p *part) removeCrash(process uint64, upTo time.Time) bool {
	before := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return c.process == process && !c.at.After(upTo) })
	return len(p.crashes) < before
}

// latest returns when the part was last accused, cleared or held.
func (p *part) latest() time.Time {
	latest := p.heldAt
	if p.clearedAt.After(latest) {
		latest = p.clearedAt
	}
	for _, c := range p.crashes {
		if c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// unsettled reports whether a crash after the given time implicates the part.
func (p *part) unsettled(settled time.Time) bool {
	return slices.ContainsFunc(p.crashes, func(c crash) bool { return c.at.After(settled) })
}

// moments returns the number of separate moments at which crashes up to the given time
// implicate the part. Crashes within minCrashSpacing count as one: upstreams that crash
// together have a common cause.
func (p *part) moments(upTo time.Time) int {
	times := make([]time.Time, 0, len(p.crashes))
	for _, c := range p.crashes {
		if !c.at.After(upTo) {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, t := range times {
		if n == 0 || t.Sub(last) >= minCrashSpacing {
			n++
			last = t
		}
	}
	return n
}
