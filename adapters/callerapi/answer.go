package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// writeTimeout bounds how long one chunk may wait for a caller that does not
// read; the answer then ends and frees its upstream.
const writeTimeout = 30 * time.Second

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ownHeaders are for the node itself and are not passed to services.
var ownHeaders = map[string]bool{
	"Authorization": true, textproto.CanonicalMIMEHeaderKey(HeaderOperationID): true, HeaderIdempotency: true,
	"X-Idempotency-Key": true, HeaderTimeout: true, HeaderFirstTokenTimeout: true,
	HeaderRequestID: true,
}

// serviceHeader returns the caller's headers that a service gets.
func serviceHeader(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h))
	for name, values := range h {
		if !hopHeaders[name] && !ownHeaders[name] {
			out[name] = values
		}
	}
	for _, named := range h.Values("Connection") {
		delete(out, textproto.CanonicalMIMEHeaderKey(named))
	}
	return out
}

// ErrorBody is the JSON of every error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed, in the shape that OpenAI client libraries read,
// with the product's own fields beside it.
type ErrorDetail struct {
	Type              string           `json:"type"`
	Kind              errkind.Kind     `json:"kind"`
	Message           string           `json:"message"`
	RequestID         domain.RequestID `json:"request_id"`
	Run               domain.Run       `json:"run"`
	RetryAfterSeconds int              `json:"retry_after_seconds,omitempty"`
}

func errorBody(id domain.RequestID, e *errkind.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Type: string(e.Kind), Kind: e.Kind, Message: e.Message, RequestID: id, Run: e.Verdict(),
		RetryAfterSeconds: int(math.Ceil(e.Advice().Seconds())),
	}}
}

// writeError answers with an error before any head was written.
func writeError(w http.ResponseWriter, id domain.RequestID, err error) {
	e := errkind.From(err)
	h := w.Header()
	h.Set(HeaderErrorKind, string(e.Kind))
	h.Set(HeaderRun, string(e.Verdict()))
	if wait := e.Advice(); wait > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	writeJSON(w, errkind.Lookup(e.Kind).Status, errorBody(id, e))
}

// httpWriter writes an answer to a caller.
type httpWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *gateway.Request
	started bool
	// deadlineSet is when the write deadline was last moved.
	deadlineSet time.Time
	// deadlineEnds is set where a deadline that passes between two chunks ends
	// the answer: HTTP/2. In HTTP/1 only a write can miss it.
	deadlineEnds bool
}

func newHTTPWriter(w http.ResponseWriter, r *http.Request, req *gateway.Request) *httpWriter {
	return &httpWriter{w: w, control: http.NewResponseController(w), req: req, deadlineEnds: r.ProtoMajor > 1}
}

// WriteHead implements answer.Writer.
func (a *httpWriter) WriteHead(head answer.Head) error {
	a.started = true
	h := a.w.Header()
	for name, values := range head.Header {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if !hopHeaders[name] && name != HeaderRequestID {
			h[name] = values
		}
	}
	h.Set(HeaderRun, string(domain.RunYes))
	h.Set(HeaderListsVersion, strconv.FormatUint(uint64(head.ListsVersion), 10))
	h.Set(HeaderRanIn, string(head.RanIn.FailureDomain))
	if a.req.OperationID != "" {
		h.Set(HeaderOperationID, string(a.req.OperationID))
	}
	a.w.WriteHeader(head.Status)
	return nil
}

// WriteChunk implements answer.Writer. A caller that reads nothing for
// writeTimeout ends the answer.
func (a *httpWriter) WriteChunk(p []byte) error {
	if now := time.Now(); a.deadlineEnds || now.Sub(a.deadlineSet) > writeTimeout/4 {
		a.deadlineSet = now
		_ = a.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	if a.deadlineEnds {
		defer func() { _ = a.control.SetWriteDeadline(time.Time{}) }()
	}
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.control.Flush()
}

// fail tells the caller of an error: as a status if nothing is out yet, as a
// last event in a stream, and otherwise by breaking the connection, so that a
// part of an answer never looks whole.
func (a *httpWriter) fail(err error) {
	if !a.started {
		if a.req.Body != nil && !a.deadlineEnds {
			// With full duplex, net/http reads the rest of an unread body while it
			// waits for the next request, and gives the connection up.
			a.w.Header().Set("Connection", "close")
		}
		writeError(a.w, a.req.ID, err)
		return
	}
	if a.req.Stream {
		body, _ := json.Marshal(errorBody(a.req.ID, errkind.From(err)))
		_ = a.WriteChunk(append(append([]byte("event: error\ndata: "), body...), "\n\n"...))
	}
	panic(http.ErrAbortHandler)
}
