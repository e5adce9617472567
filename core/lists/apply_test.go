package lists_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
)

// document returns lists whose only plan has the given concurrency limit.
func document(limit int) lists.Document {
	return lists.Document{
		Customers: []lists.Customer{{ID: "mill", Plan: "design", KeyHashes: []string{lists.HashKey("k")}}},
		Regions:   []domain.Region{"sofia", "frankfurt"},
		Plans: []lists.Plan{{ID: "design", Models: []string{"weave-model"}, Regions: []domain.Region{"sofia"},
			Limits: lists.Limits{Concurrency: limit}}},
	}
}

func proposal(id, author string, limit int) lists.Proposal {
	return lists.Proposal{ChangeID: id, Author: author, Reason: "because of " + id, Time: testTime, Document: document(limit)}
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
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
	if got := errkind.From(err).Verdict(); got != run {
		t.Fatalf("verdict of %v is %q, want %q", err, got, run)
	}
}

// wantHistory checks that the audit trail consists of the changes with these ids, as
// versions 1 to n.
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
			t.Fatalf("history[%d] is version %d of change %s, want version %d of change %s", i, c.Version, c.ID, n, ids[n-1])
		}
	}
}

func TestApplyIncrementsVersionAndRetainsTrail(t *testing.T) {
	kv := newFakeKV()
	var ids []string
	for i := range 250 {
		ids = append(ids, fmt.Sprintf("c%d", i))
		outcome := mustApply(t, kv, ids[i], i)
		if outcome.Change.Version != domain.ListsVersion(i+1) {
			t.Fatalf("apply %d returned version %d", i, outcome.Change.Version)
		}
	}
	wantHistory(t, kv, ids)
	latest, err := lists.History(context.Background(), kv, 40)
	if err != nil || len(latest) != 40 || latest[39].Version != 211 {
		t.Fatalf("History with limit 40 returned %d changes, error %v; want versions 250 to 211", len(latest), err)
	}
}

func TestApplyOfUnchangedListsWritesNothing(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	outcome := mustApply(t, kv, "c2", 1)
	if !outcome.Unchanged || outcome.Change.ID != "c1" || kv.swaps[lists.Key] != 1 {
		t.Fatalf("Apply = %+v after %d writes, want c1 unchanged after 1 write", outcome, kv.swaps[lists.Key])
	}
}

func TestConcurrentApplyConflictNamesAuthorAndDifference(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	kv.beforeSwap = failOnce(lists.Key, func() error {
		_, err := apply(kv, proposal("c2", "boris", 2))
		return err
	})
	_, err := apply(kv, proposal("c3", "anna", 3))
	wantKind(t, err, errkind.Conflict, domain.RunNo)
	for _, part := range []string{"version 1 to 2", "boris", "because of c2", "limits.concurrency: 1 -> 2"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("the conflict error does not contain %q: %v", part, err)
		}
	}
	wantHistory(t, kv, []string{"c1", "c2"})
}

func TestConcurrentApplyConflictsWhileReadsAreStale(t *testing.T) {
	kv := newFakeKV()
	mustApply(t, kv, "c1", 1)
	old := kv.entries[lists.Key]
	kv.beforeSwap = failOnce(lists.Key, func() error {
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

func TestApplyOnOlderBaseConflicts(t *testing.T) {
	kv := newFakeKV()
	base := mustApply(t, kv, "c1", 1).Change.Version
	mustApply(t, kv, "c2", 2)
	p := proposal("c3", "boris", 3)
	p.Base = &base
	_, err := apply(kv, p)
	wantKind(t, err, errkind.Conflict, domain.RunNo)
	c, ok := lists.ConflictOf(err)
	if !ok || len(c.Changes) != 1 || c.Changes[0].ID != "c2" {
		t.Fatalf("got conflict %+v, want only change c2", c)
	}
	wantHistory(t, kv, []string{"c1", "c2"})
}

func TestConcurrentApplyAcceptsOneChangePerVersion(t *testing.T) {
	kv := newFakeKV()
	const operators = 16
	accepted := make(chan string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			id := fmt.Sprintf("c%d", i)
			outcome, err := apply(kv, proposal(id, "op", i+1))
			switch {
			case err == nil:
				accepted <- outcome.Change.ID
			case !errors.Is(err, errkind.Of(errkind.Conflict)):
				t.Error(err)
			}
		})
	}
	wg.Wait()
	close(accepted)
	changes, err := lists.History(context.Background(), kv, 0)
	if err != nil || len(changes) != len(accepted) || len(accepted) == 0 {
		t.Fatalf("%d accepted changes, %d changes in the history, error %v", len(accepted), len(changes), err)
	}
	inHistory := make(map[string]bool)
	for _, c := range changes {
		inHistory[c.ID] = true
	}
	for id := range accepted {
		if !inHistory[id] {
			t.Errorf("the accepted change %s is not in the history", id)
		}
	}
}

func TestListsAboveMaxDocumentBytesAreRejected(t *testing.T) {
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
		t.Errorf("the error does not contain the limit: %v", err)
	}
	wantHistory(t, kv, []string{"c1"})
}

// Lists near MaxDocumentBytes leave little space for the trail, so that changes are
// moved to their own keys early.
func TestListsNearMaxDocumentBytesRetainHistory(t *testing.T) {
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
			t.Fatalf("the stored value has %d bytes, more than MaxDocumentBytes", size)
		}
	}
	wantHistory(t, kv, ids)
}

func TestInvalidProposalsAreRejected(t *testing.T) {
	tests := map[string]func(p *lists.Proposal){
		"no author":      func(p *lists.Proposal) { p.Author = " " },
		"no reason":      func(p *lists.Proposal) { p.Reason = "" },
		"long reason":    func(p *lists.Proposal) { p.Reason = strings.Repeat("r", 2000) },
		"no change id":   func(p *lists.Proposal) { p.ChangeID = "" },
		"unknown region": func(p *lists.Proposal) { p.Document.Plans[0].Regions = []domain.Region{"atlantis"} },
		"unknown plan":   func(p *lists.Proposal) { p.Document.Customers[0].Plan = "gold" },
	}
	for name, mutate := range tests {
		t.Run(name, func(t *testing.T) {
			kv := newFakeKV()
			p := proposal("c1", "anna", 1)
			mutate(&p)
			_, err := apply(kv, p)
			wantKind(t, err, errkind.BadRequest, domain.RunNo)
			if kv.revision != 0 {
				t.Error("a rejected proposal was written")
			}
		})
	}
}

func TestApplyAfterStoreLossContinuesAboveBaseVersion(t *testing.T) {
	kv := newFakeKV()
	base := domain.ListsVersion(41)
	p := proposal("c1", "anna", 1)
	p.Base = &base
	outcome, err := apply(kv, p)
	if err != nil || outcome.Change.Version != 42 {
		t.Fatalf("Apply = %+v, %v, want version 42", outcome, err)
	}
}
