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
	// maxRetired bounds the remembered earlier incarnations of one node.
	maxRetired = 4
	// tombstoneRounds is a tombstone's life in removal periods.
	tombstoneRounds = 4
)

// memberRecord is what a node knows of a peer of its own domain.
type memberRecord struct {
	node    domain.NodeRef
	handle  uint64 // see handleOf
	beat    uint64
	heard   time.Time // zero: known from the VM list only
	listed  bool
	suspect bool
	failed  int // heartbeats failed in a row
	retired []domain.Incarnation
	relays  int // times the newest state was passed on
}

// tombstone remembers a removed node, so that a late relay of its last beat
// does not bring it back.
type tombstone struct {
	beat    uint64
	removed time.Time
}

// memberTable holds the peers of the own failure domain under one lock.
type memberTable struct {
	mu      sync.Mutex
	records map[domain.NodeID]*memberRecord
	handles map[uint64]*memberRecord
	dead    map[domain.NodeID]tombstone
	order   []domain.NodeID // sorted; basis of rotations
	nextTo  int
	nextOf  int
	listed  bool // a VM list was taken
}

func newMemberTable() *memberTable {
	return &memberTable{
		records: make(map[domain.NodeID]*memberRecord),
		handles: make(map[uint64]*memberRecord),
		dead:    make(map[domain.NodeID]tombstone),
	}
}

// learnDirect takes the record that a peer sent of itself; it outranks
// everything but a newer direct record.
func (t *memberTable) learnDirect(now time.Time, m Member) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.ensure(m.Node.ID)
	if slices.Contains(r.retired, m.Node.Incarnation) {
		return false
	}
	if r.node.Incarnation == m.Node.Incarnation && m.Beat < r.beat {
		return false
	}
	delete(t.dead, m.Node.ID)
	return t.adopt(now, r, m)
}

// learnRelayed takes a record passed on by another node.
func (t *memberTable) learnRelayed(now time.Time, m Member) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Handle != 0 && !t.resolve(&m) {
		return false
	}
	_, known := t.records[m.Node.ID]
	if !known && (m.Suspect || m.Beat <= t.dead[m.Node.ID].beat) {
		return false
	}
	r := t.ensure(m.Node.ID)
	if slices.Contains(r.retired, m.Node.Incarnation) {
		return false
	}
	if m.Suspect {
		return r.accuse(m)
	}
	if m.Beat <= r.beat {
		return false
	}
	return t.adopt(now, r, m)
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

// resolve puts the record that m's handle names in place of the handle.
func (t *memberTable) resolve(m *Member) bool {
	r, ok := t.handles[m.Handle]
	if !ok {
		return false
	}
	m.Node = r.node
	return true
}

func (t *memberTable) adopt(now time.Time, r *memberRecord, m Member) (changed bool) {
	changed = r.node != m.Node || r.suspect || r.heard.IsZero()
	if r.node.Incarnation != m.Node.Incarnation && r.node.Incarnation != 0 {
		r.retired = append(r.retired, r.node.Incarnation)
		r.retired = r.retired[max(0, len(r.retired)-maxRetired):]
	}
	if changed {
		r.relays = 0
	}
	if r.node != m.Node {
		delete(t.handles, r.handle)
		r.handle = handleOf(m.Node)
		t.handles[r.handle] = r
	}
	r.node = m.Node
	r.beat = m.Beat
	r.heard = now
	r.suspect = false
	r.failed = 0
	return changed
}

// accuse takes a relayed suspicion; a beat heard since clears it.
func (r *memberRecord) accuse(m Member) (changed bool) {
	if r.suspect || m.Node.Incarnation != r.node.Incarnation || m.Beat < r.beat {
		return false
	}
	r.suspect = true
	r.relays = 0
	return true
}

// fail notes a failed heartbeat to a peer.
func (t *memberTable) fail(id domain.NodeID) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return false
	}
	r.failed++
	if r.suspect || r.heard.IsZero() {
		return false
	}
	r.suspect = true
	r.relays = 0
	return true
}

// expire applies silence to all records: suspicion, then removal.
func (t *memberTable) expire(now time.Time, suspectAfter, removeAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if r.heard.IsZero() {
			continue
		}
		silence := now.Sub(r.heard)
		if silence > suspectAfter && !r.suspect {
			r.suspect = true
			r.relays = 0
		}
		if silence <= removeAfter {
			continue
		}
		t.dead[id] = tombstone{beat: r.beat, removed: now}
		if r.listed {
			r.heard = time.Time{}
			continue
		}
		t.remove(id)
	}
	for id, d := range t.dead {
		if now.Sub(d.removed) > tombstoneRounds*removeAfter {
			delete(t.dead, id)
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

// pardon moves all readings forward after the own process stood still, so that
// its own pause is not taken for its peers' silence.
func (t *memberTable) pardon(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if !r.heard.IsZero() {
			r.heard = r.heard.Add(gap)
		}
	}
}

// setListed replaces the set of nodes that the VM list names.
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
		if r.heard.IsZero() {
			r.node = n
		}
	}
	for id, r := range t.records {
		if !r.listed && r.heard.IsZero() {
			t.remove(id)
		}
	}
}

// live returns the peers that take part: heard of, not suspect, not stopped.
func (t *memberTable) live() []domain.NodeRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make([]domain.NodeRef, 0, len(t.order))
	for _, id := range t.order {
		r := t.records[id]
		if r.heard.IsZero() || r.suspect || r.node.State == domain.NodeStopped {
			continue
		}
		live = append(live, r.node)
	}
	return live
}

// known returns the ids of all peers and if a VM list was taken.
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

// peers returns the next n peers in rotation.
func (t *memberTable) peers(n int) []domain.NodeRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := make([]domain.NodeRef, 0, n)
	for range t.order {
		if len(chosen) == n {
			break
		}
		t.nextTo = (t.nextTo + 1) % len(t.order)
		r := t.records[t.order[t.nextTo]]
		if r.node.PeerAddress != "" && r.node.State != domain.NodeStopped {
			chosen = append(chosen, r.node)
		}
	}
	return chosen
}

// handleOf returns a short name for a node's record in its present state.
func handleOf(n domain.NodeRef) uint64 {
	var d xxhash.Digest
	d.Reset()
	fmt.Fprintf(&d, "%s %d %s %s %s", n.ID, n.Incarnation, n.PeerAddress, n.CallerAddress, n.State)
	return d.Sum64()
}

// relay returns up to n records: changed ones first, then the rotation.
func (t *memberTable) relay(n int, to domain.NodeID) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := t.changed(n-1, to)
	// One record in full spreads nodes that the VM list does not name yet.
	full := false
	for range t.order {
		if len(picked) == n {
			break
		}
		t.nextOf = (t.nextOf + 1) % len(t.order)
		r := t.records[t.order[t.nextOf]]
		if r.heard.IsZero() || r.node.ID == to || r.relays < maxRelays {
			continue
		}
		m := Member{Handle: r.handle, Beat: r.beat, Suspect: r.suspect}
		if !full {
			m = r.message()
			full = true
		}
		picked = append(picked, m)
	}
	return picked
}

// introduce returns the next n live records in turn, all in full.
func (t *memberTable) introduce(n int, to domain.NodeID) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := make([]Member, 0, n)
	for range t.order {
		if len(picked) == n {
			break
		}
		t.nextOf = (t.nextOf + 1) % len(t.order)
		r := t.records[t.order[t.nextOf]]
		if !r.heard.IsZero() && !r.suspect && r.node.ID != to {
			picked = append(picked, r.message())
		}
	}
	return picked
}

func (t *memberTable) changed(n int, to domain.NodeID) []Member {
	var fresh []*memberRecord
	for _, id := range t.order {
		r := t.records[id]
		if r.relays < maxRelays && id != to && !r.heard.IsZero() {
			fresh = append(fresh, r)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *memberRecord) int { return cmp.Compare(a.relays, b.relays) })
	picked := make([]Member, 0, n)
	for _, r := range fresh[:min(n, len(fresh))] {
		r.relays++
		picked = append(picked, r.message())
	}
	return picked
}

func (r *memberRecord) message() Member {
	return Member{Node: r.node, Beat: r.beat, Suspect: r.suspect}
}
