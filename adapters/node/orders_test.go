package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/orders"
)

const (
	orderKey = "key-for-orders"
	// orderBound keeps a test that fails from hanging.
	orderBound = 40 * time.Second
	orderPoll  = 50 * time.Millisecond
)

// startOrderFleet has two nodes and two engines with model "a"; the plan names
// "b" as well.
func startOrderFleet(t *testing.T) (*fleet.Fleet, context.Context) {
	t.Helper()
	place := domain.Place{Region: "north", FailureDomain: "north-a"}
	quick := func(c *node.Config) {
		o := orders.DefaultConfig("", 0, "")
		o.TTL, o.SendDeadline, o.RoundInterval = 3*time.Second, 500*time.Millisecond, time.Second
		o.LookInterval, o.LookStagger, o.MissingFor = time.Second, time.Second, 0
		o.MaxModelsPerEngine = 2
		c.Orders = &o
	}
	ctx, cancel := context.WithTimeout(t.Context(), orderBound)
	t.Cleanup(cancel)
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{{Place: place, Nodes: 2, Engines: 2, Engine: enginesim.Config{Models: []string{"a"}, ChecksFencing: true}}},
		Document: lists.Document{
			Customers: []lists.Customer{{ID: "c", Plan: "p", KeyHashes: []string{lists.HashKey(orderKey)}}},
			Regions:   []domain.Region{"north"},
			Plans:     []lists.Plan{{ID: "p", Models: []string{"a", "b"}, Regions: []domain.Region{"north"}}},
		},
		Adjust: quick,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, ctx
}

func await(t *testing.T, ctx context.Context, what string, done func() bool) {
	t.Helper()
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatalf("waited in vain until %s", what)
		case <-time.After(orderPoll):
		}
	}
}

func ask(t *testing.T, n *fleet.Node, model string) int {
	t.Helper()
	body := strings.NewReader(`{"model":"` + model + `","messages":[{"role":"user","content":"hello"}],"max_tokens":4}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Caller+"/v1/chat/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+orderKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func orderStatus(t *testing.T, n *fleet.Node) adminapi.Orders {
	t.Helper()
	resp, err := http.Get("http://" + n.Admin + adminapi.StatusPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var s adminapi.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	return s.Orders
}

// TestMissingModelIsLoadedAndOrdererReplaced kills the orderer after its first
// order; the model is loaded once, and the other node takes over.
func TestMissingModelIsLoadedAndOrdererReplaced(t *testing.T) {
	f, ctx := startOrderFleet(t)
	await(t, ctx, "model b is served", func() bool { return ask(t, f.Nodes[0], "b") == http.StatusOK })
	received := 0
	for _, e := range f.Engines {
		received += len(e.Orders())
	}
	if received != 1 {
		t.Errorf("%d orders for one missing model", received)
	}
	killed, left := f.Nodes[0], f.Nodes[1]
	if orderStatus(t, left).State != string(orders.Candidate) {
		killed, left = left, killed
	}
	first := orderStatus(t, killed)
	if first.State != string(orders.Ordering) || first.Orderer != killed.ID {
		t.Fatalf("status %+v", first)
	}
	killed.Process.Kill()
	await(t, ctx, "the other node orders", func() bool { return orderStatus(t, left).State == string(orders.Ordering) })
	if second := orderStatus(t, left); second.Fencing <= first.Fencing || second.Orderer != left.ID {
		t.Errorf("first %+v, second %+v", first, second)
	}
}
