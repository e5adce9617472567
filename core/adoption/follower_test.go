package adoption

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

// propagationTarget is the maximum time until a new version is in effect everywhere.
const propagationTarget = 9 * time.Second

func inDomain(fd domain.FailureDomain) func(*member) bool {
	return func(m *member) bool { return m.place.FailureDomain == fd }
}

func newSettledFleet(t *testing.T, domains, nodes int) *listsFleet {
	f := newListsFleet(t, domains, nodes)
	f.publish(1)
	f.runUntil(time.Minute, "version 1 everywhere", f.allAt(1, nil))
	f.run(30 * time.Second)
	return f
}

// watchers returns the running nodes with a pending watch.
func (f *listsFleet) watchers(in func(*member) bool) (w []*member) {
	for _, m := range f.nodes {
		if m.watch != nil && !m.down && (in == nil || in(m)) {
			w = append(w, m)
		}
	}
	return w
}

func TestNewVersionIsInEffectEverywhereWithinTarget(t *testing.T) {
	faults := []struct {
		name   string
		inject func(*listsFleet)
	}{
		{"none", func(f *listsFleet) {}},
		{"slow service", func(f *listsFleet) { f.delay = 2500 * time.Millisecond }},
		{"a watcher just failed", func(f *listsFleet) { f.watchers(inDomain("fd0"))[0].down = true }},
		{"both watchers of a domain just failed", func(f *listsFleet) {
			for _, m := range f.watchers(inDomain("fd0")) {
				m.down = true
			}
		}},
		{"a domain without the service", func(f *listsFleet) {
			f.unavailable = func(fd domain.FailureDomain) bool { return fd == "fd0" }
		}},
		{"service was unavailable for an hour", func(f *listsFleet) {
			f.unavailable = func(domain.FailureDomain) bool { return true }
			f.runHour()
			f.unavailable = func(domain.FailureDomain) bool { return false }
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			f := newSettledFleet(t, 3, 13)
			fault.inject(f)
			f.publish(2)
			elapsed := f.runUntil(propagationTarget, "version 2 everywhere", f.allAt(2, nil))
			t.Logf("in effect everywhere after %v", elapsed)
		})
	}
}

func TestFewNodesPerDomainWatch(t *testing.T) {
	f := newSettledFleet(t, 3, 13)
	if n := len(f.watchers(nil)); n != 6 {
		t.Errorf("got %d pending watches, want 6", n)
	}
	before := f.calls
	f.run(10 * time.Minute)
	callsPerSecond := float64(f.calls-before) / (10 * 60)
	t.Logf("%.2f calls/s at the service from 39 nodes", callsPerSecond)
	if callsPerSecond > 1 {
		t.Errorf("got %.2f calls/s at the service, want at most 1", callsPerSecond)
	}
}

func TestFailedWatchersAreReplaced(t *testing.T) {
	f := newSettledFleet(t, 1, 5)
	for _, m := range f.watchers(nil) {
		m.down = true
	}
	f.runUntil(time.Minute, "two other watchers", func() bool { return len(f.watchers(nil)) == 2 })
}

func TestRestartedNodePrefersPeerVersionOverStaleRead(t *testing.T) {
	f := newSettledFleet(t, 1, 13)
	old := f.entry
	f.publish(2)
	f.runUntil(propagationTarget, "version 2 everywhere", f.allAt(2, nil))
	f.stale = &old
	f.nodes[4] = f.startProcess(4, 2)
	m := f.nodes[4]
	f.runUntil(time.Minute, "ready", func() bool { return m.follower.Ready(f.now, m.group.View()) })
	if v := m.holder.Version(); v != 2 {
		t.Fatalf("got version %d, want 2", v)
	}
}

func TestNodeStartsFromPeersWhileServiceIsUnavailable(t *testing.T) {
	f := newSettledFleet(t, 1, 3)
	f.unavailable = func(domain.FailureDomain) bool { return true }
	f.nodes[1] = f.startProcess(1, 2)
	m := f.nodes[1]
	elapsed := f.runUntil(time.Minute, "ready", func() bool { return m.follower.Ready(f.now, m.group.View()) })
	t.Logf("ready after %v", elapsed)
	if m.holder.Version() != 1 {
		t.Fatalf("got version %d, want 1", m.holder.Version())
	}
}

func TestNotReadyWithoutLists(t *testing.T) {
	f := newListsFleet(t, 1, 3)
	f.unavailable = func(domain.FailureDomain) bool { return true }
	f.runHour()
	for _, m := range f.nodes {
		if m.follower.Ready(f.now, m.group.View()) {
			t.Errorf("%s is ready without lists", m.id)
		}
	}
	f.unavailable = func(domain.FailureDomain) bool { return false }
	f.publish(1)
	f.runUntil(20*time.Second, "lists after the outage", f.allAt(1, nil))
}

func TestIsolatedDomainCatchesUpOnceOneNodeHasTheVersion(t *testing.T) {
	f := newSettledFleet(t, 2, 13)
	f.unavailable = func(fd domain.FailureDomain) bool { return fd == "fd0" }
	f.partitioned = func(a, b domain.FailureDomain) bool { return a != b }
	f.publish(2)
	f.run(5 * time.Minute)
	if !f.allAt(1, inDomain("fd0"))() {
		t.Fatal("a node of the isolated domain does not have version 1")
	}
	if _, err := f.nodes[7].holder.Adopt(validLists(2)); err != nil {
		t.Fatal(err)
	}
	elapsed := f.runUntil(5*time.Second, "the domain caught up", f.allAt(2, inDomain("fd0")))
	t.Logf("the domain caught up after %v", elapsed)
}

func TestConcurrentPublicationsConvergeToLastVersion(t *testing.T) {
	f := newSettledFleet(t, 3, 5)
	for v := domain.ListsVersion(2); v <= 9; v++ {
		f.publish(v)
		f.run(tick)
	}
	f.runUntil(propagationTarget, "the last version everywhere", f.allAt(9, nil))
}

func TestInvalidDocumentAtTheServiceIsNotAdopted(t *testing.T) {
	f := newSettledFleet(t, 1, 3)
	f.entry = newKVEntry(t, f.entry.Revision+1, invalidLists(2))
	before := f.calls
	f.run(5 * time.Minute)
	if !f.allAt(1, nil)() {
		t.Fatal("an invalid document is in effect")
	}
	if n := f.calls - before; n > 100 {
		t.Errorf("got %d calls in five minutes with an invalid document, want at most 100", n)
	}
	f.publish(3)
	f.runUntil(propagationTarget, "next valid version everywhere", f.allAt(3, nil))
}

func TestInvalidDocumentIsNotPulledAgain(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	peer := domain.NodeRef{ID: "b"}
	f.Next(epoch, view)
	f.ReadDone(epoch, ports.KVEntry{}, nil)
	f.RecordPeerVersion(peer, 2)
	f.PullDone(epoch, peer, invalidLists(2), nil)
	f.RecordPeerVersion(peer, 2)
	for _, a := range f.Next(epoch, view) {
		if a.Kind == ActionPull {
			t.Fatal("the refused version is pulled again")
		}
	}
}

func TestStaleWatchResultDoesNotCauseBusyLoop(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, newKVEntry(t, 5, validLists(5)), nil)
	for range 3 {
		f.Next(epoch, view)
		f.WatchDone(epoch, newKVEntry(t, 4, validLists(4)), false, nil)
	}
	if actions := f.Next(epoch, view); len(actions) != 0 {
		t.Fatalf("got actions %v immediately after a stale result, want none", actions)
	}
}

func TestServiceResetToEarlierRevisionIsStillWatched(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, newKVEntry(t, 90, validLists(5)), nil)
	later := epoch.Add(time.Minute)
	f.Next(later, view)
	f.ReadDone(later, newKVEntry(t, 3, validLists(5)), nil)
	f.WatchDone(later, ports.KVEntry{}, true, errUnavailable)
	for _, a := range f.Next(later, view) {
		if a.Kind == ActionWatch && a.After != 3 {
			t.Fatalf("got a watch after revision %d, want 3", a.After)
		}
	}
}

func TestNotReadyBeforePeersAnnouncedTheirVersions(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}, HasVMList: true, PeerIDs: []domain.NodeID{"b"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, newKVEntry(t, 1, validLists(1)), nil)
	if f.Ready(epoch, view) {
		t.Fatal("ready on a read alone, which may be stale")
	}
	if !f.Ready(epoch.Add(f.cfg.StartTimeout), view) {
		t.Fatal("not ready after StartTimeout because of a peer that does not respond")
	}
}

func TestNotReadyBeforeVMListIsReceived(t *testing.T) {
	f := NewFollower(DefaultConfig(), NewHolder(nil, nil), 1, epoch)
	view := &membership.View{Self: domain.NodeRef{ID: "a"}}
	f.Next(epoch, view)
	f.ReadDone(epoch, newKVEntry(t, 1, validLists(1)), nil)
	if f.Ready(epoch, view) {
		t.Fatal("ready without a VM list")
	}
}

func TestRetriesBackOffWithJitter(t *testing.T) {
	delays := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		f := NewFollower(DefaultConfig(), NewHolder(nil, nil), seed, epoch)
		now := epoch
		for range 12 {
			f.Next(now, &membership.View{Self: domain.NodeRef{ID: "a"}})
			f.ReadDone(now, ports.KVEntry{}, errUnavailable)
			now = f.nextReadAt
		}
		last := now
		f.ReadDone(now, ports.KVEntry{}, errUnavailable)
		delay := f.nextReadAt.Sub(last)
		if delay < f.cfg.MaxRetryDelay/2 || delay > f.cfg.MaxRetryDelay {
			t.Errorf("seed %d: got a delay of %v after many failures, want between half of MaxRetryDelay and MaxRetryDelay", seed, delay)
		}
		delays[delay] = true
	}
	if len(delays) < 15 {
		t.Errorf("got %d different delays of 20 nodes, want at least 15", len(delays))
	}
}
