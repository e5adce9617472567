package lists_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

func TestApplyWithLostResponse(t *testing.T) {
	failRead := func(string, *ports.KVEntry) error { return storeUnavailable() }
	staleRead := func(key string, e *ports.KVEntry) error {
		if key == lists.Key {
			*e = ports.KVEntry{Key: key, Revision: 1, Value: versionOne}
		}
		return nil
	}
	otherChanges := func(n int) func(kv *fakeKV) {
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
		delivered      bool
		beforeResponse func(kv *fakeKV)
		wantKind       errkind.Kind
		wantRun        domain.Run
	}{
		"the write took effect":                                           {delivered: true},
		"the write took effect, then another change":                      {delivered: true, beforeResponse: otherChanges(1)},
		"the write took effect and its change was evicted from the trail": {delivered: true, beforeResponse: otherChanges(80)},
		"the write is not visible":                                        {wantKind: errkind.StoreUnavailable, wantRun: domain.RunUnknown},
		"another write replaced the revision":                             {beforeResponse: otherChanges(1), wantKind: errkind.Conflict, wantRun: domain.RunNo},
		"the write took effect and the store became unavailable":          {delivered: true, beforeResponse: func(kv *fakeKV) { kv.onGet = failRead }, wantKind: errkind.StoreUnavailable, wantRun: domain.RunUnknown},
		"the write took effect and the store serves stale data":           {delivered: true, beforeResponse: func(kv *fakeKV) { kv.onGet = staleRead }, wantKind: errkind.StoreUnavailable, wantRun: domain.RunUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			mustApply(t, kv, "c1", 1)
			mustApply(t, kv, "c2", 2)
			before := kv.swaps[lists.Key]
			attempts := 0
			loseResponse := failOnce(lists.Key, func() error {
				attempts = kv.swaps[lists.Key] - before
				if test.beforeResponse != nil {
					test.beforeResponse(kv)
				}
				return responseLost()
			})
			if test.delivered {
				kv.afterSwap = loseResponse
			} else {
				kv.beforeSwap = loseResponse
			}
			outcome, err := apply(kv, proposal("mine", "anna", 3))
			if test.wantKind != "" {
				wantKind(t, err, test.wantKind, test.wantRun)
			} else if err != nil || !outcome.ReadBack || outcome.Change.ID != "mine" {
				t.Fatalf("Apply = %+v, %v, want the change read back", outcome, err)
			}
			if test.delivered && attempts != 1 {
				t.Errorf("got %d writes of the change, want 1", attempts)
			}
		})
	}
}

// versionOne is a stored value of an earlier revision.
var versionOne = []byte(`{"version":1,"change":{"id":"c1","version":1}}`)

func TestWriteDuplicatedByTransportIsNotAConflict(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	duplicating := &duplicatingKV{fakeKV: kv}
	outcome, err := apply(duplicating, proposal("c2", "anna", 2))
	if err != nil || !outcome.ReadBack || outcome.Change.Version != 2 {
		t.Fatalf("Apply = %+v, %v, want the change read back", outcome, err)
	}
	wantHistory(t, kv, []string{"c1", "c2"})
}

// duplicatingKV sends each write twice and returns the second response.
type duplicatingKV struct{ *fakeKV }

func (k *duplicatingKV) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, lease ports.LeaseID) (ports.KVEntry, error) {
	_, _ = k.fakeKV.CompareAndSwap(ctx, key, prev, value, lease)
	return k.fakeKV.CompareAndSwap(ctx, key, prev, value, lease)
}

func TestApplyWithStoreUnavailableWritesNothing(t *testing.T) {
	kv := newFakeKV()
	kv.onGet = func(string, *ports.KVEntry) error { return storeUnavailable() }
	_, err := apply(kv, proposal("c1", "anna", 1))
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
	kv.onGet = nil
	kv.beforeSwap = func(string) error { return storeUnavailable() }
	_, err = apply(kv, proposal("c1", "anna", 1))
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
	if kv.revision != 0 {
		t.Fatal("a change was written while the store was unavailable")
	}
}

// No change is lost if the process crashes between the move of a change to its own
// key and the write of the lists, or if the responses to these writes are lost.
func TestCrashBetweenHistoryAndListsLosesNoChange(t *testing.T) {
	faults := map[string]func(kv *fakeKV, fail func() error){
		"before the history key":            func(kv *fakeKV, fail func() error) { kv.beforeSwap = failOnce(lists.HistoryKey(1), fail) },
		"after the history key":             func(kv *fakeKV, fail func() error) { kv.beforeSwap = failOnce(lists.Key, fail) },
		"response for the history key lost": func(kv *fakeKV, fail func() error) { kv.afterSwap = failOnce(lists.HistoryKey(1), fail) },
		"write of the history key lost":     func(kv *fakeKV, fail func() error) { kv.beforeSwap = failOnce(lists.HistoryKey(1), responseLost) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			// Version 34 moves the first change to its own key. Starting with one
			// extra change makes the apply with the injected fault write that version.
			mustApply(t, kv, "c0", 1)
			ids := []string{"c0"}
			for round := 1; len(kv.entries) <= 1; round++ {
				id := fmt.Sprintf("c%d", round)
				inject(kv, storeUnavailable)
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

func TestHistoryKeyOfAnotherChangeFailsApply(t *testing.T) {
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
	t.Fatal("apply did not fail although the history key contains another change")
}

// With any combination of faults the versions have no gaps, and the trail contains
// each accepted change exactly once.
func TestRandomFaultsKeepTrailComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV()
		fault := func(label string) func(string) error {
			return func(string) error {
				switch rapid.IntRange(0, 9).Draw(t, label) {
				case 0:
					return responseLost()
				case 1:
					return storeUnavailable()
				}
				return nil
			}
		}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		accepted := make(map[string]bool)
		notApplied := make(map[string]bool)
		for i := range steps {
			id := fmt.Sprintf("c%d", i)
			kv.beforeSwap = fault("before")
			kv.afterSwap = func(string) error {
				if rapid.IntRange(0, 9).Draw(t, "after") == 0 {
					return responseLost()
				}
				return nil
			}
			_, err := apply(kv, proposal(id, "anna", i+1))
			accepted[id] = err == nil
			notApplied[id] = err != nil && errkind.From(err).Verdict() == domain.RunNo
		}
		checkHistory(t, kv, accepted, notApplied)
	})
}

func checkHistory(t *rapid.T, kv *fakeKV, accepted, notApplied map[string]bool) {
	changes, err := lists.History(context.Background(), kv, 0)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for i, c := range changes {
		if want := domain.ListsVersion(len(changes) - i); c.Version != want {
			t.Fatalf("history[%d] is version %d, want %d", i, c.Version, want)
		}
		if seen[c.ID] || notApplied[c.ID] {
			t.Fatalf("change %s in the history: duplicate %v, reported as not applied %v", c.ID, seen[c.ID], notApplied[c.ID])
		}
		seen[c.ID] = true
	}
	for id, ok := range accepted {
		if ok && !seen[id] {
			t.Fatalf("the accepted change %s is not in the trail", id)
		}
	}
}
