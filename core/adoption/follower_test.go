package adoption

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

const aim = 9 * time.Second

func inDomain(fd domain.FailureDomain) func(*member) bool {
	return func(m *member) bool { return m.place.FailureDomain == fd }
}

func settled(t *testing.T, domains, nodes int) *listsFleet {
	f := newListsFleet(t, domains, nodes)
	f.publish(1)
	f.until(time.Minute, "version 1 everywhere", f.allAt(1, nil))
	f.run(30 * time.Second)
	return f
}

// watchers returns the nodes that hold a watch.
func (f *listsFleet) watchers(in func(*member) bool) (w []*member) {
	for _, m := range f.nodes {
		if m.watch != nil && !m.down && (in == nil || in(m)) {
			w = append(w, m)
		}
	}
	return w
}

func TestInForceEverywhereWithinTheAim(t *testing.T) {
	faults := []struct {
		name   string
		inject func(*listsFleet)
	}{
		{"none", func(f *listsFleet) {}},
		{"slow service", func(f *listsFleet) { f.delay = 2500 * time.Millisecond }},
		{"a watcher just died", func(f *listsFleet) { f.watchers(inDomain("fd0"))[0].down = true }},
		{"both watchers of a domain just died", func(f *listsFleet) {
			for _, m := range f.watchers(inDomain("fd0")) {
				m.down = true
			}
		}},
		{"a domain without the service", func(f *listsFleet) {
			f.away = func(fd domain.FailureDomain) bool { return fd == "fd0" }
		}},
		{"service was away for an hour", func(f *listsFleet) {
			f.away = func(domain.FailureDomain) bool { return true }
			f.hour()
			f.away = func(domain.FailureDomain) bool { return false }
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f := settled(t, 3, 13)
			fault.inject(f)
			f.publish(2)
			took := f.until(aim, "version 2 everywhere", f.allAt(2, nil))
			t.Logf("in force everywhere after %v", took)
		})
	}
}

func TestFewNodesPerDomainWatch(t *testing.T) {
	f := settled(t, 3, 13)
	if n := len(f.watchers(nil)); n != 6 {
		t.Errorf("%d watches wait, want 6", n)
	}
	before := f.calls
	f.run(10 * time.Minute)
	perSecond := float64(f.calls-before) / (10 * 60)
	t.Logf("%.2f calls/s at the service from 39 nodes", perSecond)
	if perSecond > 1 {
		t.Errorf("%.2f calls/s at the service", perSecond)
	}
}

func TestWatcherDiesAndAnotherWatches(t *testing.T) {
	f := settled(t, 1, 5)
	for _, m := range f.watchers(nil) {
		m.down = true
	}
	f.until(time.Minute, "two other watchers", func() bool { return len(f.watchers(nil)) == 2 })
}

func TestRestartedNodeTakesThePeersVersionOverAStaleRead(t *testing.T) {
	f := settled(t, 1, 13)
	old := f.entry
	f.publish(2)
	f.until(aim, "version 2 everywhere", f.allAt(2, nil))
	f.stale = &old
	f.nodes[4] = f.process(4, 2)
	m := f.nodes[4]
	f.until(time.Minute, "ready", func() bool { return m.follower.Ready(f.now, m.group.View()) })
	if v := m.holder.Version(); v != 2 {
		t.Fatalf("serves version %d, want 2", v)
	}
}

func TestServiceAwayAtStartWithPeersKnowing(t *testing.T) {
	f := settled(t, 1, 3)
	f.away = func(domain.FailureDomain) bool { return true }
	f.nodes[1] = f.process(1, 2)
	m := f.nodes[1]
	took := f.until(time.Minute, "ready", func() bool { return m.follower.Ready(f.now, m.group.View()) })
	t.Logf("ready after %v", took)
	if m.holder.Version() != 1 {
		t.Fatalf("ready with version %d", m.holder.Version())
	}
}

func TestNotReadyWithoutLists(t *testing.T) {
	f := newListsFleet(t, 1, 3)
	f.away = func(domain.FailureDomain) bool { return true }
	f.hour()
	for _, m := range f.nodes {
		if m.follower.Ready(f.now, m.group.View()) {
			t.Errorf("%s is ready without lists", m.id)
		}
	}
	f.away = func(domain.FailureDomain) bool { return false }
	f.publish(1)
	f.until(20*time.Second, "lists after the outage", f.allAt(1, nil))
}

func TestCutOffDomainCatchesUpOnceOneNodeKnows(t *testing.T) {
	f := settled(t, 2, 13)
	f.away = func(fd domain.FailureDomain) bool { return fd == "fd0" }
	f.cut = func(a, b domain.FailureDomain) bool { return a != b }
	f.publish(2)
	f.run(5 * time.Minute)
	if !f.allAt(1, inDomain("fd0"))() {
		t.Fatal("a cut-off node does not hold version 1")
	}
	if _, err := f.nodes[7].holder.Adopt(validLists(2)); err != nil {
		t.Fatal(err)
	}
	took := f.until(5*time.Second, "the domain caught up", f.allAt(2, inDomain("fd0")))
	t.Logf("the domain caught up after %v", took)
}

func TestRacingOperatorsEndAtOneVersion(t *testing.T) {
	f := settled(t, 3, 5)
	for v := domain.ListsVersion(2); v <= 9; v++ {
		f.publish(v)
		f.run(tick)
	}
	f.until(aim, "the last version everywhere", f.allAt(9, nil))
}

func TestBadDocumentAtTheServiceLeavesTheOldInForce(t *testing.T) {
	f := settled(t, 1, 3)
	f.entry = kvEntry(t, f.entry.Revision+1, badLists(2))
	before := f.calls
	f.run(5 * time.Minute)
	if !f.allAt(1, nil)() {
		t.Fatal("a bad document came into force")
	}
	if n := f.calls - before; n > 100 {
		t.Errorf("%d calls in five minutes over a bad document", n)
	}
	f.publish(3)
	f.until(aim, "the next good version", f.allAt(3, nil))
}

func TestBadDocumentIsNotPulledAgain(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	peer := domain.NodeRef{ID: "b"}
	f.Next(epoch, view)
	f.ReadDone(epoch, ports.KVEntry{}, nil)
	f.PeerVersion(peer, 2)
	f.PullDone(epoch, peer, badLists(2), nil)
	f.PeerVersion(peer, 2)
	for _, a := range f.Next(epoch, view) {
		if a.Kind == ActionPull {
			t.Fatal("the refused version is pulled again")
		}
	}
}

func TestStaleWatchAnswerDoesNotSpin(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, kvEntry(t, 5, validLists(5)), nil)
	for range 3 {
		f.Next(epoch, view)
		f.WatchDone(epoch, kvEntry(t, 4, validLists(4)), false, nil)
	}
	if actions := f.Next(epoch, view); len(actions) != 0 {
		t.Fatalf("actions %v right after a stale answer", actions)
	}
}

func TestServiceSetBackIsStillWatched(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, kvEntry(t, 90, validLists(5)), nil)
	later := epoch.Add(time.Minute)
	f.Next(later, view)
	f.ReadDone(later, kvEntry(t, 3, validLists(5)), nil)
	f.WatchDone(later, ports.KVEntry{}, true, errAway)
	for _, a := range f.Next(later, view) {
		if a.Kind == ActionWatch && a.After != 3 {
			t.Fatalf("watches beyond revision %d of a service that is at 3", a.After)
		}
	}
}

func TestNotReadyBeforeThePeersAnswered(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}, Listed: true, Known: []domain.NodeID{"b"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, kvEntry(t, 1, validLists(1)), nil)
	if f.Ready(epoch, view) {
		t.Fatal("ready on a read alone, which may be stale")
	}
	if !f.Ready(epoch.Add(f.cfg.StartWait), view) {
		t.Fatal("waits for a peer that never answers")
	}
}

func TestNotReadyBeforeTheMembersAreKnown(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, kvEntry(t, 1, validLists(1)), nil)
	if f.Ready(epoch, view) {
		t.Fatal("ready without knowing whom to ask")
	}
}

func TestRetriesAreSpacedAndJittered(t *testing.T) {
	waits := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		f := NewFollower(DefaultConfig(), NewHolder(nil, nil), seed, epoch)
		now := epoch
		for range 12 {
			f.Next(now, &membership.View{Self: domain.NodeRef{ID: "a"}})
			f.ReadDone(now, ports.KVEntry{}, errAway)
			now = f.readAt
		}
		last := now
		f.ReadDone(now, ports.KVEntry{}, errAway)
		wait := f.readAt.Sub(last)
		if wait < f.cfg.RetryMost/2 || wait > f.cfg.RetryMost {
			t.Errorf("seed %d: waits %v after many failures", seed, wait)
		}
		waits[wait] = true
	}
	if len(waits) < 15 {
		t.Errorf("%d different waits of 20 nodes", len(waits))
	}
}
