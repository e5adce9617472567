package peers

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Beat is the heartbeat of a member in compact form, for nodes that already have the
// member's full record.
type Beat struct {
	// Handle is a hash of the member's ID and incarnation.
	Handle uint32
	// Beat is the member's heartbeat counter.
	Beat  uint64
	State domain.NodeState
}

func handleOf(m *Member) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, m.ID, " ", uint64(m.Incarnation)) // writing to a hash never fails
	return h.Sum32()
}

// maxBeatsPerMessage limits the size of a message in large regions. The omitted
// members differ from message to message.
const maxBeatsPerMessage = 20

// Beats returns the heartbeats of the other live nodes of the local region, at most
// maxBeatsPerMessage of them.
func (m *Members) Beats(now time.Time) []Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Beat
	for _, r := range m.records { // map iteration order differs from call to call
		if len(list) == maxBeatsPerMessage {
			break
		}
		if r.Place.Region == m.self.Place.Region && now.Sub(r.lastHeartbeatAt) < m.aliveFor {
			list = append(list, Beat{Handle: r.handle, Beat: r.Beat, State: r.State})
		}
	}
	return list
}

// HeardBeats applies heartbeats received from another node. Heartbeats of members
// without a record are ignored.
func (m *Members) HeardBeats(now time.Time, beats []Beat) {
	byHandle := make(map[uint32]*Beat, len(beats))
	for i := range beats {
		byHandle[beats[i].Handle] = &beats[i]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		b := byHandle[r.handle]
		if b == nil || b.Beat <= r.Beat {
			continue
		}
		r.Beat, r.lastHeartbeatAt = b.Beat, now
		if r.State != b.State {
			r.State = b.State
			m.logChange(r, "beat")
		}
	}
}
