package membership

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// pauseRounds is the number of rounds without a call of StartRound above which the
	// local process counts as having been paused.
	pauseRounds = 3
	// domainRemoveAfter is the time without a report after which a domain that is not
	// in the VM list is removed.
	domainRemoveAfter = time.Hour
	// startRounds is the number of rounds in which a starting node contacts StartPeers
	// additional peers.
	startRounds = 2
	// startMembers limits the members in a reply to a starting node.
	startMembers = 32
)

// StartPeers is the number of additional peers that a starting node contacts at once.
const StartPeers = 16

const (
	// maxOtherOwnNodes is the number of serving nodes of the local domain, besides the
	// sender, that are reported to other domains.
	maxOtherOwnNodes = 1
	// crossDomainInterval is the number of rounds between contacts to other domains.
	crossDomainInterval = 2
	// With up to fewDomains other domains, the number of demands per message to them
	// is multiplied by fewDomainsFactor, because there is little else to send.
	fewDomains       = 4
	fewDomainsFactor = 3
)

// Group holds one node's information about the fleet. Each of its tables has its own
// lock. All methods are safe for concurrent use.
type Group struct {
	cfg     Config
	members *memberTable
	domains *domainTable
	load    *loadTable
	version atomic.Uint64
	view    atomic.Pointer[View]

	mu               sync.Mutex // guards the fields below
	self             domain.NodeRef
	heartbeatCounter uint64
	lastRoundAt      time.Time
	urgent           bool
	startRoundsLeft  int // remaining rounds with additional peers after the start
	rounds           int
}

// New returns the Group of a node that starts at now.
func New(cfg Config, now time.Time) *Group {
	g := &Group{
		cfg:              cfg,
		members:          newMemberTable(),
		domains:          newDomainTable(cfg.MaxNodes),
		load:             newLoadTable(),
		self:             cfg.Self,
		heartbeatCounter: uint64(now.UnixNano() / int64(beatUnit)),
		lastRoundAt:      now,
		startRoundsLeft:  startRounds,
	}
	if g.self.State == "" {
		g.self.State = domain.NodeStarting
	}
	g.publish(now)
	return g
}

// View returns the newest view; it must not be modified.
func (g *Group) View() *View { return g.view.Load() }

// SetVMs sets the platform's VM list, of which the entry VMs of all failure domains are
// used. VMs that are no longer listed are retained until their heartbeats stop. The ID
// of a VM is the node's ID.
func (g *Group) SetVMs(now time.Time, vms []ports.VM) {
	var own, others []domain.NodeRef
	for _, vm := range vms {
		n := domain.NodeRef{ID: domain.NodeID(vm.ID), Place: vm.Place, PeerAddress: vm.Address}
		if vm.Role != ports.RoleEntry || n.ID == g.cfg.Self.ID {
			continue
		}
		if vm.Place.FailureDomain == g.cfg.Self.Place.FailureDomain {
			own = append(own, n)
			continue
		}
		others = append(others, n)
	}
	g.members.setListed(own)
	g.domains.setSeeds(others)
	g.publish(now)
}

// SetState announces the local node's life cycle state and notifies peers immediately.
func (g *Group) SetState(now time.Time, s domain.NodeState) {
	g.mu.Lock()
	g.self.State = s
	g.heartbeatCounter++
	g.urgent = true
	g.mu.Unlock()
	g.publish(now)
}

// SetListsVersion announces the version of the lists in effect on the local node. If
// the version increased, peers are notified immediately.
func (g *Group) SetListsVersion(v domain.ListsVersion) {
	for {
		old := g.version.Load()
		if uint64(v) <= old {
			return
		}
		if g.version.CompareAndSwap(old, uint64(v)) {
			break
		}
	}
	g.mu.Lock()
	g.urgent = true
	g.mu.Unlock()
}

// SetOwnLoad sets the load of the local failure domain per target, as computed by this
// node. Values are rounded so that small changes cause no traffic.
func (g *Group) SetOwnLoad(now time.Time, loads []TargetLoad) { g.load.publish(now, loads) }

// SetUpstreams sets the local node's requests at the upstreams of its domain.
func (g *Group) SetUpstreams(loads []UpstreamLoad) { g.load.setUpstreams(loads) }

// SetDemands sets the demands of the local node and the aggregate demands of its
// domain, each with an increasing sequence. All of them are sent to the nodes of the
// local domain; only the aggregate demands are sent to other domains.
func (g *Group) SetDemands(now time.Time, demands []LimitDemand) { g.load.setDemands(now, demands) }

// Urgent reports whether StartRound should be called before the end of the round.
func (g *Group) Urgent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.urgent
}

// StartRound starts a round and returns the heartbeats to send: one to a peer, in every
// crossDomainInterval-th round one to another domain, and to additional peers after an
// urgent change or at the start.
func (g *Group) StartRound(now time.Time) []Outgoing {
	burst := g.advance(now)
	factor := g.timeoutFactor()
	g.members.expire(now, factor*g.cfg.SuspectAfter, factor*g.cfg.RemoveAfter)
	g.domains.expire(now, domainRemoveAfter)
	g.load.expire(now)
	view := g.publish(now)

	var out []Outgoing
	for _, n := range g.members.nextPeers(1 + burst) {
		out = append(out, Outgoing{To: n, Message: g.heartbeatTo(now, n, g.cfg.MaxTargets)})
	}
	assigned := func(fd domain.FailureDomain) bool {
		return RanksAmongTop(string(fd), view.Self.ID, view.LocalNodes, g.cfg.Representatives)
	}
	if !g.isCrossDomainRound() {
		return out
	}
	if n, ok := g.domains.nextContact(assigned); ok {
		out = append(out, Outgoing{To: n, Message: g.heartbeatTo(now, n, g.cfg.MaxTargets)})
	}
	return out
}

func (g *Group) isCrossDomainRound() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	return g.rounds%crossDomainInterval == 0
}

// advance starts a round and returns the number of additional peers to notify.
func (g *Group) advance(now time.Time) (burst int) {
	g.mu.Lock()
	gap := now.Sub(g.lastRoundAt)
	// An early call because of an urgent change does not start a new round.
	if gap >= g.cfg.Round/2 {
		g.heartbeatCounter++
		g.lastRoundAt = now
	}
	if g.urgent {
		burst = g.cfg.Burst
	}
	if g.startRoundsLeft > 0 && g.members.size() > 0 {
		burst = StartPeers
		g.startRoundsLeft--
	}
	g.urgent = false
	g.mu.Unlock()
	if gap > pauseRounds*g.cfg.Round {
		g.members.shiftLastSeen(gap)
	}
	return burst
}

// timeoutFactor returns the factor applied to timeouts in domains so large that one
// heartbeat cannot include every member. A node receives two heartbeats a round from
// its domain, and half of the relayed heartbeat counters are already known to it.
func (g *Group) timeoutFactor() time.Duration {
	namedMembers := g.cfg.MaxMembers + 1
	return time.Duration(max(1, (g.members.size()+namedMembers-1)/namedMembers))
}

// heartbeatTo returns the heartbeat for one node, with up to the given number of target
// loads of other domains. Replies to nodes of the local domain contain neither these
// nor demands: a request in the other direction carries them.
func (g *Group) heartbeatTo(now time.Time, to domain.NodeRef, targets int) Heartbeat {
	h := Heartbeat{ListsVersion: domain.ListsVersion(g.version.Load())}
	g.mu.Lock()
	h.Sender = Member{Node: g.self, HeartbeatCounter: g.heartbeatCounter}
	g.mu.Unlock()
	if to.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
		known := DomainLoad{Place: to.Place, Sequence: g.domains.sequenceOf(to.Place.FailureDomain)}
		h.Domains = []DomainLoad{g.ownReport(now), known}
		h.Demands = g.load.domainDemands(DomainDemandOrigin(g.cfg.Self.Place.FailureDomain), g.maxCrossDomainDemands())
		return h
	}
	h.Members = g.members.relay(g.cfg.MaxMembers, to.ID)
	h.Upstreams = g.load.ownUpstreams(g.cfg.maxUpstreamsWith(len(h.Members)))
	h.Domains = g.domains.relay(now, targets)
	h.Domains = append(h.Domains, DomainLoad{Place: to.Place, Sequence: g.load.highestSequence()})
	if targets > 0 {
		h.Demands = g.load.relayDemands(g.cfg.MaxDemands + (g.cfg.MaxMembers-len(h.Members))/2)
	}
	return h
}

// maxCrossDomainDemands returns the maximum number of demands per message to a domain.
func (g *Group) maxCrossDomainDemands() int {
	if g.domains.size() <= fewDomains {
		return fewDomainsFactor * g.cfg.MaxDemands
	}
	return g.cfg.MaxDemands
}

// ownReport returns the report on the local domain for other domains.
func (g *Group) ownReport(now time.Time) DomainLoad {
	v := g.view.Load()
	sequence, targets := g.load.report(now, g.cfg.MaxOwnTargets)
	return DomainLoad{
		Place:     v.Self.Place,
		Sequence:  sequence,
		LiveNodes: uint32(len(v.LocalNodes)),
		Targets:   targets,
		Nodes:     g.ownNodes(v),
	}
}

// ownNodes returns the local node, the next other serving nodes in the rotation, and
// all draining nodes.
func (g *Group) ownNodes(v *View) []domain.NodeRef {
	return append(g.servingSample(v), draining(v.LocalNodes)...)
}

func (g *Group) servingSample(v *View) []domain.NodeRef {
	serving := servingNodes(v.LocalNodes, v.Self.ID)
	if len(serving) < 1+maxOtherOwnNodes {
		return serving
	}
	g.mu.Lock()
	offset := g.rounds
	g.mu.Unlock()
	others := serving[1:]
	sample := serving[:1:1]
	for i := range maxOtherOwnNodes {
		sample = append(sample, others[(offset+i)%len(others)])
	}
	return sample
}

// Receive applies a heartbeat and returns the reply.
func (g *Group) Receive(now time.Time, h Heartbeat) Heartbeat {
	g.applyHeartbeat(now, h)
	reply := g.heartbeatTo(now, h.Sender.Node, 0)
	if h.Sender.Node.State == domain.NodeStarting && len(reply.Members) > 0 {
		reply.Members = g.members.nextFull(startMembers, h.Sender.Node.ID)
	}
	return reply
}

// HandleReply applies the reply to a heartbeat that was sent to a node at the given
// time. A reply from another node shows that the address was reused.
func (g *Group) HandleReply(now time.Time, to domain.NodeRef, sent time.Time, reply Heartbeat) {
	if reply.Sender.Node.ID != to.ID {
		g.HandleFailure(now, to)
	}
	g.applyHeartbeat(now, reply)
	if fd := reply.Sender.Node.Place.FailureDomain; fd != g.cfg.Self.Place.FailureDomain {
		g.domains.updateRTT(fd, now.Sub(sent))
	}
}

// HandleFailure records that a heartbeat to a node received no reply.
func (g *Group) HandleFailure(now time.Time, to domain.NodeRef) {
	if to.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
		g.domains.recordFailure(to)
		return
	}
	if g.members.recordFailure(to.ID) {
		g.publish(now)
	}
}

func (g *Group) applyHeartbeat(now time.Time, h Heartbeat) {
	from := h.Sender.Node
	if from.ID == g.cfg.Self.ID {
		return
	}
	g.mergeDomains(now, h)
	if from.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
		g.mergeDomainDemands(now, h)
		return
	}
	changed := g.members.mergeDirect(now, h.Sender)
	for _, m := range h.Members {
		if m.Node.ID == g.cfg.Self.ID {
			g.refute(m)
			continue
		}
		if m.Handle == 0 && m.Node.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
			continue
		}
		changed = g.members.mergeRelayed(now, m) || changed
	}
	g.load.mergeUpstreams(now, from.ID, h.Upstreams)
	for _, d := range h.Demands {
		if d.Node != g.cfg.Self.ID {
			g.load.mergeDemand(now, d)
		}
	}
	if changed {
		g.publish(now)
	}
}

// mergeDomainDemands applies the aggregate demands of another domain.
func (g *Group) mergeDomainDemands(now time.Time, h Heartbeat) {
	for _, d := range h.Demands {
		if d.Node == DomainDemandOrigin(h.Sender.Node.Place.FailureDomain) {
			g.load.mergeDemand(now, d)
		}
	}
}

func (g *Group) mergeDomains(now time.Time, h Heartbeat) {
	for _, d := range h.Domains {
		if d.Place.FailureDomain == g.cfg.Self.Place.FailureDomain {
			g.load.observeSequence(d.Sequence)
			continue
		}
		direct := d.Place.FailureDomain == h.Sender.Node.Place.FailureDomain
		g.domains.merge(now, d, direct)
	}
}

// refute raises the local heartbeat counter above that of a record of this node which
// stems from an earlier process or suspects it.
func (g *Group) refute(m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	foreign := m.Node.Incarnation != g.self.Incarnation
	if (foreign || m.Suspect) && m.HeartbeatCounter >= g.heartbeatCounter {
		g.heartbeatCounter = m.HeartbeatCounter + 1
	}
}

// publish rebuilds and stores the view.
func (g *Group) publish(now time.Time) *View {
	g.mu.Lock()
	self := g.self
	g.mu.Unlock()
	own := append(g.members.live(), self)
	slices.SortFunc(own, func(a, b domain.NodeRef) int { return cmp.Compare(a.ID, b.ID) })
	known, listed := g.members.known()
	v := &View{
		HasVMList:    listed,
		PeerIDs:      known,
		At:           now,
		Self:         self,
		LocalNodes:   own,
		OtherDomains: g.domains.views(now, g.cfg.UnreachableAfter),
		PeerWork:     g.load.peerWork(),
		Demands:      g.load.allDemands(),
	}
	g.view.Store(v)
	return v
}
