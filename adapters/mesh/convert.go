package mesh

import (
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh/meshpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	milli  = 1000
	tenths = 10
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
		Incarnation: uint64(m.Incarnation), Beat: m.Beat, State: string(m.State),
		CapacityMilli: uint32(m.Capacity * milli),
	}
}

func memberFromWire(m *meshpb.Member) peers.Member {
	return peers.Member{
		ID:           domain.NodeID(m.GetId()),
		Place:        domain.Place{Region: domain.Region(m.GetRegion()), FailureDomain: domain.FailureDomain(m.GetFailureDomain())},
		EntryAddress: m.GetEntryAddress(), PeerAddress: m.GetPeerAddress(),
		Incarnation: domain.Incarnation(m.GetIncarnation()), Beat: m.GetBeat(), State: domain.NodeState(m.GetState()),
		Capacity: float64(m.GetCapacityMilli()) / milli,
	}
}

// stateToWire leaves out the usual state.
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

// Word is what two nodes tell each other in an exchange.
type Word struct {
	Sender  peers.Member
	Members []peers.Member
	Beats   []peers.Beat
	Loads   []instances.Load
	// Views are what the sender knows of other regions.
	Views        []peers.View
	TableVersion uint64
	// Operator is how far the sender knows the operator's documents, Entries how
	// far it knows the entries of upstreams.
	Operator Position
	Entries  Position
}

// Position is how far a node knows a part of the store.
type Position struct {
	// Revision of the store as of which the part is known; zero if it is not.
	Revision uint64
	// Digest stands for the content.
	Digest uint64
	// Age is the time since the store confirmed the revision, to any node.
	Age time.Duration
}

func positionToWire(p Position) *meshpb.Position {
	if p.Revision == 0 {
		return nil
	}
	return &meshpb.Position{Revision: p.Revision, Digest: p.Digest, AgeMs: uint32(p.Age.Milliseconds())}
}

func positionFromWire(m *meshpb.Position) Position {
	return Position{Revision: m.GetRevision(), Digest: m.GetDigest(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
}

func wordToWire(w Word) *meshpb.ExchangeMessage {
	m := &meshpb.ExchangeMessage{Sender: memberToWire(w.Sender), TableVersion: w.TableVersion,
		Operator: positionToWire(w.Operator), Entries: positionToWire(w.Entries)}
	for _, other := range w.Members {
		m.Members = append(m.Members, memberToWire(other))
	}
	for _, b := range w.Beats {
		m.Beats = append(m.Beats, &meshpb.MemberBeat{Handle: b.Handle, Beat: b.Beat, State: stateToWire(b.State)})
	}
	m.Loads = loadsToWire(w.Loads)
	for _, v := range w.Views {
		m.Views = append(m.Views, &meshpb.RegionView{Region: string(v.Region), AgeMs: uint32(v.Age.Milliseconds()), Loads: loadsToWire(v.Loads)})
	}
	return m
}

func loadsToWire(loads []instances.Load) []*meshpb.ServiceLoad {
	var list []*meshpb.ServiceLoad
	for _, l := range loads {
		list = append(list, &meshpb.ServiceLoad{
			Service: l.Service, Usable: uint32(l.Usable), FreeTenths: int32(l.Free * tenths), DelayMs: uint32(l.Delay.Milliseconds()),
			HoldMs: uint32(l.Hold.Milliseconds()),
		})
	}
	return list
}

func loadsFromWire(list []*meshpb.ServiceLoad) []instances.Load {
	var loads []instances.Load
	for _, l := range list {
		loads = append(loads, instances.Load{
			Service: l.GetService(), Usable: int(l.GetUsable()), Free: float64(l.GetFreeTenths()) / tenths,
			Delay: time.Duration(l.GetDelayMs()) * time.Millisecond,
			Hold:  time.Duration(l.GetHoldMs()) * time.Millisecond,
		})
	}
	return loads
}

func wordFromWire(m *meshpb.ExchangeMessage) Word {
	w := Word{Sender: memberFromWire(m.GetSender()), TableVersion: m.GetTableVersion(),
		Operator: positionFromWire(m.GetOperator()), Entries: positionFromWire(m.GetEntries())}
	for _, other := range m.GetMembers() {
		w.Members = append(w.Members, memberFromWire(other))
	}
	for _, b := range m.GetBeats() {
		w.Beats = append(w.Beats, peers.Beat{Handle: b.GetHandle(), Beat: b.GetBeat(), State: stateFromWire(b.GetState())})
	}
	w.Loads = loadsFromWire(m.GetLoads())
	for _, v := range m.GetViews() {
		w.Views = append(w.Views, peers.View{Region: domain.Region(v.GetRegion()), Age: time.Duration(v.GetAgeMs()) * time.Millisecond, Loads: loadsFromWire(v.GetLoads())})
	}
	return w
}

func callToWire(from domain.NodeID, c *relay.Call, now time.Time) *meshpb.RelayRequest {
	m := &meshpb.RelayRequest{
		RequestId: string(c.ID), From: string(from), Method: c.Method, Host: []byte(c.Host), Target: []byte(c.Target),
		Header: headerToWire(c.Header), Body: c.Body,
		Route: c.Route.Name, Service: c.Service, TableVersion: c.TableVersion,
		LeftMs: uint32(c.Left.Milliseconds()), ElapsedMs: uint32(now.Sub(c.Arrived).Milliseconds()), Sent: uint32(c.Sent),
		ResumeAfter: []byte(c.ResumeAfter), Model: c.Prompt.Model,
		InputTokens: uint32(c.Prompt.Input), OutputTokens: uint32(c.Prompt.Output),
	}
	for _, p := range c.Prompt.Parts {
		m.Parts = append(m.Parts, &meshpb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return m
}

// Incoming is a request that another node sent here. Its route is named, not
// resolved: that is for the receiver's own table.
type Incoming struct {
	relay.Request
	RouteName string
}

func callFromWire(m *meshpb.RelayRequest, now time.Time) *Incoming {
	in := &Incoming{RouteName: m.GetRoute()}
	in.Message = relay.Message{
		ID: domain.RequestID(m.GetRequestId()), Method: m.GetMethod(), Host: string(m.GetHost()),
		Target: string(m.GetTarget()), Header: headerFromWire(m.GetHeader()), Body: m.GetBody(),
	}
	in.Prompt = relay.Prompt{Model: m.GetModel(), Input: int(m.GetInputTokens()), Output: int(m.GetOutputTokens())}
	for _, p := range m.GetParts() {
		in.Prompt.Parts = append(in.Prompt.Parts, placement.Part{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	in.Service = m.GetService()
	in.TableVersion = m.GetTableVersion()
	in.Arrived = now.Add(-time.Duration(m.GetElapsedMs()) * time.Millisecond)
	in.Deadline = now.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
	in.ResumeAfter = string(m.GetResumeAfter())
	in.Relayed, in.From, in.Sent = true, domain.NodeID(m.GetFrom()), int(m.GetSent())
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
	return &relay.RemoteError{Failure: e, Sent: int(end.GetSent())}
}

func noticesToWire(notices []instances.Notice) []*meshpb.PromptNotice {
	wire := make([]*meshpb.PromptNotice, 0, len(notices))
	for _, n := range notices {
		wire = append(wire, &meshpb.PromptNotice{Service: n.Service, Instance: string(n.Instance), Tokens: uint32(n.Tokens), Shared: n.Shared})
	}
	return wire
}

func noticesFromWire(wire []*meshpb.PromptNotice) []instances.Notice {
	notices := make([]instances.Notice, 0, len(wire))
	for _, n := range wire {
		notices = append(notices, instances.Notice{
			Service: n.GetService(), Instance: domain.UpstreamID(n.GetInstance()), Tokens: int(n.GetTokens()), Shared: n.GetShared(),
		})
	}
	return notices
}
