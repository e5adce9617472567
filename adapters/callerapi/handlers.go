package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
)

func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// newRequest creates a request: it generates the ID, checks that the node accepts
// requests, and derives the deadline.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request) (*gateway.Request, context.Context, context.CancelFunc, error) {
	req := &gateway.Request{ID: newRequestID(), BearerKey: bearerKey(r), Traceparent: r.Header.Get(headerTraceparent)}
	w.Header().Set(HeaderRequestID, string(req.ID))
	if !s.deps.Accepting() {
		return req, nil, nil, errkind.New(errkind.Draining, "this node does not accept new requests; use another entry node")
	}
	timeout, err := s.timeout(r, HeaderTimeout)
	if err != nil {
		return req, nil, nil, err
	}
	firstTokenTimeout, err := s.timeout(r, HeaderFirstTokenTimeout)
	if err != nil {
		return req, nil, nil, err
	}
	now := time.Now()
	req.Deadline = now.Add(timeout)
	if r.Header.Get(HeaderFirstTokenTimeout) != "" {
		req.FirstTokenDeadline = now.Add(firstTokenTimeout)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	return req, ctx, cancel, nil
}

func (s *Server) timeout(r *http.Request, header string) (time.Duration, error) {
	text := r.Header.Get(header)
	if text == "" {
		return s.cfg.RequestTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errkind.New(errkind.BadRequest, "%s %q is not a positive duration such as 30s", header, text)
	}
	return min(d, s.cfg.RequestTimeout), nil
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, req *gateway.Request) {
	aw := newHTTPWriter(w, r, req)
	err := s.deps.Gateway.Serve(ctx, req, aw)
	if err == nil {
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		err = asTimeout(err)
	}
	aw.fail(err)
}

// asTimeout converts an error caused by the request's own deadline to kind timeout.
func asTimeout(err error) error {
	e := errkind.From(err)
	if e.Kind != errkind.Canceled {
		return err
	}
	return errkind.New(errkind.Timeout, "the request's deadline expired: %w", err).WithRun(e.Verdict())
}

func (s *Server) chatCompletions(w http.ResponseWriter, r *http.Request) {
	req, ctx, cancel, err := s.newRequest(w, r)
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	defer cancel()
	body, release, err := s.readBody(w, r)
	defer release()
	if err == nil {
		err = parseChat(body, req)
	}
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	s.serve(ctx, w, r, req)
}

// bodyFactor is how much memory a byte of a body takes: its buffer grows by copying.
const bodyFactor = 2

// readBody reads the whole body into memory, up to the configured maximum. release releases the
// memory of the body; it is never nil.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (content []byte, release func(), err error) {
	reader := io.Reader(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	received := &connlimit.Body{Reader: reader, Set: s.cfg.Receives, Memory: s.cfg.Bodies, Factor: bodyFactor,
		// Without support for deadlines, the body is not canceled.
		Cancel: func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }}
	if s.cfg.Receives != nil {
		reader = received
	}
	body, err := io.ReadAll(reader)
	canceled := received.End()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		err = errkind.New(errkind.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, connlimit.ErrNoRoom):
		err = errkind.New(errkind.Overloaded, "there is no room for the body")
	case canceled:
		err = errkind.New(errkind.Overloaded, "the body arrived too slowly while there was no room for others")
	case err != nil:
		err = errkind.New(errkind.BadRequest, "the body ended early: %w", err)
	default:
		return body, received.Release, nil
	}
	return nil, received.Release, err
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	req, ctx, cancel, err := s.newRequest(w, r)
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	defer cancel()
	req.Target = domain.Target{Kind: domain.TargetService, Name: r.PathValue("service")}
	req.Method, req.Path, req.Query = r.Method, servicePath(r), r.URL.RawQuery
	req.Header = serviceHeader(r.Header)
	req.OperationID = domain.OperationID(r.Header.Get(HeaderOperationID))
	req.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	release, err := s.attachBody(w, r, req)
	defer release()
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	s.serve(ctx, w, r, req)
}

// servicePath returns the escaped path below the service, with its leading slash.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

// attachBody streams the body of a repeatable call and buffers any other body, so that
// it can be sent to another node after a refusal. release releases the memory of the body.
func (s *Server) attachBody(w http.ResponseWriter, r *http.Request, req *gateway.Request) (release func(), err error) {
	none := func() {}
	if r.Body == nil || r.Body == http.NoBody {
		return none, nil
	}
	snapshot := s.deps.Lists()
	if snapshot != nil {
		svc, ok := snapshot.Service(req.Target.Name)
		if ok && svc.Repeatable(req.Method, req.Path) {
			// Without full duplex, net/http discards the rest of the body as soon as the
			// response starts, before the upstream has read it.
			_ = http.NewResponseController(w).EnableFullDuplex()
			req.Body = r.Body
			return none, nil
		}
	}
	req.Payload, release, err = s.readBody(w, r)
	return release, err
}

func (s *Server) access(w http.ResponseWriter, r *http.Request) (*lists.Access, domain.RequestID, error) {
	id := newRequestID()
	w.Header().Set(HeaderRequestID, string(id))
	snapshot := s.deps.Lists()
	if snapshot == nil {
		return nil, id, errkind.New(errkind.ListsUnavailable, "this node has no lists yet")
	}
	access, err := snapshot.Authenticate(bearerKey(r))
	return access, id, err
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	access, id, err := s.access(w, r)
	if err != nil {
		writeError(w, id, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range access.Plan.Models {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "crocusspread"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) entries(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.deps.Entries.Entries())
}

type issuedOperation struct {
	OperationID domain.OperationID `json:"operation_id"`
}

func (s *Server) issueOperation(w http.ResponseWriter, r *http.Request) {
	access, id, err := s.access(w, r)
	if err == nil && !s.deps.Accepting() {
		err = errkind.New(errkind.Draining, "this node does not issue new operations; use another entry node")
	}
	var op domain.OperationID
	if err == nil {
		op, err = s.deps.Operations.Issue(access.Customer)
	}
	if err != nil {
		writeError(w, id, err)
		return
	}
	writeJSON(w, http.StatusCreated, issuedOperation{OperationID: op})
}

func (s *Server) operationStatus(w http.ResponseWriter, r *http.Request) {
	access, id, err := s.access(w, r)
	var st OperationStatus
	if err == nil {
		st, err = s.deps.Operations.Status(r.Context(), access.Customer, domain.OperationID(r.PathValue("id")))
	}
	if err != nil {
		writeError(w, id, err)
		return
	}
	writeJSON(w, http.StatusOK, st)
}

func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(HeaderRequestID, string(id))
	writeError(w, id, errkind.New(errkind.NotFound, "no such path: %s %s", r.Method, r.URL.Path))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
