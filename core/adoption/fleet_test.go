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

var errAway = errors.New("away")

func kvEntry(t interface{ Fatal(...any) }, revision uint64, v *lists.Versioned) ports.KVEntry {
	return ports.KVEntry{Key: lists.Key, Value: encoded(t, v), Revision: revision}
}

const (
	tick     = 100 * time.Millisecond
	pullTime = 200 * time.Millisecond
)

// member is one node of a listsFleet.
type member struct {
	id       domain.NodeID
	place    domain.Place
	group    *membership.Group
	holder   *Holder
	follower *Follower
	offset   time.Duration // of its rounds
	nextBeat time.Time
	watch    *watch
	down     bool
}

// watch is a waiting watch of the fake service.
type watch struct {
	after    uint64
	deadline time.Time
}

// event is something that happens at a later time.
type event struct {
	at  time.Time
	run func()
}

// listsFleet runs groups and followers against a fake service in explicit time.
type listsFleet struct {
	t      *testing.T
	now    time.Time
	step   time.Duration // of the time; tick, or longer to pass an hour
	nodes  []*member
	vms    []ports.VM
	events []event
	entry  ports.KVEntry
	stale  *ports.KVEntry // answered to reads in place of entry
	away   func(domain.FailureDomain) bool
	cut    func(a, b domain.FailureDomain) bool
	delay  time.Duration // of each answer of the service
	calls  int
}

func newListsFleet(t *testing.T, domains, nodes int) *listsFleet {
	f := &listsFleet{
		t: t, now: epoch, step: tick,
		away:  func(domain.FailureDomain) bool { return false },
		cut:   func(a, b domain.FailureDomain) bool { return false },
		delay: 5 * time.Millisecond,
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
		f.nodes = append(f.nodes, f.process(i, 1))
	}
	return f
}

// process starts a process on the i-th VM.
func (f *listsFleet) process(i int, inc domain.Incarnation) *member {
	vm := f.vms[i]
	m := &member{id: domain.NodeID(vm.ID), place: vm.Place}
	m.offset = time.Duration(i%10) * tick
	m.nextBeat = f.now.Add(m.offset)
	m.group = membership.New(membership.DefaultConfig(domain.NodeRef{
		ID: m.id, Incarnation: inc, Place: vm.Place, PeerAddress: vm.Address, CallerAddress: vm.Address,
	}), f.now)
	m.holder = NewHolder(func(s *lists.Snapshot) { m.group.SetListsVersion(s.Version) }, nil)
	m.follower = NewFollower(DefaultConfig(), m.holder, uint64(i)+1, f.now)
	m.group.SetVMs(f.now, f.vms)
	return m
}

func (f *listsFleet) publish(v domain.ListsVersion) {
	f.entry = kvEntry(f.t, f.entry.Revision+1, validLists(v))
}

func (f *listsFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick()
	}
}

// hour runs an hour in coarse steps.
func (f *listsFleet) hour() {
	f.step = time.Second
	f.run(time.Hour)
	f.step = tick
}

// until runs at most limit until done and returns the time taken.
func (f *listsFleet) until(limit time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	begin := f.now
	for !done() {
		if f.now.Sub(begin) >= limit {
			f.t.Fatalf("%s: not so after %v", what, limit)
		}
		f.tick()
	}
	return f.now.Sub(begin)
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
			f.begin(m, a)
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
	for _, out := range m.group.Beat(f.now) {
		to := f.find(m, out.To.ID)
		if to == nil {
			m.group.Failed(f.now, out.To)
			continue
		}
		reply := to.group.Receive(f.now, out.Message)
		to.follower.PeerVersion(out.Message.Sender.Node, out.Message.ListsVersion)
		m.group.Replied(f.now, out.To, f.now, reply)
		m.follower.PeerVersion(reply.Sender.Node, reply.ListsVersion)
	}
}

// find returns the node if it runs and m can reach it.
func (f *listsFleet) find(m *member, id domain.NodeID) *member {
	for _, to := range f.nodes {
		if to.id == id && !to.down && !f.cut(m.place.FailureDomain, to.place.FailureDomain) {
			return to
		}
	}
	return nil
}

func (f *listsFleet) begin(m *member, a Action) {
	switch a.Kind {
	case ActionRead:
		f.calls++
		f.read(m, a)
	case ActionWatch:
		f.calls++
		if f.away(m.place.FailureDomain) {
			m.follower.WatchDone(f.now, ports.KVEntry{}, false, errAway)
			return
		}
		m.watch = &watch{after: a.After, deadline: f.now.Add(a.Timeout)}
	case ActionPull:
		f.after(pullTime, func() { f.pull(m, a.Node) })
	}
}

func (f *listsFleet) read(m *member, a Action) {
	if f.away(m.place.FailureDomain) || f.delay > a.Timeout {
		f.after(a.Timeout, func() { m.follower.ReadDone(f.now, ports.KVEntry{}, errAway) })
		return
	}
	entry := f.entry
	if f.stale != nil {
		entry = *f.stale
	}
	f.after(f.delay, func() { m.follower.ReadDone(f.now, entry, nil) })
}

func (f *listsFleet) pull(m *member, node domain.NodeRef) {
	from := f.find(m, node.ID)
	if from == nil {
		m.follower.PullDone(f.now, node, nil, errAway)
		return
	}
	var v *lists.Versioned
	if s := from.holder.Current(); s != nil {
		v = s.Source
	}
	m.follower.PullDone(f.now, node, v, nil)
}

// checkWatch ends a watch that has something, that is over, or that is cut.
func (f *listsFleet) checkWatch(m *member) {
	w := m.watch
	if w == nil {
		return
	}
	switch {
	case f.away(m.place.FailureDomain):
		m.watch = nil
		m.follower.WatchDone(f.now, ports.KVEntry{}, false, errAway)
	case f.entry.Revision > w.after:
		m.watch = nil
		entry := f.entry
		f.after(f.delay, func() { m.follower.WatchDone(f.now, entry, false, nil) })
	case !f.now.Before(w.deadline):
		m.watch = nil
		m.follower.WatchDone(f.now, ports.KVEntry{}, true, errAway)
	}
}
