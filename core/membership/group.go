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
	// standstill is the number of missed own rounds that count as a pause of
	// the own process.
	standstill = 3
	// forgetAfter is the silence after which an unlisted domain is forgotten.
	forgetAfter = time.Hour
	// startRounds is the number of rounds in which a starting node speaks to
	// StartPeers peers.
	startRounds = 2
	// startMembers bounds the members that a starting node is told in a reply.
	startMembers = 32
)

// StartPeers is the number of peers that a starting node speaks to at once.
const StartPeers = 16

const (
	// ownSample is the own nodes named to other domains besides the sender.
	ownSample = 1
	// crossEvery is the number of rounds of which one speaks to another domain.
	crossEvery = 2
	// fewDomains is the number of other domains up to which demands are sent there
	// manyDemands times as many at once: little else is to be sent then.
	fewDomains  = 4
	manyDemands = 3
)

// Group is one node's knowledge of the fleet. Its tables have a lock each. All
// methods are safe for concurrent use.
type Group struct {
	cfg     Config
	members *memberTable
	domains *domainTable
	load    *loadTable
	version atomic.Uint64
	view    atomic.Pointer[View]

	mu       sync.Mutex // guards the fields below
	self     domain.NodeRef
	beat     uint64
	lastBeat time.Time
	urgent   bool
	starting int // rounds left of the start
	rounds   int
}

// New returns the group of a node that starts at now.
func New(cfg Config, now time.Time) *Group {
	g := &Group{
		cfg:      cfg,
		members:  newMemberTable(),
		domains:  newDomainTable(cfg.MaxNodes),
		load:     newLoadTable(),
		self:     cfg.Self,
		beat:     uint64(now.UnixNano() / int64(beatUnit)),
		lastBeat: now,
		starting: startRounds,
	}
	if g.self.State == "" {
		g.self.State = domain.NodeStarting
	}
	g.publish(now)
	return g
}

// View returns the newest view; do not change it.
func (g *Group) View() *View { return g.view.Load() }

// SetVMs takes the platform's VM list: entry VMs of all failure domains. Rows
// that leave are kept until their heartbeats end. A row's ID is the node's.
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

// SetState announces the node's own life cycle state; peers are told at once.
func (g *Group) SetState(now time.Time, s domain.NodeState) {
	g.mu.Lock()
	g.self.State = s
	g.beat++
	g.urgent = true
	g.mu.Unlock()
	g.publish(now)
}

// SetListsVersion announces the version of the lists in force here; peers are
// told at once if it grew.
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

// SetOwnLoad takes the load of the own failure domain per target, as this node
// computes it. Values are rounded; unchanged ones cost no traffic.
func (g *Group) SetOwnLoad(now time.Time, loads []TargetLoad) { g.load.publish(now, loads) }

// SetUpstreams takes the node's own work at upstreams of its domain.
func (g *Group) SetUpstreams(loads []UpstreamLoad) { g.load.setUpstreams(loads) }

// SetDemands takes the node's own demands and those of its domain together, each
// with a rising sequence. They are passed to the nodes of the own domain, and
// those of the domain together to other domains.
func (g *Group) SetDemands(now time.Time, demands []LimitDemand) { g.load.setDemands(now, demands) }

// Urgent tells if Beat should be called before the round ends.
func (g *Group) Urgent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.urgent
}

// Beat starts a round and returns the heartbeats to send: one to a peer, one to
// another domain; and to a few more peers when something urgent changed.
func (g *Group) Beat(now time.Time) []Outgoing {
	burst := g.advance(now)
	stretch := g.stretch()
	g.members.expire(now, stretch*g.cfg.SuspectAfter, stretch*g.cfg.RemoveAfter)
	g.domains.forget(now, forgetAfter)
	g.load.expire(now)
	view := g.publish(now)

	var out []Outgoing
	for _, n := range g.members.peers(1 + burst) {
		out = append(out, Outgoing{To: n, Message: g.message(now, n, g.cfg.MaxTargets)})
	}
	assigned := func(fd domain.FailureDomain) bool {
		return Ranks(string(fd), view.Self.ID, view.Own, g.cfg.Representatives)
	}
	if !g.crossRound() {
		return out
	}
	if n, ok := g.domains.contact(assigned); ok {
		out = append(out, Outgoing{To: n, Message: g.message(now, n, g.cfg.MaxTargets)})
	}
	return out
}

func (g *Group) crossRound() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	return g.rounds%crossEvery == 0
}

// advance counts the round and returns how many more peers to tell.
func (g *Group) advance(now time.Time) (burst int) {
	g.mu.Lock()
	gap := now.Sub(g.lastBeat)
	// An early call for urgent news is no round of its own.
	if gap >= g.cfg.Round/2 {
		g.beat++
		g.lastBeat = now
	}
	if g.urgent {
		burst = g.cfg.Burst
	}
	if g.starting > 0 && g.members.size() > 0 {
		burst = StartPeers
		g.starting--
	}
	g.urgent = false
	g.mu.Unlock()
	if gap > standstill*g.cfg.Round {
		g.members.pardon(gap)
	}
	return burst
}

// stretch is the factor on time limits for domains so large that the relays of
// one heartbeat cannot name every member. A node gets two heartbeats a round from
// its domain; half of the relayed beats are no news.
func (g *Group) stretch() time.Duration {
	named := g.cfg.MaxMembers + 1
	return time.Duration(max(1, (g.members.size()+named-1)/named))
}

// message builds the heartbeat for one node, with up to targets readings of
// other domains' targets. Replies have none of
// these and no demands: a request in the other direction brings them.
func (g *Group) message(now time.Time, to domain.NodeRef, targets int) Heartbeat {
	h := Heartbeat{ListsVersion: domain.ListsVersion(g.version.Load())}
	g.mu.Lock()
	h.Sender = Member{Node: g.self, Beat: g.beat}
	g.mu.Unlock()
	if to.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
		known := DomainLoad{Place: to.Place, Sequence: g.domains.sequenceOf(to.Place.FailureDomain)}
		h.Domains = []DomainLoad{g.ownReading(now), known}
		h.Demands = g.load.domainDemands(DomainParty(g.cfg.Self.Place.FailureDomain), g.crossDemands())
		return h
	}
	h.Members = g.members.relay(g.cfg.MaxMembers, to.ID)
	h.Upstreams = g.load.ownUpstreams(g.cfg.upstreamsBeside(len(h.Members)))
	h.Domains = g.domains.relay(now, targets)
	h.Domains = append(h.Domains, DomainLoad{Place: to.Place, Sequence: g.load.highest()})
	if targets > 0 {
		h.Demands = g.load.relayDemands(g.cfg.MaxDemands + (g.cfg.MaxMembers-len(h.Members))/2)
	}
	return h
}

// crossDemands is the number of demands in a message to another domain.
func (g *Group) crossDemands() int {
	if g.domains.size() <= fewDomains {
		return manyDemands * g.cfg.MaxDemands
	}
	return g.cfg.MaxDemands
}

// ownReading is what other domains are told of this one.
func (g *Group) ownReading(now time.Time) DomainLoad {
	v := g.view.Load()
	sequence, targets := g.load.reading(now, g.cfg.MaxOwnTargets)
	return DomainLoad{
		Place:     v.Self.Place,
		Sequence:  sequence,
		LiveNodes: uint32(len(v.Own)),
		Targets:   targets,
		Nodes:     g.ownNodes(v),
	}
}

// ownNodes returns the node itself and the next other ones in turn.
func (g *Group) ownNodes(v *View) []domain.NodeRef {
	return append(g.servingSample(v), draining(v.Own)...)
}

func (g *Group) servingSample(v *View) []domain.NodeRef {
	serving := servingFrom(v.Own, v.Self.ID)
	if len(serving) < 1+ownSample {
		return serving
	}
	g.mu.Lock()
	turn := g.rounds
	g.mu.Unlock()
	others := serving[1:]
	named := serving[:1:1]
	for i := range ownSample {
		named = append(named, others[(turn+i)%len(others)])
	}
	return named
}

// Receive takes a heartbeat and returns the reply.
func (g *Group) Receive(now time.Time, h Heartbeat) Heartbeat {
	g.learn(now, h)
	reply := g.message(now, h.Sender.Node, 0)
	if h.Sender.Node.State == domain.NodeStarting && len(reply.Members) > 0 {
		reply.Members = g.members.introduce(startMembers, h.Sender.Node.ID)
	}
	return reply
}

// Replied takes the reply to a heartbeat sent to a node. A reply by another
// node shows that the address was reused.
func (g *Group) Replied(now time.Time, to domain.NodeRef, sent time.Time, reply Heartbeat) {
	if reply.Sender.Node.ID != to.ID {
		g.Failed(now, to)
	}
	g.learn(now, reply)
	if fd := reply.Sender.Node.Place.FailureDomain; fd != g.cfg.Self.Place.FailureDomain {
		g.domains.measured(fd, now.Sub(sent))
	}
}

// Failed notes that a heartbeat to a node got no reply.
func (g *Group) Failed(now time.Time, to domain.NodeRef) {
	if to.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
		g.domains.fail(to)
		return
	}
	if g.members.fail(to.ID) {
		g.publish(now)
	}
}

func (g *Group) learn(now time.Time, h Heartbeat) {
	from := h.Sender.Node
	if from.ID == g.cfg.Self.ID {
		return
	}
	g.learnDomains(now, h)
	if from.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
		g.learnDomainDemands(now, h)
		return
	}
	changed := g.members.learnDirect(now, h.Sender)
	for _, m := range h.Members {
		if m.Node.ID == g.cfg.Self.ID {
			g.refute(m)
			continue
		}
		if m.Handle == 0 && m.Node.Place.FailureDomain != g.cfg.Self.Place.FailureDomain {
			continue
		}
		changed = g.members.learnRelayed(now, m) || changed
	}
	g.load.learnUpstreams(now, from.ID, h.Upstreams)
	for _, d := range h.Demands {
		if d.Node != g.cfg.Self.ID {
			g.load.learnDemand(now, d)
		}
	}
	if changed {
		g.publish(now)
	}
}

// learnDomainDemands takes what another domain's customers ask for together.
func (g *Group) learnDomainDemands(now time.Time, h Heartbeat) {
	for _, d := range h.Demands {
		if d.Node == DomainParty(h.Sender.Node.Place.FailureDomain) {
			g.load.learnDemand(now, d)
		}
	}
}

func (g *Group) learnDomains(now time.Time, h Heartbeat) {
	for _, d := range h.Domains {
		if d.Place.FailureDomain == g.cfg.Self.Place.FailureDomain {
			g.load.observe(d.Sequence)
			continue
		}
		direct := d.Place.FailureDomain == h.Sender.Node.Place.FailureDomain
		g.domains.learn(now, d, direct)
	}
}

// refute outbids a record about this node that an earlier process left behind
// or that suspects it.
func (g *Group) refute(m Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	foreign := m.Node.Incarnation != g.self.Incarnation
	if (foreign || m.Suspect) && m.Beat >= g.beat {
		g.beat = m.Beat + 1
	}
}

// publish builds the view anew.
func (g *Group) publish(now time.Time) *View {
	g.mu.Lock()
	self := g.self
	g.mu.Unlock()
	own := append(g.members.live(), self)
	slices.SortFunc(own, func(a, b domain.NodeRef) int { return cmp.Compare(a.ID, b.ID) })
	known, listed := g.members.known()
	v := &View{
		Listed:   listed,
		Known:    known,
		At:       now,
		Self:     self,
		Own:      own,
		Others:   g.domains.views(now, g.cfg.UnreachableAfter),
		PeerWork: g.load.peerWork(),
		Demands:  g.load.allDemands(),
	}
	g.view.Store(v)
	return v
}
