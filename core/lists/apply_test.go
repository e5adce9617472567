package lists_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

// document returns lists that differ by the plan's priority and limit.
func document(limit int) lists.Document {
	return lists.Document{
		Customers: []lists.Customer{{ID: "mill", Plan: "design", KeyHashes: []string{lists.HashKey("k")}}},
		Regions:   []domain.Region{"sofia", "frankfurt"},
		Plans: []lists.Plan{{ID: "design", Models: []string{"weave-model"}, Regions: []domain.Region{"sofia"},
			Limits: lists.Limits{Concurrency: limit}}},
	}
}

func proposal(id, author string, limit int) lists.Proposal {
	return lists.Proposal{ChangeID: id, Author: author, Reason: "because of " + id, Time: noon, Document: document(limit)}
}

func apply(kv ports.KV, p lists.Proposal) (*lists.Outcome, error) {
	a := lists.Applier{KV: kv}
	return a.Apply(context.Background(), p)
}

func mustApply(t testing.TB, kv ports.KV, id string, limit int) *lists.Outcome {
	t.Helper()
	outcome, err := apply(kv, proposal(id, "anna", limit))
	if err != nil {
		t.Fatalf("apply %s: %v", id, err)
	}
	return outcome
}

func wantKind(t *testing.T, err error, kind errkind.Kind, run domain.Run) {
	t.Helper()
	if !errors.Is(err, errkind.Of(kind)) {
		t.Fatalf("error %v is not of kind %s", err, kind)
	}
	if got := errkind.From(err).Verdict(); got != run {
		t.Fatalf("verdict of %v is %q, want %q", err, got, run)
	}
}

// wantHistory checks that the audit trail holds versions n to 1 by these ids.
func wantHistory(t testing.TB, kv ports.KV, ids []string) {
	t.Helper()
	changes, err := lists.History(context.Background(), kv, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) != len(ids) {
		t.Fatalf("history has %d changes, want %d", len(changes), len(ids))
	}
	for i, c := range changes {
		n := len(ids) - i
		if c.Version != domain.ListsVersion(n) || c.ID != ids[n-1] {
			t.Fatalf("history[%d] is version %d by %s, want version %d by %s", i, c.Version, c.ID, n, ids[n-1])
		}
	}
}

func TestApplyRaisesTheVersionByOneAndKeepsTheTrail(t *testing.T) {
	kv := newFakeKV()
	var ids []string
	for i := range 250 {
		ids = append(ids, fmt.Sprintf("c%d", i))
		outcome := mustApply(t, kv, ids[i], i)
		if outcome.Change.Version != domain.ListsVersion(i+1) {
			t.Fatalf("apply %d gave version %d", i, outcome.Change.Version)
		}
	}
	wantHistory(t, kv, ids)
	latest, err := lists.History(context.Background(), kv, 40)
	if err != nil || len(latest) != 40 || latest[39].Version != 211 {
		t.Fatalf("history of 40: %d changes, %v", len(latest), err)
	}
}

func TestApplyOfTheSameListsWritesNothing(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	outcome := mustApply(t, kv, "c2", 1)
	if !outcome.Unchanged || outcome.Change.ID != "c1" || kv.swaps[lists.Key] != 1 {
		t.Fatalf("outcome %+v after %d writes", outcome, kv.swaps[lists.Key])
	}
}

func TestRacingOperatorsLoserLearnsWhoChangedWhat(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	kv.beforeSwap = once(lists.Key, func() error {
		_, err := apply(kv, proposal("c2", "boris", 2))
		return err
	})
	_, err := apply(kv, proposal("c3", "anna", 3))
	wantKind(t, err, errkind.Conflict, domain.RunNo)
	for _, part := range []string{"version 1 to 2", "boris", "because of c2", "limits.concurrency: 1 -> 2"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not in the conflict: %v", part, err)
		}
	}
	wantHistory(t, kv, []string{"c1", "c2"})
}

func TestRacingOperatorsWhileTheStoreServesOldData(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	old := kv.entries[lists.Key]
	kv.beforeSwap = once(lists.Key, func() error {
		_, err := apply(kv, proposal("c2", "boris", 2))
		kv.onGet = func(_ string, e *ports.KVEntry) error {
			*e = old
			return nil
		}
		return err
	})
	_, err := apply(kv, proposal("c3", "anna", 3))
	wantKind(t, err, errkind.Conflict, domain.RunNo)
}

func TestRacingOperatorsEditedAnOlderVersion(t *testing.T) {
	kv := newFakeKV()
	base := mustApply(t, kv, "c1", 1).Change.Version
	mustApply(t, kv, "c2", 2)
	p := proposal("c3", "boris", 3)
	p.Base = &base
	_, err := apply(kv, p)
	wantKind(t, err, errkind.Conflict, domain.RunNo)
	c, ok := lists.ConflictOf(err)
	if !ok || len(c.Changes) != 1 || c.Changes[0].ID != "c2" {
		t.Fatalf("conflict %+v", c)
	}
	wantHistory(t, kv, []string{"c1", "c2"})
}

func TestRacingOperatorsEachVersionHasOneWinner(t *testing.T) {
	kv := newFakeKV()
	const operators = 16
	won := make(chan string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			id := fmt.Sprintf("c%d", i)
			outcome, err := apply(kv, proposal(id, "op", i+1))
			switch {
			case err == nil:
				won <- outcome.Change.ID
			case !errors.Is(err, errkind.Of(errkind.Conflict)):
				t.Error(err)
			}
		})
	}
	wg.Wait()
	close(won)
	changes, err := lists.History(context.Background(), kv, 0)
	if err != nil || len(changes) != len(won) || len(won) == 0 {
		t.Fatalf("%d winners and %d changes, %v", len(won), len(changes), err)
	}
	kept := make(map[string]bool)
	for _, c := range changes {
		kept[c.ID] = true
	}
	for id := range won {
		if !kept[id] {
			t.Errorf("the accepted change %s is not in the history", id)
		}
	}
}

func TestLostAnswerOnApply(t *testing.T) {
	down := func(string, *ports.KVEntry) error { return storeDown() }
	stale := func(key string, e *ports.KVEntry) error {
		if key == lists.Key {
			*e = ports.KVEntry{Key: key, Revision: 1, Value: versionOne}
		}
		return nil
	}
	others := func(n int) func(kv *fakeKV) {
		return func(kv *fakeKV) {
			kv.afterSwap = nil
			for i := range n {
				if _, err := apply(kv, proposal(fmt.Sprintf("other%d", i), "boris", 100+i)); err != nil {
					panic(err)
				}
			}
		}
	}
	tests := map[string]struct {
		delivered bool
		meanwhile func(kv *fakeKV)
		wantKind  errkind.Kind
		wantRun   domain.Run
	}{
		"the write took effect":                               {delivered: true},
		"the write took effect, then another change":          {delivered: true, meanwhile: others(1)},
		"the write took effect and left the trail since":      {delivered: true, meanwhile: others(80)},
		"the write is not seen":                               {wantKind: errkind.StoreUnavailable, wantRun: domain.RunUnknown},
		"another write took its place":                        {meanwhile: others(1), wantKind: errkind.Conflict, wantRun: domain.RunNo},
		"the write took effect and the store went down":       {delivered: true, meanwhile: func(kv *fakeKV) { kv.onGet = down }, wantKind: errkind.StoreUnavailable, wantRun: domain.RunUnknown},
		"the write took effect and the store serves old data": {delivered: true, meanwhile: func(kv *fakeKV) { kv.onGet = stale }, wantKind: errkind.StoreUnavailable, wantRun: domain.RunUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			mustApply(t, kv, "c1", 1)
			mustApply(t, kv, "c2", 2)
			before := kv.swaps[lists.Key]
			attempts := 0
			lose := once(lists.Key, func() error {
				attempts = kv.swaps[lists.Key] - before
				if test.meanwhile != nil {
					test.meanwhile(kv)
				}
				return lostAnswer()
			})
			if test.delivered {
				kv.afterSwap = lose
			} else {
				kv.beforeSwap = lose
			}
			outcome, err := apply(kv, proposal("mine", "anna", 3))
			if test.wantKind != "" {
				wantKind(t, err, test.wantKind, test.wantRun)
			} else if err != nil || !outcome.ReadBack || outcome.Change.ID != "mine" {
				t.Fatalf("outcome %+v, %v", outcome, err)
			}
			if test.delivered && attempts != 1 {
				t.Errorf("the change was written %d times", attempts)
			}
		})
	}
}

// versionOne is a stored value of an earlier revision.
var versionOne = []byte(`{"version":1,"change":{"id":"c1","version":1}}`)

func TestWriteSentTwiceByTheTransportIsNotAConflict(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	twice := &twiceKV{fakeKV: kv}
	outcome, err := apply(twice, proposal("c2", "anna", 2))
	if err != nil || !outcome.ReadBack || outcome.Change.Version != 2 {
		t.Fatalf("outcome %+v, %v", outcome, err)
	}
	wantHistory(t, kv, []string{"c1", "c2"})
}

// twiceKV sends each write twice and returns the second answer.
type twiceKV struct{ *fakeKV }

func (k *twiceKV) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, lease ports.LeaseID) (ports.KVEntry, error) {
	_, _ = k.fakeKV.CompareAndSwap(ctx, key, prev, value, lease)
	return k.fakeKV.CompareAndSwap(ctx, key, prev, value, lease)
}

func TestStoreDownOnApplyWritesNothing(t *testing.T) {
	kv := newFakeKV()
	kv.onGet = func(string, *ports.KVEntry) error { return storeDown() }
	_, err := apply(kv, proposal("c1", "anna", 1))
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
	kv.onGet = nil
	kv.beforeSwap = func(string) error { return storeDown() }
	_, err = apply(kv, proposal("c1", "anna", 1))
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
	if kv.revision != 0 {
		t.Fatal("something was written")
	}
}

// A process that dies between moving a change to its own key and writing the
// lists, or one whose answers are lost there, loses no change.
func TestDeathBetweenHistoryAndListsLosesNoChange(t *testing.T) {
	faults := map[string]func(kv *fakeKV, fail func() error){
		"before the history key":         func(kv *fakeKV, fail func() error) { kv.beforeSwap = once(lists.HistoryKey(1), fail) },
		"after the history key":          func(kv *fakeKV, fail func() error) { kv.beforeSwap = once(lists.Key, fail) },
		"history key's answer lost":      func(kv *fakeKV, fail func() error) { kv.afterSwap = once(lists.HistoryKey(1), fail) },
		"history key's write never seen": func(kv *fakeKV, fail func() error) { kv.beforeSwap = once(lists.HistoryKey(1), lostAnswer) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			// Version 34 moves the first change to its own key; an odd start lets the
			// faulted apply of a round write it.
			mustApply(t, kv, "c0", 1)
			ids := []string{"c0"}
			for round := 1; len(kv.entries) <= 1; round++ {
				id := fmt.Sprintf("c%d", round)
				inject(kv, storeDown)
				if _, err := apply(kv, proposal(id, "anna", 2*round)); err == nil {
					ids = append(ids, id)
				}
				kv.beforeSwap, kv.afterSwap = nil, nil
				wantHistory(t, kv, ids)
				if _, err := apply(kv, proposal(id+"b", "anna", 2*round+1)); err != nil {
					t.Fatal(err)
				}
				ids = append(ids, id+"b")
				wantHistory(t, kv, ids)
			}
		})
	}
}

func TestHistoryKeyOfAnotherChangeStopsTheApply(t *testing.T) {
	kv := newFakeKV()
	if _, err := kv.swap(lists.HistoryKey(1), 0, []byte(`{"id":"foreign","version":1}`)); err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		if _, err := apply(kv, proposal(fmt.Sprintf("c%d", i), "anna", i+1)); err != nil {
			wantKind(t, err, errkind.Internal, domain.RunNo)
			return
		}
	}
	t.Fatal("the foreign change was passed over")
}

func TestListOf2MBIsRefused(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	p := proposal("c2", "anna", 2)
	for i := range 15000 {
		p.Document.Customers = append(p.Document.Customers, lists.Customer{
			ID: domain.CustomerID(fmt.Sprintf("customer-%05d", i)), Plan: "design",
			KeyHashes: []string{lists.HashKey(fmt.Sprint(i))},
		})
	}
	_, err := apply(kv, p)
	wantKind(t, err, errkind.BodyTooLarge, domain.RunNo)
	if !strings.Contains(err.Error(), "at most 1048576") {
		t.Errorf("the bound is not named: %v", err)
	}
	wantHistory(t, kv, []string{"c1"})
}

// Lists near the bound leave little room for the trail, which then moves to its
// own keys.
func TestListsNearTheBoundKeepTheirHistory(t *testing.T) {
	kv := newFakeKV()
	var ids []string
	p := proposal("", "anna", 1)
	for i := range 2500 {
		p.Document.Customers = append(p.Document.Customers, lists.Customer{
			ID: domain.CustomerID(fmt.Sprintf("customer-%04d-%s", i, strings.Repeat("x", 200))), Plan: "design",
			KeyHashes: []string{lists.HashKey(fmt.Sprint(i))},
		})
	}
	for i := range 40 {
		p.ChangeID = fmt.Sprintf("c%d", i)
		p.Reason = strings.Repeat("r", 1000)
		p.Document.Plans[0].Limits.Concurrency = i
		if _, err := apply(kv, p); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, p.ChangeID)
		if size := len(kv.entries[lists.Key].Value); size > lists.MaxDocumentBytes {
			t.Fatalf("the stored value has %d bytes", size)
		}
	}
	wantHistory(t, kv, ids)
}

func TestRefusedProposals(t *testing.T) {
	tests := map[string]func(p *lists.Proposal){
		"no author":      func(p *lists.Proposal) { p.Author = " " },
		"no reason":      func(p *lists.Proposal) { p.Reason = "" },
		"long reason":    func(p *lists.Proposal) { p.Reason = strings.Repeat("r", 2000) },
		"no change id":   func(p *lists.Proposal) { p.ChangeID = "" },
		"unknown region": func(p *lists.Proposal) { p.Document.Plans[0].Regions = []domain.Region{"atlantis"} },
		"unknown plan":   func(p *lists.Proposal) { p.Document.Customers[0].Plan = "gold" },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			p := proposal("c1", "anna", 1)
			spoil(&p)
			_, err := apply(kv, p)
			wantKind(t, err, errkind.BadRequest, domain.RunNo)
			if kv.revision != 0 {
				t.Error("something was written")
			}
		})
	}
}

func TestListsLostByTheStoreContinueAboveTheNodesVersion(t *testing.T) {
	kv := newFakeKV()
	held := domain.ListsVersion(41)
	p := proposal("c1", "anna", 1)
	p.Base = &held
	outcome, err := apply(kv, p)
	if err != nil || outcome.Change.Version != 42 {
		t.Fatalf("outcome %+v, %v", outcome, err)
	}
}

// Under any mix of faults the versions have no gap, and the trail holds each
// accepted change once.
func TestFaultsAtRandomKeepTheTrailWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV()
		fault := func(label string) func(string) error {
			return func(string) error {
				switch rapid.IntRange(0, 9).Draw(t, label) {
				case 0:
					return lostAnswer()
				case 1:
					return storeDown()
				}
				return nil
			}
		}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		accepted := make(map[string]bool)
		denied := make(map[string]bool)
		for i := range steps {
			id := fmt.Sprintf("c%d", i)
			kv.beforeSwap = fault("before")
			kv.afterSwap = func(string) error {
				if rapid.IntRange(0, 9).Draw(t, "after") == 0 {
					return lostAnswer()
				}
				return nil
			}
			_, err := apply(kv, proposal(id, "anna", i+1))
			accepted[id] = err == nil
			denied[id] = err != nil && errkind.From(err).Verdict() == domain.RunNo
		}
		checkTrail(t, kv, accepted, denied)
	})
}

func checkTrail(t *rapid.T, kv *fakeKV, accepted, denied map[string]bool) {
	changes, err := lists.History(context.Background(), kv, 0)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for i, c := range changes {
		if want := domain.ListsVersion(len(changes) - i); c.Version != want {
			t.Fatalf("history[%d] is version %d, want %d", i, c.Version, want)
		}
		if seen[c.ID] || denied[c.ID] {
			t.Fatalf("change %s: twice %v, said to be refused %v", c.ID, seen[c.ID], denied[c.ID])
		}
		seen[c.ID] = true
	}
	for id, ok := range accepted {
		if ok && !seen[id] {
			t.Fatalf("the accepted change %s is not in the trail", id)
		}
	}
}
