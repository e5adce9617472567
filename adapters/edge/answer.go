package edge

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
)

// failureBody tells callers about a failure; docs/callers.md explains it.
type failureBody struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
}

// answerFailure writes the answer of the error table. Statuses that promise that
// the request did not run are used only if that is certain.
func (h *Handler) answerFailure(w http.ResponseWriter, err *errkind.Error) {
	status := errkind.Lookup(err.Kind).Status
	if err.Verdict() != domain.RunNo && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	header := w.Header()
	if err.Verdict() == domain.RunNo && err.Advice() > 0 {
		h.Dialect.Refusal(header, err.Advice())
	}
	if h.Closing() {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	body, encodeErr := json.Marshal(failureBody{Kind: err.Kind, Message: err.Message, Run: err.Verdict()})
	if encodeErr != nil {
		body = nil // three strings always encode; the status alone says enough
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that left does not need it
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// responseSink writes an answer to the caller. It implements relay.Sink.
type responseSink struct {
	w       http.ResponseWriter
	closing bool
	flush   bool
}

// Begin implements relay.Sink.
func (s *responseSink) Begin(head relay.Head) error {
	h := s.w.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if head.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	} else {
		h.Del("Content-Length")
		s.flush = true
	}
	if s.closing {
		h.Set("Connection", "close")
	}
	s.w.WriteHeader(head.Status)
	return nil
}

// Write implements relay.Sink.
func (s *responseSink) Write(b []byte) error {
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	if s.flush {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}
