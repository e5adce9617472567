package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/crocusspread/crocusspread/adapters/abort"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// writeTimeout is the maximum time to write one chunk to a caller that does not read;
// after it the answer is aborted and its upstream released.
const writeTimeout = 30 * time.Second

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// nodeHeaders are addressed to the node itself and are not forwarded to services.
var nodeHeaders = map[string]bool{
	"Authorization": true, textproto.CanonicalMIMEHeaderKey(HeaderOperationID): true, HeaderIdempotencyKey: true,
	"X-Idempotency-Key": true, HeaderTimeout: true, HeaderFirstTokenTimeout: true,
	HeaderRequestID: true,
}

// serviceHeader returns the caller's headers that are forwarded to a service.
func serviceHeader(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h))
	for name, values := range h {
		if !hopByHopHeaders[name] && !nodeHeaders[name] {
			out[name] = values
		}
	}
	for _, listed := range h.Values("Connection") {
		delete(out, textproto.CanonicalMIMEHeaderKey(listed))
	}
	return out
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure in the format that OpenAI client libraries parse, with
// additional fields of this product.
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
		RetryAfterSeconds: int(math.Ceil(e.RetryDelay().Seconds())),
	}}
}

// writeError writes an error response; no head may have been written before.
func writeError(w http.ResponseWriter, id domain.RequestID, err error) {
	e := errkind.From(err)
	h := w.Header()
	h.Set(HeaderErrorKind, string(e.Kind))
	h.Set(HeaderRun, string(e.Verdict()))
	if wait := e.RetryDelay(); wait > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	writeJSON(w, errkind.Lookup(e.Kind).Status, errorBody(id, e))
}

// httpWriter writes an answer to a caller.
type httpWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	httpReq *http.Request
	req     *gateway.Request
	started bool
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
	// idleDeadlineAborts is set if a write deadline that expires between two chunks
	// aborts the answer. It does in HTTP/2; in HTTP/1 a deadline only affects writes.
	idleDeadlineAborts bool
}

func newHTTPWriter(w http.ResponseWriter, r *http.Request, req *gateway.Request) *httpWriter {
	return &httpWriter{w: w, control: http.NewResponseController(w), httpReq: r, req: req, idleDeadlineAborts: r.ProtoMajor > 1}
}

// WriteHead implements answer.Writer.
func (a *httpWriter) WriteHead(head answer.Head) error {
	a.started = true
	h := a.w.Header()
	for name, values := range head.Header {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if !hopByHopHeaders[name] && name != HeaderRequestID {
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

// WriteChunk implements answer.Writer. It fails if the caller reads nothing for
// writeTimeout.
func (a *httpWriter) WriteChunk(p []byte) error {
	if now := time.Now(); a.idleDeadlineAborts || now.Sub(a.deadlineSetAt) > writeTimeout/4 {
		a.deadlineSetAt = now
		_ = a.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	if a.idleDeadlineAborts {
		defer func() { _ = a.control.SetWriteDeadline(time.Time{}) }()
	}
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.control.Flush()
}

// fail reports an error to the caller: as a status if nothing was written yet, as a last
// event in a stream, and otherwise by closing the connection, so that a partial answer
// never looks complete.
func (a *httpWriter) fail(err error) {
	if !a.started {
		if a.req.Body != nil && !a.idleDeadlineAborts {
			// With full duplex, net/http reads the rest of an unread body while it waits
			// for the next request, and then closes the connection.
			a.w.Header().Set("Connection", "close")
		}
		writeError(a.w, a.req.ID, err)
		return
	}
	if a.req.Stream {
		body, _ := json.Marshal(errorBody(a.req.ID, errkind.From(err)))
		_ = a.WriteChunk(append(append([]byte("event: error\ndata: "), body...), "\n\n"...))
	}
	abort.Response(a.w, a.httpReq)
}

// Refuse answers a request that is not served at all.
func Refuse(w http.ResponseWriter, err error) { writeError(w, "", err) }
