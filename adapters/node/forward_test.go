package node_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

const (
	forwardedQuestion     = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	longForwardedQuestion = `{"model":"m","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"hello"}]}`
)

var far = domain.Place{Region: "south", FailureDomain: "south-a"}

// startFar starts a node without upstreams, and two nodes before one engine in
// another region.
func startFar(t *testing.T, engine enginesim.Config) (*fleet.Fleet, context.Context) {
	t.Helper()
	engine.Models = []string{"m"}
	ctx, cancel := context.WithTimeout(context.Background(), keysTimeout)
	t.Cleanup(cancel)
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{
			{Place: domain.Place{Region: "north", FailureDomain: "north-a"}, Nodes: 1},
			{Place: far, Nodes: 2, Engines: 1, Engine: engine},
		},
		Document: lists.Document{
			Regions:   []domain.Region{"north", "south"},
			Customers: []lists.Customer{{ID: "mill", Plan: "p", KeyHashes: []string{lists.HashKey("k")}}},
			Plans:     []lists.Plan{{ID: "p", Models: []string{"m"}, Regions: []domain.Region{"north", "south"}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, ctx
}

// TestDeadNodeDoesNotRuleOutItsFailureDomain kills one of two nodes of the only
// failure domain with engines, and asks through another domain at once.
func TestDeadNodeDoesNotRuleOutItsFailureDomain(t *testing.T) {
	f, ctx := startFar(t, enginesim.Config{})
	victim := f.NodeIn(far.FailureDomain)
	victim.Process.Kill()
	_ = victim.Wait()
	for i := range 12 {
		body, err := forwardedAnswer(ctx, f.Nodes[0].Caller)
		if err != nil || !bytes.HasSuffix(body, []byte("data: [DONE]\n\n")) {
			t.Errorf("request %d: %v %s", i, err, body)
		}
	}
}

// TestStreamGoesOnOverAnotherNodeWhenItsNodeDies kills, in mid-stream, the node
// that a generation is forwarded over. The engine that runs it is well.
func TestStreamGoesOnOverAnotherNodeWhenItsNodeDies(t *testing.T) {
	f, ctx := startFar(t, enginesim.Config{TimeScale: 1, DecodeTokensPerSecond: 20})
	resp, err := askForwarded(ctx, f.Nodes[0].Caller, longForwardedQuestion)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	start := make([]byte, 400)
	if n, err := io.ReadFull(resp.Body, start); err != nil {
		t.Fatalf("status %d, %v after %s", resp.StatusCode, err, start[:n])
	}
	killCarrier(t, f)
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%v after %s", err, rest[max(0, len(rest)-400):])
	}
	id := domain.RequestID(resp.Header.Get(callerapi.HeaderRequestID))
	want, err := f.Engines[0].Transcript(id, []byte(longForwardedQuestion))
	if err != nil {
		t.Fatal(err)
	}
	if got := append(start, rest...); !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, want %d:\n%s", len(got), len(want), got[max(0, len(got)-300):])
	}
}

// killCarrier kills the node of the far domain that carries the one stream.
func killCarrier(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		if n.Place == far && n.Process.InFlight() > 0 {
			n.Process.Kill()
			_ = n.Wait()
			return
		}
	}
	t.Fatal("no node of the far domain carries the stream")
}

func forwardedAnswer(ctx context.Context, address string) ([]byte, error) {
	resp, err := askForwarded(ctx, address, forwardedQuestion)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

func askForwarded(ctx context.Context, address, question string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(question))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer k")
	return http.DefaultClient.Do(req)
}
