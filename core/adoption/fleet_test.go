package adoption

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

var epoch = time.Unix(1_800_000_000, 0)

var errUnavailable = errors.New("unavailable")

func newKVEntry(t interface{ Fatal(...any) }, revision uint64, v *lists.Versioned) ports.KVEntry {
	return ports.KVEntry{Key: lists.Key, Value: encode(t, v), Revision: revision}
}

const (
	tick     = 100 * time.Millisecond
	pullTime = 200 * time.Millisecond
)

// member is one node of a listsFleet.
type member struct {
	id          domain.NodeID
	place       domain.Place
	group       *membership.Group
	holder      *Holder
	follower    *Follower
	roundOffset time.Duration // of its heartbeat rounds
	nextBeat    time.Time
	watch       *watch
	down        bool
}

// watch is a pending watch of the fake service.
type watch struct {
	after    uint64
	deadline time.Time
}

// event is a function scheduled for a later time.
type event struct {
	at  time.Time
	run func()
}

// listsFleet runs groups and followers against a fake service in simulated time.
type listsFleet struct {
	t           *testing.T
	now         time.Time
	step        time.Duration // of the simulated time: tick, or longer in runHour
	nodes       []*member
	vms         []ports.VM
	events      []event
	entry       ports.KVEntry
	stale       *ports.KVEntry // returned by reads instead of entry, if set
	unavailable func(domain.FailureDomain) bool
	partitioned func(a, b domain.FailureDomain) bool
	delay       time.Duration // of each response of the service
	calls       int
}

func newListsFleet(t *testing.T, domains, nodes int) *listsFleet {
	f := &listsFleet{
		t: t, now: epoch, step: tick,
		unavailable: func(domain.FailureDomain) bool { return false },
		partitioned: func(a, b domain.FailureDomain) bool { return false },
		delay:       5 * time.Millisecond,
	}
	for d := range domains {
		for n := range nodes {
			f.vms = append(f.vms, ports.VM{
				ID: fmt.Sprintf("fd%d-n%02d", d, n), Role: ports.RoleEntry, Address: fmt.Sprintf("10.0.%d.%d:1", d, n),
				Place: domain.Place{Region: "r", FailureDomain: domain.FailureDomain(fmt.Sprintf("fd%d", d))},
			})
		}
	}
	for i := range f.vms {
		f.nodes = append(f.nodes, f.startProcess(i, 1))
	}
	return f
}

// startProcess starts a process on the i-th VM.
func (f *listsFleet) startProcess(i int, incarnation domain.Incarnation) *member {
	vm := f.vms[i]
	m := &member{id: domain.NodeID(vm.ID), place: vm.Place}
	m.roundOffset = time.Duration(i%10) * tick
	m.nextBeat = f.now.Add(m.roundOffset)
	m.group = membership.New(membership.DefaultConfig(domain.NodeRef{
		ID: m.id, Incarnation: incarnation, Place: vm.Place, PeerAddress: vm.Address, CallerAddress: vm.Address,
	}), f.now)
	m.holder = NewHolder(func(s *lists.Snapshot) { m.group.SetListsVersion(s.Version) }, nil)
	m.follower = NewFollower(DefaultConfig(), m.holder, uint64(i)+1, f.now)
	m.group.SetVMs(f.now, f.vms)
	return m
}

func (f *listsFleet) publish(v domain.ListsVersion) {
	f.entry = newKVEntry(f.t, f.entry.Revision+1, validLists(v))
}

func (f *listsFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick()
	}
}

// runHour simulates an hour in coarse steps.
func (f *listsFleet) runHour() {
	f.step = time.Second
	f.run(time.Hour)
	f.step = tick
}

// runUntil runs until done returns true, for at most limit, and returns the elapsed
// time.
func (f *listsFleet) runUntil(limit time.Duration, condition string, done func() bool) time.Duration {
	f.t.Helper()
	startedAt := f.now
	for !done() {
		if f.now.Sub(startedAt) >= limit {
			f.t.Fatalf("%s: condition not met after %v", condition, limit)
		}
		f.tick()
	}
	return f.now.Sub(startedAt)
}

func (f *listsFleet) allAt(v domain.ListsVersion, in func(*member) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.nodes, func(m *member) bool {
			return !m.down && (in == nil || in(m)) && m.holder.Version() != v
		})
	}
}

func (f *listsFleet) tick() {
	f.now = f.now.Add(f.step)
	f.runEvents()
	for _, m := range f.nodes {
		if m.down {
			continue
		}
		f.checkWatch(m)
		if !f.now.Before(m.nextBeat) || m.group.Urgent() {
			f.beat(m)
		}
		for _, a := range m.follower.Next(f.now, m.group.View()) {
			f.startAction(m, a)
		}
		if m.follower.Ready(f.now, m.group.View()) && m.group.View().Self.State == domain.NodeStarting {
			m.group.SetState(f.now, domain.NodeServing)
		}
	}
}

func (f *listsFleet) runEvents() {
	due := f.events
	f.events = nil
	for _, e := range due {
		if f.now.Before(e.at) {
			f.events = append(f.events, e)
			continue
		}
		e.run()
	}
}

func (f *listsFleet) after(d time.Duration, run func()) {
	f.events = append(f.events, event{f.now.Add(d), run})
}

func (f *listsFleet) beat(m *member) {
	if !f.now.Before(m.nextBeat) {
		m.nextBeat = m.nextBeat.Add(time.Second)
	}
	for _, out := range m.group.StartRound(f.now) {
		to := f.findReachable(m, out.To.ID)
		if to == nil {
			m.group.HandleFailure(f.now, out.To)
			continue
		}
		reply := to.group.Receive(f.now, out.Message)
		to.follower.RecordPeerVersion(out.Message.Sender.Node, out.Message.ListsVersion)
		m.group.HandleReply(f.now, out.To, f.now, reply)
		m.follower.RecordPeerVersion(reply.Sender.Node, reply.ListsVersion)
	}
}

// findReachable returns the node if it is running and reachable from m, or nil.
func (f *listsFleet) findReachable(m *member, id domain.NodeID) *member {
	for _, to := range f.nodes {
		if to.id == id && !to.down && !f.partitioned(m.place.FailureDomain, to.place.FailureDomain) {
			return to
		}
	}
	return nil
}

func (f *listsFleet) startAction(m *member, a Action) {
	switch a.Kind {
	case ActionRead:
		f.calls++
		f.read(m, a)
	case ActionWatch:
		f.calls++
		if f.unavailable(m.place.FailureDomain) {
			m.follower.WatchDone(f.now, ports.KVEntry{}, false, errUnavailable)
			return
		}
		m.watch = &watch{after: a.After, deadline: f.now.Add(a.Timeout)}
	case ActionPull:
		f.after(pullTime, func() { f.pull(m, a.Node) })
	}
}

func (f *listsFleet) read(m *member, a Action) {
	if f.unavailable(m.place.FailureDomain) || f.delay > a.Timeout {
		f.after(a.Timeout, func() { m.follower.ReadDone(f.now, ports.KVEntry{}, errUnavailable) })
		return
	}
	entry := f.entry
	if f.stale != nil {
		entry = *f.stale
	}
	f.after(f.delay, func() { m.follower.ReadDone(f.now, entry, nil) })
}

func (f *listsFleet) pull(m *member, node domain.NodeRef) {
	from := f.findReachable(m, node.ID)
	if from == nil {
		m.follower.PullDone(f.now, node, nil, errUnavailable)
		return
	}
	var v *lists.Versioned
	if s := from.holder.Current(); s != nil {
		v = s.Source
	}
	m.follower.PullDone(f.now, node, v, nil)
}

// checkWatch ends a watch if there is a change, its deadline has passed or the service
// is unavailable.
func (f *listsFleet) checkWatch(m *member) {
	w := m.watch
	if w == nil {
		return
	}
	switch {
	case f.unavailable(m.place.FailureDomain):
		m.watch = nil
		m.follower.WatchDone(f.now, ports.KVEntry{}, false, errUnavailable)
	case f.entry.Revision > w.after:
		m.watch = nil
		entry := f.entry
		f.after(f.delay, func() { m.follower.WatchDone(f.now, entry, false, nil) })
	case !f.now.Before(w.deadline):
		m.watch = nil
		m.follower.WatchDone(f.now, ports.KVEntry{}, true, errUnavailable)
	}
}
