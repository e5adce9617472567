package operations

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// ExecutorRef identifies the process that an attempt is sent to.
type ExecutorRef struct {
	Node        domain.NodeID
	Incarnation domain.Incarnation
}

// Record holds the state of one started operation and the answer of its only run.
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
	retained retainedAnswer
}

func newRecord(s *issuerShard, sequence, fingerprint uint64, now time.Duration) *Record {
	return &Record{shard: s, sequence: sequence, fingerprint: fingerprint, started: now, state: Started}
}

// State returns the operation's current state.
func (r *Record) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Executor returns the process of the latest attempt and the attempt's number, or
// zero values before the first attempt.
func (r *Record) Executor() (ExecutorRef, uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executor, r.attempt
}

func (r *Record) join(fingerprint uint64) (BeginResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state == NotRun:
		return BeginResult{}, r.failure
	case r.fingerprint != fingerprint:
		return BeginResult{}, errkind.New(errkind.KeyConflict, "the operation was started by a different request")
	case r.failure != nil:
		return BeginResult{}, r.failure
	case r.retained.dropped:
		return BeginResult{}, r.notRetainedError()
	}
	return BeginResult{Joined: r}, nil
}

// notRetainedError returns the error for repeats whose answer is too large or was
// dropped.
func (r *Record) notRetainedError() *errkind.Error {
	e := errkind.New(errkind.AnswerNotKept, "the answer of the first run is not retained")
	return e.WithRun(verdict(r.state))
}

// transition applies an event. The caller must hold the lock.
func (r *Record) transition(e Event) error {
	to, ok := r.state.next(e)
	if !ok {
		return errkind.New(errkind.Internal, "operation: event %s is not allowed in state %s", e, r.state)
	}
	r.state = to
	return nil
}

// dropAnswer stops retaining the answer for repeats. Readers already attached to a
// complete answer can still read the rest of it.
func (r *Record) dropAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retained.dropped = true
	r.releaseUnread()
}

// releaseUnread frees a dropped answer that has no readers. The caller must hold
// the lock.
func (r *Record) releaseUnread() {
	if r.retained.dropped && r.retained.readers == 0 {
		r.shard.retainedBytes.Add(-r.retained.release())
	}
}
