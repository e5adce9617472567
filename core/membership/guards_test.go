package membership

import (
	"slices"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
)

func TestReplyOfAnotherNodeSuspectsTheOneMeant(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.rounds(5)
	g := f.groups[f.order[0]]
	meant := testRef(f.vms[1], 1)
	other := testRef(f.vms[1], 7)
	other.ID = "fd0-new"
	g.Replied(f.now, meant, f.now, Heartbeat{Sender: Member{Node: other, Beat: 1}})
	if f.seesLive(f.order[0], meant.ID) || !f.seesLive(f.order[0], other.ID) {
		t.Fatal("the node at a reused address is taken for the former one")
	}
}

func TestSuspectedNodeOutbidsTheSuspicion(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.rounds(5)
	g := f.groups[f.order[0]]
	beat := g.message(f.now, testRef(f.vms[1], 1), 0).Sender.Beat
	accusation := Member{Node: testRef(f.vms[0], 1), Beat: beat + 50, Suspect: true}
	g.Receive(f.now, Heartbeat{Sender: Member{Node: testRef(f.vms[1], 1), Beat: beat}, Members: []Member{accusation}})
	if got := g.message(f.now, testRef(f.vms[1], 1), 0).Sender.Beat; got <= accusation.Beat {
		t.Fatalf("beat %d does not outbid the suspicion at %d", got, accusation.Beat)
	}
}

func TestUnchangedReadingOutranksThatOfADeadNode(t *testing.T) {
	f := newTestFleet(t, 2, 3)
	target := domain.Target{Kind: domain.TargetModel, Name: "m"}
	says := func(id domain.NodeID, free uint32) {
		f.groups[id].SetOwnLoad(f.now, []TargetLoad{{Target: target, Slots: 8, Free: free}})
	}
	says(f.order[4], 2)
	f.rounds(1)
	says(f.order[3], 8)
	f.rounds(10)
	f.down[f.order[3]] = true
	f.waitFor(60, "the reading of the remaining node", func() bool {
		says(f.order[4], 2)
		d, _ := f.groups[f.order[0]].View().Domain("fd1")
		load, ok := d.Load(target)
		return ok && load.Free == 2
	})
}

func TestNewListsVersionIsToldAtOnceAndNeverLowered(t *testing.T) {
	f := newTestFleet(t, 1, 13)
	f.rounds(5)
	g := f.groups[f.order[0]]
	g.SetListsVersion(4)
	g.SetListsVersion(3)
	if !g.Urgent() {
		t.Fatal("a new version is not urgent")
	}
	out := g.Beat(f.now)
	if len(out) != 1+g.cfg.Burst {
		t.Errorf("%d heartbeats, want %d", len(out), 1+g.cfg.Burst)
	}
	for _, o := range out {
		if o.Message.ListsVersion != 4 {
			t.Errorf("announces version %d, want 4", o.Message.ListsVersion)
		}
	}
}

func TestDeadNodeOfAnotherDomainLeavesTheSample(t *testing.T) {
	f := newTestFleet(t, 2, 3)
	f.rounds(30)
	g := f.groups[f.order[0]]
	dead := testRef(f.vms[3], 1)
	for range maxFailures {
		g.Failed(f.now, dead)
	}
	g.publish(f.now)
	d, _ := g.View().Domain("fd1")
	if slices.ContainsFunc(d.Nodes, func(n domain.NodeRef) bool { return n.ID == dead.ID }) {
		t.Fatal("a node that keeps failing is still offered")
	}
}

func TestNodeThatLeftListAndHeartbeatsIsForgotten(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.rounds(5)
	g := f.groups[f.order[0]]
	g.SetVMs(f.now, f.vms[:2])
	f.down[f.order[2]] = true
	f.rounds(60)
	if slices.Contains(g.View().Known, f.order[2]) {
		t.Fatal("a node that left both the list and the heartbeats is kept")
	}
}
