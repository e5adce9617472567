// Package explain retains the routing history of recent requests in bounded memory.
// Operators look it up by request id.
package explain

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Step is one decision or event in the processing of a request.
type Step struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	Detail string    `json:"detail"`
}

// Record is the history of one request on a node.
type Record struct {
	RequestID    domain.RequestID    `json:"request_id"`
	Customer     domain.CustomerID   `json:"customer"`
	Plan         domain.PlanID       `json:"plan"`
	Target       string              `json:"target"`
	ListsVersion domain.ListsVersion `json:"lists_version"`
	Steps        []Step              `json:"steps"`
	// Outcome is "ok" or the kind of the error.
	Outcome string     `json:"outcome"`
	Run     domain.Run `json:"run"`
	// ArrivedAt is the time at which the request arrived; TotalDuration is the duration from
	// then until its end.
	ArrivedAt     time.Time     `json:"begun"`
	TotalDuration time.Duration `json:"total_ns"`
	// Upstream and Place identify the upstream that ran the request; empty if none
	// did.
	Upstream domain.UpstreamID `json:"upstream"`
	Place    domain.Place      `json:"place"`
}

// Add appends a step.
func (r *Record) Add(at time.Time, name, detail string) {
	r.Steps = append(r.Steps, Step{At: at, Name: name, Detail: detail})
}

const shardCount = 16

// Log retains the most recent finished records. It is safe for concurrent use.
type Log struct {
	shards [shardCount]shard
}

// shard is a ring buffer of records with an index by request id.
type shard struct {
	mu    sync.Mutex
	ring  []*Record
	next  int
	index map[domain.RequestID]*Record
}

// NewLog returns a log that retains about capacity records, at least one in each
// shard.
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

// Put stores a finished record; a full shard evicts its oldest record.
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

// Get returns the record of a request, if it is retained.
func (l *Log) Get(id domain.RequestID) (*Record, bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.index[id]
	return r, ok
}
