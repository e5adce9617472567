// Package peerconv converts between the core's messages and the generated
// messages of the protocol between nodes.
package peerconv

import (
	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/membership"
)

// Limits on the repeated fields of a received heartbeat.
const (
	maxMembers   = 64
	maxUpstreams = 256
	maxDomains   = 32
	maxTargets   = 256
	maxDemands   = 256
)

// HeartbeatToProto returns the wire message. Places equal to the sender's are omitted.
func HeartbeatToProto(h membership.Heartbeat) *peerpb.HeartbeatMessage {
	senderPlace := h.Sender.Node.Place
	m := &peerpb.HeartbeatMessage{
		Sender:       memberToProto(h.Sender, domain.Place{}),
		ListsVersion: uint64(h.ListsVersion),
	}
	for _, member := range h.Members {
		m.Members = append(m.Members, memberToProto(member, senderPlace))
	}
	for _, u := range h.Upstreams {
		m.Upstreams = append(m.Upstreams, &peerpb.UpstreamLoad{
			Id: string(u.Upstream), InFlight: u.InFlight, PendingTokens: u.PendingTokens,
			Leaving: u.Leaving, Suspect: u.Suspect,
		})
	}
	for _, d := range h.Domains {
		m.Domains = append(m.Domains, domainToProto(d, senderPlace))
	}
	for _, d := range h.Demands {
		m.Demands = append(m.Demands, &peerpb.LimitDemand{
			Customer: string(d.Customer), Node: string(d.Node), Sequence: d.Sequence,
			InFlight: d.InFlight, Waiting: d.Waiting, TokensPerSecond: d.TokensPerSecond,
		})
	}
	return m
}

// HeartbeatFromProto returns the core's message. It returns an error of kind bad_request
// if the sender is missing or a repeated field is too long.
func HeartbeatFromProto(m *peerpb.HeartbeatMessage) (membership.Heartbeat, error) {
	if m.GetSender().GetId() == "" || m.GetSender().GetFailureDomain() == "" {
		return membership.Heartbeat{}, errkind.New(errkind.BadRequest, "heartbeat without a sender")
	}
	if exceedsLimits(m) {
		return membership.Heartbeat{}, errkind.New(errkind.BadRequest, "heartbeat of %q has too many items", m.GetSender().GetId())
	}
	sender := memberFromProto(m.GetSender(), domain.Place{})
	senderPlace := sender.Node.Place
	h := membership.Heartbeat{Sender: sender, ListsVersion: domain.ListsVersion(m.GetListsVersion())}
	for _, member := range m.GetMembers() {
		h.Members = append(h.Members, memberFromProto(member, senderPlace))
	}
	for _, u := range m.GetUpstreams() {
		h.Upstreams = append(h.Upstreams, membership.UpstreamLoad{
			Upstream: domain.UpstreamID(u.GetId()), InFlight: u.GetInFlight(), PendingTokens: u.GetPendingTokens(),
			Leaving: u.GetLeaving(), Suspect: u.GetSuspect(),
		})
	}
	for _, d := range m.GetDomains() {
		h.Domains = append(h.Domains, domainFromProto(d, senderPlace))
	}
	for _, d := range m.GetDemands() {
		h.Demands = append(h.Demands, membership.LimitDemand{
			Customer: domain.CustomerID(d.GetCustomer()), Node: domain.NodeID(d.GetNode()), Sequence: d.GetSequence(),
			InFlight: d.GetInFlight(), Waiting: d.GetWaiting(), TokensPerSecond: d.GetTokensPerSecond(),
		})
	}
	return h, nil
}

func exceedsLimits(m *peerpb.HeartbeatMessage) bool {
	if len(m.GetMembers()) > maxMembers || len(m.GetUpstreams()) > maxUpstreams {
		return true
	}
	if len(m.GetDomains()) > maxDomains || len(m.GetDemands()) > maxDemands {
		return true
	}
	for _, d := range m.GetDomains() {
		if len(d.GetTargets()) > maxTargets || len(d.GetNodes()) > maxMembers {
			return true
		}
	}
	return false
}

func memberToProto(m membership.Member, senderPlace domain.Place) *peerpb.Member {
	if m.Handle != 0 {
		return &peerpb.Member{Handle: m.Handle, Beat: m.HeartbeatCounter, Suspect: m.Suspect}
	}
	p := &peerpb.Member{
		Id:            string(m.Node.ID),
		Incarnation:   uint64(m.Node.Incarnation),
		PeerAddress:   m.Node.PeerAddress,
		CallerAddress: m.Node.CallerAddress,
		Beat:          m.HeartbeatCounter,
		Suspect:       m.Suspect,
	}
	if m.Node.State != domain.NodeServing {
		p.State = string(m.Node.State)
	}
	if m.Node.Place != senderPlace {
		p.Region = string(m.Node.Place.Region)
		p.FailureDomain = string(m.Node.Place.FailureDomain)
	}
	return p
}

func memberFromProto(p *peerpb.Member, senderPlace domain.Place) membership.Member {
	if p.GetHandle() != 0 {
		return membership.Member{Handle: p.GetHandle(), HeartbeatCounter: p.GetBeat(), Suspect: p.GetSuspect()}
	}
	m := membership.Member{
		Node: domain.NodeRef{
			ID:            domain.NodeID(p.GetId()),
			Incarnation:   domain.Incarnation(p.GetIncarnation()),
			Place:         placeFromProto(p.GetRegion(), p.GetFailureDomain(), senderPlace),
			PeerAddress:   p.GetPeerAddress(),
			CallerAddress: p.GetCallerAddress(),
			State:         domain.NodeState(p.GetState()),
		},
		HeartbeatCounter: p.GetBeat(),
		Suspect:          p.GetSuspect(),
	}
	if m.Node.State == "" {
		m.Node.State = domain.NodeServing
	}
	return m
}

func placeFromProto(region, fd string, senderPlace domain.Place) domain.Place {
	if fd == "" {
		return senderPlace
	}
	return domain.Place{Region: domain.Region(region), FailureDomain: domain.FailureDomain(fd)}
}

func domainToProto(d membership.DomainLoad, senderPlace domain.Place) *peerpb.DomainLoad {
	p := &peerpb.DomainLoad{
		Sequence:  d.Sequence,
		AgeMs:     d.AgeMillis,
		RttUs:     d.RTTMicros,
		LiveNodes: d.LiveNodes,
	}
	if d.Place != senderPlace {
		p.Region = string(d.Place.Region)
		p.FailureDomain = string(d.Place.FailureDomain)
	}
	for _, t := range d.Targets {
		p.Targets = append(p.Targets, &peerpb.TargetLoad{
			Kind: uint32(t.Target.Kind), Name: t.Target.Name, Slots: t.Slots, Free: t.Free,
			WaitMs: t.WaitMillis, CostMilli: t.CostMilli, SequenceOffset: int64(t.Sequence - d.Sequence),
		})
	}
	for _, n := range d.Nodes {
		p.Nodes = append(p.Nodes, memberToProto(membership.Member{Node: n}, d.Place))
	}
	return p
}

func domainFromProto(p *peerpb.DomainLoad, senderPlace domain.Place) membership.DomainLoad {
	d := membership.DomainLoad{
		Place:     placeFromProto(p.GetRegion(), p.GetFailureDomain(), senderPlace),
		Sequence:  p.GetSequence(),
		AgeMillis: p.GetAgeMs(),
		RTTMicros: p.GetRttUs(),
		LiveNodes: p.GetLiveNodes(),
	}
	for _, t := range p.GetTargets() {
		d.Targets = append(d.Targets, membership.TargetLoad{
			Target:     domain.Target{Kind: domain.TargetKind(t.GetKind()), Name: t.GetName()},
			Slots:      t.GetSlots(),
			Free:       t.GetFree(),
			WaitMillis: t.GetWaitMs(),
			CostMilli:  t.GetCostMilli(),
			Sequence:   d.Sequence + uint64(t.GetSequenceOffset()),
		})
	}
	for _, n := range p.GetNodes() {
		d.Nodes = append(d.Nodes, memberFromProto(n, d.Place).Node)
	}
	return d
}
