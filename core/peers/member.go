package peers

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// Member is the record that a node publishes about itself.
type Member struct {
	ID    domain.NodeID
	Place domain.Place
	// EntryAddress is the address for callers, PeerAddress the one for other nodes;
	// both are host:port.
	EntryAddress string
	PeerAddress  string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation domain.Incarnation
	// HeartbeatCounter increases while the process runs.
	HeartbeatCounter uint64
	State            domain.NodeState
	// Capacity is the node's relative share of the work, for instance its CPU share.
	Capacity float64
	// Unreached are the services of whose upstreams in its region the node reaches none, sorted.
	Unreached []string
}

// reaches reports whether the node reaches upstreams of a service.
func (m *Member) reaches(service string) bool { return !slices.Contains(m.Unreached, service) }

// supersedes reports whether m is newer than old.
func (m *Member) supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.HeartbeatCounter > old.HeartbeatCounter
}

type record struct {
	Member
	lastHeartbeatAt time.Time
	// unreachable is set while calls of the local node to it fail.
	unreachable bool
	alive       bool
	handle      uint32
	// drainingSince is when this node learned that the node drains; zero if it does not.
	drainingSince time.Time
}

// acceptsWhileDraining reports whether a draining node still accepts requests that are
// sent there now.
func (r *record) acceptsWhileDraining(now time.Time) bool {
	return r.State == domain.NodeDraining && now.Sub(r.drainingSince) < DrainAcceptPeriod-drainNoticeMargin
}

// updateDraining sets drainingSince after a change of the record.
func (r *record) updateDraining(now time.Time) {
	switch {
	case r.State != domain.NodeDraining:
		r.drainingSince = time.Time{}
	case r.drainingSince.IsZero():
		r.drainingSince = now
	}
}

// Members is the table of known nodes, including the local node.
type Members struct {
	// aliveFor is how long a node counts as alive after its last heartbeat.
	aliveFor time.Duration
	log      event.Logger

	mu      sync.Mutex
	self    Member
	records map[domain.NodeID]*record
	// silent holds when records of nodes of the local region were removed that had not said that
	// they stop. They may run without a path to this node.
	silent map[domain.NodeID]time.Time
	// drainingSince is when the local node began to drain; zero if it has not.
	drainingSince time.Time
}

const (
	// DefaultAliveFor is several times as long as a heartbeat takes to reach all
	// nodes of a region of thirty nodes. A node that does not respond is excluded
	// sooner; see MarkUnreachable.
	DefaultAliveFor = 5 * time.Second
	// remoteAliveFor applies to nodes of other regions, whose heartbeats arrive a few
	// times less often.
	remoteAliveFor = 3 * DefaultAliveFor
	// removeAfter is the time without a heartbeat after which a record is removed.
	removeAfter = time.Minute
	// silentRetention is how long a node of the local region whose record was removed counts as one
	// that may run.
	silentRetention = 10 * time.Minute
)

// NewMembers returns a table that contains only the local node. If aliveFor is zero,
// DefaultAliveFor is used.
func NewMembers(self Member, aliveFor time.Duration, log event.Logger) *Members {
	if aliveFor == 0 {
		aliveFor = DefaultAliveFor
	}
	if log == nil {
		log = event.Discard{}
	}
	return &Members{aliveFor: aliveFor, log: log, self: self, records: make(map[domain.NodeID]*record), silent: make(map[domain.NodeID]time.Time)}
}

// Self increments the local node's heartbeat counter and returns its record.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.HeartbeatCounter++
	return m.self
}

// SetState sets the state of the local node.
func (m *Members) SetState(now time.Time, s domain.NodeState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
	if s == domain.NodeDraining {
		m.drainingSince = now
	}
}

// SetUnreached replaces the services of whose upstreams the local node reaches none.
func (m *Members) SetUnreached(services []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Unreached = services
}

// Incarnation returns the incarnation of the local node.
func (m *Members) Incarnation() domain.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.Incarnation
}

// State returns the state of the local node.
func (m *Members) State() domain.NodeState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.State
}

// Merge merges records received from another node. direct is the sender's record of
// itself and may be nil; relayed holds its records of other nodes.
func (m *Members) Merge(now time.Time, direct *Member, relayed []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if direct != nil {
		r := m.merge(now, direct, true)
		if r != nil {
			r.unreachable = false
		}
	}
	for i := range relayed {
		m.merge(now, &relayed[i], false)
	}
	m.updateLiveness(now)
}

// MergeRegistered merges nodes that registered themselves in the store. A registration
// counts as a heartbeat only if the node or its incarnation is new.
func (m *Members) MergeRegistered(now time.Time, list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range list {
		old := m.records[list[i].ID]
		if old == nil || list[i].Incarnation > old.Incarnation {
			m.merge(now, &list[i], false)
		}
	}
	m.updateLiveness(now)
}

func (m *Members) merge(now time.Time, in *Member, direct bool) *record {
	if in.ID == m.self.ID {
		return nil
	}
	r := m.records[in.ID]
	if r == nil {
		r = &record{}
		m.records[in.ID] = r
		delete(m.silent, in.ID)
	} else if !in.supersedes(&r.Member) && (!direct || in.Incarnation == r.Incarnation) {
		return r
	}
	changed := r.State != in.State || r.Incarnation != in.Incarnation
	if r.Incarnation != in.Incarnation {
		r.unreachable = false
	}
	if r.Incarnation != in.Incarnation {
		r.drainingSince = time.Time{}
	}
	r.Member = *in
	r.updateDraining(now)
	r.handle = handleOf(in)
	r.lastHeartbeatAt = now
	if changed {
		m.logChange(r, "heard")
	}
	return r
}

// MarkUnreachable records that a call to the node failed.
func (m *Members) MarkUnreachable(id domain.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.records[id]; r != nil {
		r.unreachable = true
	}
}

// updateLiveness updates and logs which nodes are alive, and removes old records.
func (m *Members) updateLiveness(now time.Time) {
	for id, r := range m.records {
		alive := now.Sub(r.lastHeartbeatAt) < m.aliveLimit(r)
		if alive != r.alive {
			r.alive = alive
			m.logChange(r, "heartbeat age "+now.Sub(r.lastHeartbeatAt).String())
		}
		if now.Sub(r.lastHeartbeatAt) > removeAfter {
			delete(m.records, id)
			if m.mayRunInRegion(r) {
				m.silent[id] = now
			}
		}
	}
	maps.DeleteFunc(m.silent, func(_ domain.NodeID, removedAt time.Time) bool { return now.Sub(removedAt) > silentRetention })
}

func (m *Members) logChange(r *record, why string) {
	m.log.Log(event.MemberChanged, event.F("member", r.ID), event.F("incarnation", uint64(r.Incarnation)),
		event.F("state", r.State), event.F("alive", r.alive), event.F("why", why))
}

// Alive returns the other nodes with a recent heartbeat that are not stopped, sorted
// by ID.
func (m *Members) Alive(now time.Time) []Member {
	return m.filter(func(r *record) bool { return now.Sub(r.lastHeartbeatAt) < m.aliveFor && r.State != domain.NodeStopped })
}

// Known returns all other nodes that have a record, sorted by ID.
func (m *Members) Known() []Member {
	return m.filter(func(*record) bool { return true })
}

// Targets returns the nodes of a region to which requests may be sent, sorted by ID: the
// serving ones, or if there are none, those that drain and still accept requests.
func (m *Members) Targets(now time.Time, region domain.Region) []Member {
	return m.targets(now, region, func(*Member) bool { return true })
}

// TargetsFor returns the targets of a region that reach upstreams of a service.
func (m *Members) TargetsFor(now time.Time, region domain.Region, service string) []Member {
	return m.targets(now, region, func(t *Member) bool { return t.reaches(service) })
}

func (m *Members) targets(now time.Time, region domain.Region, suitable func(*Member) bool) []Member {
	serving := m.filter(func(r *record) bool {
		return m.isReachable(now, r, region) && r.State == domain.NodeServing && suitable(&r.Member)
	})
	if len(serving) > 0 {
		return serving
	}
	return m.filter(func(r *record) bool {
		return m.isReachable(now, r, region) && r.acceptsWhileDraining(now) && suitable(&r.Member)
	})
}

// isReachable reports whether the node belongs to the region, has a recent heartbeat and
// responded to the latest call.
func (m *Members) isReachable(now time.Time, r *record, region domain.Region) bool {
	return r.Place.Region == region && !r.unreachable && now.Sub(r.lastHeartbeatAt) < m.aliveLimit(r)
}

// aliveLimit returns how long the node counts as alive after its last heartbeat.
func (m *Members) aliveLimit(r *record) time.Duration {
	if r.Place.Region != m.self.Place.Region {
		return remoteAliveFor
	}
	return m.aliveFor
}

func (m *Members) filter(keep func(*record) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Member, 0, len(m.records))
	for _, r := range m.records {
		if keep(r) {
			list = append(list, r.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// InRegion returns the IDs of the live nodes of the local region, including the local
// node, in any order.
func (m *Members) InRegion(now time.Time) []domain.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := []domain.NodeID{m.self.ID}
	for id, r := range m.records {
		if m.aliveInRegion(now, r) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RegionSize returns the number of live nodes of the local region, including the
// local node.
func (m *Members) RegionSize(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 1
	for _, r := range m.records {
		if m.aliveInRegion(now, r) {
			size++
		}
	}
	return size
}

// ReachesMajority reports whether this node reaches more than half of the nodes of the local region that may run,
// itself included. Of nodes that are cut off together it is false for the smaller part.
func (m *Members) ReachesMajority(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	total, reached := 1, 1
	for _, r := range m.records {
		if !m.mayRunInRegion(r) {
			continue
		}
		total++
		if m.isReachable(now, r, m.self.Place.Region) {
			reached++
		}
	}
	return 2*reached > total
}

// MayRunInRegion returns the IDs of the nodes of the local region that may run, including the local
// node and those that this node does not hear of, in any order.
func (m *Members) MayRunInRegion() []domain.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := append(make([]domain.NodeID, 0, 1+len(m.silent)+len(m.records)), m.self.ID)
	for id := range m.silent {
		ids = append(ids, id)
	}
	for id, r := range m.records {
		if m.mayRunInRegion(r) {
			ids = append(ids, id)
		}
	}
	return ids
}

// mayRunInRegion reports whether the node is of the local region and has not said that it stops.
func (m *Members) mayRunInRegion(r *record) bool {
	return r.Place.Region == m.self.Place.Region && r.State != domain.NodeStopped
}

// aliveInRegion reports whether the node is alive and in the local region.
func (m *Members) aliveInRegion(now time.Time, r *record) bool {
	return m.mayRunInRegion(r) && now.Sub(r.lastHeartbeatAt) < m.aliveFor
}

// HasTarget reports whether requests for a service may be sent to any node of the region.
func (m *Members) HasTarget(now time.Time, region domain.Region, service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		if m.isReachable(now, r, region) && r.reaches(service) && (r.State == domain.NodeServing || r.acceptsWhileDraining(now)) {
			return true
		}
	}
	return false
}

// Count returns the number of known nodes, including the local node.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records) + 1
}
