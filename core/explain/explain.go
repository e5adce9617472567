// Package explain keeps, in bounded memory, why each recent request went where
// it went. Operators read it by request id.
package explain

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Step is one decision or event in the life of a request.
type Step struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	Detail string    `json:"detail"`
}

// Record is what a node knows of one request.
type Record struct {
	RequestID    domain.RequestID    `json:"request_id"`
	Customer     domain.CustomerID   `json:"customer"`
	Plan         domain.PlanID       `json:"plan"`
	Target       string              `json:"target"`
	ListsVersion domain.ListsVersion `json:"lists_version"`
	Steps        []Step              `json:"steps"`
	// Outcome is "ok" or the error's kind.
	Outcome string     `json:"outcome"`
	Run     domain.Run `json:"run"`
	// Begun is the request's arrival; Total the time from there to its end.
	Begun time.Time     `json:"begun"`
	Total time.Duration `json:"total_ns"`
	// Upstream and Place say where it ran, if it did.
	Upstream domain.UpstreamID `json:"upstream"`
	Place    domain.Place      `json:"place"`
}

// Add appends a step.
func (r *Record) Add(at time.Time, name, detail string) {
	r.Steps = append(r.Steps, Step{At: at, Name: name, Detail: detail})
}

const shardCount = 16

// Log holds the latest finished records. It is safe for concurrent use.
type Log struct {
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	ring  []*Record
	next  int
	index map[domain.RequestID]*Record
}

// NewLog returns a log of at most capacity records.
func NewLog(capacity int) *Log {
	l := &Log{}
	perShard := max(1, capacity/shardCount)
	for i := range l.shards {
		l.shards[i].ring = make([]*Record, perShard)
		l.shards[i].index = make(map[domain.RequestID]*Record, perShard)
	}
	return l
}

func (l *Log) shard(id domain.RequestID) *shard {
	return &l.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Put stores a finished record; the oldest of its shard makes room.
func (l *Log) Put(r *Record) {
	s := l.shard(r.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.ring[s.next]; old != nil && s.index[old.RequestID] == old {
		delete(s.index, old.RequestID)
	}
	s.ring[s.next] = r
	s.index[r.RequestID] = r
	s.next = (s.next + 1) % len(s.ring)
}

// Get returns the record of a request.
func (l *Log) Get(id domain.RequestID) (*Record, bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.index[id]
	return r, ok
}
