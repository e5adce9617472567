package storesim

import (
	"maps"
	"slices"
)

// Copy is a copy of a store's content.
type Copy struct {
	revision, lastLeaseID, compactedRevision uint64
	entries                                  map[string]entry
	leases                                   map[uint64]*lease
	history                                  []entry
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy()
}

func (s *Store) copy() Copy {
	return Copy{
		revision: s.revision, lastLeaseID: s.lastLeaseID, compactedRevision: s.compactedRevision,
		entries: maps.Clone(s.entries), leases: cloneLeases(s.leases), history: slices.Clone(s.history),
	}
}

func cloneLeases(leases map[uint64]*lease) map[uint64]*lease {
	all := make(map[uint64]*lease, len(leases))
	for id, l := range leases {
		all[id] = &lease{ttl: l.ttl, expiresAt: l.expiresAt, keys: maps.Clone(l.keys)}
	}
	return all
}

// Restore goes back to a copy and raises the era. Revisions and lease IDs after the copy are
// given out again. Before any call is served, the entries in rewritten are written; one
// without a value is removed.
func (s *Store) Restore(c Copy, rewritten ...Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.lastLeaseID, s.compactedRevision = c.revision, c.lastLeaseID, c.compactedRevision
	s.entries, s.leases, s.history = maps.Clone(c.entries), cloneLeases(c.leases), slices.Clone(c.history)
	for _, w := range rewritten {
		if w.Value == nil {
			s.remove(w.Key)
		} else {
			s.put(w.Key, w.Value, 0)
		}
	}
	s.wakeWatches()
}

// Write is a write of the operator or of an upstream.
type Write struct {
	Key   string
	Value []byte
}

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Revision returns the present revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// PendingWatches returns the number of watches of a prefix that wait for changes.
func (s *Store) PendingWatches(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingWatches[prefix]
}

func (s *Store) countWatch(prefix string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingWatches[prefix] += change
}
