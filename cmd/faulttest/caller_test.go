package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/core/domain"
)

// callerClient opens a new connection for each request, because net/http retries
// requests that fail on a reused connection.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// response is the response to a request, as the caller received it.
type response struct {
	node string
	// requestBody is the body that the caller sent.
	requestBody []byte
	status      int
	header      http.Header
	body        []byte
	// err is set if the request failed or the HTTP response is incomplete.
	err error
}

func (r response) requestID() string { return r.header.Get(callerapi.HeaderRequestID) }
func (r response) ranIn() string     { return r.header.Get(callerapi.HeaderRanIn) }
func (r response) kind() string      { return r.header.Get(callerapi.HeaderErrorKind) }

// run returns whether the request ran according to the response: RunUnknown if the
// response is incomplete.
func (r response) run() domain.Run {
	if r.err != nil || r.header == nil {
		return domain.RunUnknown
	}
	return domain.Run(r.header.Get(callerapi.HeaderRun))
}

func (r response) String() string {
	return fmt.Sprintf("%s from %s: status %d, kind %q, run %q, ran in %q, %d bytes, err %v",
		r.requestID(), r.node, r.status, r.kind(), r.run(), r.ranIn(), len(r.body), r.err)
}

func chatBody(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
}

// responseStream is a response that the caller is still reading.
type responseStream struct {
	response
	resp   *http.Response
	reader *bufio.Reader
	cancel context.CancelFunc
}

// startChat sends a streamed chat request and returns once the response header has
// arrived.
func (d *deployment) startChat(n *nodeProc, key, prompt string, tokens int) *responseStream {
	return send(n, key, http.MethodPost, "/v1/chat/completions", nil, chatBody(prompt, tokens))
}

// send sends a request with a bearer key and returns once the response header has
// arrived.
func send(n *nodeProc, key, method, path string, header map[string]string, body []byte) *responseStream {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	s := &responseStream{response: response{node: n.id, requestBody: body}, cancel: cancel}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		s.err = err
		return s
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	s.resp, s.err = callerClient.Do(req)
	if s.err != nil {
		return s
	}
	s.status, s.header, s.reader = s.resp.StatusCode, s.resp.Header, bufio.NewReader(s.resp.Body)
	return s
}

// readEvents reads n complete events, or fewer if the response ends first.
func (s *responseStream) readEvents(n int) {
	for n > 0 && s.err == nil {
		line, err := s.reader.ReadBytes('\n')
		s.body = append(s.body, line...)
		s.err = err
		if len(line) == 1 {
			n--
		}
	}
}

// finish reads the rest of the body and returns the response.
func (s *responseStream) finish() response {
	defer s.cancel()
	if s.err == nil {
		var rest []byte
		rest, s.err = io.ReadAll(s.reader)
		s.body = append(s.body, rest...)
	}
	if s.resp != nil {
		s.resp.Body.Close()
	}
	if s.err == io.EOF {
		s.err = nil
	}
	return s.response
}

// call sends a request and reads the complete response.
func call(n *nodeProc, key, method, path string, header map[string]string, body string) response {
	return send(n, key, method, path, header, []byte(body)).finish()
}

// issueOperationID requests an operation id from a node.
func issueOperationID(t testing.TB, n *nodeProc, key string) string {
	t.Helper()
	r := call(n, key, http.MethodPost, "/v1/operations", nil, "")
	var op struct {
		OperationID string `json:"operation_id"`
	}
	if err := json.Unmarshal(r.body, &op); err != nil || op.OperationID == "" {
		t.Fatalf("response contains no operation id: %s: %s", r, r.body)
	}
	return op.OperationID
}

// callApply makes a call that must run at most once.
func callApply(n *nodeProc, key, operation string) response {
	return call(n, key, http.MethodPost, "/services/"+serviceName+"/apply", map[string]string{callerapi.HeaderOperationID: operation}, "vat 7")
}

const terminalEvent = "data: [DONE]\n\n"

// checkComplete compares a streamed response with the engine's transcript for the
// request and returns whether it is complete. A response that ends without an error
// must equal the transcript. An interrupted one must be a prefix of it. An
// interruption after the terminal event is only logged.
func checkComplete(t testing.TB, r response) (complete bool) {
	t.Helper()
	if r.status != http.StatusOK {
		return false
	}
	want, err := enginesim.New(enginesim.Config{}).ExpectedStream(domain.RequestID(r.requestID()), r.requestBody)
	if err != nil {
		t.Fatal(err)
	}
	if r.err == nil {
		if !bytes.Equal(r.body, want) {
			t.Errorf("%s ended without an error but differs from the engine's output: %s", r, describeDifference(r.body, want))
			return false
		}
		return true
	}
	body := r.body
	if i := bytes.Index(body, []byte("event: error\n")); i >= 0 {
		body = body[:i]
	}
	if !bytes.HasPrefix(want, body) {
		t.Errorf("%s was interrupted and is not a prefix of the engine's output: %s", r, describeDifference(body, want))
	}
	if strings.HasSuffix(string(body), terminalEvent) {
		t.Logf("%s was interrupted after its terminal event", r)
	}
	return false
}

// describeDifference describes the first difference between two byte slices.
func describeDifference(got, want []byte) string {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	const around = 80
	return fmt.Sprintf("got %d bytes, want %d, first difference at byte %d: got %q, want %q",
		len(got), len(want), i, got[i:min(len(got), i+around)], want[i:min(len(want), i+around)])
}
