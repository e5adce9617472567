package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
)

// Record is what a node tells others about a suspect. Times are given as the time since
// then; negative means never.
type Record struct {
	Subject
	Position int
	Crashes  []CrashRecord
	// SinceAnswer is the time since some upstream answered a request with the suspect.
	SinceAnswer time.Duration
	// SinceHeld is the time since the suspect was held.
	SinceHeld time.Duration
	// SinceRequest is the time since a request with the held suspect arrived.
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
	Suspects []Record
	// Refuted lists processes that were known to run at some time after a supposed crash.
	Refuted []CrashRecord
}

// Held returns the records of held suspects and of their alternatives, those held last first, for a store that outlasts all nodes.
func (t *Table) Held(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.judge(now)
	wanted := make(map[Subject]bool)
	for s, p := range t.suspects {
		if p.held() {
			wanted[s] = true
			for _, q := range p.alternatives {
				wanted[q] = true
			}
		}
	}
	var list []*suspect
	for s := range wanted {
		if p := t.suspects[s]; p != nil {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int { return cmp.Or(b.heldAt.Compare(a.heldAt), cmp.Compare(a.ID, b.ID)) })
	records := make([]Record, 0, min(len(list), maxStoredRecords))
	for _, p := range list[:min(len(list), maxStoredRecords)] {
		records = append(records, p.record(now))
	}
	return records
}

// maxRecords is the maximum number of records of each kind in one message, maxStoredRecords that of records in a store.
const (
	maxRecords       = 16
	maxStoredRecords = 64
)

// never is a duration in a record that stands for a time that never was.
const never = time.Duration(-1)

// Message returns what another node is told, with the records of held suspects first. It is empty
// while nothing crashes.
func (t *Table) Message(now time.Time) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.judge(now)
	return Message{Suspects: append(t.partRecords(now), t.requestRecords(now)...), Refuted: t.refutations(now)}
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

// partRecords returns the records of held parts, then of those that several crashes implicate, which nodes must learn together
// to compare them, then of those with the latest news.
func (t *Table) partRecords(now time.Time) []Record {
	return t.records(now, false, func(a, b *suspect) int {
		return cmp.Or(compareBool(b.held(), a.held()), compareBool(len(b.crashes) > 1, len(a.crashes) > 1), b.latest().Compare(a.latest()), cmp.Compare(a.ID, b.ID))
	})
}

// requestRecords returns the records of held requests, then of those on which most upstreams crashed.
// All requests that a crash breaks off are suspect; which of them are in a message differs from
// message to message.
func (t *Table) requestRecords(now time.Time) []Record {
	t.messages++
	order := func(p *suspect) uint64 { return placement.RendezvousWeight(p.ID^t.messages, "") }
	return t.records(now, true, func(a, b *suspect) int {
		return cmp.Or(compareBool(b.held(), a.held()), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(order(a), order(b)))
	})
}

// records returns the first maxRecords records of a kind in the given order.
func (t *Table) records(now time.Time, requests bool, compare func(a, b *suspect) int) []Record {
	if t.count(requests) == 0 {
		return nil
	}
	var list []*suspect
	for s, p := range t.suspects {
		if s.Request == requests {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, compare)
	list = list[:min(maxRecords, len(list))]
	records := make([]Record, 0, len(list))
	for _, p := range list {
		records = append(records, p.record(now))
	}
	return records
}

func (p *suspect) record(now time.Time) Record {
	r := Record{Subject: p.Subject, Position: p.position, SinceAnswer: since(now, p.answeredAt), SinceHeld: since(now, p.heldAt),
		SinceRequest: since(now, p.requestedAt), Trials: p.trials}
	for _, c := range p.crashes {
		r.Crashes = append(r.Crashes, CrashRecord{c.process, now.Sub(c.at)})
	}
	return r
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
	for i := range m.Suspects {
		t.merge(now, &m.Suspects[i])
	}
	t.judge(now)
}

// merge adopts a record. A hold is not adopted if an answer that this node knows of is later
// than all its evidence. The evidence of a hold counts as long as the hold does.
func (t *Table) merge(now time.Time, r *Record) {
	heldAt := before(now, r.SinceHeld)
	holds := !heldAt.IsZero() && r.SinceHeld <= maxHeldFor && r.SinceRequest <= heldRetention
	p := t.suspectFor(now, r.Subject, r.Position)
	if at := before(now, r.SinceAnswer); at.After(p.answeredAt) {
		t.applyAnswer(p, now, at, "answered elsewhere")
	}
	for _, c := range r.Crashes {
		at := before(now, c.Since)
		if c.Since > evidenceRetention && !holds || !at.After(t.refuted[c.Process]) {
			continue
		}
		if known, ok := t.crashed[c.Process]; !ok || at.Before(known) && !t.runAgain[c.Process].After(at) {
			setBounded(t.crashed, c.Process, at)
		}
		if p.addCrash(now, crash{c.Process, at}, at) { // the other node knows that the process ran again
			t.changed = true
		}
	}
	if !holds || len(p.crashes) == 0 || !heldAt.After(p.answeredAt) {
		return
	}
	if !p.held() {
		p.heldAt = heldAt
		t.changed = true
		t.options.Log.Log(event.PartHeld, event.F("part", format(p.ID)), event.F("kind", p.kind()), event.F("crashes", len(p.crashes)), event.F("from", "another node"))
		t.notify()
	} else if heldAt.Before(p.heldAt) {
		p.heldAt = heldAt
	}
	p.trials = max(p.trials, r.Trials)
	if at := before(now, r.SinceRequest); at.After(p.requestedAt) {
		p.requestedAt = at
	}
}
