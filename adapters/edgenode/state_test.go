package edgenode

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/ports"
)

// TestPeerEvacuationsAreAppliedAtConfirmedRevision: a node that bootstraps from its
// peers may receive the store's revision before the evacuations. It must still apply
// these, because it does not serve without them.
func TestPeerEvacuationsAreAppliedAtConfirmedRevision(t *testing.T) {
	now := time.Now()
	s := newState(nil, instances.NewCatalog(instances.Options{}), event.Discard{})
	s.confirmOperator(ports.StorePosition{Revision: 5}, now)
	s.adoptPeerOperator(now, mesh.OperatorDocuments{})
	if s.hasEvacuated {
		t.Error("evacuations were applied from a node that has none")
	}
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: at(0, 5), Evacuated: []domain.FailureDomain{"west-a"}})
	if !s.hasEvacuated || !s.evacuated["west-a"] {
		t.Error("evacuations of the confirmed revision were not applied")
	}
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: at(0, 4)})
	if !s.evacuated["west-a"] {
		t.Error("evacuations of an older revision were applied")
	}
}

func at(era, revision uint64) mesh.Position {
	return mesh.Position{StorePosition: ports.StorePosition{Era: era, Revision: revision}}
}

// TestStateOfAFormerEraIsNotAdopted: a node that has missed a restoration of the store is at a
// higher revision.
func TestStateOfAFormerEraIsNotAdopted(t *testing.T) {
	now := time.Now()
	evacuated := []domain.FailureDomain{"west-a"}
	s := newState(nil, instances.NewCatalog(instances.Options{}), event.Discard{})
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: at(2, 5)})
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: at(1, 9), Evacuated: evacuated})
	s.adoptPeerEntries(now, mesh.UpstreamEntries{Position: at(2, 5)})
	if len(s.evacuated) > 0 || s.adoptPeerEntries(now, mesh.UpstreamEntries{Position: at(1, 9)}) {
		t.Error("state of a former era was adopted for its higher revision")
	}
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: at(3, 1), Evacuated: evacuated})
	if !s.evacuated["west-a"] || !s.adoptPeerEntries(now, mesh.UpstreamEntries{Position: at(3, 1)}) {
		t.Error("state of a later era was not adopted for its lower revision")
	}
}

func TestPositionFollowsTheEra(t *testing.T) {
	now := time.Now()
	var s syncPosition
	for _, p := range []struct {
		era, revision uint64
		advances      bool
	}{{1, 9, true}, {1, 8, false}, {2, 3, true}, {1, 10, false}, {2, 4, true}} {
		before := s.at
		s.advance(at(p.era, p.revision).StorePosition, now)
		if advanced := s.at != before; advanced != p.advances {
			t.Errorf("era %d, revision %d: got position %v after %v, want it to advance: %v", p.era, p.revision, s.at, before, p.advances)
		}
		now = now.Add(time.Second)
	}
	if !s.behind(mesh.Position{StorePosition: ports.StorePosition{Era: 3, Revision: 1}, Digest: 1}) || s.behind(mesh.Position{StorePosition: ports.StorePosition{Era: 1, Revision: 99}, Digest: 1}) {
		t.Error("a position of a former era counts as later, or one of a later era does not")
	}
}

func TestListOfAFormerEraIsDropped(t *testing.T) {
	e := newStoreEra(event.Discard{}, func(time.Time) {})
	for _, o := range []struct {
		era  uint64
		want bool
	}{{1, true}, {1, true}, {2, true}, {1, false}, {2, true}} {
		if got := e.observe(o.era, "store"); got != o.want {
			t.Errorf("era %d: got %v, want %v", o.era, got, o.want)
		}
	}
}

// TestEvacuationMissingAfterARestorationEndsInTime: no later message of the store is needed.
func TestEvacuationMissingAfterARestorationEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newState(nil, instances.NewCatalog(instances.Options{}), event.Discard{})
		both := map[domain.FailureDomain]bool{"west-a": true, "west-b": true}
		s.listEvacuated(time.Now(), both, "store")
		s.markRestored(time.Now())
		s.listEvacuated(time.Now(), map[domain.FailureDomain]bool{}, "store")
		if got := inForce(s); !maps.Equal(got, both) || len(s.operatorDocuments(0).Evacuated) > 0 {
			t.Errorf("after the restoration: got %v in force and %v as in the store, want %v and none", got, s.operatorDocuments(0).Evacuated, both)
		}
		s.changeEvacuated(time.Now(), map[domain.FailureDomain]bool{"west-a": false}, "store")
		if got := inForce(s); got["west-a"] || !got["west-b"] {
			t.Errorf("after the end of one: got %v in force, want only the other", got)
		}
		time.Sleep(evacuationRetention + time.Millisecond)
		synctest.Wait()
		if got := inForce(s); len(got) > 0 {
			t.Errorf("after %v: got %v in force, want none", evacuationRetention, got)
		}
	})
}

func inForce(s *state) map[domain.FailureDomain]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.inForce)
}
