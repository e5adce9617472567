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
	// orderTimeout limits the duration of a test.
	orderTimeout      = 40 * time.Second
	orderPollInterval = 50 * time.Millisecond
)

// startOrderFleet starts two nodes, and two engines with model "a"; the plan also
// includes model "b".
func startOrderFleet(t *testing.T) (*fleet.Fleet, context.Context) {
	t.Helper()
	place := domain.Place{Region: "north", FailureDomain: "north-a"}
	shortIntervals := func(c *node.Config) {
		o := orders.DefaultConfig("", 0, "")
		o.TTL, o.SendDeadline, o.RoundInterval = 3*time.Second, 500*time.Millisecond, time.Second
		o.AcquireInterval, o.AcquireStagger, o.MissingDuration = time.Second, time.Second, 0
		o.MaxModelsPerEngine = 2
		c.Orders = &o
	}
	ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
	t.Cleanup(cancel)
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{{Place: place, Nodes: 2, Engines: 2, Engine: enginesim.Config{Models: []string{"a"}, CheckFencing: true}}},
		Document: lists.Document{
			Customers: []lists.Customer{{ID: "c", Plan: "p", KeyHashes: []string{lists.HashKey(orderKey)}}},
			Regions:   []domain.Region{"north"},
			Plans:     []lists.Plan{{ID: "p", Models: []string{"a", "b"}, Regions: []domain.Region{"north"}}},
		},
		Adjust: shortIntervals,
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
			t.Fatalf("condition not met in time: %s", what)
		case <-time.After(orderPollInterval):
		}
	}
}

// requestModel requests a generation from a model and returns the status.
func requestModel(t *testing.T, n *fleet.Node, model string) int {
	t.Helper()
	body := strings.NewReader(`{"model":"` + model + `","messages":[{"role":"user","content":"hello"}],"max_tokens":4}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress+"/v1/chat/completions", body)
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
	resp, err := http.Get("http://" + n.AdminAddress + adminapi.StatusPath)
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

// TestMissingModelIsLoadedAndOrdererReplaced kills the orderer after its first order.
// The model must be loaded once, and the other node must become the orderer.
func TestMissingModelIsLoadedAndOrdererReplaced(t *testing.T) {
	f, ctx := startOrderFleet(t)
	await(t, ctx, "model b is served", func() bool { return requestModel(t, f.Nodes[0], "b") == http.StatusOK })
	received := 0
	for _, e := range f.Engines {
		received += len(e.Orders())
	}
	if received != 1 {
		t.Errorf("got %d orders for one missing model, want 1", received)
	}
	killed, remaining := f.Nodes[0], f.Nodes[1]
	if orderStatus(t, remaining).State != string(orders.Candidate) {
		killed, remaining = remaining, killed
	}
	first := orderStatus(t, killed)
	if first.State != string(orders.Ordering) || first.Orderer != killed.ID {
		t.Fatalf("got status %+v, want the node to be the orderer", first)
	}
	killed.Process.Kill()
	await(t, ctx, "the other node orders", func() bool { return orderStatus(t, remaining).State == string(orders.Ordering) })
	if second := orderStatus(t, remaining); second.Fencing <= first.Fencing || second.Orderer != remaining.ID {
		t.Errorf("got status %+v before and %+v after the failure, want a higher fencing token and the other node as the orderer", first, second)
	}
}
