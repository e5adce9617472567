package peers

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Beat is a member's record in short, for nodes that hold the record already.
type Beat struct {
	// Handle stands for the member's name and incarnation.
	Handle uint32
	Beat   uint64
	State  domain.NodeState
}

func handleOf(m *Member) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, m.ID, " ", uint64(m.Incarnation)) // a hash never fails to write
	return h.Sum32()
}

// maxBeats bounds the beats in one message, so that it stays small in large
// regions; the members that are left out differ from message to message.
const maxBeats = 20

// Beats returns those of the live nodes of the own region, or of some of them.
func (m *Members) Beats(now time.Time) []Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Beat
	for _, r := range m.all { // in an order that differs from call to call
		if len(list) == maxBeats {
			break
		}
		if r.Place.Region == m.self.Place.Region && now.Sub(r.heardAt) < m.aliveFor {
			list = append(list, Beat{Handle: r.handle, Beat: r.Beat, State: r.State})
		}
	}
	return list
}

// HeardBeats adopts beats; those of members without a record are passed over.
func (m *Members) HeardBeats(now time.Time, beats []Beat) {
	told := make(map[uint32]*Beat, len(beats))
	for i := range beats {
		told[beats[i].Handle] = &beats[i]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.all {
		b := told[r.handle]
		if b == nil || b.Beat <= r.Beat {
			continue
		}
		r.Beat, r.heardAt = b.Beat, now
		if r.State != b.State {
			r.State = b.State
			m.note(r, "beat")
		}
	}
}
