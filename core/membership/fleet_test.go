package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/ports"
)

var start = time.Unix(1_800_000_000, 0)

// testFleet connects groups in memory with simulated time.
type testFleet struct {
	t      *testing.T
	now    time.Time
	groups map[domain.NodeID]*Group
	order  []domain.NodeID
	vms    []ports.VM
	// down holds the nodes that neither run rounds nor reply.
	down map[domain.NodeID]bool
	// partitioned reports whether two failure domains cannot reach each other.
	partitioned func(a, b domain.FailureDomain) bool
}

func newTestFleet(t *testing.T, domains, nodes int) *testFleet {
	f := &testFleet{
		t:           t,
		now:         start,
		groups:      make(map[domain.NodeID]*Group),
		down:        make(map[domain.NodeID]bool),
		partitioned: func(a, b domain.FailureDomain) bool { return false },
	}
	for d := range domains {
		for n := range nodes {
			f.vms = append(f.vms, testVM(d, n))
		}
	}
	for _, vm := range f.vms {
		f.start(vm, 1)
	}
	return f
}

func testVM(d, n int) ports.VM {
	fd := domain.FailureDomain(fmt.Sprintf("fd%d", d))
	return ports.VM{
		ID:      fmt.Sprintf("%s-n%02d", fd, n),
		Role:    ports.RoleEntry,
		Place:   domain.Place{Region: domain.Region(fmt.Sprintf("r%d", d)), FailureDomain: fd},
		Address: fmt.Sprintf("10.0.%d.%d:1", d, n),
	}
}

func testRef(vm ports.VM, incarnation domain.Incarnation) domain.NodeRef {
	return domain.NodeRef{
		ID: domain.NodeID(vm.ID), Incarnation: incarnation, Place: vm.Place,
		PeerAddress: vm.Address, CallerAddress: vm.Address, State: domain.NodeServing,
	}
}

// start creates the group of a process on vm, with the VM list set.
func (f *testFleet) start(vm ports.VM, incarnation domain.Incarnation) *Group {
	g := New(DefaultConfig(testRef(vm, incarnation)), f.now)
	g.SetVMs(f.now, f.vms)
	id := domain.NodeID(vm.ID)
	if !slices.Contains(f.order, id) {
		f.order = append(f.order, id)
	}
	f.groups[id] = g
	return g
}

// findByAddress returns the running group that uses an address.
func (f *testFleet) findByAddress(address string) (domain.NodeID, *Group) {
	for id, g := range f.groups {
		if g.cfg.Self.PeerAddress == address && !f.down[id] {
			return id, g
		}
	}
	return "", nil
}

func (f *testFleet) runRound() {
	f.now = f.now.Add(time.Second)
	for _, id := range f.order {
		if !f.down[id] {
			f.beat(id)
		}
	}
}

func (f *testFleet) beat(id domain.NodeID) {
	g := f.groups[id]
	for _, out := range g.StartRound(f.now) {
		_, to := f.findByAddress(out.To.PeerAddress)
		if to == nil || f.partitioned(g.cfg.Self.Place.FailureDomain, to.cfg.Self.Place.FailureDomain) {
			g.HandleFailure(f.now, out.To)
			continue
		}
		reply := to.Receive(f.now, out.Message)
		g.HandleReply(f.now.Add(8*time.Millisecond), out.To, f.now, reply)
	}
}

func (f *testFleet) runRounds(n int) {
	for range n {
		f.runRound()
	}
}

// waitFor runs at most limit rounds until done returns true.
func (f *testFleet) waitFor(limit int, condition string, done func() bool) int {
	f.t.Helper()
	for n := range limit {
		if done() {
			return n
		}
		f.runRound()
	}
	if !done() {
		f.t.Fatalf("%s: condition not met after %d rounds", condition, limit)
	}
	return limit
}

func (f *testFleet) viewsLive(observer, id domain.NodeID) bool {
	return slices.ContainsFunc(f.groups[observer].View().LocalNodes, func(n domain.NodeRef) bool { return n.ID == id })
}

// allViewLive reports whether every other running node of id's domain has the given
// view of its liveness.
func (f *testFleet) allViewLive(id domain.NodeID, live bool) bool {
	fd := f.groups[id].cfg.Self.Place.FailureDomain
	for other, g := range f.groups {
		if other == id || f.down[other] || g.cfg.Self.Place.FailureDomain != fd {
			continue
		}
		if f.viewsLive(other, id) != live {
			return false
		}
	}
	return true
}
