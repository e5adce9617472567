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
