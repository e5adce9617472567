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

// checkTimeout bounds each check against hanging.
const checkTimeout = 20 * time.Second

const question = `{"model":"` + Model + `","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"How do I split a table?"}]}`

// caller asks a node as a customer.
type caller struct {
	base string
	key  string
}

// reply is a whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (c caller) do(ctx context.Context, method, path string, header map[string]string, body string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: text}, err
}

func (r reply) expect(status int, ranIn domain.FailureDomain) error {
	if r.status != status {
		return fmt.Errorf("status %d instead of %d: %s", r.status, status, r.body)
	}
	if got := r.header.Get(callerapi.HeaderRanIn); got != string(ranIn) {
		return fmt.Errorf("ran in %q instead of %q", got, ranIn)
	}
	return nil
}

// Check runs a streamed question, a forwarded one, a service read and a
// non-repeatable call, and writes a line for each. It returns an error if any
// went wrong.
func Check(ctx context.Context, w io.Writer, f *fleet.Fleet) error {
	base := "http://" + f.NodeIn(northDomain).Caller
	other := "http://" + f.NodeIn(southDomain).Caller
	checks := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"streamed question", func(ctx context.Context) error { return checkStream(ctx, caller{base, LocalKey}, northDomain) }},
		{"forwarded question", func(ctx context.Context) error { return checkWhole(ctx, caller{base, SouthKey}, southDomain) }},
		{"service read", func(ctx context.Context) error { return checkRead(ctx, caller{base, LocalKey}) }},
		{"non-repeatable call", func(ctx context.Context) error { return checkOperation(ctx, f, base, other) }},
	}
	var failed error
	for _, c := range checks {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		begun := time.Now()
		err := c.run(ctx)
		cancel()
		result := "ok"
		if err != nil {
			result = "FAILED: " + err.Error()
			failed = errors.Join(failed, fmt.Errorf("%s: %w", c.name, err))
		}
		fmt.Fprintf(w, "%-20s %8.1f ms  %s\n", c.name, float64(time.Since(begun).Microseconds())/1000, result)
	}
	return failed
}

func checkStream(ctx context.Context, c caller, ranIn domain.FailureDomain) error {
	r, err := c.do(ctx, http.MethodPost, "/v1/chat/completions", nil, fmt.Sprintf(question, true))
	if err != nil {
		return err
	}
	if !bytes.HasSuffix(r.body, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("the stream has no end marker: %q", r.body)
	}
	return r.expect(http.StatusOK, ranIn)
}

func checkWhole(ctx context.Context, c caller, ranIn domain.FailureDomain) error {
	r, err := c.do(ctx, http.MethodPost, "/v1/chat/completions", nil, fmt.Sprintf(question, false))
	if err != nil {
		return err
	}
	if !json.Valid(r.body) {
		return fmt.Errorf("the answer is no JSON: %q", r.body)
	}
	return r.expect(http.StatusOK, ranIn)
}

func checkRead(ctx context.Context, c caller) error {
	r, err := c.do(ctx, http.MethodGet, "/services/"+ServiceName+"/slots", nil, "")
	if err != nil {
		return err
	}
	return r.expect(http.StatusOK, northDomain)
}

// checkOperation makes a call through one entry, repeats it through another and
// counts the runs.
func checkOperation(ctx context.Context, f *fleet.Fleet, first, second string) error {
	issued, err := caller{first, LocalKey}.do(ctx, http.MethodPost, "/v1/operations", nil, "")
	if err != nil {
		return err
	}
	var op struct {
		OperationID string `json:"operation_id"`
	}
	if err := json.Unmarshal(issued.body, &op); err != nil {
		return err
	}
	header := map[string]string{callerapi.HeaderOperationID: op.OperationID}
	var bodies [2][]byte
	for i, base := range []string{first, second} {
		r, err := caller{base, LocalKey}.do(ctx, http.MethodPost, "/services/"+ServiceName+"/reserve", header, "vat 7")
		if err != nil {
			return err
		}
		if r.status != http.StatusOK {
			return fmt.Errorf("status %d: %s", r.status, r.body)
		}
		bodies[i] = r.body
	}
	if !bytes.Equal(bodies[0], bodies[1]) {
		return fmt.Errorf("the repeat got another answer: %q and %q", bodies[0], bodies[1])
	}
	runs := 0
	for _, s := range f.Services {
		runs += s.Count(op.OperationID)
	}
	if runs != 1 {
		return fmt.Errorf("the call ran %d times", runs)
	}
	return nil
}
