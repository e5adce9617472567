package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// Record is what a node tells others about a part. Times are given as the time since
// then; negative means never.
type Record struct {
	Part     uint64
	Position int
	Crashes  []CrashRecord
	// SinceAnswer is the time since some upstream answered a prompt with the part.
	SinceAnswer time.Duration
	// SinceHeld is the time since the part was held.
	SinceHeld time.Duration
	// SinceRequest is the time since a request with the held part arrived.
	SinceRequest time.Duration
	Trials       int
}

// CrashRecord is a supposed crash of a process, or a time at which the process is known to
// have run nevertheless.
type CrashRecord struct {
	Process uint64
	Since   time.Duration
}

// Message is what a node tells another one.
type Message struct {
	Parts []Record
	// Refuted lists processes that were known to run at some time after a supposed crash.
	Refuted []CrashRecord
}

// maxRecords is the maximum number of records of each kind in one message.
const maxRecords = 16

// never is a duration in a record that stands for a time that never was.
const never = time.Duration(-1)

// Message returns what another node is told, with the records of held parts first, then of
// those with the latest news. It is empty while nothing crashes.
func (t *Table) Message(now time.Time) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.judge(now)
	return Message{Parts: t.records(now), Refuted: t.refutations(now)}
}

// refutations returns the latest refutations.
func (t *Table) refutations(now time.Time) []CrashRecord {
	if len(t.refuted) == 0 {
		return nil
	}
	list := make([]CrashRecord, 0, len(t.refuted))
	for process, at := range t.refuted {
		list = append(list, CrashRecord{process, now.Sub(at)})
	}
	slices.SortFunc(list, func(a, b CrashRecord) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Process, b.Process))
	})
	return list[:min(maxRecords, len(list))]
}

func (t *Table) records(now time.Time) []Record {
	if len(t.parts) == 0 {
		return nil
	}
	list := slices.Collect(maps.Values(t.parts))
	slices.SortFunc(list, func(a, b *part) int {
		return cmp.Or(compareBool(b.held(), a.held()), b.latest().Compare(a.latest()), cmp.Compare(a.id, b.id))
	})
	list = list[:min(maxRecords, len(list))]
	records := make([]Record, 0, len(list))
	for _, p := range list {
		r := Record{Part: p.id, Position: p.position, SinceAnswer: since(now, p.answeredAt), SinceHeld: since(now, p.heldAt),
			SinceRequest: since(now, p.requestedAt), Trials: p.trials}
		for _, c := range p.crashes {
			r.Crashes = append(r.Crashes, CrashRecord{c.process, now.Sub(c.at)})
		}
		records = append(records, r)
	}
	return records
}

func since(now, t time.Time) time.Duration {
	if t.IsZero() {
		return never
	}
	return max(0, now.Sub(t))
}

func before(now time.Time, d time.Duration) time.Time {
	if d < 0 {
		return time.Time{}
	}
	return now.Add(-d)
}

// Merge adopts the message of another node.
func (t *Table) Merge(now time.Time, m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range m.Refuted {
		t.applyRefutation(r.Process, before(now, r.Since))
	}
	for i := range m.Parts {
		t.merge(now, &m.Parts[i])
	}
	t.judge(now)
}

// merge adopts a record. A hold is not adopted if an answer that this node knows of is later
// than all its evidence.
func (t *Table) merge(now time.Time, r *Record) {
	p := t.partFor(now, r.Part, r.Position)
	if at := before(now, r.SinceAnswer); at.After(p.answeredAt) {
		t.applyAnswer(p, now, at, "answered elsewhere")
	}
	for _, c := range r.Crashes {
		at := before(now, c.Since)
		if c.Since > evidenceRetention || !at.After(t.refuted[c.Process]) {
			continue
		}
		if known, ok := t.crashed[c.Process]; !ok || at.Before(known) && !t.runAgain[c.Process].After(at) {
			setBounded(t.crashed, c.Process, at)
		}
		if p.addCrash(now, crash{c.Process, at}, at) { // the other node knows that the process ran again
			t.changed = true
		}
	}
	heldAt := before(now, r.SinceHeld)
	if heldAt.IsZero() || len(p.crashes) == 0 || !heldAt.After(p.answeredAt) || r.SinceHeld > maxHeldFor || r.SinceRequest > heldRetention {
		return
	}
	if !p.held() {
		p.heldAt = heldAt
		t.changed = true
		t.options.Log.Log(event.PartHeld, event.F("part", format(p.id)), event.F("crashes", len(p.crashes)), event.F("from", "another node"))
		t.notify()
	} else if heldAt.Before(p.heldAt) {
		p.heldAt = heldAt
	}
	p.trials = max(p.trials, r.Trials)
	if at := before(now, r.SinceRequest); at.After(p.requestedAt) {
		p.requestedAt = at
	}
}
