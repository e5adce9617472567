package callerapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

const (
	key         = "mill-key"
	model       = "assistant"
	maxBody     = 4 << 10
	maxHeader   = 4 << 10
	hangTimeout = 30 * time.Second
)

// startNode starts one node, one engine with one slot, and a service.
func startNode(t *testing.T) (*fleet.Fleet, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	f, err := fleet.StartReady(ctx, fleet.Config{
		Domains: []fleet.Domain{{
			Place: domain.Place{Region: "north", FailureDomain: "north-a"}, Nodes: 1, Engines: 1, Services: 1, Service: "ledger",
			Engine: enginesim.Config{Models: []string{model}, Slots: 1, DecodeTokensPerSecond: 20, TimeScale: 1},
		}},
		Document: lists.Document{
			Regions:   []domain.Region{"north"},
			Customers: []lists.Customer{{ID: "mill", Plan: "basic", KeyHashes: []string{lists.HashKey(key)}}},
			Plans:     []lists.Plan{{ID: "basic", Models: []string{model}, Services: []string{"ledger"}, Regions: []domain.Region{"north"}}},
			Services:  []lists.Service{{ID: "ledger"}},
		},
		Adjust: func(c *node.Config) {
			c.MaxBodyBytes, c.MaxHeaderBytes, c.HeaderTimeout = maxBody, maxHeader, 200*time.Millisecond
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, f.Nodes[0].CallerAddress
}

// waitFor waits until the condition holds, with a timeout only against hangs.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func chat(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, model, tokens)
}

// TestInvalidRequestsAreRefused sends requests that a node must refuse and checks that
// each gets an error of the expected kind with the verdict "no", and that nothing ran.
func TestInvalidRequestsAreRefused(t *testing.T) {
	f, address := startNode(t)
	long := strings.Repeat("x", 2*maxBody)
	cases := []struct {
		name, path, key, body string
		header                map[string]string
		status                int
		kind                  errkind.Kind
	}{
		{name: "malformed JSON", body: `{"model":`, status: 400, kind: errkind.BadRequest},
		{name: "JSON that is not an object", body: `[1,2]`, status: 400, kind: errkind.BadRequest},
		{name: "empty body", status: 400, kind: errkind.BadRequest},
		{name: "no model", body: `{"messages":[{"role":"user","content":"hi"}]}`, status: 400, kind: errkind.BadRequest},
		{name: "no messages", body: `{"model":"assistant"}`, status: 400, kind: errkind.BadRequest},
		{name: "negative length", body: `{"model":"assistant","max_tokens":-1,"messages":[{"role":"user","content":"hi"}]}`, status: 400, kind: errkind.BadRequest},
		{name: "binary", body: "\x00\xff\xfe", status: 400, kind: errkind.BadRequest},
		{name: "oversized body", body: `{"model":"` + long + `"}`, status: 413, kind: errkind.BodyTooLarge},
		{name: "oversized body of a service call", path: "/services/ledger/reserve", body: long, status: 413, kind: errkind.BodyTooLarge},
		{name: "unknown model", body: chat("other", 4), status: 403, kind: errkind.NotInPlan},
		{name: "unknown service", path: "/services/other/read", status: 403, kind: errkind.NotInPlan},
		{name: "wrong key", key: "wrong", body: chat(model, 4), status: 401, kind: errkind.Unauthenticated},
		{name: "no key", key: "-", body: chat(model, 4), status: 401, kind: errkind.Unauthenticated},
		{name: "wrong timeout", body: chat(model, 4), header: map[string]string{callerapi.HeaderTimeout: "soon"}, status: 400, kind: errkind.BadRequest},
		{name: "unknown path", path: "/v2/anything", status: 404, kind: errkind.NotFound},
		{name: "malformed operation ID", path: "/services/ledger/reserve", header: map[string]string{callerapi.HeaderOperationID: "op1.x"}, status: 400, kind: errkind.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, header, body := request(t, address, c.path, c.key, c.body, c.header)
			var got callerapi.ErrorBody
			if err := json.Unmarshal(body, &got); err != nil {
				t.Fatalf("got status %d and body %q, want a JSON error", status, body)
			}
			if status != c.status || got.Error.Kind != c.kind {
				t.Errorf("got %d %s (%s), want %d %s", status, got.Error.Kind, got.Error.Message, c.status, c.kind)
			}
			if got.Error.RequestID == "" || string(got.Error.RequestID) != header.Get(callerapi.HeaderRequestID) {
				t.Errorf("got request ID %q in the body and %q in the header, want them equal", got.Error.RequestID, header.Get(callerapi.HeaderRequestID))
			}
			if strings.Contains(got.Error.Message, key) {
				t.Error("the error message contains the caller's key")
			}
		})
	}
	if n := len(f.Engines[0].Executions()) + len(f.Services[0].Executions()); n != 0 {
		t.Errorf("got %d executions of refused requests, want 0", n)
	}
}

func request(t *testing.T, address, path, bearerKey, body string, header map[string]string) (int, http.Header, []byte) {
	t.Helper()
	if path == "" {
		path = "/v1/chat/completions"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	switch bearerKey {
	case "":
		req.Header.Set("Authorization", "Bearer "+key)
	case "-":
	default:
		req.Header.Set("Authorization", "Bearer "+bearerKey)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, text
}

// dial opens a raw connection with a deadline, so that the test cannot hang on it.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestOversizedHeaderIsRefused sends a header above the maximum size.
func TestOversizedHeaderIsRefused(t *testing.T) {
	_, address := startNode(t)
	conn := dial(t, address)
	go fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", 16*maxHeader))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got status %d, want 431", resp.StatusCode)
	}
}

// TestIncompleteHeaderClosesConnection sends a header that never ends.
func TestIncompleteHeaderClosesConnection(t *testing.T) {
	_, address := startNode(t)
	conn := dial(t, address)
	fmt.Fprint(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("got error %v, want the connection closed by the node", err)
	}
}

// TestTruncatedBodyRunsNothing closes the connection in the middle of a body.
func TestTruncatedBodyRunsNothing(t *testing.T) {
	f, address := startNode(t)
	for _, path := range []string{"/v1/chat/completions", "/services/ledger/reserve"} {
		conn := dial(t, address)
		body := chat(model, 4)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, 2*len(body), body)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if err != nil {
			t.Fatal(err)
		}
		if len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 400") {
			t.Errorf("%s: got response %q, want none or status 400", path, answer)
		}
	}
	if n := len(f.Engines[0].Executions()) + len(f.Services[0].Executions()); n != 0 {
		t.Errorf("got %d executions of requests with a truncated body, want 0", n)
	}
}

// TestDisconnectedCallerReleasesUpstream disconnects in the middle of a stream. The
// engine's only slot must serve the next caller long before the stream would end.
func TestDisconnectedCallerReleasesUpstream(t *testing.T) {
	f, address := startNode(t)
	const endless = 100_000 // tokens: hours at the engine's speed
	conn := dial(t, address)
	body := chat(model, endless)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	id := domain.RequestID(resp.Header.Get(callerapi.HeaderRequestID))
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	waitFor(t, "the engine's slot to be free", func() bool { return f.Engines[0].Load().Running == 0 })
	if got := f.Engines[0].Execution(id); got.Completed != 0 || got.Starts != 1 {
		t.Errorf("got %d starts and %d completions of the abandoned generation, want 1 and 0", got.Starts, got.Completed)
	}
	status, _, answer := request(t, address, "", "", chat(model, 2), nil)
	if status != http.StatusOK || !strings.HasSuffix(string(answer), "data: [DONE]\n\n") {
		t.Errorf("next caller: got status %d and body %q, want a complete stream", status, answer)
	}
}
