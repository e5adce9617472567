package edgenode

import (
	"maps"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// evacuationRetention is how long an evacuation stays in force that the store lacks since it
// came back from an older copy. The operator writes it again unless it has ended.
const evacuationRetention = 5 * time.Second

// evacuations is the part of a node's state that determines which evacuations are in force
// beside those in the store.
type evacuations struct {
	// applying serializes changes, which are applied to the catalog without the state's lock.
	applying sync.Mutex
	// retained holds the failure domains whose evacuation the store lacks since restoredAt,
	// when it came back from an older copy. inForce holds all that are in force.
	retained, inForce map[domain.FailureDomain]bool
	restoredAt        time.Time
}

// markRestored records that the store came back from an older copy.
func (s *state) markRestored(now time.Time) {
	s.mu.Lock()
	s.restoredAt = now
	s.mu.Unlock()
	s.catalog.MarkStoreRestored(now)
	time.AfterFunc(evacuationRetention, s.endRetention)
}

// listEvacuated applies a complete set of the failure domains under evacuation.
func (s *state) listEvacuated(now time.Time, listed map[domain.FailureDomain]bool, from string) {
	s.applying.Lock()
	defer s.applying.Unlock()
	retained := make(map[domain.FailureDomain]bool)
	s.mu.Lock()
	if !s.restoredAt.IsZero() && now.Sub(s.restoredAt) < evacuationRetention {
		for fd := range s.inForce {
			retained[fd] = true
		}
	}
	s.mu.Unlock()
	s.applyEvacuated(now, listed, retained, from)
}

// changeEvacuated applies changes of single evacuations: true begins and false ends one.
func (s *state) changeEvacuated(now time.Time, changed map[domain.FailureDomain]bool, from string) {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	listed, retained := maps.Clone(s.evacuated), maps.Clone(s.retained)
	s.mu.Unlock()
	for fd, begins := range changed {
		delete(retained, fd)
		if begins {
			listed[fd] = true
		} else {
			delete(listed, fd)
		}
	}
	s.applyEvacuated(now, listed, retained, from)
}

// endRetention ends the evacuations that were not written again in time.
func (s *state) endRetention() {
	s.applying.Lock()
	defer s.applying.Unlock()
	now := time.Now()
	s.mu.Lock()
	listed, known := maps.Clone(s.evacuated), s.hasEvacuated
	expired := now.Sub(s.restoredAt) >= evacuationRetention
	s.mu.Unlock()
	if expired && known {
		s.applyEvacuated(now, listed, nil, "not written again")
	}
}

// applyEvacuated puts the listed and the retained evacuations in force. The caller must hold
// s.applying.
func (s *state) applyEvacuated(now time.Time, listed, retained map[domain.FailureDomain]bool, from string) {
	after := maps.Clone(listed)
	maps.Copy(after, retained)
	s.mu.Lock()
	before := s.inForce
	s.evacuated, s.retained, s.inForce, s.hasEvacuated = listed, retained, after, true
	s.operatorPending = true
	s.mu.Unlock()
	defer s.updateCompleted()
	if maps.Equal(before, after) {
		return
	}
	s.catalog.SetEvacuated(now, after)
	s.logEvacuated(after, before, true, from)
	s.logEvacuated(before, after, false, from)
}

// logEvacuated logs the failure domains that are in one set and not in the other.
func (s *state) logEvacuated(in, notIn map[domain.FailureDomain]bool, evacuated bool, from string) {
	for fd := range in {
		if !notIn[fd] {
			s.log.Log(event.EvacuationChanged, event.F("failure_domain", fd), event.F("evacuated", evacuated), event.F("from", from))
		}
	}
}
