package storesim

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// item is one key.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Store is the state of a store. All methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]*lease
	lastID   uint64
	history  []item
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease),
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// wake ends all waiting watches' waits; the lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or an upstream does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRevision
		s.detach(old)
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: leaseID}
	s.items[key] = i
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) detach(i item) {
	if l := s.leases[i.Lease]; l != nil {
		delete(l.keys, i.Key)
	}
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) remove(key string) {
	old, ok := s.items[key]
	if !ok {
		return
	}
	s.detach(old)
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

// Get returns a key's value.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[key]
	return i.Value, ok
}

// Keys returns the keys under a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.keys(prefix)
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ForgetHistory drops all changes so far: watches from before get 410.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// RevokeLeases ends all leases and removes their keys.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Calls returns how often each call was made.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *Store) endLease(id uint64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	for key := range l.keys {
		s.remove(key)
	}
	delete(s.leases, id)
}

// expire ends leases whose time has passed; the lock is held. While the store is
// down, leases pause unless the faults say otherwise.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}
