package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// maxEntryAddresses is the maximum number of addresses in one answer to a caller.
const maxEntryAddresses = 64

// EntryAddresses returns the entry addresses for callers of a host from the given
// region. preferred are the regions to which routes of the host are restricted; empty
// if none is. The nodes of the first non-empty group are returned:
//
//  1. serving nodes of the caller's region, then of the preferred regions. If half of them or more reach
//     upstreams of all services, only these are: the others forward requests to them;
//  2. nodes of these regions that drain and still accept requests: elsewhere, requests
//     of a restricted route cannot run, and the upstreams of the caller's region are out
//     of reach without a node there;
//  3. for restricted hosts, all draining nodes of these regions, which refuse requests
//     but stay where the requests may run;
//  4. all serving nodes.
func (m *Members) EntryAddresses(now time.Time, region domain.Region, preferred []domain.Region) []string {
	known := m.entryNodes(now)
	inCallersRegion := func(r *record) bool { return r.Place.Region == region }
	inPreferred := func(r *record) bool { return slices.Contains(preferred, r.Place.Region) }
	serving := func(r *record) bool { return r.State == domain.NodeServing }
	accepting := func(r *record) bool { return r.acceptsWhileDraining(now) }
	draining := func(r *record) bool { return len(preferred) > 0 && r.State == domain.NodeDraining }
	anywhere := func(*record) bool { return true }
	entire := func(r *record) bool { return len(r.Unreached) == 0 }
	for _, group := range []struct{ place, state func(*record) bool }{
		{inCallersRegion, serving}, {inPreferred, serving},
		{inCallersRegion, accepting}, {inPreferred, accepting},
		{inCallersRegion, draining}, {inPreferred, draining},
		{anywhere, serving},
	} {
		var members, sound []*record
		for i := range known {
			if r := &known[i]; group.place(r) && group.state(r) {
				members = append(members, r)
				if entire(r) {
					sound = append(sound, r)
				}
			}
		}
		if 2*len(sound) >= len(members) {
			members = sound
		}
		if len(members) > 0 {
			return addresses(members)
		}
	}
	return nil
}

// addresses returns the entry addresses of at most maxEntryAddresses nodes.
func addresses(members []*record) []string {
	members = members[:min(maxEntryAddresses, len(members))]
	list := make([]string, 0, len(members))
	for _, r := range members {
		list = append(list, r.EntryAddress)
	}
	return list
}

// entryNodes returns copies of the records of the live and reachable nodes, including
// the local node, sorted by ID.
func (m *Members) entryNodes(now time.Time) []record {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []record{{Member: m.self, drainingSince: m.drainingSince}}
	for _, r := range m.records {
		if !r.unreachable && now.Sub(r.lastHeartbeatAt) < m.aliveFor {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b record) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
