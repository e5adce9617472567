package operations

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// issuerKey names an issuing process.
type issuerKey struct {
	node        domain.NodeID
	incarnation domain.Incarnation
}

// attemptRecord is the latest attempt of one operation here; earlier attempts of
// it did not run, else the issuer would not have sent a later one.
type attemptRecord struct {
	issuer   *issuerRecord
	sequence uint64
	attempt  uint32
	outcome  Outcome
	ended    time.Time // zero while running
}

// issuerRecord remembers the operations of one issuing process.
type issuerRecord struct {
	attempts map[uint64]*attemptRecord
	// forgotten is the highest sequence number of a forgotten record: whether
	// lower ones without a record were admitted is no longer known.
	forgotten uint64
	// burned is the sequence number up to which operations without a record are
	// never admitted.
	burned uint64
}

type executorShard struct {
	retention  time.Duration
	maxRecords int
	maxIssuers int

	mu      sync.Mutex
	records int
	issuers map[issuerKey]*issuerRecord
	// ended holds ended records in order; a record that was admitted again since
	// is skipped by its time.
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
	s.forget(now)
	issuer := s.issuer(key)
	if issuer == nil {
		return nil, errkind.New(errkind.Overloaded, "too many issuing processes are remembered")
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
	return nil, refusal(r.outcomeOf(attempt))
}

func (s *executorShard) admitNew(issuer *issuerRecord, sequence uint64, attempt uint32) (*Admission, error) {
	if o, gone := issuer.outcomeWithoutRecord(sequence); gone {
		return nil, refusal(o)
	}
	if s.records >= s.maxRecords {
		issuer.burned = sequence
		return nil, errkind.New(errkind.Overloaded, "too many operations are remembered")
	}
	r := s.add(issuer, sequence, attempt, OutcomeRunning)
	return &Admission{shard: s, record: r, attempt: attempt}, nil
}

func (s *executorShard) inquire(key issuerKey, sequence uint64, attempt uint32, now time.Time) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	issuer := s.issuer(key)
	if issuer == nil {
		return OutcomeNotRun // none of its operations is ever admitted
	}
	if r, ok := issuer.attempts[sequence]; ok {
		s.burnLater(r, attempt, now)
		return r.outcomeOf(attempt)
	}
	if o, gone := issuer.outcomeWithoutRecord(sequence); gone {
		return o
	}
	if s.records >= s.maxRecords {
		issuer.burned = sequence
		return OutcomeNotRun
	}
	s.entomb(s.add(issuer, sequence, attempt, OutcomeNotRun), now)
	return OutcomeNotRun
}

// burnLater raises a tombstone to a later attempt.
func (s *executorShard) burnLater(r *attemptRecord, attempt uint32, now time.Time) {
	if r.outcome != OutcomeNotRun || attempt <= r.attempt {
		return
	}
	r.attempt = attempt
	s.entomb(r, now)
}

func (s *executorShard) entomb(r *attemptRecord, now time.Time) {
	r.ended = now
	s.ended = append(s.ended, endedAttempt{r, now})
}

// end ends a running attempt; it returns false, and changes nothing, if the
// attempt has ended or if it is dispatched and called not run.
func (s *executorShard) end(a *Admission, o Outcome, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.current() || (o == OutcomeNotRun && a.dispatched) {
		return false
	}
	a.record.outcome = o
	s.entomb(a.record, now)
	return true
}

// forget removes the records that ended long enough ago.
func (s *executorShard) forget(now time.Time) {
	n := 0
	for n < len(s.ended) && now.Sub(s.ended[n].at) >= s.retention {
		s.remove(s.ended[n])
		s.ended[n] = endedAttempt{}
		n++
	}
	s.ended = s.ended[n:]
}

func (s *executorShard) remove(e endedAttempt) {
	r := e.record
	if r.issuer.attempts[r.sequence] != r || !r.ended.Equal(e.at) {
		return
	}
	s.records--
	r.issuer.forgotten = max(r.issuer.forgotten, r.sequence)
	delete(r.issuer.attempts, r.sequence)
}

func (s *executorShard) expire(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	return s.records
}

// issuer returns the record of an issuing process, nil if there is no memory.
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

// outcomeWithoutRecord tells what is known of an operation that has no record;
// gone is false if it may still be admitted.
func (i *issuerRecord) outcomeWithoutRecord(sequence uint64) (o Outcome, gone bool) {
	switch {
	case sequence <= i.forgotten:
		return OutcomeUnknown, true
	case sequence <= i.burned:
		return OutcomeNotRun, true
	}
	return "", false
}

// outcomeOf returns the outcome of one attempt. A later attempt proves that the
// issuer knew an earlier one as not run.
func (r *attemptRecord) outcomeOf(attempt uint32) Outcome {
	if attempt < r.attempt {
		return OutcomeNotRun
	}
	return r.outcome
}

func refusal(o Outcome) error {
	if o == OutcomeNotRun {
		return burnedError()
	}
	return errkind.New(errkind.OperationLost, "the attempt was admitted before or is no longer remembered")
}
