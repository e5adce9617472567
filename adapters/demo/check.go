package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/standin/fleet"
	"github.com/crocusspread/crocusspread/core/domain"
)

// checkTimeout is the time limit of each check.
const checkTimeout = 20 * time.Second

const chatRequestFormat = `{"model":"` + Model + `","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"How do I split a table?"}]}`

// client sends requests to a node with the key of a customer.
type client struct {
	base string
	key  string
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (c client) send(ctx context.Context, method, path string, header map[string]string, body string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: respBody}, err
}

func (r response) expect(status int, wantDomain domain.FailureDomain) error {
	if r.status != status {
		return fmt.Errorf("got status %d, want %d: %s", r.status, status, r.body)
	}
	if got := r.header.Get(callerapi.HeaderRanIn); got != string(wantDomain) {
		return fmt.Errorf("request ran in failure domain %q, want %q", got, wantDomain)
	}
	return nil
}

// Check sends a streaming chat request, a chat request that is forwarded to the
// other region, a service read and a non-repeatable call. It writes one result line
// for each to w and returns an error if any of them failed.
func Check(ctx context.Context, w io.Writer, f *fleet.Fleet) error {
	base := "http://" + f.NodeIn(northDomain).CallerAddress
	other := "http://" + f.NodeIn(southDomain).CallerAddress
	checks := []struct {
		name  string
		check func(ctx context.Context) error
	}{
		{"streamed chat", func(ctx context.Context) error { return checkStream(ctx, client{base, LocalKey}, northDomain) }},
		{"forwarded chat", func(ctx context.Context) error { return checkNonStreaming(ctx, client{base, SouthKey}, southDomain) }},
		{"service read", func(ctx context.Context) error { return checkServiceRead(ctx, client{base, LocalKey}) }},
		{"non-repeatable call", func(ctx context.Context) error { return checkOperation(ctx, f, base, other) }},
	}
	var failed error
	for _, c := range checks {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		start := time.Now()
		err := c.check(ctx)
		cancel()
		result := "ok"
		if err != nil {
			result = "FAILED: " + err.Error()
			failed = errors.Join(failed, fmt.Errorf("%s: %w", c.name, err))
		}
		fmt.Fprintf(w, "%-20s %8.1f ms  %s\n", c.name, float64(time.Since(start).Microseconds())/1000, result)
	}
	return failed
}

func checkStream(ctx context.Context, c client, wantDomain domain.FailureDomain) error {
	r, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", nil, fmt.Sprintf(chatRequestFormat, true))
	if err != nil {
		return err
	}
	if !bytes.HasSuffix(r.body, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("stream has no terminal event: %q", r.body)
	}
	return r.expect(http.StatusOK, wantDomain)
}

func checkNonStreaming(ctx context.Context, c client, wantDomain domain.FailureDomain) error {
	r, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", nil, fmt.Sprintf(chatRequestFormat, false))
	if err != nil {
		return err
	}
	if !json.Valid(r.body) {
		return fmt.Errorf("response is not valid JSON: %q", r.body)
	}
	return r.expect(http.StatusOK, wantDomain)
}

func checkServiceRead(ctx context.Context, c client) error {
	r, err := c.send(ctx, http.MethodGet, "/services/"+ServiceName+"/slots", nil, "")
	if err != nil {
		return err
	}
	return r.expect(http.StatusOK, northDomain)
}

// checkOperation sends a non-repeatable call through one entry node, repeats it
// through another and checks that it was executed once and that both responses are
// equal.
func checkOperation(ctx context.Context, f *fleet.Fleet, first, second string) error {
	opResponse, err := client{first, LocalKey}.send(ctx, http.MethodPost, "/v1/operations", nil, "")
	if err != nil {
		return err
	}
	var op struct {
		OperationID string `json:"operation_id"`
	}
	if err := json.Unmarshal(opResponse.body, &op); err != nil {
		return err
	}
	header := map[string]string{callerapi.HeaderOperationID: op.OperationID}
	var bodies [2][]byte
	for i, base := range []string{first, second} {
		r, err := client{base, LocalKey}.send(ctx, http.MethodPost, "/services/"+ServiceName+"/reserve", header, "vat 7")
		if err != nil {
			return err
		}
		if r.status != http.StatusOK {
			return fmt.Errorf("got status %d, want 200: %s", r.status, r.body)
		}
		bodies[i] = r.body
	}
	if !bytes.Equal(bodies[0], bodies[1]) {
		return fmt.Errorf("the repeated call got a different response: first %q, then %q", bodies[0], bodies[1])
	}
	runs := 0
	for _, s := range f.Services {
		runs += s.Count(op.OperationID)
	}
	if runs != 1 {
		return fmt.Errorf("call was executed %d times, want 1", runs)
	}
	return nil
}
