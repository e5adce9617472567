package peers

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// maxEntries bounds the addresses in one answer to a caller.
const maxEntries = 64

// Entries returns the addresses that a caller of a region should use: the live
// nodes of its region; without any, those of the preferred regions; without any,
// all live nodes.
func (m *Members) Entries(now time.Time, region domain.Region, preferred []domain.Region) []string {
	serving := m.serving(now)
	for _, wanted := range []func(Member) bool{
		func(c Member) bool { return c.Place.Region == region },
		func(c Member) bool { return slices.Contains(preferred, c.Place.Region) },
		func(Member) bool { return true },
	} {
		var found []string
		for _, c := range serving {
			if wanted(c) && len(found) < maxEntries {
				found = append(found, c.EntryAddress)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// serving returns the live nodes that take callers, the own one included.
func (m *Members) serving(now time.Time) []Member {
	list := m.filter(func(r *record) bool {
		return r.State == domain.NodeServing && !r.unreachable && now.Sub(r.heardAt) < m.aliveFor
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.State == domain.NodeServing {
		list = append(list, m.self)
	}
	return list
}
