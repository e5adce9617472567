package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

const (
	testTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// booking is a failure domain with two nodes and a service.
var booking = fleet.Domain{
	Place: domain.Place{Region: "north", FailureDomain: "north-a"}, Nodes: 2, Services: 1, Service: "booking", ServiceConfig: servicesim.Config{},
}

// startBooking starts a fleet with the failure domain booking only.
func startBooking(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{booking},
		Document: lists.Document{
			Regions:   []domain.Region{"north"},
			Customers: []lists.Customer{{ID: "mill", Plan: "p", KeyHashes: []string{lists.HashKey("k")}}},
			Plans:     []lists.Plan{{ID: "p", Services: []string{"booking"}, Regions: []domain.Region{"north"}}},
			Services: []lists.Service{{ID: "booking", Routes: []lists.Route{
				{Methods: []string{http.MethodPost}, PathPrefix: "/echo", Repeatable: true},
			}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// reserve makes a call with an idempotency key, unless key is empty.
func reserve(t *testing.T, n *fleet.Node, method, key string) (status int, run string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.CallerAddress+"/services/booking/vats", strings.NewReader("vat 7"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(callerapi.HeaderRun)
}

// waitFor polls until done, or fails the test after a timeout.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// TestKeyOfCallThatDidNotRunIsReusable makes a call with an idempotency key while the
// service is unavailable, and repeats it through another node once it is available.
func TestKeyOfCallThatDidNotRunIsReusable(t *testing.T) {
	f := startBooking(t)
	service := f.Services[0]
	draining := f.VM(service.ID)
	draining.Leaving = true
	f.Platform.UpdateVM(draining)
	for _, n := range f.Nodes {
		waitFor(t, "a call is refused while the service is draining", func() bool {
			status, _ := reserve(t, n, http.MethodGet, "")
			return status == http.StatusServiceUnavailable
		})
	}
	if status, run := reserve(t, f.Nodes[0], http.MethodPost, "order-1"); status == http.StatusOK || run != string(domain.RunNo) {
		t.Fatalf("got status %d and run %q, want a refusal and run no", status, run)
	}
	if err := f.AddService(booking, 1); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the service is available again", func() bool {
		status, _ := reserve(t, f.Nodes[1], http.MethodGet, "")
		return status == http.StatusOK
	})
	for range 2 {
		if status, run := reserve(t, f.Nodes[1], http.MethodPost, "order-1"); status != http.StatusOK || run != string(domain.RunYes) {
			t.Errorf("got status %d and run %q, want 200 and run yes", status, run)
		}
	}
	posts := 0
	for _, s := range f.Services {
		for _, e := range s.Executions() {
			if e.Method == http.MethodPost {
				posts += e.Count
			}
		}
	}
	if posts != 1 {
		t.Errorf("the call ran %d times, want 1", posts)
	}
}
