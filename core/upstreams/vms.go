package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// ObserveVMs updates the upstreams from the VM list. Rows of other locations and of
// entry VMs are ignored. An upstream that is missing from the list remains unchanged
// while its load reports arrive, because the list is delayed; after
// Options.UnlistedTimeout without either it becomes leaving, and may return later. A
// row with the address of another upstream replaces that upstream, because the
// address was reassigned to a new VM. The VMs of the first list start with full
// capacity, later ones with a slow start.
func (t *Tracker) ObserveVMs(now time.Time, rows []ports.VM) {
	t.listMu.Lock()
	defer t.listMu.Unlock()
	addressOwner := make(map[string]domain.UpstreamID)
	for _, vm := range rows {
		if vm.Place != t.options.Place || vm.Role == ports.RoleEntry {
			continue
		}
		if !t.observeVM(now, vm) {
			continue
		}
		addressOwner[vm.Address] = t.newest(addressOwner[vm.Address], domain.UpstreamID(vm.ID))
	}
	t.listSeen = t.listSeen || len(addressOwner) > 0
	t.removeUnlisted(now, addressOwner)
}

// observeVM records one row and reports whether its upstream is tracked.
func (t *Tracker) observeVM(now time.Time, vm ports.VM) bool {
	id := domain.UpstreamID(vm.ID)
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, removed := s.tombstones[id]; removed {
		return false
	}
	u, ok := s.byID[id]
	if !ok {
		u = newUpstream(vm, now, t.listSeen)
		s.byID[id] = u
	}
	u.listedAt = now
	if vm.Leaving {
		u.leave()
	}
	return true
}

// newest returns the one of two VMs with the same address that was first listed
// later. The list is delayed, so the other one is stale.
func (t *Tracker) newest(a, b domain.UpstreamID) domain.UpstreamID {
	if a == "" {
		return b
	}
	if t.firstSeen(b).Before(t.firstSeen(a)) {
		return a
	}
	return b
}

func (t *Tracker) firstSeen(id domain.UpstreamID) time.Time {
	var at time.Time
	t.withUpstream(id, func(u *upstream) { at = u.firstSeen })
	return at
}

// removeUnlisted marks unlisted upstreams as leaving and removes those that have
// left or whose address belongs to another VM.
func (t *Tracker) removeUnlisted(now time.Time, addressOwner map[string]domain.UpstreamID) {
	t.forEach(func(s *shard, u *upstream) {
		id, ok := addressOwner[u.ref.Address]
		if ok && id != u.ref.ID {
			s.remove(u)
			s.tombstones[u.ref.ID] = now
			return
		}
		if t.isUnlisted(u, now) {
			u.transition(eventLeave)
		}
		if u.state() == domain.UpstreamLeaving && u.listedAt != now && u.work.counters.InFlight() == 0 {
			t.removeLeft(s, u, now)
		}
	})
	t.expireTombstones(now)
}

// isUnlisted reports whether the upstream is missing from the VM list and has sent
// no load report for Options.UnlistedTimeout.
func (t *Tracker) isUnlisted(u *upstream, now time.Time) bool {
	return now.Sub(u.listedAt) > t.options.UnlistedTimeout && now.Sub(u.reportedAt) > t.options.UnlistedTimeout
}

// removeLeft removes an upstream that has left. If its leaving was announced, a
// tombstone prevents a stale VM list from adding it again.
func (t *Tracker) removeLeft(s *shard, u *upstream, now time.Time) {
	s.remove(u)
	if u.leavingAnnounced {
		s.tombstones[u.ref.ID] = now
	}
}

func (s *shard) remove(u *upstream) {
	u.transition(eventRemove)
	delete(s.byID, u.ref.ID)
}

func (t *Tracker) expireTombstones(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, at := range s.tombstones {
			if now.Sub(at) > t.options.TombstoneTTL {
				delete(s.tombstones, id)
			}
		}
		s.mu.Unlock()
	}
}
