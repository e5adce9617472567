package mesh

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quarantine"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/relay"
)

// Factors of the fixed-point numbers in the protocol.
const (
	milli   = 1000
	tenths  = 10
	percent = 100
	// maxMilliRate is the highest rate limit that a message can hold.
	maxMilliRate = math.MaxUint32
)

func headerToWire(h map[string][]string) []*meshpb.HeaderField {
	fields := make([]*meshpb.HeaderField, 0, len(h))
	for name, values := range h {
		f := &meshpb.HeaderField{Name: name}
		for _, v := range values {
			f.Values = append(f.Values, []byte(v))
		}
		fields = append(fields, f)
	}
	return fields
}

func headerFromWire(fields []*meshpb.HeaderField) map[string][]string {
	h := make(map[string][]string, len(fields))
	for _, f := range fields {
		values := make([]string, 0, len(f.Values))
		for _, v := range f.Values {
			values = append(values, string(v))
		}
		h[f.Name] = values
	}
	return h
}

func memberToWire(m peers.Member) *meshpb.Member {
	return &meshpb.Member{
		Id: string(m.ID), Region: string(m.Place.Region), FailureDomain: string(m.Place.FailureDomain),
		EntryAddress: m.EntryAddress, PeerAddress: m.PeerAddress,
		Incarnation: uint64(m.Incarnation), Beat: m.HeartbeatCounter, State: string(m.State),
		CapacityMilli: uint32(m.Capacity * milli), Unreached: m.Unreached,
	}
}

func memberFromWire(m *meshpb.Member) peers.Member {
	return peers.Member{
		ID:           domain.NodeID(m.GetId()),
		Place:        domain.Place{Region: domain.Region(m.GetRegion()), FailureDomain: domain.FailureDomain(m.GetFailureDomain())},
		EntryAddress: m.GetEntryAddress(), PeerAddress: m.GetPeerAddress(),
		Incarnation: domain.Incarnation(m.GetIncarnation()), HeartbeatCounter: m.GetBeat(), State: domain.NodeState(m.GetState()),
		Capacity: float64(m.GetCapacityMilli()) / milli, Unreached: m.GetUnreached(),
	}
}

// stateToWire encodes the serving state, the most frequent one, as an empty string.
func stateToWire(s domain.NodeState) string {
	if s == domain.NodeServing {
		return ""
	}
	return string(s)
}

func stateFromWire(s string) domain.NodeState {
	if s == "" {
		return domain.NodeServing
	}
	return domain.NodeState(s)
}

// ExchangeMessage is the message that each of two nodes sends to the other in an exchange.
type ExchangeMessage struct {
	Sender peers.Member
	// Members holds records of some other members.
	Members []peers.Member
	// Heartbeats holds the heartbeats of members of the region.
	Heartbeats []peers.CompactHeartbeat
	// Loads holds the loads of the services in the sender's region.
	Loads []instances.Load
	// Views holds the loads of other regions as known to the sender.
	Views []peers.View
	// TableVersion is the version of the sender's routing table, zero if it has none.
	TableVersion uint64
	// Operator and Entries are the sender's positions in the operator's documents and
	// in the entries of upstreams.
	Operator Position
	Entries  Position
	// Parts holds what the sender knows about parts of prompts that may crash upstreams.
	Parts quarantine.Message
	// RateLimits holds the limits that upstreams of the region named.
	RateLimits []instances.RateLimit
	// Statements holds what upstreams of the region said of themselves.
	Statements []instances.Statement
	// Speeds holds slowdowns that upstreams of the region stated.
	Speeds []instances.Speed
	// Brittle holds the services whose upstreams in the region are brittle.
	Brittle []instances.BrittleService
	// QuotaAuthority is the node that grants quotas; its term is zero if none is known.
	QuotaAuthority quota.Announcement
}

// Position describes how far a node has replicated a part of the store.
type Position struct {
	// StorePosition is zero if the node does not have the part.
	ports.StorePosition
	// Digest is a hash of the content.
	Digest uint64
	// Age is the time since the store confirmed the position to some node.
	Age time.Duration
	// ProofAge is the age of the proof that the content was current, if Proved is set.
	ProofAge time.Duration
	Proved   bool
}

// maxProofAge is the maximum age of a proof that is sent.
const maxProofAge = time.Hour

// proofToWire encodes the age of a proof, rounded up, plus one; zero means that there is none.
func proofToWire(p Position) uint32 {
	if !p.Proved || p.ProofAge < 0 || p.ProofAge > maxProofAge {
		return 0
	}
	return uint32((p.ProofAge+time.Millisecond-1)/time.Millisecond) + 1
}

func positionToWire(p Position) *meshpb.Position {
	if p.Revision == 0 {
		return nil
	}
	return &meshpb.Position{Era: p.Era, Revision: p.Revision, Digest: p.Digest, AgeMs: uint32(p.Age.Milliseconds()), ProofAgeMs: proofToWire(p)}
}

func positionFromWire(m *meshpb.Position) Position {
	p := Position{StorePosition: ports.StorePosition{Era: m.GetEra(), Revision: m.GetRevision()}, Digest: m.GetDigest(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
	if ms := m.GetProofAgeMs(); ms > 0 {
		p.ProofAge, p.Proved = time.Duration(ms-1)*time.Millisecond, true
	}
	return p
}

func messageToWire(msg ExchangeMessage) *meshpb.ExchangeMessage {
	m := &meshpb.ExchangeMessage{Sender: memberToWire(msg.Sender), TableVersion: msg.TableVersion,
		Operator: positionToWire(msg.Operator), Entries: positionToWire(msg.Entries), QuotaAuthority: authorityToWire(msg.QuotaAuthority)}
	for _, other := range msg.Members {
		m.Members = append(m.Members, memberToWire(other))
	}
	for _, b := range msg.Heartbeats {
		m.Beats = append(m.Beats, &meshpb.MemberBeat{Handle: b.Handle, Beat: b.Counter, State: stateToWire(b.State)})
	}
	m.Parts = partsToWire(msg.Parts)
	for _, l := range msg.RateLimits {
		m.Limits = append(m.Limits, &meshpb.UpstreamLimit{Service: l.Service, Instance: string(l.Instance),
			MilliPerSecond: uint32(min(maxMilliRate, math.Ceil(l.PerSecond*milli))), AgeMs: uint32(l.Age.Milliseconds())})
	}
	for _, s := range msg.Statements {
		w := &meshpb.UpstreamStatement{Service: s.Service, Instance: string(s.Instance), Started: s.Started,
			ColdMs: uint32(s.ColdFor.Milliseconds()), Leaving: s.Leaving, WarmAgeMs: uint32(math.Ceil(float64(s.WarmAge) / float64(time.Millisecond)))}
		if s.Lost != nil {
			w.Lost, w.LostId = agesToWire(&s.Lost.Ages), s.Lost.ID
		}
		m.Statements = append(m.Statements, w)
	}
	for _, s := range msg.Speeds {
		m.Speeds = append(m.Speeds, &meshpb.UpstreamSpeed{Service: s.Service, Instance: string(s.Instance),
			SlowdownPercent: slowdownToWire(s.Slowdown), AgeMs: uint32(math.Ceil(float64(s.Age) / float64(time.Millisecond)))})
	}
	for _, b := range msg.Brittle {
		m.Brittle = append(m.Brittle, &meshpb.BrittleService{Service: b.Service, MaxRejections: uint32(b.MaxRejections), AgeMs: uint32(b.Age.Milliseconds())})
	}
	m.Loads = loadsToWire(msg.Loads)
	for _, v := range msg.Views {
		m.Views = append(m.Views, &meshpb.RegionView{Region: string(v.Region), AgeMs: uint32(v.Age.Milliseconds()), Loads: loadsToWire(v.Loads)})
	}
	return m
}

func agesToWire(a *instances.Ages) *meshpb.AgePeriod {
	if a == nil {
		return nil
	}
	return &meshpb.AgePeriod{FromMs: uint32(a.From.Milliseconds()), UntilMs: uint32(a.Until.Milliseconds())}
}

func agesFromWire(a *meshpb.AgePeriod) *instances.Ages {
	if a == nil {
		return nil
	}
	return &instances.Ages{From: time.Duration(a.GetFromMs()) * time.Millisecond, Until: time.Duration(a.GetUntilMs()) * time.Millisecond}
}

func loadsToWire(loads []instances.Load) []*meshpb.ServiceLoad {
	var list []*meshpb.ServiceLoad
	for _, load := range loads {
		list = append(list, &meshpb.ServiceLoad{
			Service: load.Service, Usable: uint32(load.Usable), FreeTenths: int32(load.Free * tenths), DelayMs: uint32(load.Delay.Milliseconds()),
			HoldMs: uint32(load.MeanSlotTime.Milliseconds()),
		})
	}
	return list
}

func loadsFromWire(list []*meshpb.ServiceLoad) []instances.Load {
	var loads []instances.Load
	for _, load := range list {
		loads = append(loads, instances.Load{
			Service: load.GetService(), Usable: int(load.GetUsable()), Free: float64(load.GetFreeTenths()) / tenths,
			Delay:        time.Duration(load.GetDelayMs()) * time.Millisecond,
			MeanSlotTime: time.Duration(load.GetHoldMs()) * time.Millisecond,
		})
	}
	return loads
}

func messageFromWire(m *meshpb.ExchangeMessage) ExchangeMessage {
	msg := ExchangeMessage{Sender: memberFromWire(m.GetSender()), TableVersion: m.GetTableVersion(),
		Operator: positionFromWire(m.GetOperator()), Entries: positionFromWire(m.GetEntries()), QuotaAuthority: authorityFromWire(m.GetQuotaAuthority())}
	for _, other := range m.GetMembers() {
		msg.Members = append(msg.Members, memberFromWire(other))
	}
	for _, b := range m.GetBeats() {
		msg.Heartbeats = append(msg.Heartbeats, peers.CompactHeartbeat{Handle: b.GetHandle(), Counter: b.GetBeat(), State: stateFromWire(b.GetState())})
	}
	msg.Parts = partsFromWire(m.GetParts())
	for _, l := range m.GetLimits() {
		msg.RateLimits = append(msg.RateLimits, instances.RateLimit{Service: l.GetService(), Instance: domain.UpstreamID(l.GetInstance()),
			PerSecond: float64(l.GetMilliPerSecond()) / milli, Age: time.Duration(l.GetAgeMs()) * time.Millisecond})
	}
	for _, s := range m.GetStatements() {
		in := instances.Statement{Service: s.GetService(), Instance: domain.UpstreamID(s.GetInstance()), Started: s.GetStarted(),
			ColdFor: time.Duration(s.GetColdMs()) * time.Millisecond, Leaving: s.GetLeaving(), WarmAge: time.Duration(s.GetWarmAgeMs()) * time.Millisecond}
		if lost := agesFromWire(s.GetLost()); lost != nil {
			in.Lost = &instances.ToldLoss{ID: s.GetLostId(), Ages: *lost}
		}
		msg.Statements = append(msg.Statements, in)
	}
	for _, s := range m.GetSpeeds() {
		msg.Speeds = append(msg.Speeds, instances.Speed{Service: s.GetService(), Instance: domain.UpstreamID(s.GetInstance()),
			Slowdown: float64(s.GetSlowdownPercent()) / percent, Age: time.Duration(s.GetAgeMs()) * time.Millisecond})
	}
	for _, b := range m.GetBrittle() {
		msg.Brittle = append(msg.Brittle, instances.BrittleService{Service: b.GetService(), MaxRejections: int(b.GetMaxRejections()), Age: time.Duration(b.GetAgeMs()) * time.Millisecond})
	}
	msg.Loads = loadsFromWire(m.GetLoads())
	for _, v := range m.GetViews() {
		msg.Views = append(msg.Views, peers.View{Region: domain.Region(v.GetRegion()), Age: time.Duration(v.GetAgeMs()) * time.Millisecond, Loads: loadsFromWire(v.GetLoads())})
	}
	return msg
}

func requestToWire(from domain.NodeID, c *relay.Call, now time.Time) *meshpb.RelayRequest {
	m := &meshpb.RelayRequest{
		RequestId: string(c.ID), From: string(from), Method: c.Method, Host: []byte(c.Host), Target: []byte(c.RequestTarget),
		Header: headerToWire(c.Header), Body: c.Body,
		Route: c.Route.Name, Service: c.Service, TableVersion: c.TableVersion,
		LeftMs: uint32(c.TimeLeft.Milliseconds()), ElapsedMs: uint32(now.Sub(c.Arrived).Milliseconds()), Sent: uint32(c.SendCount),
		ResumeAfter: []byte(c.ResumeAfter), Resumes: string(c.Resumes), Software: c.Software, Model: c.Prompt.Model,
		InputTokens: uint32(c.Prompt.InputTokens), OutputTokens: uint32(c.Prompt.OutputTokens),
	}
	if c.Account != nil {
		m.Account = c.Account.Name
	}
	if p := c.Place; p != nil {
		m.Place = &meshpb.PlacePermit{Service: c.Service, Instance: string(p.Instance), Started: p.Started, Region: string(p.Region)}
	}
	for _, p := range c.Prompt.Parts {
		m.Parts = append(m.Parts, &meshpb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return m
}

// RelayedRequest is a request relayed by another node. It holds the names of the route and of
// the client account; the receiver resolves them in its own routing table.
type RelayedRequest struct {
	relay.Request
	// RouteName is the name of the route in the sender's routing table.
	RouteName string
	// AccountName is the name of the client account; empty if the request has none.
	AccountName string
}

func requestFromWire(m *meshpb.RelayRequest, now time.Time) *RelayedRequest {
	in := &RelayedRequest{RouteName: m.GetRoute(), AccountName: m.GetAccount()}
	in.Message = relay.Message{
		ID: domain.RequestID(m.GetRequestId()), Method: m.GetMethod(), Host: string(m.GetHost()),
		RequestTarget: string(m.GetTarget()), Header: headerFromWire(m.GetHeader()), Body: m.GetBody(),
	}
	in.Prompt = relay.Prompt{Model: m.GetModel(), InputTokens: int(m.GetInputTokens()), OutputTokens: int(m.GetOutputTokens())}
	for _, p := range m.GetParts() {
		in.Prompt.Parts = append(in.Prompt.Parts, placement.Part{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	in.Service = m.GetService()
	if p := m.GetPlace(); p != nil {
		in.Place = &relay.Place{Instance: domain.UpstreamID(p.GetInstance()), Started: p.GetStarted(), Region: domain.Region(p.GetRegion())}
	}
	in.TableVersion = m.GetTableVersion()
	in.Arrived = now.Add(-time.Duration(m.GetElapsedMs()) * time.Millisecond)
	// The relaying node ends the request at its own deadline.
	in.Reserve = relay.AnswerReserve
	in.Deadline = now.Add(time.Duration(m.GetLeftMs())*time.Millisecond + in.Reserve)
	in.ResumeAfter, in.Resumes, in.Software = string(m.GetResumeAfter()), domain.RequestID(m.GetResumes()), m.GetSoftware()
	in.Relayed, in.From, in.SendCount = true, domain.NodeID(m.GetFrom()), int(m.GetSent())
	return in
}

func endToWire(f *relay.Failure, sent int) *meshpb.RelayFrame {
	end := &meshpb.RelayEnd{Sent: uint32(sent)}
	if f != nil {
		end.ErrorKind, end.Message, end.Run = string(f.Kind), f.Message, string(f.Verdict())
		end.RetryAfterMs = uint32(f.RetryAfter.Milliseconds())
	}
	return &meshpb.RelayFrame{Frame: &meshpb.RelayFrame_End{End: end}}
}

func endFromWire(end *meshpb.RelayEnd) error {
	e := errkind.New(errkind.Kind(end.GetErrorKind()), "%s", end.GetMessage()).WithRun(domain.Run(end.GetRun()))
	e.RetryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	return &relay.RemoteError{Failure: e, SendCount: int(end.GetSent())}
}

func slowdownToWire(slowdown float64) uint32 { return uint32(math.Round(slowdown * percent)) }

func noticesToWire(notices []instances.Notice) []*meshpb.PromptNotice {
	wire := make([]*meshpb.PromptNotice, 0, len(notices))
	for _, n := range notices {
		w := &meshpb.PromptNotice{Service: n.Service, Instance: string(n.Instance), Tokens: uint32(n.Tokens), Shared: n.Shared,
			SlowdownPercent: slowdownToWire(n.Slowdown), ReservedTokens: uint32(n.ReservedTokens), DurationMs: uint32(n.Duration.Milliseconds())}
		for _, p := range n.Parts {
			w.Parts = append(w.Parts, &meshpb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
		}
		wire = append(wire, w)
	}
	return wire
}

func noticesFromWire(wire []*meshpb.PromptNotice) []instances.Notice {
	notices := make([]instances.Notice, 0, len(wire))
	for _, n := range wire {
		notice := instances.Notice{
			Service: n.GetService(), Instance: domain.UpstreamID(n.GetInstance()), Tokens: int(n.GetTokens()), Shared: n.GetShared(),
			Slowdown: float64(n.GetSlowdownPercent()) / percent, ReservedTokens: int(n.GetReservedTokens()),
			Duration: time.Duration(n.GetDurationMs()) * time.Millisecond,
		}
		for _, p := range n.GetParts() {
			notice.Parts = append(notice.Parts, placement.Part{ID: p.GetId(), Tokens: int(p.GetTokens())})
		}
		notices = append(notices, notice)
	}
	return notices
}
