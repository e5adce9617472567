package edgenode

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
)

// TestEvacuationsAreAdoptedAtARevisionThatIsReached: a node that starts from its
// peers may hear of the store's revision before it has the evacuations; without
// these it does not serve.
func TestEvacuationsAreAdoptedAtARevisionThatIsReached(t *testing.T) {
	now := time.Now()
	s := newState(nil, instances.NewCatalog(instances.Options{}), event.Discard{})
	s.operatorReached(5, now)
	s.operatorFromPeer(now, mesh.OperatorDocuments{})
	if s.knowsEvacuated {
		t.Error("evacuations were taken over from a node that knows none")
	}
	s.operatorFromPeer(now, mesh.OperatorDocuments{Known: mesh.Position{Revision: 5}, Evacuated: []domain.FailureDomain{"west-a"}})
	if !s.knowsEvacuated || !s.evacuated["west-a"] {
		t.Error("evacuations as of the revision that is reached were not taken over")
	}
	s.operatorFromPeer(now, mesh.OperatorDocuments{Known: mesh.Position{Revision: 4}})
	if !s.evacuated["west-a"] {
		t.Error("older evacuations were taken over")
	}
}
