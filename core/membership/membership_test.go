package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// drainWait is the drain wait for an entry list TTL of ten seconds.
var drainWait = DrainWait(10 * time.Second)

func TestFrozenNodeIsRemovedAndRestored(t *testing.T) {
	for _, nodes := range []int{3, 13, 50} {
		f := newTestFleet(t, 1, nodes)
		frozen := f.order[1]
		f.waitFor(30, "all live", func() bool { return f.allViewLive(frozen, true) })
		f.down[frozen] = true
		f.waitFor(30, "frozen node not live", func() bool { return f.allViewLive(frozen, false) })
		f.down[frozen] = false
		f.waitFor(30, "frozen node live again", func() bool { return f.allViewLive(frozen, true) })
	}
}

func TestPauseOfLocalProcessDoesNotSuspectPeers(t *testing.T) {
	f := newTestFleet(t, 1, 13)
	f.runRounds(20)
	g := f.groups[f.order[0]]
	f.now = f.now.Add(10 * time.Minute)
	g.StartRound(f.now)
	if got := len(g.View().LocalNodes); got != 13 {
		t.Fatalf("got %d live nodes after a pause, want 13", got)
	}
}

func TestReusedAddressBelongsToTheNodeThatReplies(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.runRounds(10)
	old := f.order[2]
	delete(f.groups, old)
	f.order = f.order[:2]
	replacement := testVM(0, 2)
	replacement.ID = "fd0-new"
	f.start(replacement, 9)
	f.waitFor(10, "replacement live and old node not live", func() bool {
		return f.viewsLive(f.order[0], "fd0-new") && !f.viewsLive(f.order[0], old)
	})
}

func TestLateHeartbeatOfFormerIncarnationIsIgnored(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.runRounds(5)
	g := f.groups[f.order[0]]
	lateHeartbeat := f.groups[f.order[1]].heartbeatTo(f.now, testRef(f.vms[0], 1), 0)
	lateHeartbeat.Sender.HeartbeatCounter += 100
	f.start(f.vms[1], 2)
	f.runRounds(5)
	g.Receive(f.now, lateHeartbeat)
	for _, n := range g.View().LocalNodes {
		if n.ID == f.order[1] && n.Incarnation != 2 {
			t.Fatalf("got incarnation %d, want 2", n.Incarnation)
		}
	}
}

func TestRestartWithClockSetBackIsDetected(t *testing.T) {
	f := newTestFleet(t, 1, 13)
	f.runRounds(10)
	id := f.order[1]
	f.now = f.now.Add(-time.Hour)
	f.start(f.vms[1], 2)
	f.now = f.now.Add(time.Hour)
	f.waitFor(30, "new incarnation at all nodes", func() bool {
		for _, g := range f.groups {
			i := slices.IndexFunc(g.View().LocalNodes, func(n domain.NodeRef) bool { return n.ID == id })
			if i < 0 || g.View().LocalNodes[i].Incarnation != 2 {
				return false
			}
		}
		return true
	})
}

func TestRemovedNodeIsNotRestoredByLateRelay(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	f.runRounds(5)
	g := f.groups[f.order[0]]
	removed := f.order[1]
	old := f.groups[f.order[2]].heartbeatTo(f.now, testRef(f.vms[0], 1), 0)
	old.Members = []Member{{Node: testRef(f.vms[1], 1), HeartbeatCounter: g.members.records[removed].heartbeatCounter}}
	f.down[removed] = true
	f.vms = slices.Delete(f.vms, 1, 2)
	g.SetVMs(f.now, f.vms)
	f.waitFor(90, "removed", func() bool { return g.members.records[removed] == nil })
	g.Receive(f.now, old)
	if f.viewsLive(f.order[0], removed) {
		t.Fatal("a late relay restored the removed node")
	}
}

func TestDrainingNodeIsRemovedFromEntriesImmediately(t *testing.T) {
	f := newTestFleet(t, 1, 13)
	f.waitFor(30, "all live", func() bool { return f.allViewLive(f.order[3], true) })
	leaving := f.order[3]
	f.groups[leaving].SetState(f.now, domain.NodeDraining)
	if !f.groups[leaving].Urgent() {
		t.Fatal("a state change is not urgent")
	}
	f.beat(leaving)
	f.runRounds(3)
	for id, g := range f.groups {
		for _, e := range Entries(g.View()) {
			if e.Node == leaving {
				t.Errorf("%s: the draining node is still in the entry list", id)
			}
		}
	}
}

func TestPartitionedDomainAgesAndRecovers(t *testing.T) {
	f := newTestFleet(t, 3, 3)
	f.runRounds(20)
	reachable := func(want bool) func() bool {
		return func() bool {
			for _, g := range f.groups {
				own := g.cfg.Self.Place.FailureDomain
				for _, d := range g.View().OtherDomains {
					isolated := own == "fd0" || d.Place.FailureDomain == "fd0"
					if isolated && d.Reachable != want {
						return false
					}
				}
			}
			return true
		}
	}
	f.waitFor(20, "all reachable", reachable(true))
	f.partitioned = func(a, b domain.FailureDomain) bool { return (a == "fd0") != (b == "fd0") }
	f.runRounds(20)
	d, _ := f.groups[f.order[0]].View().Domain("fd1")
	if age := d.Age(f.now); age < 15*time.Second {
		t.Errorf("got a report age of %v across the partition, want at least 15s", age)
	}
	f.waitFor(30, "unreachable", reachable(false))
	if n := len(f.groups[f.order[0]].View().LocalNodes); n != 3 {
		t.Errorf("got %d live nodes of the local domain during the partition, want 3", n)
	}
	f.runRounds(60)
	f.partitioned = func(a, b domain.FailureDomain) bool { return false }
	f.waitFor(30, "reachable after the partition", reachable(true))
}

func TestRelayInACircleDoesNotRefreshAReport(t *testing.T) {
	f := newTestFleet(t, 2, 3)
	f.runRounds(20)
	f.partitioned = func(a, b domain.FailureDomain) bool { return a != b }
	g := f.groups[f.order[0]]
	old := DomainLoad{Place: testVM(1, 0).Place, Sequence: 1}
	f.runRounds(20)
	before, _ := g.View().Domain("fd1")
	h := f.groups[f.order[1]].heartbeatTo(f.now, testRef(f.vms[0], 1), 0)
	h.Domains = []DomainLoad{old}
	g.Receive(f.now, h)
	g.publish(f.now)
	after, _ := g.View().Domain("fd1")
	if after.ReportedAt.After(before.ReportedAt) {
		t.Fatalf("a relay of an old sequence advanced the report time by %v", after.ReportedAt.Sub(before.ReportedAt))
	}
}

func TestFailedRepresentativesAreReplaced(t *testing.T) {
	f := newTestFleet(t, 2, 5)
	f.runRounds(20)
	own := f.groups[f.order[0]].View().LocalNodes
	for _, n := range Rendezvous("fd1", own, 2) {
		f.down[n.ID] = true
	}
	f.runRounds(60)
	for _, id := range f.order[:5] {
		if f.down[id] {
			continue
		}
		d, _ := f.groups[id].View().Domain("fd1")
		if !d.Reachable || d.RTT == 0 {
			t.Errorf("%s: got reachable %v and round-trip time %v, want a reachable domain with a measured time", id, d.Reachable, d.RTT)
		}
	}
}

func TestReportOfOriginWithClockBehindIsApplied(t *testing.T) {
	f := newTestFleet(t, 2, 3)
	target := domain.Target{Kind: domain.TargetModel, Name: "m"}
	first := f.groups[f.order[3]]
	first.SetOwnLoad(f.now.Add(time.Hour), []TargetLoad{{Target: target, Slots: 8, Free: 8}})
	f.runRounds(30)
	f.down[f.order[3]] = true
	f.waitFor(60, "newer report of the other node in effect", func() bool {
		f.groups[f.order[4]].SetOwnLoad(f.now, []TargetLoad{{Target: target, Slots: 8, Free: 2}})
		d, _ := f.groups[f.order[0]].View().Domain("fd1")
		load, ok := d.Load(target)
		return ok && load.Free == 2
	})
}

func TestHeartbeatSizeIsIndependentOfDomainSize(t *testing.T) {
	for _, nodes := range []int{13, 50, 130} {
		f := newTestFleet(t, 1, nodes)
		f.runRounds(10)
		for _, out := range f.groups[f.order[0]].StartRound(f.now.Add(time.Second)) {
			if n := len(out.Message.Members); n > DefaultConfig(domain.NodeRef{}).MaxMembers {
				t.Errorf("%d nodes: got %d members in a heartbeat, more than MaxMembers", nodes, n)
			}
		}
	}
}

func TestDemandsAreBoundedAndReachPeers(t *testing.T) {
	f := newTestFleet(t, 1, 3)
	for i := range 5 {
		f.groups[f.order[0]].SetDemands(f.now, []LimitDemand{{Customer: domain.CustomerID(rune('a' + i)), Node: f.order[0], Sequence: 1, InFlight: 3}})
	}
	f.waitFor(20, "all demands at both peers", func() bool {
		return len(f.groups[f.order[1]].View().Demands) == 5 && len(f.groups[f.order[2]].View().Demands) == 5
	})
	f.runRounds(int(maxDemandAge/time.Second) + 10)
	if n := len(f.groups[f.order[1]].View().Demands); n != 0 {
		t.Errorf("got %d demands after their maximum age, want 0", n)
	}
}

func TestRendezvousReassignsOnlyKeysOfTheLostNode(t *testing.T) {
	var nodes []domain.NodeRef
	for n := range 13 {
		nodes = append(nodes, testRef(testVM(0, n), 1))
	}
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		before := Rendezvous(key, nodes, 2)
		lost := before[0].ID
		remaining := slices.DeleteFunc(slices.Clone(nodes), func(n domain.NodeRef) bool { return n.ID == lost })
		after := Rendezvous(key, remaining, 2)
		if after[0].ID != before[1].ID {
			t.Errorf("key %s: got first node %s, want %s", key, after[0].ID, before[1].ID)
		}
		if !RanksAmongTop(key, before[1].ID, nodes, 2) || RanksAmongTop(key, before[1].ID, nodes, 1) {
			t.Errorf("key %s: results of RanksAmongTop and Rendezvous differ", key)
		}
	}
}

func TestDrainSteps(t *testing.T) {
	steps := []struct {
		after   time.Duration
		work    Work
		want    DrainStep
		accepts bool
	}{
		{0, Work{Requests: 0}, StepLeaveEntryLists, true},
		{drainWait - 1, Work{Requests: 2, RetainedResults: 1}, StepLeaveEntryLists, true},
		{drainWait, Work{Requests: 2, RetainedResults: 1}, StepRefuseRequests, false},
		{drainWait + time.Minute, Work{Requests: 1, RetainedResults: 1}, StepRefuseRequests, false},
		{drainWait + time.Minute, Work{RetainedResults: 1}, StepServeResults, false},
		{drainWait + time.Hour, Work{}, StepStopped, false},
	}
	var announced []domain.NodeState
	l := NewLifecycle(drainWait, func(s domain.NodeState) { announced = append(announced, s) })
	l.Serve()
	l.Drain(start)
	for _, s := range steps {
		if got := l.Advance(start.Add(s.after), s.work); got != s.want || l.AcceptsRequests() != s.accepts {
			t.Errorf("after %v: got step %v and accepts %v, want %v and %v", s.after, got, l.AcceptsRequests(), s.want, s.accepts)
		}
	}
	l.Drain(start)
	l.Serve()
	want := []domain.NodeState{domain.NodeServing, domain.NodeDraining, domain.NodeStopped}
	if !slices.Equal(announced, want) {
		t.Errorf("got announcements %v, want %v", announced, want)
	}
}

func TestDrainBeforeServingSkipsTheWaitForCallers(t *testing.T) {
	l := NewLifecycle(drainWait, nil)
	l.Drain(start)
	if l.AcceptsRequests() || l.Advance(start, Work{}) != StepStopped {
		t.Fatal("a node that never served still waits for callers")
	}
}

func TestEntriesOrder(t *testing.T) {
	serving := func(d, n int, s domain.NodeState) domain.NodeRef {
		r := testRef(testVM(d, n), 1)
		r.State = s
		return r
	}
	v := &View{
		Self:       serving(0, 1, domain.NodeServing),
		LocalNodes: []domain.NodeRef{serving(0, 0, domain.NodeServing), serving(0, 1, domain.NodeServing), serving(0, 2, domain.NodeDraining)},
		OtherDomains: []Domain{
			{Nodes: []domain.NodeRef{serving(1, 0, domain.NodeServing)}, RTT: 100 * time.Millisecond, Reachable: true},
			{Nodes: []domain.NodeRef{serving(2, 0, domain.NodeServing)}, RTT: 10 * time.Millisecond, Reachable: true},
			{Nodes: []domain.NodeRef{serving(3, 0, domain.NodeServing)}, RTT: 0, Reachable: true},
			{Nodes: []domain.NodeRef{serving(4, 0, domain.NodeServing)}, RTT: time.Millisecond},
		},
	}
	var got []domain.NodeID
	for _, e := range Entries(v) {
		got = append(got, e.Node)
	}
	want := []domain.NodeID{"fd0-n01", "fd0-n00", "fd2-n00", "fd1-n00", "fd3-n00"}
	if !slices.Equal(got, want) {
		t.Errorf("got entries %v, want %v", got, want)
	}
}
