package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// minMoments is the number of separate moments at which crashes must implicate a
	// suspect for it to be held, minMomentsAnswered the same for one that some upstream is
	// known to have answered.
	minMoments         = 3
	minMomentsAnswered = 5
	// manyCrashes is the number of crashes for which manyCrashesMoments suffice for a suspect
	// that was not answered.
	manyCrashes        = 5
	manyCrashesMoments = 2
	// minCrashSpacing is the time between two crashes that are separate moments. For whole
	// requests it is longer than the transit of a record over several nodes, which makes crashes
	// appear later: upstreams that crash together may all be running the same sound request.
	minCrashSpacing        = 100 * time.Millisecond
	minRequestCrashSpacing = 200 * time.Millisecond
	// minProcesses is the number of processes that must have crashed: connections to a single
	// upstream may be lost again and again for other reasons.
	minProcesses = 2
	// minRestartTime is the minimum time in which an upstream starts again. Until its new entry
	// is known, its processes cannot be told apart otherwise.
	minRestartTime = time.Second
	// minServiceTime is the time for which an upstream that runs works on a request before it
	// begins its answer. A proxy of one that is down closes connections sooner.
	minServiceTime = 20 * time.Millisecond
	// settleTime is how long evidence waits for answers, and for evidence against other
	// suspects, to arrive from other nodes before it counts.
	settleTime = 200 * time.Millisecond
	// refuteMargin is how much later than a crash an answer to a request that was sent
	// before it must arrive to refute the crash; the last bytes before a crash may be read
	// after it.
	refuteMargin = 100 * time.Millisecond
	// evidenceRetention is how long a crash counts as evidence.
	evidenceRetention = 10 * time.Minute
	// clearedRetention is how long other nodes are told that a suspect was cleared.
	clearedRetention = 5 * time.Second
	// heldRetention is how long a suspect without any request remains held, maxHeldFor how
	// long any suspect does.
	heldRetention = 10 * time.Minute
	maxHeldFor    = 24 * time.Hour
	// A trial of a held suspect is due firstTrialAfter after it was held, each further one
	// after trialBackoff times as long. A trial may crash one more upstream; the users
	// allow three such requests.
	firstTrialAfter = time.Minute
	trialBackoff    = 4
	maxTrials       = 3
	// From crashesUntilProbation on, a request that is not held is sent by one node only, once in
	// probationInterval. They may all have been at one moment, which is not enough to hold it.
	crashesUntilProbation = 3
	probationInterval     = time.Second
	// maxSuspects is the maximum number of suspects of each kind, about 500 kB.
	// maxSubjectsPerRequest is the number of subjects of one request that are tracked.
	maxSuspects           = 2048
	maxSubjectsPerRequest = 16
	maxCrashesPerSuspect  = 12
	// maxProcesses is the maximum number of processes that are known to run although their
	// connections were lost, of those known to have crashed and of those known to run again.
	maxProcesses = 256
)

// Options configures a table.
type Options struct {
	// MayTry reports whether this node, and at present no other, may send a trial request
	// with a held suspect. If it is nil, no trials are sent.
	MayTry func(id uint64) bool
	// Chosen reports whether this node is the one, of those it hears of, that sends a request on
	// which several upstreams have crashed. If it is nil, every node does.
	Chosen func(id uint64) bool
	// Changed is called when a suspect is held, tried or released; it must not block. It may be nil.
	Changed func()
	Log     event.Logger
}

// Table holds what a node knows about parts of prompts and requests that crash upstreams.
type Table struct {
	options Options

	// requests is the number of suspects that are whole requests.
	requests atomic.Int32

	mu       sync.Mutex
	suspects map[Subject]*suspect
	// answers holds when parts without evidence were last answered.
	answers recentAnswers
	// refuted holds, for processes that went on answering after a supposed crash, a time
	// at which they are known to have run.
	refuted map[uint64]time.Time
	// crashed holds when processes were first seen to crash.
	crashed map[uint64]time.Time
	// runAgain holds when processes with a crash answered a later request: the upstream has
	// started again, and its new entry is not known yet.
	runAgain map[uint64]time.Time
	// changed is set when evidence changed since the last verdict.
	changed bool
	// messages counts the messages to other nodes.
	messages uint64
}

// New returns an empty table.
func New(o Options) *Table {
	if o.Log == nil {
		o.Log = event.Discard{}
	}
	return &Table{options: o, suspects: make(map[Subject]*suspect), refuted: make(map[uint64]time.Time), crashed: make(map[uint64]time.Time), runAgain: make(map[uint64]time.Time)}
}

// ProcessID returns the identifier of a process of an upstream, the same at all nodes.
func ProcessID(id domain.UpstreamID, started int64) uint64 {
	return placement.RendezvousWeight(uint64(started), id)
}

// HasRequests reports whether any whole request is suspect. If none is, a request need not be
// identified before an upstream has crashed on it.
func (t *Table) HasRequests() bool { return t.requests.Load() > 0 }

// limit returns the subjects of a request that are tracked: the last ones, as the first parts of
// a prompt are the most widely shared ones.
func limit(subjects []Subject) (tracked []Subject, offset int) {
	offset = max(0, len(subjects)-maxSubjectsPerRequest)
	return subjects[offset:], offset
}

// RecordCrash records that a process of an upstream closed its connections before it
// began its answer to a request with the given subjects that was sent at sentAt. Its most
// specific subject is the last one. A request that was sent to an upstream after its crash
// proves nothing.
func (t *Table) RecordCrash(now time.Time, process uint64, sentAt time.Time, subjects []Subject) {
	tracked, offset := limit(subjects)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.recordProcessCrash(now, process, sentAt) {
		return
	}
	c := crash{process, now}
	_, explained := t.decisive(tracked, subjects)
	for i, s := range tracked {
		if explained && t.suspects[s] == nil {
			continue
		}
		if t.suspectFor(now, s, offset+i).addCrash(now, c, t.runAgain[process]) {
			t.changed = true
		}
	}
}

// RecordAnswer records that a process of an upstream is answering a request with the
// given subjects that was sent at sentAt.
func (t *Table) RecordAnswer(now time.Time, process uint64, sentAt time.Time, subjects []Subject) {
	tracked, _ := limit(subjects)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range tracked {
		if p := t.suspects[s]; p != nil {
			t.applyAnswer(p, now, now, "answered")
		} else if !s.Request {
			t.answers.record(now, s.ID)
		}
	}
	t.refute(now, process, sentAt)
}

func (t *Table) applyAnswer(p *suspect, now, at time.Time, why string) {
	t.changed = true
	onProbation := p.onProbation()
	if p.answered(now, at) {
		t.logRelease(p, why)
	} else if onProbation && len(p.crashes) == 0 {
		t.notify()
	}
}

// Decision is whether a request may be sent.
type Decision uint8

const (
	// Send means that no subject is held or on probation.
	Send Decision = iota
	// Try means that it may be sent although a subject is held or on probation, to find out whether
	// that still crashes upstreams.
	Try
	// Wait means that it may be sent later, or by another node: upstreams have crashed on it, and it
	// is sent once at a time.
	Wait
	// Refuse means that a subject is held.
	Refuse
)

// Check decides whether a request with the given subjects may be sent, and returns the subject that is
// held or on probation, if any.
func (t *Table) Check(now time.Time, subjects []Subject) (Decision, Subject) {
	tracked, _ := limit(subjects)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	if held, ok := t.decisive(tracked, subjects); ok {
		return t.checkHeld(now, t.suspects[held], subjects), held
	}
	for _, s := range tracked {
		if p := t.suspects[s]; p != nil && !p.held() && p.onProbation() {
			return t.checkProbation(now, p), s
		}
	}
	return Send, Subject{}
}

// checkHeld decides whether a request with a held suspect is sent as a trial.
func (t *Table) checkHeld(now time.Time, p *suspect, subjects []Subject) Decision {
	for _, s := range subjects {
		if other := t.suspects[s]; other != nil && other.held() {
			other.requestedAt = now
		}
	}
	if !p.trialDue(now) || t.options.MayTry == nil || !t.options.MayTry(p.ID) {
		return Refuse
	}
	p.trials++
	t.options.Log.Log(event.PartTried, event.F("part", format(p.ID)), event.F("kind", p.kind()), event.F("trial", p.trials))
	t.notify() // no other node is to repeat it
	return Try
}

// onProbation reports whether the suspect is a request on which so many upstreams have crashed that it
// is sent once at a time.
func (p *suspect) onProbation() bool {
	return p.Request && len(p.crashes) >= crashesUntilProbation && p.processes() >= crashesUntilProbation
}

// checkProbation decides whether this node sends a request on probation now.
func (t *Table) checkProbation(now time.Time, p *suspect) Decision {
	if now.Sub(p.probedAt) < probationInterval || t.options.Chosen != nil && !t.options.Chosen(p.ID) {
		return Wait
	}
	p.probedAt = now
	return Try
}

// trialDue reports whether the time of the next trial has come.
func (p *suspect) trialDue(now time.Time) bool {
	if p.trials >= maxTrials {
		return false
	}
	wait := firstTrialAfter
	for range p.trials {
		wait *= trialBackoff
	}
	return now.Sub(p.heldAt) >= wait
}

// Suspected reports whether a request with the given subjects should not be sent a second
// time: crashes at more than one moment implicate one of them.
func (t *Table) Suspected(now time.Time, subjects []Subject) bool {
	tracked, _ := limit(subjects)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	return slices.ContainsFunc(tracked, func(s Subject) bool {
		p := t.suspects[s]
		return p != nil && (p.held() || p.moments(now) > 1)
	})
}

// suspectFor returns the entry of a subject, creating it if necessary.
func (t *Table) suspectFor(now time.Time, s Subject, position int) *suspect {
	p := t.suspects[s]
	if p == nil {
		t.evict(now, s.Request)
		p = &suspect{Subject: s}
		if s.Request {
			t.requests.Add(1)
		} else {
			p.answeredAt = t.answers.lastAnswer(s.ID)
		}
		t.suspects[s] = p
	}
	p.position = max(p.position, position)
	return p
}

// remove removes the entry of a subject.
func (t *Table) remove(s Subject) {
	delete(t.suspects, s)
	if s.Request {
		t.requests.Add(-1)
	}
}

func (t *Table) logRelease(p *suspect, why string) {
	t.options.Log.Log(event.PartReleased, event.F("part", format(p.ID)), event.F("kind", p.kind()), event.F("why", why))
	t.notify()
}

// format returns the identifier of a part as callers write it.
func format(id uint64) string { return strconv.FormatUint(id, 16) }

func (t *Table) notify() {
	if t.options.Changed != nil {
		t.options.Changed()
	}
}
