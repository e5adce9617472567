package peers

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// CompactHeartbeat is the heartbeat of a member in compact form, for nodes that already
// have the member's full record.
type CompactHeartbeat struct {
	// Handle is a hash of the member's ID and incarnation.
	Handle uint32
	// Counter is the member's heartbeat counter.
	Counter uint64
	State   domain.NodeState
}

func handleOf(m *Member) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, m.ID, " ", uint64(m.Incarnation)) // writing to a hash never fails
	return h.Sum32()
}

// maxHeartbeatsPerMessage limits the size of a message in large regions. The omitted
// members differ from message to message.
const maxHeartbeatsPerMessage = 20

// CompactHeartbeats returns the heartbeats of the other live nodes of the local region,
// at most maxHeartbeatsPerMessage of them.
func (m *Members) CompactHeartbeats(now time.Time) []CompactHeartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []CompactHeartbeat
	for _, r := range m.records { // map iteration order differs from call to call
		if len(list) == maxHeartbeatsPerMessage {
			break
		}
		if r.Place.Region == m.self.Place.Region && now.Sub(r.lastHeartbeatAt) < m.aliveFor {
			list = append(list, CompactHeartbeat{Handle: r.handle, Counter: r.HeartbeatCounter, State: r.State})
		}
	}
	return list
}

// ApplyHeartbeats applies heartbeats received from another node. Heartbeats of members
// without a record are ignored.
func (m *Members) ApplyHeartbeats(now time.Time, heartbeats []CompactHeartbeat) {
	byHandle := make(map[uint32]*CompactHeartbeat, len(heartbeats))
	for i := range heartbeats {
		byHandle[heartbeats[i].Handle] = &heartbeats[i]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		b := byHandle[r.handle]
		if b == nil || b.Counter <= r.HeartbeatCounter {
			continue
		}
		r.HeartbeatCounter, r.lastHeartbeatAt = b.Counter, now
		if r.State != b.State {
			r.State = b.State
			r.updateDraining(now)
			m.logChange(r, "beat")
		}
	}
}
