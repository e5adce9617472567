package operations

import (
	"hash/maphash"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// ExecutorConfig holds the limits of an Executor. All fields are required.
type ExecutorConfig struct {
	// Shards is the number of independently locked shards.
	Shards int
	// Retention is how long an ended attempt or a tombstone is retained. If it is
	// shorter than FirstUse plus MaxRun of the issuers, operations used late are
	// refused.
	Retention time.Duration
	// MaxRecords is the maximum number of retained operations.
	MaxRecords int
	// MaxIssuers is the maximum number of known issuing processes. They are never
	// evicted; further ones are refused.
	MaxIssuers int
}

// DefaultExecutorConfig returns the default limits of a node.
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
	// Issuer and IssuerIncarnation identify the sender of the message, which must
	// be the issuer in the id.
	Issuer            domain.NodeID
	IssuerIncarnation domain.Incarnation
	// Executor is the process that the attempt is addressed to.
	Executor ExecutorRef
	Number   uint32
}

// Outcome is the outcome of an attempt as reported by its executor.
type Outcome string

// The outcomes of Inquire. OutcomeNotRun implies that a tombstone was left.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeRunning Outcome = "running"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Executor records which attempts this process admitted, refused or reported as
// not run, so that it runs no attempt twice and none after reporting it as not run.
type Executor struct {
	self   ExecutorRef
	seed   maphash.Seed
	shards []*executorShard
}

// NewExecutor returns the Executor of the process self. There must be one Executor
// for the whole lifetime of the process.
func NewExecutor(self ExecutorRef, c ExecutorConfig) (*Executor, error) {
	if c.Shards < 1 || c.Retention <= 0 || c.MaxRecords < c.Shards || c.MaxIssuers < c.Shards {
		return nil, errkind.New(errkind.BadRequest, "operations: executor limits must be positive, with at least one record and one issuer per shard")
	}
	e := &Executor{self: self, seed: maphash.MakeSeed(), shards: make([]*executorShard, c.Shards)}
	for i := range e.shards {
		e.shards[i] = newExecutorShard(c)
	}
	return e, nil
}

// Admit admits an attempt once. A message to be refused for any other reason must
// be admitted first and then refused by Admission.EndNotRun, so that its duplicates
// are refused as well. Errors: operation_not_run (a tombstone exists; verdict
// "no"), operation_lost (admitted before or evicted; verdict "unknown"),
// overloaded (no room for a record, the operation is invalidated; verdict "no"),
// wrong_incarnation (addressed to another process; verdict "unknown"),
// bad_request.
func (e *Executor) Admit(a Attempt, now time.Time) (*Admission, error) {
	p, err := e.parse(a)
	if err != nil {
		return nil, err
	}
	return e.shard(p).admit(issuerKey{p.Node, p.Incarnation}, p.Sequence, a.Number, now)
}

// Inquire returns the outcome of an attempt. An attempt that has not been admitted
// is invalidated first, so that a late duplicate never runs.
func (e *Executor) Inquire(a Attempt, now time.Time) (Outcome, error) {
	p, err := e.parse(a)
	if err != nil {
		return OutcomeUnknown, err
	}
	return e.shard(p).inquire(issuerKey{p.Node, p.Incarnation}, p.Sequence, a.Number, now), nil
}

// Expire evicts the records whose retention is over and returns the number of
// attempts that remain. Call it every few seconds.
func (e *Executor) Expire(now time.Time) int {
	retained := 0
	for _, s := range e.shards {
		retained += s.expire(now)
	}
	return retained
}

func (e *Executor) parse(a Attempt) (IDParts, error) {
	p, err := ParseID(a.Operation)
	if err != nil {
		return p, err
	}
	if p.Node != a.Issuer || p.Incarnation != a.IssuerIncarnation || a.Number == 0 {
		return p, errkind.New(errkind.BadRequest, "the operation was not issued by the sender of the attempt")
	}
	if a.Executor != e.self {
		return p, errkind.New(errkind.WrongIncarnation, "the attempt is addressed to another process")
	}
	return p, nil
}

func (e *Executor) shard(p IDParts) *executorShard {
	h := maphash.Comparable(e.seed, issuerKey{p.Node, p.Incarnation})
	return e.shards[h%uint64(len(e.shards))]
}

// Admission is the right to run one attempt. It is owned by one goroutine and ends
// with EndRan, EndNotRun or EndUnknown, or is abandoned with Close.
type Admission struct {
	shard      *executorShard
	record     *attemptRecord
	attempt    uint32
	dispatched bool
}

// isRunning reports whether the attempt is running. The caller must hold the
// shard's lock.
func (a *Admission) isRunning() bool {
	return a.record.outcome == OutcomeRunning && a.record.attempt == a.attempt
}

// Dispatch must be called right before anything is sent to the upstream.
func (a *Admission) Dispatch() error {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	if !a.isRunning() || a.dispatched {
		return errkind.New(errkind.Internal, "operation: an attempt is dispatched twice")
	}
	a.dispatched = true
	return nil
}

// MarkUndelivered records the proof that nothing reached the upstream. The attempt may
// then be dispatched to another upstream or refused.
func (a *Admission) MarkUndelivered() {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.dispatched = false
}

// EndRan ends an attempt that the upstream executed.
func (a *Admission) EndRan(now time.Time) { a.shard.end(a, OutcomeRan, now) }

// EndNotRun ends an attempt that did not reach an upstream and leaves a tombstone. A
// refusal with verdict "no" may be sent only afterwards. EndNotRun fails with verdict
// "unknown" if the attempt is dispatched or has ended.
func (a *Admission) EndNotRun(now time.Time) error {
	if !a.shard.end(a, OutcomeNotRun, now) {
		return errkind.New(errkind.OperationLost, "the attempt may have reached its upstream")
	}
	return nil
}

// EndUnknown ends an attempt that may have reached its upstream.
func (a *Admission) EndUnknown(now time.Time) { a.shard.end(a, OutcomeUnknown, now) }

// Close abandons an attempt that has not ended. Defer it.
func (a *Admission) Close(now time.Time) {
	if a.EndNotRun(now) != nil {
		a.EndUnknown(now)
	}
}
