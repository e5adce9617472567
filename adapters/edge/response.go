package edge

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
)

// failureBody is the JSON body of an error response; docs/callers.md documents it.
type failureBody struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Run     domain.Run   `json:"run"`
}

// writeFailure writes the error response that the table in package errkind defines.
// It uses a status that promises that the request did not run only if that is
// certain.
func (h *Handler) writeFailure(w http.ResponseWriter, err *errkind.Error) {
	status := errkind.Lookup(err.Kind).Status
	if err.Verdict() != domain.RunNo && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	header := w.Header()
	if err.Verdict() == domain.RunNo && err.RetryDelay() > 0 {
		h.Dialect.SetRetryAfter(header, err.RetryDelay())
	}
	if h.CloseConnections() {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	body, encodeErr := json.Marshal(failureBody{Kind: err.Kind, Message: err.Message, Run: err.Verdict()})
	if encodeErr != nil {
		body = nil // unreachable, as three strings always encode; the status alone suffices
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has disconnected
}

// promisesNotRun reports whether a status tells callers that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// responseSink writes a response to the caller. It implements relay.Sink.
type responseSink struct {
	w http.ResponseWriter
	// closing is set if the connection is closed after the response.
	closing bool
	// flush is set if each write is flushed, for a response of unknown length.
	flush bool
}

// Begin implements relay.Sink.
func (s *responseSink) Begin(head relay.Head) error {
	h := s.w.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
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
