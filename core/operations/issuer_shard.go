package operations

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// issuerShard holds the records of a subset of the sequence numbers. Lock order:
// the shard before a record.
type issuerShard struct {
	origin        time.Time // start of the process; durations count from it
	config        IssuerConfig
	maxRecords    int
	maxBytes      int64
	retainedBytes atomic.Int64

	mu sync.Mutex
	// clock is the latest time seen. Ages are computed from it, so a caller with an
	// older time cannot start an id that was already reported as not run.
	clock   time.Duration
	records map[uint64]*Record
	// invalidatedUpTo is the sequence number up to which unused ids never start.
	invalidatedUpTo uint64
	// finished holds final records ordered by end time. The answers of the records
	// from index nextDroppable on may still be retained.
	finished      []*Record
	nextDroppable int
}

func newIssuerShard(origin time.Time, c IssuerConfig) *issuerShard {
	return &issuerShard{
		origin:     origin,
		config:     c,
		maxRecords: c.MaxRecords / c.Shards,
		maxBytes:   int64(c.MaxTotalBytes / c.Shards),
		records:    make(map[uint64]*Record),
	}
}

func (s *issuerShard) begin(sequence, fingerprint uint64, issued, now time.Duration) (BeginResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r, ok := s.records[sequence]; ok {
		return r.join(fingerprint)
	}
	if err := s.startError(sequence, issued); err != nil {
		return BeginResult{}, err
	}
	if len(s.records) >= s.maxRecords {
		s.invalidatedUpTo = max(s.invalidatedUpTo, sequence)
		return BeginResult{}, errkind.New(errkind.Overloaded, "too many operations are retained; the id is invalid now, request a new one")
	}
	r := newRecord(s, sequence, fingerprint, s.clock)
	s.records[sequence] = r
	return BeginResult{Run: &Run{Record: r}}, nil
}

// startError returns the reason why an id without a record cannot start, or nil.
func (s *issuerShard) startError(sequence uint64, issued time.Duration) error {
	age := s.clock - issued
	switch {
	case age >= s.config.Retention:
		return errkind.New(errkind.OperationExpired, "the record of the operation is no longer retained")
	case age > s.config.FirstUse || sequence <= s.invalidatedUpTo:
		return notRunError()
	}
	return nil
}

func notRunError() *errkind.Error {
	return errkind.New(errkind.OperationNotRun, "the operation was not run and never will be")
}

func (s *issuerShard) status(sequence uint64, issued, now time.Duration) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r, ok := s.records[sequence]; ok {
		return r.State()
	}
	if s.clock-issued >= s.config.Retention {
		return Unknown
	}
	s.invalidate(sequence, issued)
	return NotRun
}

// invalidate ensures that an unused id never starts: by its age, by
// invalidatedUpTo, or by a record of its own.
func (s *issuerShard) invalidate(sequence uint64, issued time.Duration) {
	if s.startError(sequence, issued) != nil {
		return
	}
	if len(s.records) >= s.maxRecords {
		s.invalidatedUpTo = max(s.invalidatedUpTo, sequence)
		return
	}
	r := newRecord(s, sequence, 0, s.clock)
	r.state = NotRun
	r.failure = notRunError()
	s.records[sequence] = r
	s.addFinished(r)
}

func (s *issuerShard) advance(now time.Duration) {
	s.clock = max(s.clock, now)
	s.evictExpired()
}

// addFinished starts the retention of a final record.
func (s *issuerShard) addFinished(r *Record) {
	r.ended = s.clock
	s.finished = append(s.finished, r)
}

func (s *issuerShard) finish(r *Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = max(s.clock, now.Sub(s.origin))
	s.addFinished(r)
}

// evictExpired removes the final records whose retention is over.
func (s *issuerShard) evictExpired() {
	n := 0
	for n < len(s.finished) && s.clock-s.finished[n].ended >= s.config.Retention {
		r := s.finished[n]
		r.dropAnswer()
		delete(s.records, r.sequence)
		s.finished[n] = nil
		n++
	}
	s.finished = s.finished[n:]
	s.nextDroppable = max(0, s.nextDroppable-n)
}

func (s *issuerShard) expire(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return len(s.records)
}

func (s *issuerShard) countUnfinished() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records) - len(s.finished)
}

// reserve reserves n bytes for an answer, and if necessary drops the oldest
// retained answers. It returns false if there is still no room.
func (s *issuerShard) reserve(n int64) bool {
	if s.retainedBytes.Add(n) <= s.maxBytes {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.retainedBytes.Load() > s.maxBytes && s.nextDroppable < len(s.finished) {
		s.finished[s.nextDroppable].dropAnswer()
		s.nextDroppable++
	}
	if s.retainedBytes.Load() <= s.maxBytes {
		return true
	}
	s.retainedBytes.Add(-n)
	return false
}
