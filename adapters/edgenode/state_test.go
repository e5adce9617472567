package edgenode

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
)

// TestPeerEvacuationsAreAppliedAtConfirmedRevision: a node that bootstraps from its
// peers may receive the store's revision before the evacuations. It must still apply
// these, because it does not serve without them.
func TestPeerEvacuationsAreAppliedAtConfirmedRevision(t *testing.T) {
	now := time.Now()
	s := newState(nil, instances.NewCatalog(instances.Options{}), event.Discard{})
	s.confirmOperator(5, now)
	s.adoptPeerOperator(now, mesh.OperatorDocuments{})
	if s.hasEvacuated {
		t.Error("evacuations were applied from a node that has none")
	}
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: mesh.Position{Revision: 5}, Evacuated: []domain.FailureDomain{"west-a"}})
	if !s.hasEvacuated || !s.evacuated["west-a"] {
		t.Error("evacuations of the confirmed revision were not applied")
	}
	s.adoptPeerOperator(now, mesh.OperatorDocuments{Position: mesh.Position{Revision: 4}})
	if !s.evacuated["west-a"] {
		t.Error("evacuations of an older revision were applied")
	}
}
