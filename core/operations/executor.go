package operations

import (
	"hash/maphash"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// ExecutorConfig bounds an Executor. All fields are required.
type ExecutorConfig struct {
	// Shards is the number of independent locks.
	Shards int
	// Retention is how long an ended attempt or a tombstone is remembered. Below
	// FirstUse plus MaxRun of the issuers, operations used late are refused.
	Retention time.Duration
	// MaxRecords bounds the operations remembered.
	MaxRecords int
	// MaxIssuers bounds the issuing processes remembered; they are never
	// forgotten, further ones are refused.
	MaxIssuers int
}

// DefaultExecutorConfig returns the bounds of a node.
func DefaultExecutorConfig() ExecutorConfig {
	return ExecutorConfig{
		Shards:     16,
		Retention:  10 * time.Minute,
		MaxRecords: 64 << 10,
		MaxIssuers: 64 << 10,
	}
}

// Attempt is one dispatch of an operation, numbered from 1 by its issuer.
type Attempt struct {
	Operation domain.OperationID
	// Issuer and IssuerIncarnation are the sender of the message, which must be
	// the issuer that the id names.
	Issuer            domain.NodeID
	IssuerIncarnation domain.Incarnation
	// Executor is the process that is meant.
	Executor ExecutorRef
	Number   uint32
}

// Outcome is what an executor says of an attempt.
type Outcome string

// The outcomes of Inquire. OutcomeNotRun has left a tombstone.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeRunning Outcome = "running"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Executor remembers which attempts this process admitted, refused or called
// not run, so that it runs none twice and none after calling it not run.
type Executor struct {
	self   ExecutorRef
	seed   maphash.Seed
	shards []*executorShard
}

// NewExecutor returns the ledger of the process self; it must live as long as
// its process.
func NewExecutor(self ExecutorRef, c ExecutorConfig) (*Executor, error) {
	if c.Shards < 1 || c.Retention <= 0 || c.MaxRecords < c.Shards || c.MaxIssuers < c.Shards {
		return nil, errkind.New(errkind.BadRequest, "operations: executor bounds must be positive")
	}
	e := &Executor{self: self, seed: maphash.MakeSeed(), shards: make([]*executorShard, c.Shards)}
	for i := range e.shards {
		e.shards[i] = newExecutorShard(c)
	}
	return e, nil
}

// Admit admits an attempt once. A message refused for any other reason must be
// admitted first and then refused by Admission.NotRun, so that a copy of it is
// refused as well. Errors: operation_not_run (a tombstone; verdict "no"),
// operation_lost (admitted before or forgotten; verdict "unknown"), overloaded
// (no memory left; burned, verdict "no"), wrong_incarnation (meant for another
// process; verdict "unknown"), bad_request.
func (e *Executor) Admit(a Attempt, now time.Time) (*Admission, error) {
	p, err := e.parse(a)
	if err != nil {
		return nil, err
	}
	return e.shard(p).admit(issuerKey{p.Node, p.Incarnation}, p.Sequence, a.Number, now)
}

// Inquire tells what became of an attempt. If it has not been admitted, it is
// burned first, so that a late copy never runs.
func (e *Executor) Inquire(a Attempt, now time.Time) (Outcome, error) {
	p, err := e.parse(a)
	if err != nil {
		return OutcomeUnknown, err
	}
	return e.shard(p).inquire(issuerKey{p.Node, p.Incarnation}, p.Sequence, a.Number, now), nil
}

// Expire forgets what has been remembered for long enough and returns how many
// attempts stay. Call it every few seconds.
func (e *Executor) Expire(now time.Time) int {
	kept := 0
	for _, s := range e.shards {
		kept += s.expire(now)
	}
	return kept
}

func (e *Executor) parse(a Attempt) (IDParts, error) {
	p, err := ParseID(a.Operation)
	if err != nil {
		return p, err
	}
	if p.Node != a.Issuer || p.Incarnation != a.IssuerIncarnation || a.Number == 0 {
		return p, errkind.New(errkind.BadRequest, "the operation was not issued by its sender")
	}
	if a.Executor != e.self {
		return p, errkind.New(errkind.WrongIncarnation, "the attempt is meant for another process")
	}
	return p, nil
}

func (e *Executor) shard(p IDParts) *executorShard {
	h := maphash.Comparable(e.seed, issuerKey{p.Node, p.Incarnation})
	return e.shards[h%uint64(len(e.shards))]
}

// Admission is the right to run one attempt. One goroutine holds it; it ends
// with Ran, NotRun or Lost, or is given up with Close.
type Admission struct {
	shard      *executorShard
	record     *attemptRecord
	attempt    uint32
	dispatched bool
}

// current tells if the attempt is running; the caller holds the shard's lock.
func (a *Admission) current() bool {
	return a.record.outcome == OutcomeRunning && a.record.attempt == a.attempt
}

// Dispatch must be called right before anything is sent to the upstream.
func (a *Admission) Dispatch() error {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	if !a.current() || a.dispatched {
		return errkind.New(errkind.Internal, "operation: an attempt is dispatched twice")
	}
	a.dispatched = true
	return nil
}

// Undelivered records the proof that nothing reached the upstream, after which
// the attempt may be dispatched to another upstream or refused.
func (a *Admission) Undelivered() {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.dispatched = false
}

// Ran ends an attempt that the upstream ran.
func (a *Admission) Ran(now time.Time) { a.shard.end(a, OutcomeRan, now) }

// NotRun ends an attempt of which nothing reached an upstream, and leaves a
// tombstone; only after it may a refusal with verdict "no" be sent. It fails if
// the attempt is dispatched or has ended; then the verdict is "unknown".
func (a *Admission) NotRun(now time.Time) error {
	if !a.shard.end(a, OutcomeNotRun, now) {
		return errkind.New(errkind.OperationLost, "the attempt may have reached its upstream")
	}
	return nil
}

// Lost ends an attempt that may have reached its upstream.
func (a *Admission) Lost(now time.Time) { a.shard.end(a, OutcomeUnknown, now) }

// Close gives up an attempt that has not ended. Call it by defer.
func (a *Admission) Close(now time.Time) {
	if a.NotRun(now) != nil {
		a.Lost(now)
	}
}
