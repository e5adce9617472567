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

// Subject identifies what may crash upstreams: a part of prompts, or a whole request that comes
// again.
type Subject struct {
	// ID is the identifier of the part, or the fingerprint of the request.
	ID uint64
	// Request is set for a whole request.
	Request bool
}

// Parts returns the subjects with the given identifiers of parts.
func Parts(ids ...uint64) []Subject {
	subjects := make([]Subject, 0, len(ids))
	for _, id := range ids {
		subjects = append(subjects, Subject{ID: id})
	}
	return subjects
}

// kind returns the kind of the subject as it appears in logs.
func (s Subject) kind() string {
	if s.Request {
		return "request"
	}
	return "part"
}

// suspect is what is known about a subject. Where comments speak of requests with a suspect, they mean
// those whose prompt has the part, or the whole request itself.
type suspect struct {
	Subject
	// position is the greatest index of the subject among those of a request. Nodes of earlier builds judge by it.
	position int
	// crashes holds the crashes that implicate the suspect.
	crashes []crash
	// answeredAt is when an upstream last answered a request with the suspect; zero if it is
	// not known that one did.
	answeredAt time.Time
	// clearedAt is when this node last discarded evidence because of an answer.
	clearedAt time.Time
	// heldAt is when the suspect was held; zero if it is not held.
	heldAt time.Time
	// requestedAt is when a request with the held suspect last arrived at any node.
	requestedAt time.Time
	// probedAt is when this node last sent the request on probation.
	probedAt time.Time
	// alternatives are the others that may be the cause of its crashes instead, while it is held.
	alternatives []Subject
	// trials is the number of trial requests that were sent since the suspect was held.
	trials int
}

func (p *suspect) held() bool { return !p.heldAt.IsZero() }

// addCrash adds a crash unless the suspect has been answered since, and reports whether it
// changed. A process counts again only if it started again since: runAgainAt is when it
// is known to have run last.
func (p *suspect) addCrash(now time.Time, c crash, runAgainAt time.Time) bool {
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
	if len(p.crashes) > maxCrashesPerSuspect {
		p.crashes = slices.Delete(p.crashes, 0, 1)
	}
	return true
}

// hasCrash reports whether a crash implicates the suspect. A process that is known under the same identifier may
// have started again and crashed once more.
func (p *suspect) hasCrash(c crash) bool {
	return slices.ContainsFunc(p.crashes, func(known crash) bool {
		return known.process == c.process && c.at.Sub(known.at).Abs() < minRestartTime
	})
}

// processes returns the number of processes whose crashes implicate the suspect.
func (p *suspect) processes() int {
	distinct := make(map[uint64]bool, len(p.crashes))
	for _, c := range p.crashes {
		distinct[c.process] = true
	}
	return len(distinct)
}

// answered clears the suspect of the evidence before an answer. It ends a hold from before the
// answer, and one for which no evidence remains, and reports whether it ended one.
func (p *suspect) answered(now, at time.Time) (released bool) {
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

func (p *suspect) release() { p.heldAt, p.requestedAt, p.trials = time.Time{}, time.Time{}, 0 }

// removeCrash removes a crash of a process at the given time or before, and reports whether
// there was one.
func (p *suspect) removeCrash(process uint64, upTo time.Time) bool {
	before := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return c.process == process && !c.at.After(upTo) })
	return len(p.crashes) < before
}

// latest returns when the suspect was last accused, cleared or held.
func (p *suspect) latest() time.Time {
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

// unsettled reports whether a crash after the given time implicates the suspect.
func (p *suspect) unsettled(settled time.Time) bool {
	return slices.ContainsFunc(p.crashes, func(c crash) bool { return c.at.After(settled) })
}

// moments returns the number of separate moments at which crashes up to the given time
// implicate the suspect. Crashes that follow each other sooner than the minimum spacing count as one:
// upstreams that crash together have a common cause.
func (p *suspect) moments(upTo time.Time) int {
	times := make([]time.Time, 0, len(p.crashes))
	for _, c := range p.crashes {
		if !c.at.After(upTo) {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	spacing := minCrashSpacing
	if p.Request {
		spacing = minRequestCrashSpacing
	}
	n := 0
	var last time.Time
	for _, t := range times {
		if n == 0 || t.Sub(last) >= spacing {
			n++
			last = t
		}
	}
	return n
}
