package peers

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// maxEntryAddresses is the maximum number of addresses in one answer to a caller.
const maxEntryAddresses = 64

// EntryAddresses returns the entry addresses for a caller in the given region: those of
// the live nodes of its region; if there are none, of the preferred regions; if there
// are none, of all regions.
func (m *Members) EntryAddresses(now time.Time, region domain.Region, preferred []domain.Region) []string {
	serving := m.serving(now)
	for _, matches := range []func(Member) bool{
		func(member Member) bool { return member.Place.Region == region },
		func(member Member) bool { return slices.Contains(preferred, member.Place.Region) },
		func(Member) bool { return true },
	} {
		var addresses []string
		for _, member := range serving {
			if matches(member) && len(addresses) < maxEntryAddresses {
				addresses = append(addresses, member.EntryAddress)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// serving returns the live nodes that accept callers, including the local node.
func (m *Members) serving(now time.Time) []Member {
	list := m.filter(func(r *record) bool {
		return r.State == domain.NodeServing && !r.unreachable && now.Sub(r.lastHeartbeatAt) < m.aliveFor
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.State == domain.NodeServing {
		list = append(list, m.self)
	}
	return list
}
