package operations

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// issuerKey identifies an issuing process.
type issuerKey struct {
	node        domain.NodeID
	incarnation domain.Incarnation
}

// attemptRecord is the latest attempt of one operation at this executor. Earlier
// attempts of the operation did not run, otherwise the issuer would not have sent a
// later one.
type attemptRecord struct {
	issuer   *issuerRecord
	sequence uint64
	attempt  uint32
	outcome  Outcome
	ended    time.Time // zero while running
}

// issuerRecord holds the operations of one issuing process.
type issuerRecord struct {
	attempts map[uint64]*attemptRecord
	// evictedUpTo is the highest sequence number of an evicted record. Whether lower
	// numbers without a record were admitted is no longer known.
	evictedUpTo uint64
	// invalidatedUpTo is the sequence number up to which operations without a
	// record are never admitted.
	invalidatedUpTo uint64
}

type executorShard struct {
	retention  time.Duration
	maxRecords int
	maxIssuers int

	mu      sync.Mutex
	records int
	issuers map[issuerKey]*issuerRecord
	// ended holds ended records in order of their end. An entry whose time differs
	// from its record's is skipped: the operation was admitted again since, or its
	// tombstone was extended.
	ended []endedAttempt
}

type endedAttempt struct {
	record *attemptRecord
	at     time.Time
}

func newExecutorShard(c ExecutorConfig) *executorShard {
	return &executorShard{
		retention:  c.Retention,
		maxRecords: c.MaxRecords / c.Shards,
		maxIssuers: c.MaxIssuers / c.Shards,
		issuers:    make(map[issuerKey]*issuerRecord),
	}
}

func (s *executorShard) admit(key issuerKey, sequence uint64, attempt uint32, now time.Time) (*Admission, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(now)
	issuer := s.issuer(key)
	if issuer == nil {
		return nil, errkind.New(errkind.Overloaded, "too many issuing processes are known")
	}
	r, known := issuer.attempts[sequence]
	if !known {
		return s.admitNew(issuer, sequence, attempt)
	}
	if r.outcome == OutcomeNotRun && attempt > r.attempt {
		r.attempt = attempt
		r.outcome = OutcomeRunning
		r.ended = time.Time{}
		return &Admission{shard: s, record: r, attempt: attempt}, nil
	}
	return nil, refusalError(r.outcomeOf(attempt))
}

func (s *executorShard) admitNew(issuer *issuerRecord, sequence uint64, attempt uint32) (*Admission, error) {
	if o, known := issuer.outcomeWithoutRecord(sequence); known {
		return nil, refusalError(o)
	}
	if s.records >= s.maxRecords {
		issuer.invalidatedUpTo = sequence
		return nil, errkind.New(errkind.Overloaded, "too many operations are retained")
	}
	r := s.add(issuer, sequence, attempt, OutcomeRunning)
	return &Admission{shard: s, record: r, attempt: attempt}, nil
}

func (s *executorShard) inquire(key issuerKey, sequence uint64, attempt uint32, now time.Time) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(now)
	issuer := s.issuer(key)
	if issuer == nil {
		return OutcomeNotRun // no operation of this process is ever admitted
	}
	if r, ok := issuer.attempts[sequence]; ok {
		s.extendTombstone(r, attempt, now)
		return r.outcomeOf(attempt)
	}
	if o, known := issuer.outcomeWithoutRecord(sequence); known {
		return o
	}
	if s.records >= s.maxRecords {
		issuer.invalidatedUpTo = sequence
		return OutcomeNotRun
	}
	s.recordEnd(s.add(issuer, sequence, attempt, OutcomeNotRun), now)
	return OutcomeNotRun
}

// extendTombstone makes a tombstone cover a later attempt.
func (s *executorShard) extendTombstone(r *attemptRecord, attempt uint32, now time.Time) {
	if r.outcome != OutcomeNotRun || attempt <= r.attempt {
		return
	}
	r.attempt = attempt
	s.recordEnd(r, now)
}

func (s *executorShard) recordEnd(r *attemptRecord, now time.Time) {
	r.ended = now
	s.ended = append(s.ended, endedAttempt{r, now})
}

// end ends a running attempt. It returns false and changes nothing if the attempt
// has already ended, or if it is dispatched and the outcome is OutcomeNotRun.
func (s *executorShard) end(a *Admission, o Outcome, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.isRunning() || (o == OutcomeNotRun && a.dispatched) {
		return false
	}
	a.record.outcome = o
	s.recordEnd(a.record, now)
	return true
}

// evictExpired removes the records whose retention is over.
func (s *executorShard) evictExpired(now time.Time) {
	n := 0
	for n < len(s.ended) && now.Sub(s.ended[n].at) >= s.retention {
		s.evict(s.ended[n])
		s.ended[n] = endedAttempt{}
		n++
	}
	s.ended = s.ended[n:]
}

func (s *executorShard) evict(e endedAttempt) {
	r := e.record
	if r.issuer.attempts[r.sequence] != r || !r.ended.Equal(e.at) {
		return
	}
	s.records--
	r.issuer.evictedUpTo = max(r.issuer.evictedUpTo, r.sequence)
	delete(r.issuer.attempts, r.sequence)
}

func (s *executorShard) expire(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(now)
	return s.records
}

// issuer returns the record of an issuing process, or nil if there is no room for
// a new one.
func (s *executorShard) issuer(key issuerKey) *issuerRecord {
	if i, ok := s.issuers[key]; ok {
		return i
	}
	if len(s.issuers) >= s.maxIssuers {
		return nil
	}
	i := &issuerRecord{attempts: make(map[uint64]*attemptRecord)}
	s.issuers[key] = i
	return i
}

func (s *executorShard) add(i *issuerRecord, sequence uint64, attempt uint32, o Outcome) *attemptRecord {
	r := &attemptRecord{issuer: i, sequence: sequence, attempt: attempt, outcome: o}
	i.attempts[sequence] = r
	s.records++
	return r
}

// outcomeWithoutRecord returns the outcome of an operation that has no record;
// known is false if the operation may still be admitted.
func (i *issuerRecord) outcomeWithoutRecord(sequence uint64) (o Outcome, known bool) {
	switch {
	case sequence <= i.evictedUpTo:
		return OutcomeUnknown, true
	case sequence <= i.invalidatedUpTo:
		return OutcomeNotRun, true
	}
	return "", false
}

// outcomeOf returns the outcome of one attempt. A later attempt proves that the
// issuer had learned that the earlier one did not run.
func (r *attemptRecord) outcomeOf(attempt uint32) Outcome {
	if attempt < r.attempt {
		return OutcomeNotRun
	}
	return r.outcome
}

func refusalError(o Outcome) error {
	if o == OutcomeNotRun {
		return notRunError()
	}
	return errkind.New(errkind.OperationLost, "the attempt was admitted before or its record is no longer retained")
}
