package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// Member is what a node says of itself.
type Member struct {
	ID    domain.NodeID
	Place domain.Place
	// EntryAddress is where callers connect, PeerAddress where nodes do.
	EntryAddress string
	PeerAddress  string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation domain.Incarnation
	// Beat grows while the process runs.
	Beat  uint64
	State domain.NodeState
	// Capacity is the node's share of work relative to others, for instance its
	// processor share.
	Capacity float64
}

// newer tells if m supersedes old.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Beat > old.Beat
}

type record struct {
	Member
	heardAt time.Time
	// unreachable is set while the node's own calls to it fail.
	unreachable bool
	alive       bool
	handle      uint32
}

// Members is the table of nodes, the own one included.
type Members struct {
	// AliveFor is how long a node counts as alive after its last beat.
	aliveFor time.Duration
	log      event.Logger

	mu   sync.Mutex
	self Member
	all  map[domain.NodeID]*record
}

const (
	// DefaultAliveFor is several times what a beat takes through a region of
	// thirty nodes. A node that does not answer is left out sooner; see
	// Unreachable.
	DefaultAliveFor = 5 * time.Second
	// farAliveFor is the same for nodes of other regions, of which a node hears
	// a few times less often.
	farAliveFor = 3 * DefaultAliveFor
	// forgetAfter is when a silent node's record is dropped.
	forgetAfter = time.Minute
)

// NewMembers returns a table that knows only the own node. Zero aliveFor means
// DefaultAliveFor.
func NewMembers(self Member, aliveFor time.Duration, log event.Logger) *Members {
	if aliveFor == 0 {
		aliveFor = DefaultAliveFor
	}
	if log == nil {
		log = event.Discard{}
	}
	return &Members{aliveFor: aliveFor, log: log, self: self, all: make(map[domain.NodeID]*record)}
}

// Self returns the own record with its next beat.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Beat++
	return m.self
}

// SetState changes the own state.
func (m *Members) SetState(s domain.NodeState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
}

// State returns the own state.
func (m *Members) State() domain.NodeState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.State
}

// Heard adopts records that arrived from another node; direct is the one that
// the node said of itself.
func (m *Members) Heard(now time.Time, direct *Member, told []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if direct != nil {
		r := m.merge(now, direct, true)
		if r != nil {
			r.unreachable = false
		}
	}
	for i := range told {
		m.merge(now, &told[i], false)
	}
	m.sweep(now)
}

// Registered adopts nodes that registered themselves in the store. It says that
// they exist, and that they lived a moment ago only if they are new.
func (m *Members) Registered(now time.Time, list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range list {
		old := m.all[list[i].ID]
		if old == nil || list[i].Incarnation > old.Incarnation {
			m.merge(now, &list[i], false)
		}
	}
	m.sweep(now)
}

func (m *Members) merge(now time.Time, in *Member, direct bool) *record {
	if in.ID == m.self.ID {
		return nil
	}
	r := m.all[in.ID]
	if r == nil {
		r = &record{}
		m.all[in.ID] = r
	} else if !in.newer(&r.Member) && (!direct || in.Incarnation == r.Incarnation) {
		return r
	}
	changed := r.State != in.State || r.Incarnation != in.Incarnation
	if r.Incarnation != in.Incarnation {
		r.unreachable = false
	}
	r.Member = *in
	r.handle = handleOf(in)
	r.heardAt = now
	if changed {
		m.note(r, "heard")
	}
	return r
}

// Unreachable notes that a call to the node failed.
func (m *Members) Unreachable(id domain.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.all[id]; r != nil {
		r.unreachable = true
	}
}

// sweep notes which nodes died or came back, and forgets old ones.
func (m *Members) sweep(now time.Time) {
	for id, r := range m.all {
		alive := now.Sub(r.heardAt) < m.aliveFor
		if alive != r.alive {
			r.alive = alive
			m.note(r, "beat age "+now.Sub(r.heardAt).String())
		}
		if now.Sub(r.heardAt) > forgetAfter {
			delete(m.all, id)
		}
	}
}

func (m *Members) note(r *record, why string) {
	m.log.Log(event.MemberChanged, event.F("member", r.ID), event.F("incarnation", uint64(r.Incarnation)),
		event.F("state", r.State), event.F("alive", r.alive), event.F("why", why))
}

// Alive returns the other nodes that beat lately and are not stopped, by ID.
func (m *Members) Alive(now time.Time) []Member {
	return m.filter(func(r *record) bool { return now.Sub(r.heardAt) < m.aliveFor && r.State != domain.NodeStopped })
}

// Known returns all other nodes that are remembered, by ID.
func (m *Members) Known() []Member {
	return m.filter(func(*record) bool { return true })
}

// Targets returns the nodes of a region that may be sent requests.
func (m *Members) Targets(now time.Time, region domain.Region) []Member {
	return m.filter(func(r *record) bool { return m.target(now, r, region) })
}

func (m *Members) target(now time.Time, r *record, region domain.Region) bool {
	aliveFor := m.aliveFor
	if region != m.self.Place.Region {
		aliveFor = farAliveFor
	}
	return r.Place.Region == region && r.State == domain.NodeServing && !r.unreachable && now.Sub(r.heardAt) < aliveFor
}

func (m *Members) filter(keep func(*record) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Member, 0, len(m.all))
	for _, r := range m.all {
		if keep(r) {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// InRegion returns the IDs of the nodes of the own region that are alive, the
// own one included, in any order.
func (m *Members) InRegion(now time.Time) []domain.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := []domain.NodeID{m.self.ID}
	for id, r := range m.all {
		if m.near(now, r) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RegionSize returns the number of nodes of the own region that are alive, the own
// one included.
func (m *Members) RegionSize(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 1
	for _, r := range m.all {
		if m.near(now, r) {
			size++
		}
	}
	return size
}

// near tells if a node of the own region is alive.
func (m *Members) near(now time.Time, r *record) bool {
	return r.Place.Region == m.self.Place.Region && r.State != domain.NodeStopped && now.Sub(r.heardAt) < m.aliveFor
}

// HasTarget tells if a node of another region may be sent requests.
func (m *Members) HasTarget(now time.Time, region domain.Region) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.all {
		if m.target(now, r, region) {
			return true
		}
	}
	return false
}

// Count returns the number of nodes that are remembered, the own one included.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all) + 1
}
