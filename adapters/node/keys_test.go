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
	keysTimeout = 30 * time.Second
	pollPause   = 20 * time.Millisecond
)

// booking is a failure domain with two nodes and a plain service.
var booking = fleet.Domain{
	Place: domain.Place{Region: "north", FailureDomain: "north-a"}, Nodes: 2, Services: 1, Service: "booking", ServiceConfig: servicesim.Config{},
}

// startBooking starts two nodes of one failure domain with a plain service.
func startBooking(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), keysTimeout)
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

func reserve(t *testing.T, n *fleet.Node, method, key string) (status int, run string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.Caller+"/services/booking/vats", strings.NewReader("vat 7"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotency, key)
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

// waitFor polls until done, bounded only against hanging.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(keysTimeout); !done(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			t.Fatalf("never saw: %s", what)
		}
	}
}

// TestKeyOfACallThatWasNotRunCanBeUsedAgain refuses a keyed call while the
// service is gone, and repeats it over another entry once it is back.
func TestKeyOfACallThatWasNotRunCanBeUsedAgain(t *testing.T) {
	f := startBooking(t)
	service := f.Services[0]
	leaving := f.VM(service.ID)
	leaving.Leaving = true
	f.Platform.UpdateVM(leaving)
	for _, n := range f.Nodes {
		waitFor(t, "a refusal while the service leaves", func() bool {
			status, _ := reserve(t, n, http.MethodGet, "")
			return status == http.StatusServiceUnavailable
		})
	}
	if status, run := reserve(t, f.Nodes[0], http.MethodPost, "order-1"); status == http.StatusOK || run != string(domain.RunNo) {
		t.Fatalf("status %d, run %q; want a refusal that was not run", status, run)
	}
	if err := f.AddService(booking, 1); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the service's return", func() bool {
		status, _ := reserve(t, f.Nodes[1], http.MethodGet, "")
		return status == http.StatusOK
	})
	for range 2 {
		if status, run := reserve(t, f.Nodes[1], http.MethodPost, "order-1"); status != http.StatusOK || run != string(domain.RunYes) {
			t.Errorf("status %d, run %q; want the call to run under its key", status, run)
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
		t.Errorf("the call ran %d times", posts)
	}
}
