package node_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
)

const forwardedQuestion = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`

// TestDeadNodeDoesNotRuleOutItsFailureDomain kills one of two nodes of the only
// failure domain with engines, and asks through another domain at once.
func TestDeadNodeDoesNotRuleOutItsFailureDomain(t *testing.T) {
	far := domain.Place{Region: "south", FailureDomain: "south-a"}
	f, err := fleet.Start(fleet.Config{
		Domains: []fleet.Domain{
			{Place: domain.Place{Region: "north", FailureDomain: "north-a"}, Nodes: 1},
			{Place: far, Nodes: 2, Engines: 1, Engine: enginesim.Config{Models: []string{"m"}}},
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
	ctx, cancel := context.WithTimeout(context.Background(), keysTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
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

func forwardedAnswer(ctx context.Context, address string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(forwardedQuestion))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
