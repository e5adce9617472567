package membership

import (
	"slices"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
)

func TestReplyFromAnotherNodeSuspectsTheAddressee(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.runRounds(5)
	g := f.groups[f.order[0]]
	expected := testRef(f.vms[1], 1)
	other := testRef(f.vms[1], 7)
	other.ID = "fd0-new"
	g.HandleReply(f.now, expected, f.now, Heartbeat{Sender: Member{Node: other, HeartbeatCounter: 1}})
	if f.viewsLive(f.order[0], expected.ID) || !f.viewsLive(f.order[0], other.ID) {
		t.Fatal("the former node at a reused address is live, or the node that replied is not")
	}
}

func TestSuspectedNodeRefutesTheSuspicion(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.runRounds(5)
	g := f.groups[f.order[0]]
	beat := g.heartbeatTo(f.now, testRef(f.vms[1], 1), 0).Sender.HeartbeatCounter
	suspicion := Member{Node: testRef(f.vms[0], 1), HeartbeatCounter: beat + 50, Suspect: true}
	g.Receive(f.now, Heartbeat{Sender: Member{Node: testRef(f.vms[1], 1), HeartbeatCounter: beat}, Members: []Member{suspicion}})
	if got := g.heartbeatTo(f.now, testRef(f.vms[1], 1), 0).Sender.HeartbeatCounter; got <= suspicion.HeartbeatCounter {
		t.Fatalf("got heartbeat counter %d, want more than %d of the suspicion", got, suspicion.HeartbeatCounter)
	}
}

func TestUnchangedReportSupersedesThatOfADeadNode(t *testing.T) {
	f := newTestFleet(t, 2, 3)
	target := domain.Target{Kind: domain.TargetModel, Name: "m"}
	setFree := func(id domain.NodeID, free uint32) {
		f.groups[id].SetOwnLoad(f.now, []TargetLoad{{Target: target, Slots: 8, Free: free}})
	}
	setFree(f.order[4], 2)
	f.runRounds(1)
	setFree(f.order[3], 8)
	f.runRounds(10)
	f.down[f.order[3]] = true
	f.waitFor(60, "report of the remaining node in effect", func() bool {
		setFree(f.order[4], 2)
		d, _ := f.groups[f.order[0]].View().Domain("fd1")
		load, ok := d.Load(target)
		return ok && load.Free == 2
	})
}

func TestNewListsVersionIsSentImmediatelyAndNeverDecreases(t *testing.T) {
	f := newTestFleet(t, 1, 13)
	f.runRounds(5)
	g := f.groups[f.order[0]]
	g.SetListsVersion(4)
	g.SetListsVersion(3)
	if !g.Urgent() {
		t.Fatal("a new version is not urgent")
	}
	out := g.StartRound(f.now)
	if len(out) != 1+g.cfg.Burst {
		t.Errorf("got %d heartbeats, want %d", len(out), 1+g.cfg.Burst)
	}
	for _, o := range out {
		if o.Message.ListsVersion != 4 {
			t.Errorf("got lists version %d, want 4", o.Message.ListsVersion)
		}
	}
}

func TestFailingNodeOfAnotherDomainIsNotOffered(t *testing.T) {
	f := newTestFleet(t, 2, 3)
	f.runRounds(30)
	g := f.groups[f.order[0]]
	dead := testRef(f.vms[3], 1)
	for range maxFailures {
		g.HandleFailure(f.now, dead)
	}
	g.publish(f.now)
	d, _ := g.View().Domain("fd1")
	if slices.ContainsFunc(d.Nodes, func(n domain.NodeRef) bool { return n.ID == dead.ID }) {
		t.Fatal("a node that keeps failing is still offered")
	}
}

func TestUnlistedNodeWithoutHeartbeatsIsRemoved(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.runRounds(5)
	g := f.groups[f.order[0]]
	g.SetVMs(f.now, f.vms[:2])
	f.down[f.order[2]] = true
	f.runRounds(60)
	if slices.Contains(g.View().PeerIDs, f.order[2]) {
		t.Fatal("a node that is neither listed nor sends heartbeats was not removed")
	}
}
