package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

type noLists struct{}

func (noLists) Current() *lists.Snapshot                                           { return nil }
func (noLists) CatchUp(context.Context, domain.ListsVersion, domain.NodeRef) error { return nil }

// TestExecuteWithoutListsIsRefused forwards with lists version zero, which is also the
// version of a node without lists.
func TestExecuteWithoutListsIsRefused(t *testing.T) {
	g := New(Deps{Lists: noLists{}, Accepting: func() bool { return true }, Now: time.Now})
	err := g.Execute(t.Context(), &ForwardedRequest{Repeatable: true}, discardAnswer{})
	if !errors.Is(err, errkind.Of(errkind.ListsUnavailable)) {
		t.Errorf("got error %v, want kind lists_unavailable", err)
	}
}
