package faulttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

// revocationBound is the default of bounds.revoke_ms.
const revocationBound = 5 * time.Second

// publishAccount stores the next version of a routing table with one account.
func (d *soakDeployment) publishAccount(keys ...string) {
	d.version++
	text, err := json.Marshal(map[string]any{
		"version": d.version,
		"routes": []any{map[string]any{"name": "keyed", "host": soakHost, "path_prefix": "/keyed/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"service": "app", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "app", "max_connections": 500}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "account", "api_keys": keys}},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put("op/config", text)
}

// sendWithKey makes a request on a new connection and returns the status, 0 without an answer.
func (n *soakNode) sendWithKey(id, key string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.entryAddress+"/keyed/1", nil)
	if err != nil {
		return 0
	}
	req.Host = soakHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: hangTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A node that is frozen when a key is removed must not honour it afterwards, also for a request
// that arrived while it was frozen. Its clocks and its table are those from before for a moment.
func TestFrozenNodeHonoursNoRemovedKey(t *testing.T) {
	t.Parallel()
	const removed, kept = "key-that-is-removed", "key-that-is-kept"
	store := storesim.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d := &soakDeployment{t: t, store: store, storeAddress: server.Listener.Addr().String()}
	d.publishAccount(removed, kept)
	d.addUpstream("app", "west", "u1")
	reserveProcesses(t, 1)
	d.addNode("west", 0, nil)
	n := d.nodes[0]
	n.start(t, nil)
	for round := range 3 {
		waitFor(t, "the key to be honoured", func() bool { return n.sendWithKey("probe", removed) == http.StatusOK })
		n.process().freeze()
		d.publishAccount(kept)
		time.Sleep(revocationBound + 100*time.Millisecond)
		const requests = 5
		statuses := make(chan int, requests)
		for i := range requests {
			go func() { statuses <- n.sendWithKey(fmt.Sprintf("late-%d-%d", round, i), removed) }()
		}
		time.Sleep(200 * time.Millisecond) // until the requests are in the node's sockets
		n.process().thaw()
		for range requests {
			if status := <-statuses; status != http.StatusServiceUnavailable && status != http.StatusUnauthorized {
				t.Errorf("a request that was sent with a key removed %v before got status %d, want 503 or 401", revocationBound+100*time.Millisecond, status)
			}
		}
		waitFor(t, "the remaining key to be honoured", func() bool { return n.sendWithKey("probe", kept) == http.StatusOK })
		waitFor(t, "the removed key to be rejected", func() bool { return n.sendWithKey("probe", removed) == http.StatusUnauthorized })
		d.publishAccount(removed, kept)
	}
	for id := range d.runs() {
		if strings.HasPrefix(id, "late-") {
			t.Errorf("request %s with the removed key has run", id)
		}
	}
	if log := n.process().out.String(); strings.Contains(log, removed) || strings.Contains(log, kept) {
		t.Error("the log of the node holds a key")
	}
}
