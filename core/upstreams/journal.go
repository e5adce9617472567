package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	// journalSpan is how far back a load report may reach.
	journalSpan = 10 * time.Second
	// maxJournal bounds the kept changes of one upstream.
	maxJournal = 4096
)

// change is one step of own work: requests in flight, prompt tokens pending.
type change struct {
	at       time.Time
	inFlight int
	pending  int
}

// journal counts own work and can restate it as changes since a past moment. Its
// owner's lock guards it; the counters inside own are read without.
type journal struct {
	own     *routing.OwnWork
	changes []change
}

func newJournal() journal { return journal{own: new(routing.OwnWork)} }

func (j *journal) start(now time.Time, promptTokens int) {
	j.own.Start(promptTokens)
	j.add(change{at: now, inFlight: 1, pending: promptTokens})
}

func (j *journal) firstToken(now time.Time, promptTokens int) {
	j.own.FirstToken(promptTokens)
	j.add(change{at: now, pending: -promptTokens})
}

func (j *journal) end(now time.Time) {
	j.own.End()
	j.add(change{at: now, inFlight: -1})
}

func (j *journal) add(c change) {
	j.prune(c.at)
	j.changes = append(j.changes, c)
}

func (j *journal) prune(now time.Time) {
	drop := max(len(j.changes)-maxJournal+1, 0)
	for drop < len(j.changes) && now.Sub(j.changes[drop].at) > journalSpan {
		drop++
	}
	if drop > 0 {
		j.changes = append(j.changes[:0], j.changes[drop:]...)
	}
}

// changedSince tells if own work started or ended after a moment.
func (j *journal) changedSince(t time.Time) bool {
	return len(j.changes) > 0 && j.changes[len(j.changes)-1].at.After(t)
}

// rebase restates own requests as changes after the moment of a load reading. It
// returns the prompt tokens that were pending at that moment.
func (j *journal) rebase(reading time.Time) (pendingThen int) {
	inFlight, pending := 0, 0
	for i := len(j.changes) - 1; i >= 0 && j.changes[i].at.After(reading); i-- {
		inFlight += j.changes[i].inFlight
		pending += j.changes[i].pending
	}
	j.own.Rebase(inFlight)
	return j.own.PendingTokens() - pending
}
