package peers_test

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

var start = time.Unix(1_000_000, 0)

func member(id domain.NodeID, region domain.Region, beat uint64) peers.Member {
	return peers.Member{ID: id, Place: domain.Place{Region: region, FailureDomain: domain.FailureDomain(region + "-a")},
		EntryAddress: string(id), State: domain.NodeServing, Incarnation: 10, HeartbeatCounter: beat}
}

func table() *peers.Members { return peers.NewMembers(member("self", "west", 0), 3*time.Second, nil) }

func TestEntriesPreferTheCallersRegion(t *testing.T) {
	m := table()
	m.Merge(start, nil, []peers.Member{member("w1", "west", 1), member("e1", "east", 1), member("s1", "south", 1)})
	for _, c := range []struct {
		region    domain.Region
		preferred []domain.Region
		want      []string
	}{
		{"west", nil, []string{"self", "w1"}},
		{"east", nil, []string{"e1"}},
		{"north", []domain.Region{"south"}, []string{"s1"}},
		{"north", nil, []string{"e1", "s1", "self", "w1"}},
	} {
		got := m.EntryAddresses(start, c.region, c.preferred)
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("region %s, preferred %v: got %v, want %v", c.region, c.preferred, got, c.want)
		}
	}
}

func TestDeadDrainingAndUnreachableNodesAreNoEntries(t *testing.T) {
	for name, exclude := range map[string]func(m *peers.Members){
		"draining": func(m *peers.Members) {
			leaving := member("w1", "west", 2)
			leaving.State = domain.NodeDraining
			m.Merge(start, &leaving, nil)
		},
		"draining, relayed by another node": func(m *peers.Members) {
			other := table()
			known := member("w1", "west", 2)
			known.State = domain.NodeDraining
			other.Merge(start, &known, nil)
			m.ApplyHeartbeats(start, other.CompactHeartbeats(start))
		},
		"unreachable": func(m *peers.Members) { m.MarkUnreachable("w1") },
	} {
		m := table()
		m.Merge(start, nil, []peers.Member{member("w1", "west", 1)})
		exclude(m)
		if got := m.EntryAddresses(start, "west", nil); slices.Contains(got, "w1") {
			t.Errorf("%s: got entries %v, want none of w1", name, got)
		}
	}
	m := table()
	m.Merge(start, nil, []peers.Member{member("w1", "west", 1)})
	later := start.Add(4 * time.Second)
	m.Merge(later, nil, []peers.Member{member("w1", "west", 1)}) // the same heartbeat again
	if got := m.EntryAddresses(later, "west", nil); slices.Contains(got, "w1") {
		t.Errorf("got entries %v, want none of a node without a new heartbeat", got)
	}
}

func TestRestartedNodeSupersedesItsOldRecord(t *testing.T) {
	m := table()
	old := member("w1", "west", 900)
	old.State = domain.NodeDraining
	m.Merge(start, &old, nil)
	fresh := member("w1", "west", 1)
	fresh.Incarnation = 11
	m.Merge(start, nil, []peers.Member{fresh})
	if got := m.EntryAddresses(start, "west", nil); !slices.Contains(got, "w1") {
		t.Errorf("got entries %v, want the restarted node among them", got)
	}
}

// A node's own record is applied even if its clock was set back and its incarnation
// is therefore lower than before.
func TestOwnRecordOfNodeWithClockSetBackIsApplied(t *testing.T) {
	m := table()
	old := member("w1", "west", 900)
	old.State = domain.NodeStopped
	m.Merge(start, &old, nil)
	fresh := member("w1", "west", 1)
	fresh.Incarnation = 3
	m.Merge(start, &fresh, nil)
	if got := m.EntryAddresses(start, "west", nil); !slices.Contains(got, "w1") {
		t.Errorf("got entries %v, want the restarted node among them", got)
	}
}

func TestRegionLoadIsSharedBetweenSendersUntilItExpires(t *testing.T) {
	r := peers.NewRegions(event.Discard{})
	r.SetLoads(start, "east", []instances.Load{{Service: "app", Usable: 2, Free: 12, Delay: time.Millisecond}}, nil, 0)
	all := func(domain.Region) bool { return true }
	if got := r.Loads(start, "app", 3, all); len(got) != 1 || got[0].FreeCapacity != 4 {
		t.Errorf("got %+v, want a third of 12", got)
	}
	done := r.TrackRequest("east", "app")
	if got := r.Loads(start, "app", 3, all); got[0].FreeCapacity != 3 {
		t.Errorf("a request in flight is not subtracted: %+v", got)
	}
	done()
	if got := r.Loads(start, "app", 3, all); got[0].FreeCapacity != 4 {
		t.Errorf("the slot of a completed request was not freed: %+v", got)
	}
	r.MarkFull("east", "app")
	if got := r.Loads(start, "app", 1, all); got[0].FreeCapacity > 0 {
		t.Errorf("a region that refused a request still has free capacity: %+v", got)
	}
	if got := r.Loads(start.Add(time.Minute), "app", 1, all); len(got) > 0 {
		t.Errorf("an expired report is used: %+v", got)
	}
	if got := r.Loads(start, "app", 1, func(domain.Region) bool { return false }); len(got) > 0 {
		t.Errorf("a forbidden region is returned: %+v", got)
	}
}

type memberLog struct{ alive []any }

func (l *memberLog) Log(_ event.Event, fields ...event.Field) {
	for _, f := range fields {
		if f.Key == "alive" {
			l.alive = append(l.alive, f.Value)
		}
	}
}

// Heartbeats of other regions arrive less often; a node there that still receives requests
// is not logged as dead.
func TestRemoteNodeIsLoggedAliveWhileItReceivesRequests(t *testing.T) {
	log := &memberLog{}
	m := peers.NewMembers(member("self", "west", 0), 3*time.Second, log)
	remote := member("e1", "east", 1)
	m.Merge(start, &remote, nil)
	later := start.Add(4 * time.Second)
	m.Merge(later, nil, nil)
	if !m.HasTarget(later, "east", "app") {
		t.Fatal("the remote node receives no requests after 4 s")
	}
	if last := log.alive[len(log.alive)-1]; last != true {
		t.Errorf("the remote node was logged with alive=%v while it receives requests", last)
	}
}

func TestAgeOfRegionWithoutReport(t *testing.T) {
	if age := peers.NewRegions(event.Discard{}).Age(start, "east"); age != -time.Millisecond {
		t.Errorf("got age %v without a report, want -1 ms as in other log lines", age)
	}
}

// A node that is cut off may still send to the upstreams of its region.
func TestNodesThatAreNotHeardOfCountForTheSizeOfTheRegion(t *testing.T) {
	m := table()
	m.Merge(start, nil, []peers.Member{member("w1", "west", 1), member("w2", "west", 1), member("w3", "west", 1), member("e1", "east", 1)})
	stopped := member("w3", "west", 2)
	stopped.State = domain.NodeStopped
	m.Merge(start, &stopped, nil)
	for _, after := range []time.Duration{0, time.Minute - time.Second, 5 * time.Minute} {
		later := member("w1", "west", uint64(2+after))
		m.Merge(start.Add(after), &later, nil)
		if got := len(m.MayRunInRegion()); got != 3 {
			t.Errorf("%v after the last heartbeat of one of three nodes: got a region of %d, want 3", after, got)
		}
	}
	back := member("w2", "west", 9)
	m.Merge(start.Add(6*time.Minute), &back, nil)
	if got := len(m.MayRunInRegion()); got != 3 {
		t.Errorf("got a region of %d after the silent node was heard of again, want 3", got)
	}
}
