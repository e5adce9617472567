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

// callers makes every request on a connection of its own, so that net/http
// repeats none.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// reply is what a caller got.
type reply struct {
	node   string
	sent   []byte
	status int
	header http.Header
	body   []byte
	// err is set if the answer did not end as HTTP ends answers.
	err error
}

func (r reply) requestID() string { return r.header.Get(callerapi.HeaderRequestID) }
func (r reply) ranIn() string     { return r.header.Get(callerapi.HeaderRanIn) }
func (r reply) kind() string      { return r.header.Get(callerapi.HeaderErrorKind) }

// run is what the caller was told; a broken answer told nothing.
func (r reply) run() domain.Run {
	if r.err != nil || r.header == nil {
		return domain.RunUnknown
	}
	return domain.Run(r.header.Get(callerapi.HeaderRun))
}

func (r reply) String() string {
	return fmt.Sprintf("%s from %s: status %d, kind %q, run %q, ran in %q, %d bytes, err %v",
		r.requestID(), r.node, r.status, r.kind(), r.run(), r.ranIn(), len(r.body), r.err)
}

func chatBody(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
}

// answerStream is an answer being read.
type answerStream struct {
	reply
	resp   *http.Response
	reader *bufio.Reader
	cancel context.CancelFunc
}

// ask sends a streamed question and returns at the answer's head.
func (d *deployment) ask(n *nodeProc, key, prompt string, tokens int) *answerStream {
	return send(n, key, http.MethodPost, "/v1/chat/completions", nil, chatBody(prompt, tokens))
}

func send(n *nodeProc, key, method, path string, header map[string]string, body []byte) *answerStream {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	s := &answerStream{reply: reply{node: n.id, sent: body}, cancel: cancel}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, bytes.NewReader(body))
	if err != nil {
		s.err = err
		return s
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	s.resp, s.err = callers.Do(req)
	if s.err != nil {
		return s
	}
	s.status, s.header, s.reader = s.resp.StatusCode, s.resp.Header, bufio.NewReader(s.resp.Body)
	return s
}

// readEvents reads that many whole events, or less if the answer ends.
func (s *answerStream) readEvents(n int) {
	for n > 0 && s.err == nil {
		line, err := s.reader.ReadBytes('\n')
		s.body = append(s.body, line...)
		s.err = err
		if len(line) == 1 {
			n--
		}
	}
}

// finish reads the rest and returns the whole.
func (s *answerStream) finish() reply {
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
	return s.reply
}

// call makes a whole request.
func call(n *nodeProc, key, method, path string, header map[string]string, body string) reply {
	return send(n, key, method, path, header, []byte(body)).finish()
}

// issue asks a node for an operation id.
func issue(t testing.TB, n *nodeProc, key string) string {
	t.Helper()
	r := call(n, key, http.MethodPost, "/v1/operations", nil, "")
	var op struct {
		OperationID string `json:"operation_id"`
	}
	if err := json.Unmarshal(r.body, &op); err != nil || op.OperationID == "" {
		t.Fatalf("no operation id: %s: %s", r, r.body)
	}
	return op.OperationID
}

// applyCall makes a call that may not be repeated.
func applyCall(n *nodeProc, key, operation string) reply {
	return call(n, key, http.MethodPost, "/services/"+serviceName+"/apply", map[string]string{callerapi.HeaderOperationID: operation}, "vat 7")
}

const terminalEvent = "data: [DONE]\n\n"

// checkWhole compares a streamed answer with what the engine sends for it. An
// answer that ends well must be equal; one that broke must be a prefix without
// the terminal event, whose break the caller could see.
func checkWhole(t testing.TB, r reply) (whole bool) {
	t.Helper()
	if r.status != http.StatusOK {
		return false
	}
	want, err := enginesim.New(enginesim.Config{}).Transcript(domain.RequestID(r.requestID()), r.sent)
	if err != nil {
		t.Fatal(err)
	}
	if r.err == nil {
		if !bytes.Equal(r.body, want) {
			t.Errorf("%s ended well but is not what the engine sent: %s", r, difference(r.body, want))
			return false
		}
		return true
	}
	body := r.body
	if i := bytes.Index(body, []byte("event: error\n")); i >= 0 {
		body = body[:i]
	}
	if !bytes.HasPrefix(want, body) {
		t.Errorf("%s broke off and is no part of what the engine sent: %s", r, difference(body, want))
	}
	if strings.HasSuffix(string(body), terminalEvent) {
		t.Logf("%s broke off behind its terminal event", r)
	}
	return false
}

// difference shows where two texts part.
func difference(got, want []byte) string {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	const around = 80
	return fmt.Sprintf("got %d bytes, want %d, they part at %d: got %q, want %q",
		len(got), len(want), i, got[i:min(len(got), i+around)], want[i:min(len(want), i+around)])
}
