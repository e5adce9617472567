package operations

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// issuerShard holds the records of a share of the sequence numbers. Lock order:
// the shard, then a record.
type issuerShard struct {
	origin     time.Time
	config     IssuerConfig
	maxRecords int
	maxBytes   int64
	keptBytes  atomic.Int64

	mu sync.Mutex
	// clock is the latest time seen. Judging ages by it keeps a caller with an
	// older time from starting an id that was already called burned.
	clock   time.Duration
	records map[uint64]*Record
	// burned is the sequence number up to which unused ids are burned.
	burned uint64
	// finished holds final records by end time; from dropNext on, their answers
	// may still be kept.
	finished []*Record
	dropNext int
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

func (s *issuerShard) begin(sequence, fingerprint uint64, issued, now time.Duration) (Began, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r, ok := s.records[sequence]; ok {
		return r.join(fingerprint)
	}
	if err := s.unusable(sequence, issued); err != nil {
		return Began{}, err
	}
	if len(s.records) >= s.maxRecords {
		s.burned = max(s.burned, sequence)
		return Began{}, errkind.New(errkind.Overloaded, "too many operations are remembered; the id is burned, ask for a new one")
	}
	r := newRecord(s, sequence, fingerprint, s.clock)
	s.records[sequence] = r
	return Began{Run: &Run{Record: r}}, nil
}

// unusable returns why an id without a record cannot start.
func (s *issuerShard) unusable(sequence uint64, issued time.Duration) error {
	age := s.clock - issued
	switch {
	case age >= s.config.Retention:
		return errkind.New(errkind.OperationExpired, "the operation is no longer remembered")
	case age > s.config.FirstUse || sequence <= s.burned:
		return burnedError()
	}
	return nil
}

func burnedError() *errkind.Error {
	return errkind.New(errkind.OperationNotRun, "the operation was not run and never will be")
}

func (s *issuerShard) inquire(sequence uint64, issued, now time.Duration) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r, ok := s.records[sequence]; ok {
		return r.State()
	}
	if s.clock-issued >= s.config.Retention {
		return Unknown
	}
	s.burn(sequence, issued)
	return NotRun
}

// burn makes sure that an unused id never starts: by its age, by the burned
// mark, or by a record of its own.
func (s *issuerShard) burn(sequence uint64, issued time.Duration) {
	if s.unusable(sequence, issued) != nil {
		return
	}
	if len(s.records) >= s.maxRecords {
		s.burned = max(s.burned, sequence)
		return
	}
	r := newRecord(s, sequence, 0, s.clock)
	r.state = NotRun
	r.failure = burnedError()
	s.records[sequence] = r
	s.pushFinished(r)
}

func (s *issuerShard) advance(now time.Duration) {
	s.clock = max(s.clock, now)
	s.forget()
}

// pushFinished starts the retention of a final record.
func (s *issuerShard) pushFinished(r *Record) {
	r.ended = s.clock
	s.finished = append(s.finished, r)
}

func (s *issuerShard) finish(r *Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = max(s.clock, now.Sub(s.origin))
	s.pushFinished(r)
}

// forget removes the final records whose retention has passed.
func (s *issuerShard) forget() {
	n := 0
	for n < len(s.finished) && s.clock-s.finished[n].ended >= s.config.Retention {
		r := s.finished[n]
		r.drop()
		delete(s.records, r.sequence)
		s.finished[n] = nil
		n++
	}
	s.finished = s.finished[n:]
	s.dropNext = max(0, s.dropNext-n)
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

// reserve takes n bytes for an answer, dropping the oldest kept answers first.
func (s *issuerShard) reserve(n int64) bool {
	if s.keptBytes.Add(n) <= s.maxBytes {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.keptBytes.Load() > s.maxBytes && s.dropNext < len(s.finished) {
		s.finished[s.dropNext].drop()
		s.dropNext++
	}
	if s.keptBytes.Load() <= s.maxBytes {
		return true
	}
	s.keptBytes.Add(-n)
	return false
}
