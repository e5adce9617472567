package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/explain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/operations"
)

// narrowingNode refuses the first attempt and restricts the plan's regions before the
// second. It implements the gateway's lists, router, tracker, admission and observer.
type narrowingNode struct {
	lists  []*lists.Snapshot
	routed [][]domain.Region
}

func (n *narrowingNode) Current() *lists.Snapshot { return n.lists[0] }

func (n *narrowingNode) CatchUp(context.Context, domain.ListsVersion, domain.NodeRef) error {
	return nil
}

// Route records the regions that the plan allows.
func (n *narrowingNode) Route(req RouteRequest) (Choice, error) {
	n.routed = append(n.routed, slices.Clone(req.Access.Plan.Regions))
	if len(n.routed) > 1 {
		return Choice{}, errkind.New(errkind.NoCapacity, "none left")
	}
	return Choice{Upstream: &domain.UpstreamRef{ID: "a", Place: domain.Place{Region: "north"}}}, nil
}

func (n *narrowingNode) OtherNode(domain.FailureDomain, []domain.NodeID) (domain.NodeRef, bool) {
	return domain.NodeRef{}, false
}

func (n *narrowingNode) Start(domain.UpstreamID, Work) (Progress, error) {
	n.lists = n.lists[1:]
	return nil, errkind.New(errkind.NoCapacity, "draining")
}

func (n *narrowingNode) StartForward(domain.NodeRef, Work) (Progress, error) {
	panic("unexpected forward")
}

func (n *narrowingNode) Admit(context.Context, AdmitRequest) (Grant, error) { return n, nil }
func (n *narrowingNode) AllowRetry() bool                                   { return true }
func (n *narrowingNode) Dispatched()                                        {}
func (n *narrowingNode) Release(int)                                        {}
func (n *narrowingNode) Finished(Outcome)                                   {}

func compileLists(t *testing.T, version domain.ListsVersion, regions ...domain.Region) *lists.Snapshot {
	t.Helper()
	s, err := lists.Compile(&lists.Versioned{
		Version: version, Change: lists.Change{Version: version},
		Document: lists.Document{
			Customers: []lists.Customer{{ID: "mill", Plan: "basic", KeyHashes: []string{lists.HashKey("key")}}},
			Regions:   []domain.Region{"north", "south"},
			Plans:     []lists.Plan{{ID: "basic", Services: []string{"ledger"}, Regions: regions}},
			Services:  []lists.Service{{ID: "ledger"}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

type discardAnswer struct{}

func (discardAnswer) WriteHead(answer.Head) error { return nil }
func (discardAnswer) WriteChunk([]byte) error     { return nil }

// TestOperationRetryUsesCurrentLists removes a region from a plan between two attempts
// of a non-repeatable call. The second attempt must be routed by the new lists.
func TestOperationRetryUsesCurrentLists(t *testing.T) {
	node := &narrowingNode{lists: []*lists.Snapshot{compileLists(t, 1, "north", "south"), compileLists(t, 2, "north")}}
	issuer, err := operations.NewIssuer("n1", 1, time.Now(), operations.DefaultIssuerConfig())
	if err != nil {
		t.Fatal(err)
	}
	g := New(Deps{
		Self: domain.NodeRef{ID: "n1", Incarnation: 1}, Lists: node, Router: node, Tracker: node, Operations: issuer,
		Admission: node, Observer: node, Explain: explain.NewLog(1), Log: event.Discard{}, Now: time.Now,
	})
	err = g.Serve(context.Background(), &Request{
		ID: "r1", BearerKey: "key", Target: domain.Target{Kind: domain.TargetService, Name: "ledger"}, Method: "POST", Path: "/reserve",
	}, discardAnswer{})
	if errkind.From(err) == nil || errkind.From(err).Verdict() != domain.RunNo {
		t.Errorf("got %v, want a refusal with verdict no", err)
	}
	if want := []domain.Region{"north"}; len(node.routed) != 2 || !slices.Equal(node.routed[1], want) {
		t.Errorf("got attempts routed with regions %v, want the second with %v", node.routed, want)
	}
}
