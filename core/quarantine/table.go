package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// minMoments is the number of separate moments at which crashes must implicate a
	// part for it to be held, minMomentsAnswered the same for a part to which some
	// upstream is known to have answered.
	minMoments         = 3
	minMomentsAnswered = 5
	// manyCrashes is the number of crashes for which manyCrashesMoments suffice for a part
	// that was not answered.
	manyCrashes        = 5
	manyCrashesMoments = 2
	// minCrashSpacing is the time between two crashes that are separate moments.
	minCrashSpacing = 100 * time.Millisecond
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
	// parts, to arrive from other nodes before it counts.
	settleTime = 200 * time.Millisecond
	// refuteMargin is how much later than a crash an answer to a request that was sent
	// before it must arrive to refute the crash; the last bytes before a crash may be read
	// after it.
	refuteMargin = 100 * time.Millisecond
	// evidenceRetention is how long a crash counts as evidence.
	evidenceRetention = 10 * time.Minute
	// clearedRetention is how long other nodes are told that a part was cleared.
	clearedRetention = 5 * time.Second
	// heldRetention is how long a part without any request remains held, maxHeldFor how
	// long any part does.
	heldRetention = 10 * time.Minute
	maxHeldFor    = 24 * time.Hour
	// A trial of a held part is due firstTrialAfter after it was held, each further one
	// after trialBackoff times as long. A trial may crash one more upstream; the users
	// allow three such requests.
	firstTrialAfter = time.Minute
	trialBackoff    = 4
	maxTrials       = 3
	// maxParts is the maximum number of parts with evidence or held, about 500 kB.
	// maxPartsPerRequest is the number of parts of one request that are tracked.
	maxParts           = 2048
	maxPartsPerRequest = 16
	maxCrashesPerPart  = 12
	// maxProcesses is the maximum number of processes that are known to run although their
	// connections were lost, of those known to have crashed and of those known to run again.
	maxProcesses = 256
)

// Options configures a table.
type Options struct {
	// MayTry reports whether this node, and at present no other, may send a trial request
	// with a held part. If it is nil, no trials are sent.
	MayTry func(part uint64) bool
	// Changed is called when a part is held or released; it must not block. It may be nil.
	Changed func()
	Log     event.Logger
}

// Table holds what a node knows about parts of prompts that crash upstreams.
type Table struct {
	options Options

	mu    sync.Mutex
	parts map[uint64]*part
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
}

// New returns an empty table.
func New(o Options) *Table {
	if o.Log == nil {
		o.Log = event.Discard{}
	}
	return &Table{options: o, parts: make(map[uint64]*part), refuted: make(map[uint64]time.Time), crashed: make(map[uint64]time.Time), runAgain: make(map[uint64]time.Time)}
}

// ProcessID returns the identifier of a process of an upstream, the same at all nodes.
func ProcessID(id domain.UpstreamID, started int64) uint64 {
	return placement.RendezvousWeight(uint64(started), id)
}

// limit returns the parts of a request that are tracked: the last ones, as the first parts of
// a prompt are the most widely shared ones.
func limit(parts []uint64) (tracked []uint64, offset int) {
	offset = max(0, len(parts)-maxPartsPerRequest)
	return parts[offset:], offset
}

// RecordCrash records that a process of an upstream closed its connections before it
// began its answer to a request with the given shared parts that was sent at sentAt. A
// request that was sent to an upstream after its crash proves nothing.
func (t *Table) RecordCrash(now time.Time, process uint64, sentAt time.Time, parts []uint64) {
	tracked, offset := limit(parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.recordProcessCrash(now, process, sentAt) {
		return
	}
	c := crash{process, now}
	if i := slices.IndexFunc(tracked, t.isHeld); i >= 0 {
		tracked = tracked[i : i+1] // the held part explains the crash
		offset += i
	}
	for i, id := range tracked {
		if t.partFor(now, id, offset+i).addCrash(now, c, t.runAgain[process]) {
			t.changed = true
		}
	}
}

// RecordAnswer records that a process of an upstream is answering a request with the
// given shared parts that was sent at sentAt.
func (t *Table) RecordAnswer(now time.Time, process uint64, sentAt time.Time, parts []uint64) {
	tracked, _ := limit(parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range tracked {
		p := t.parts[id]
		if p == nil {
			t.answers.record(now, id)
			continue
		}
		t.applyAnswer(p, now, now, "answered")
	}
	t.refute(now, process, sentAt)
}

func (t *Table) applyAnswer(p *part, now, at time.Time, why string) {
	t.changed = true
	if p.answered(now, at) {
		t.logRelease(p, why)
	}
}

// Check returns a held part among those of a request; held is false if there is none.
// trial is set if the request may be sent all the same, to find out whether its held
// part still crashes upstreams.
func (t *Table) Check(now time.Time, parts []uint64) (part uint64, held, trial bool) {
	tracked, _ := limit(parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	i := slices.IndexFunc(tracked, t.isHeld)
	if i < 0 {
		return 0, false, false
	}
	p := t.parts[tracked[i]]
	p.requestedAt = now
	if p.trialDue(now) && t.options.MayTry != nil && t.options.MayTry(p.id) {
		p.trials++
		t.options.Log.Log(event.PartTried, event.F("part", format(p.id)), event.F("trial", p.trials))
		return p.id, true, true
	}
	return p.id, true, false
}

func (t *Table) isHeld(id uint64) bool {
	p := t.parts[id]
	return p != nil && p.held()
}

// trialDue reports whether the time of the next trial has come.
func (p *part) trialDue(now time.Time) bool {
	if p.trials >= maxTrials {
		return false
	}
	wait := firstTrialAfter
	for range p.trials {
		wait *= trialBackoff
	}
	return now.Sub(p.heldAt) >= wait
}

// Suspected reports whether a request with the given parts should not be sent a second
// time: crashes at more than one moment implicate one of them.
func (t *Table) Suspected(now time.Time, parts []uint64) bool {
	tracked, _ := limit(parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	return slices.ContainsFunc(tracked, func(id uint64) bool {
		p := t.parts[id]
		return p != nil && (p.held() || p.moments(now) > 1)
	})
}

// partFor returns the entry of a part, creating it if necessary.
func (t *Table) partFor(now time.Time, id uint64, position int) *part {
	p := t.parts[id]
	if p == nil {
		t.evict(now)
		p = &part{id: id, answeredAt: t.answers.lastAnswer(id)}
		t.parts[id] = p
	}
	p.position = max(p.position, position)
	return p
}

func (t *Table) logRelease(p *part, why string) {
	t.options.Log.Log(event.PartReleased, event.F("part", format(p.id)), event.F("why", why))
	t.notify()
}

// format returns the identifier of a part as callers write it.
func format(id uint64) string { return strconv.FormatUint(id, 16) }

func (t *Table) notify() {
	if t.options.Changed != nil {
		t.options.Changed()
	}
}
