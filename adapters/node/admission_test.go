package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

const readyTimeout = 30 * time.Second

// startWithLimits starts a node with one engine and a plan with limits.
func startWithLimits(t *testing.T, slots int, l lists.Limits) *fleet.Fleet {
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{{
			Place: domain.Place{Region: "r", FailureDomain: "r-a"}, Nodes: 1, Engines: 1,
			Engine: enginesim.Config{Models: []string{"m"}, Slots: slots, DecodeTokensPerSecond: 1, TimeScale: 1},
		}},
		Document: lists.Document{
			Regions:   []domain.Region{"r"},
			Customers: []lists.Customer{{ID: "c", Plan: "p", KeyHashes: []string{lists.HashKey("k")}}},
			Plans:     []lists.Plan{{ID: "p", Models: []string{"m"}, Regions: []domain.Region{"r"}, Limits: l}},
		},
		Adjust: func(c *node.Config) { c.Admission.ShortWait = 100 * time.Millisecond },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// limitClient limits the time until an answer begins. It doesn't limit the time for which
// an answer is held open: a held request that ends makes room for another one.
var limitClient = &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: readyTimeout}}

// requestTokens requests a generation of at most the given number of tokens, which is held
// open until its body is closed.
func requestTokens(t *testing.T, f *fleet.Fleet, tokens string) *http.Response {
	t.Helper()
	body := `{"model":"m","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"q"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.Nodes[0].CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := limitClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestRequestBeyondLimitIsRefused holds requests open and makes one more request.
func TestRequestBeyondLimitIsRefused(t *testing.T) {
	for _, c := range []struct {
		name       string
		slots      int
		limits     lists.Limits
		held       int
		tokens     string
		status     int
		kind       errkind.Kind
		retryAfter bool
	}{
		{"limit of concurrency", 8, lists.Limits{Concurrency: 2}, 2, "200", http.StatusTooManyRequests, errkind.LimitExceeded, true},
		{"limit of tokens", 8, lists.Limits{TokensPerSecond: 10}, 1, "200", http.StatusTooManyRequests, errkind.LimitExceeded, true},
		{"no free slot", 2, lists.Limits{}, 2, "200", http.StatusServiceUnavailable, errkind.Overloaded, true},
		{"too many tokens", 8, lists.Limits{MaxOutputTokens: 100}, 0, "200", http.StatusBadRequest, errkind.BadRequest, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startWithLimits(t, c.slots, c.limits)
			for range c.held {
				resp := requestTokens(t, f, c.tokens)
				defer resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Fatalf("got status %s for a request within the limits, want 200", resp.Status)
				}
			}
			resp := requestTokens(t, f, c.tokens)
			defer resp.Body.Close()
			var text []byte
			if resp.StatusCode != http.StatusOK {
				text, _ = io.ReadAll(resp.Body)
			}
			h := resp.Header
			if resp.StatusCode != c.status || h.Get("Crocusspread-Error-Kind") != string(c.kind) || h.Get("Crocusspread-Run") != string(domain.RunNo) {
				t.Errorf("got status %s, kind %q, run %q and body %s, want the status and kind of the limit and run no", resp.Status, h.Get("Crocusspread-Error-Kind"), h.Get("Crocusspread-Run"), text)
			}
			if (h.Get("Retry-After") != "") != c.retryAfter {
				t.Errorf("got Retry-After %q, want it only for refusals that may succeed later", h.Get("Retry-After"))
			}
			if n := len(f.Engines[0].Executions()); n != c.held {
				t.Errorf("got %d requests run by the engine, want %d", n, c.held)
			}
		})
	}
}
