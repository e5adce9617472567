package upstreams

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

// ObserveVMs takes a reading of the VM list. Rows of other places and of entry
// VMs are ignored. An upstream that misses in the list stays as it is while its
// load reports come, since the list lags; after Options.UnlistedAfter without
// either it leaves, and may return later. A row with the address of another upstream replaces that one:
// the address was given to a new VM. The VMs of the first reading start at full
// share, later ones by slow start.
func (t *Tracker) ObserveVMs(now time.Time, rows []ports.VM) {
	t.listing.Lock()
	defer t.listing.Unlock()
	owner := make(map[string]domain.UpstreamID)
	for _, vm := range rows {
		if vm.Place != t.options.Place || vm.Role == ports.RoleEntry {
			continue
		}
		if !t.observeVM(now, vm) {
			continue
		}
		owner[vm.Address] = t.newest(owner[vm.Address], domain.UpstreamID(vm.ID))
	}
	t.listed = t.listed || len(owner) > 0
	t.retire(now, owner)
}

// observeVM takes one row and tells if its upstream is tracked.
func (t *Tracker) observeVM(now time.Time, vm ports.VM) bool {
	id := domain.UpstreamID(vm.ID)
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, left := s.tombstones[id]; left {
		return false
	}
	u, ok := s.byID[id]
	if !ok {
		u = newUpstream(vm, now, t.listed)
		s.byID[id] = u
	}
	u.listedAt = now
	if vm.Leaving {
		u.leave()
	}
	return true
}

// newest returns which of two VMs with one address was listed first later: the
// list lags, so the older one is stale.
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
	t.with(id, func(u *upstream) { at = u.firstSeen })
	return at
}

// retire lets unlisted upstreams leave and removes what has left.
func (t *Tracker) retire(now time.Time, owner map[string]domain.UpstreamID) {
	t.each(func(s *shard, u *upstream) {
		id, ok := owner[u.ref.Address]
		if ok && id != u.ref.ID {
			s.remove(u)
			s.tombstones[u.ref.ID] = now
			return
		}
		if t.unlisted(u, now) {
			u.apply(eventLeave)
		}
		if u.state() == domain.UpstreamLeaving && u.listedAt != now && u.work.own.InFlight() == 0 {
			t.removeLeft(s, u, now)
		}
	})
	t.expireTombstones(now)
}

// unlisted tells if neither the list nor a report had the upstream lately.
func (t *Tracker) unlisted(u *upstream, now time.Time) bool {
	return now.Sub(u.listedAt) > t.options.UnlistedAfter && now.Sub(u.reportedAt) > t.options.UnlistedAfter
}

// removeLeft removes an upstream that has left; if it was said to be leaving, a
// stale list cannot bring it back.
func (t *Tracker) removeLeft(s *shard, u *upstream, now time.Time) {
	s.remove(u)
	if u.told {
		s.tombstones[u.ref.ID] = now
	}
}

func (s *shard) remove(u *upstream) {
	u.apply(eventVanish)
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
