package operations

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// ExecutorRef names the process that an attempt is sent to.
type ExecutorRef struct {
	Node        domain.NodeID
	Incarnation domain.Incarnation
}

// Record is one started operation: its state and the answer of its only run.
type Record struct {
	shard       *issuerShard
	sequence    uint64
	fingerprint uint64
	started     time.Duration
	ended       time.Duration // guarded by the shard's lock

	mu       sync.Mutex
	state    State
	attempt  uint32
	executor ExecutorRef
	failure  *errkind.Error
	kept     keptAnswer
}

func newRecord(s *issuerShard, sequence, fingerprint uint64, now time.Duration) *Record {
	return &Record{shard: s, sequence: sequence, fingerprint: fingerprint, started: now, state: Started}
}

// State returns where the operation stands.
func (r *Record) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Executor returns the process of the latest attempt and the attempt's number;
// zero before the first.
func (r *Record) Executor() (ExecutorRef, uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executor, r.attempt
}

func (r *Record) join(fingerprint uint64) (Began, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state == NotRun:
		return Began{}, r.failure
	case r.fingerprint != fingerprint:
		return Began{}, errkind.New(errkind.KeyConflict, "the operation was started by a different request")
	case r.failure != nil:
		return Began{}, r.failure
	case r.kept.dropped:
		return Began{}, r.notKept()
	}
	return Began{Join: r}, nil
}

// notKept is the error of repeats whose answer is too large or was dropped.
func (r *Record) notKept() *errkind.Error {
	e := errkind.New(errkind.AnswerNotKept, "the answer of the first run is not kept")
	return e.WithRun(verdict(r.state))
}

// move applies an event; the caller holds the lock.
func (r *Record) move(e Event) error {
	to, ok := r.state.next(e)
	if !ok {
		return errkind.New(errkind.Internal, "operation: event %s is not allowed in state %s", e, r.state)
	}
	r.state = to
	return nil
}

// drop stops keeping the answer for repeats. Readers already attached to a
// whole answer still get its rest.
func (r *Record) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.dropped = true
	r.freeUnread()
}

// freeUnread frees a dropped answer that nobody reads; the caller holds the lock.
func (r *Record) freeUnread() {
	if r.kept.dropped && r.kept.readers == 0 {
		r.shard.keptBytes.Add(-r.kept.free())
	}
}
