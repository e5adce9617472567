package peerconv

import (
	"errors"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/crocusspread/crocusspread/adapters/peer/peerpb"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/membership"
)

func testHeartbeat() membership.Heartbeat {
	senderPlace := domain.Place{Region: "r", FailureDomain: "a"}
	otherPlace := domain.Place{Region: "s", FailureDomain: "b"}
	node := func(id domain.NodeID, p domain.Place, s domain.NodeState) domain.NodeRef {
		return domain.NodeRef{ID: id, Incarnation: 1 << 63, Place: p, PeerAddress: "p:1", CallerAddress: "c:1", State: s}
	}
	return membership.Heartbeat{
		Sender:       membership.Member{Node: node("n1", senderPlace, domain.NodeDraining), HeartbeatCounter: 7},
		ListsVersion: 12,
		Members: []membership.Member{
			{Node: node("n2", senderPlace, domain.NodeServing), HeartbeatCounter: 8, Suspect: true},
			{Handle: 99, HeartbeatCounter: 9},
		},
		Upstreams: []membership.UpstreamLoad{{Upstream: "u", InFlight: 3, PendingTokens: 400, Leaving: true, Suspect: true}},
		Domains: []membership.DomainLoad{
			{Place: senderPlace, Sequence: 5},
			{Place: otherPlace, Sequence: 6, AgeMillis: 7, RTTMicros: 8, LiveNodes: 9,
				Targets: []membership.TargetLoad{{Target: domain.Target{Kind: domain.TargetModel, Name: "m"}, Slots: 8, Free: 2, WaitMillis: 16, CostMilli: 5, Sequence: 4}},
				Nodes:   []domain.NodeRef{node("n3", otherPlace, domain.NodeServing)}},
		},
		Demands: []membership.LimitDemand{{Customer: "c", Node: "n1", Sequence: 1, InFlight: 2, Waiting: 3, TokensPerSecond: 4}},
	}
}

func TestHeartbeatRoundTrip(t *testing.T) {
	want := testHeartbeat()
	raw, err := proto.Marshal(HeartbeatToProto(want))
	if err != nil {
		t.Fatal(err)
	}
	var m peerpb.HeartbeatMessage
	if err := proto.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	got, err := HeartbeatFromProto(&m)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestMalformedHeartbeatIsRejected(t *testing.T) {
	tooManyMembers := HeartbeatToProto(testHeartbeat())
	for range maxMembers {
		tooManyMembers.Members = append(tooManyMembers.Members, &peerpb.Member{Handle: 1})
	}
	tooManyTargets := HeartbeatToProto(testHeartbeat())
	for range maxTargets + 1 {
		tooManyTargets.Domains[0].Targets = append(tooManyTargets.Domains[0].Targets, &peerpb.TargetLoad{})
	}
	for name, m := range map[string]*peerpb.HeartbeatMessage{
		"empty": {}, "no domain": {Sender: &peerpb.Member{Id: "a"}}, "too many members": tooManyMembers, "too many targets": tooManyTargets,
	} {
		if _, err := HeartbeatFromProto(m); !errors.Is(err, errkind.Of(errkind.BadRequest)) {
			t.Errorf("%s: got error %v, want bad_request", name, err)
		}
	}
}

func FuzzHeartbeatFromProto(f *testing.F) {
	raw, err := proto.Marshal(HeartbeatToProto(testHeartbeat()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m peerpb.HeartbeatMessage
		if proto.Unmarshal(raw, &m) != nil {
			return
		}
		_, _ = HeartbeatFromProto(&m)
	})
}
