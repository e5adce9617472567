package membership

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// maxPastIncarnations limits the stored earlier incarnations of one node.
	maxPastIncarnations = 4
	// tombstoneRemovePeriods is the lifetime of a tombstone as a multiple of the
	// removal timeout.
	tombstoneRemovePeriods = 4
)

// memberRecord is a node's information about a peer of its own domain.
type memberRecord struct {
	node             domain.NodeRef
	handle           uint64 // see handleOf
	heartbeatCounter uint64
	lastSeenAt       time.Time // zero if known from the VM list only
	listed           bool
	suspect          bool
	failures         int // consecutive failed heartbeats
	pastIncarnations []domain.Incarnation
	relayCount       int // how often the newest state was relayed
}

// tombstone marks a removed node, so that a late relay of its last heartbeat does not
// restore it.
type tombstone struct {
	heartbeatCounter uint64
	removedAt        time.Time
}

// memberTable holds the peers of the local failure domain under one lock.
type memberTable struct {
	mu         sync.Mutex
	records    map[domain.NodeID]*memberRecord
	handles    map[uint64]*memberRecord
	tombstones map[domain.NodeID]tombstone
	order      []domain.NodeID // sorted, for rotation
	nextPeer   int
	nextRelay  int
	listed     bool // a VM list was received
}

func newMemberTable() *memberTable {
	return &memberTable{
		records:    make(map[domain.NodeID]*memberRecord),
		handles:    make(map[uint64]*memberRecord),
		tombstones: make(map[domain.NodeID]tombstone),
	}
}

// mergeDirect applies the record that a peer sent of itself. It takes precedence over
// everything except a newer direct record.
func (t *memberTable) mergeDirect(now time.Time, m Member) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.ensure(m.Node.ID)
	if slices.Contains(r.pastIncarnations, m.Node.Incarnation) {
		return false
	}
	if r.node.Incarnation == m.Node.Incarnation && m.HeartbeatCounter < r.heartbeatCounter {
		return false
	}
	delete(t.tombstones, m.Node.ID)
	return t.update(now, r, m)
}

// mergeRelayed applies a record relayed by another node.
func (t *memberTable) mergeRelayed(now time.Time, m Member) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Handle != 0 && !t.resolve(&m) {
		return false
	}
	_, known := t.records[m.Node.ID]
	if !known && (m.Suspect || m.HeartbeatCounter <= t.tombstones[m.Node.ID].heartbeatCounter) {
		return false
	}
	r := t.ensure(m.Node.ID)
	if slices.Contains(r.pastIncarnations, m.Node.Incarnation) {
		return false
	}
	if m.Suspect {
		return r.applySuspicion(m)
	}
	if m.HeartbeatCounter <= r.heartbeatCounter {
		return false
	}
	return t.update(now, r, m)
}

func (t *memberTable) ensure(id domain.NodeID) *memberRecord {
	if r, ok := t.records[id]; ok {
		return r
	}
	r := &memberRecord{}
	r.node.ID = id
	t.records[id] = r
	i, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Insert(t.order, i, id)
	return r
}

// resolve sets m.Node to the node that m.Handle refers to; false if it is unknown.
func (t *memberTable) resolve(m *Member) bool {
	r, ok := t.handles[m.Handle]
	if !ok {
		return false
	}
	m.Node = r.node
	return true
}

func (t *memberTable) update(now time.Time, r *memberRecord, m Member) (changed bool) {
	changed = r.node != m.Node || r.suspect || r.lastSeenAt.IsZero()
	if r.node.Incarnation != m.Node.Incarnation && r.node.Incarnation != 0 {
		r.pastIncarnations = append(r.pastIncarnations, r.node.Incarnation)
		r.pastIncarnations = r.pastIncarnations[max(0, len(r.pastIncarnations)-maxPastIncarnations):]
	}
	if changed {
		r.relayCount = 0
	}
	if r.node != m.Node {
		delete(t.handles, r.handle)
		r.handle = handleOf(m.Node)
		t.handles[r.handle] = r
	}
	r.node = m.Node
	r.heartbeatCounter = m.HeartbeatCounter
	r.lastSeenAt = now
	r.suspect = false
	r.failures = 0
	return changed
}

// applySuspicion applies a relayed suspicion unless a later heartbeat was received.
func (r *memberRecord) applySuspicion(m Member) (changed bool) {
	if r.suspect || m.Node.Incarnation != r.node.Incarnation || m.HeartbeatCounter < r.heartbeatCounter {
		return false
	}
	r.suspect = true
	r.relayCount = 0
	return true
}

// recordFailure records a failed heartbeat to a peer.
func (t *memberTable) recordFailure(id domain.NodeID) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return false
	}
	r.failures++
	if r.suspect || r.lastSeenAt.IsZero() {
		return false
	}
	r.suspect = true
	r.relayCount = 0
	return true
}

// expire suspects and later removes members without recent heartbeats, and removes
// expired tombstones.
func (t *memberTable) expire(now time.Time, suspectAfter, removeAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if r.lastSeenAt.IsZero() {
			continue
		}
		sinceSeen := now.Sub(r.lastSeenAt)
		if sinceSeen > suspectAfter && !r.suspect {
			r.suspect = true
			r.relayCount = 0
		}
		if sinceSeen <= removeAfter {
			continue
		}
		t.tombstones[id] = tombstone{heartbeatCounter: r.heartbeatCounter, removedAt: now}
		if r.listed {
			r.lastSeenAt = time.Time{}
			continue
		}
		t.remove(id)
	}
	for id, d := range t.tombstones {
		if now.Sub(d.removedAt) > tombstoneRemovePeriods*removeAfter {
			delete(t.tombstones, id)
		}
	}
}

func (t *memberTable) remove(id domain.NodeID) {
	delete(t.handles, t.records[id].handle)
	delete(t.records, id)
	if i, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// shiftLastSeen moves all last-seen times forward after a pause of the local process, so
// that its peers are not suspected because of it.
func (t *memberTable) shiftLastSeen(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if !r.lastSeenAt.IsZero() {
			r.lastSeenAt = r.lastSeenAt.Add(gap)
		}
	}
}

// setListed replaces the set of nodes in the VM list.
func (t *memberTable) setListed(nodes []domain.NodeRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	for _, r := range t.records {
		r.listed = false
	}
	for _, n := range nodes {
		r := t.ensure(n.ID)
		r.listed = true
		if r.lastSeenAt.IsZero() {
			r.node = n
		}
	}
	for id, r := range t.records {
		if !r.listed && r.lastSeenAt.IsZero() {
			t.remove(id)
		}
	}
}

// live returns the peers that have been seen and are neither suspect nor stopped.
func (t *memberTable) live() []domain.NodeRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make([]domain.NodeRef, 0, len(t.order))
	for _, id := range t.order {
		r := t.records[id]
		if r.lastSeenAt.IsZero() || r.suspect || r.node.State == domain.NodeStopped {
			continue
		}
		live = append(live, r.node)
	}
	return live
}

// known returns the IDs of all peers and whether a VM list was received.
func (t *memberTable) known() (ids []domain.NodeID, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.order), t.listed
}

func (t *memberTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.order)
}

// nextPeers returns the next n peers in the rotation.
func (t *memberTable) nextPeers(n int) []domain.NodeRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]domain.NodeRef, 0, n)
	for range t.order {
		if len(selected) == n {
			break
		}
		t.nextPeer = (t.nextPeer + 1) % len(t.order)
		r := t.records[t.order[t.nextPeer]]
		if r.node.PeerAddress != "" && r.node.State != domain.NodeStopped {
			selected = append(selected, r.node)
		}
	}
	return selected
}

// handleOf returns a hash that identifies a node's record in its current state.
func handleOf(n domain.NodeRef) uint64 {
	var d xxhash.Digest
	d.Reset()
	fmt.Fprintf(&d, "%s %d %s %s %s", n.ID, n.Incarnation, n.PeerAddress, n.CallerAddress, n.State)
	return d.Sum64()
}

// relay returns up to n records: changed ones first, then the rest in rotation.
func (t *memberTable) relay(n int, to domain.NodeID) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := t.nextChanged(n-1, to)
	// One full record per message disseminates nodes that are not yet in the VM list.
	hasFullRecord := false
	for range t.order {
		if len(selected) == n {
			break
		}
		t.nextRelay = (t.nextRelay + 1) % len(t.order)
		r := t.records[t.order[t.nextRelay]]
		if r.lastSeenAt.IsZero() || r.node.ID == to || r.relayCount < maxRelays {
			continue
		}
		m := Member{Handle: r.handle, HeartbeatCounter: r.heartbeatCounter, Suspect: r.suspect}
		if !hasFullRecord {
			m = r.toMember()
			hasFullRecord = true
		}
		selected = append(selected, m)
	}
	return selected
}

// nextFull returns the next n live records in the rotation, all of them in full.
func (t *memberTable) nextFull(n int, to domain.NodeID) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]Member, 0, n)
	for range t.order {
		if len(selected) == n {
			break
		}
		t.nextRelay = (t.nextRelay + 1) % len(t.order)
		r := t.records[t.order[t.nextRelay]]
		if !r.lastSeenAt.IsZero() && !r.suspect && r.node.ID != to {
			selected = append(selected, r.toMember())
		}
	}
	return selected
}

func (t *memberTable) nextChanged(n int, to domain.NodeID) []Member {
	var changedRecords []*memberRecord
	for _, id := range t.order {
		r := t.records[id]
		if r.relayCount < maxRelays && id != to && !r.lastSeenAt.IsZero() {
			changedRecords = append(changedRecords, r)
		}
	}
	slices.SortStableFunc(changedRecords, func(a, b *memberRecord) int { return cmp.Compare(a.relayCount, b.relayCount) })
	selected := make([]Member, 0, n)
	for _, r := range changedRecords[:min(n, len(changedRecords))] {
		r.relayCount++
		selected = append(selected, r.toMember())
	}
	return selected
}

func (r *memberRecord) toMember() Member {
	return Member{Node: r.node, HeartbeatCounter: r.heartbeatCounter, Suspect: r.suspect}
}
