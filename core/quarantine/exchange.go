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

// CrashRecord is a crash of a process.
type CrashRecord struct {
	Process uint64
	Since   time.Duration
}

// maxRecords is the maximum number of records in one message.
const maxRecords = 16

// never is a duration in a record that stands for a time that never was.
const never = time.Duration(-1)

// Records returns records for another node, at most maxRecords: of held parts first, then
// of those with the latest news.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.judge(now)
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

// Merge adopts the records of another node.
func (t *Table) Merge(now time.Time, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		t.merge(now, &records[i])
	}
	t.judge(now)
}

func (t *Table) merge(now time.Time, r *Record) {
	p := t.partFor(now, r.Part, r.Position)
	if at := before(now, r.SinceAnswer); at.After(p.answeredAt) {
		t.applyAnswer(p, now, at, "answered elsewhere")
	}
	for _, c := range r.Crashes {
		if _, refuted := t.refuted[c.Process]; refuted || c.Since > evidenceRetention {
			continue
		}
		if p.addCrash(now, crash{c.Process, before(now, c.Since)}) {
			t.changed = true
		}
	}
	heldAt := before(now, r.SinceHeld)
	if heldAt.IsZero() || !heldAt.After(p.answeredAt) || r.SinceHeld > maxHeldFor || r.SinceRequest > heldRetention {
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
