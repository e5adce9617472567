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
	forwardedBody     = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	longForwardedBody = `{"model":"m","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"hello"}]}`
)

var remote = domain.Place{Region: "south", FailureDomain: "south-a"}

// startRemote starts a node without upstreams, and two nodes with one engine in another
// region.
func startRemote(t *testing.T, engine enginesim.Config) (*fleet.Fleet, context.Context) {
	t.Helper()
	engine.Models = []string{"m"}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{
			{Place: domain.Place{Region: "north", FailureDomain: "north-a"}, Nodes: 1},
			{Place: remote, Nodes: 2, Engines: 1, Engine: engine},
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

// TestFailedNodeDoesNotExcludeItsFailureDomain kills one of two nodes of the only
// failure domain with engines, and immediately makes requests through another one.
func TestFailedNodeDoesNotExcludeItsFailureDomain(t *testing.T) {
	f, ctx := startRemote(t, enginesim.Config{})
	failed := f.NodeIn(remote.FailureDomain)
	failed.Process.Kill()
	_ = failed.Wait()
	for i := range 12 {
		body, err := forwardedResponse(ctx, f.Nodes[0].CallerAddress)
		if err != nil || !bytes.HasSuffix(body, []byte("data: [DONE]\n\n")) {
			t.Errorf("request %d: got error %v and body %s, want a complete stream", i, err, body)
		}
	}
}

// TestStreamContinuesThroughAnotherNodeAfterNodeFailure kills, in mid-stream, the node
// through which a generation is forwarded. The engine that runs it remains available.
func TestStreamContinuesThroughAnotherNodeAfterNodeFailure(t *testing.T) {
	f, ctx := startRemote(t, enginesim.Config{TimeScale: 1, DecodeTokensPerSecond: 20})
	resp, err := requestForwarded(ctx, f.Nodes[0].CallerAddress, longForwardedBody)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	start := make([]byte, 400)
	if n, err := io.ReadFull(resp.Body, start); err != nil {
		t.Fatalf("got status %d and error %v after body %s, want the start of a stream", resp.StatusCode, err, start[:n])
	}
	killForwardingNode(t, f)
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("got error %v after body %s, want a complete stream", err, rest[max(0, len(rest)-400):])
	}
	id := domain.RequestID(resp.Header.Get(callerapi.HeaderRequestID))
	want, err := f.Engines[0].ExpectedStream(id, []byte(longForwardedBody))
	if err != nil {
		t.Fatal(err)
	}
	if got := append(start, rest...); !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, want the %d of the transcript:\n%s", len(got), len(want), got[max(0, len(got)-300):])
	}
}

// killForwardingNode kills the node of the remote domain that forwards the stream.
func killForwardingNode(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		if n.Place == remote && n.Process.InFlight() > 0 {
			n.Process.Kill()
			_ = n.Wait()
			return
		}
	}
	t.Fatal("no node of the remote domain has a request in flight")
}

func forwardedResponse(ctx context.Context, address string) ([]byte, error) {
	resp, err := requestForwarded(ctx, address, forwardedBody)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

func requestForwarded(ctx context.Context, address, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer k")
	return http.DefaultClient.Do(req)
}
