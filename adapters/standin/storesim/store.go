package storesim

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is a key with its value and revisions, or a removed key.
type entry struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// Store is a simulated store. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	era         uint64 // rises with each restoration
	revision    uint64
	entries     map[string]entry
	leases      map[uint64]*lease
	lastLeaseID uint64
	history     []entry
	// compactedRevision is the revision up to which the history was discarded.
	compactedRevision uint64
	changed           chan struct{}
	faults            Faults
	callCounts        map[string]int
	// pendingWatches counts the waiting watches by prefix.
	pendingWatches map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		era: 1, revision: 1, entries: make(map[string]entry), leases: make(map[uint64]*lease),
		changed: make(chan struct{}), callCounts: make(map[string]int), pendingWatches: make(map[string]int),
	}
}

// wakeWatches wakes all waiting watches. The caller must hold the lock.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key without a lease, as an operator or an upstream does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	createRevision := s.revision
	if previous, ok := s.entries[key]; ok {
		createRevision = previous.CreateRevision
		s.detachFromLease(previous)
	}
	e := entry{Key: key, Value: value, Revision: s.revision, CreateRevision: createRevision, Lease: leaseID}
	s.entries[key] = e
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
	s.history = append(s.history, e)
	s.wakeWatches()
}

func (s *Store) detachFromLease(e entry) {
	if l := s.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) remove(key string) {
	previous, ok := s.entries[key]
	if !ok {
		return
	}
	s.detachFromLease(previous)
	delete(s.entries, key)
	s.revision++
	s.history = append(s.history, entry{Key: key, Revision: s.revision, Removed: true})
	s.wakeWatches()
}

// Get returns the value of a key and whether the key exists.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[key]
	return e.Value, ok
}

// Keys returns the keys with a prefix in ascending order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.keys(prefix)
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// CompactHistory discards the history of changes. Watches from an earlier revision
// then receive status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// RevokeLeases revokes all leases and removes their keys.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Calls returns the number of calls by name.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
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

// expireLeases ends the leases whose TTL has elapsed. The caller must hold the lock.
// Expiry is only checked when a call or a method of Store accesses the data, so a
// call that a fault rejects does not expire leases while the store is down.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}
