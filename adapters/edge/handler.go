package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Server carries requests; package relay implements it.
type Server interface {
	Serve(ctx context.Context, r *relay.Request, sink relay.Sink) *relay.Failure
}

// Config is what a handler needs.
type Config struct {
	Dialect Dialect
	Engine  Server
	// Table returns the routing table in force, nil if none is known.
	Table func() *routes.Table
	// Accepting returns nil while the node takes requests.
	Accepting func(ctx context.Context) *errkind.Error
	// Closing tells if connections are to be closed after their answer.
	Closing func() bool
	Log     event.Logger
	Metrics relay.Metrics
	// MaxRequests bounds the requests in flight, MaxBodyMemory their bodies.
	MaxRequests   int64
	MaxBodyMemory int64
}

// Handler takes callers' requests.
type Handler struct {
	Config
	requests atomic.Int64
	bodies   atomic.Int64
}

// New returns a handler.
func New(c Config) *Handler { return &Handler{Config: c} }

// InFlight returns the number of requests being carried.
func (h *Handler) InFlight() int64 { return h.requests.Load() }

// writeSlack is how long after a request's deadline its answer may still be
// written to a caller that reads slowly.
const writeSlack = 5 * time.Second

// noDeadline bounds requests without any deadline of their own.
const noDeadline = time.Minute

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.requests.Add(1) > h.MaxRequests {
		h.requests.Add(-1)
		h.refuse(w, r, "", errkind.New(errkind.Overloaded, "%d requests in flight", h.MaxRequests))
		return
	}
	defer h.requests.Add(-1)
	arrival, err := h.Dialect.Arrival(r.Header)
	req, size, failure := h.read(w, r, arrived, arrival, err)
	if failure != nil {
		h.refuse(w, r, arrival.ID, failure)
		return
	}
	defer h.bodies.Add(-size)
	// A connection that cannot take deadlines is not bounded by them.
	_ = http.NewResponseController(w).SetWriteDeadline(req.Deadline.Add(writeSlack))
	sink := &responseSink{w: w, closing: h.Closing()}
	f := h.Engine.Serve(r.Context(), req, sink)
	switch {
	case f == nil:
	case f.Broken || f.CallerLeft:
		panic(http.ErrAbortHandler) // cuts the connection, so that the answer does not look whole
	default:
		h.answerFailure(w, f.Error)
	}
}

// read takes in the message and finds its route.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, arrived time.Time, arrival Arrival, unsound error) (*relay.Request, int64, *errkind.Error) {
	if err := h.Accepting(r.Context()); err != nil {
		return nil, 0, err
	}
	table := h.Table()
	if table == nil {
		return nil, 0, errkind.New(errkind.ListsUnavailable, "no routing table is known yet")
	}
	route := table.Match(hostOf(r), rawPath(r))
	if route == nil {
		return nil, 0, errkind.New(errkind.UnknownTarget, "no route for %s%s in table %d", r.Host, r.URL.Path, table.Version)
	}
	if unsound != nil {
		return nil, 0, errkind.New(errkind.BadRequest, "%w", unsound)
	}
	body, size, failure := h.body(w, r, table.Limits.MaxBodyBytes)
	if failure != nil {
		return nil, 0, failure
	}
	header := upstream.EndToEnd(r.Header)
	h.Dialect.Strip(header)
	return &relay.Request{
		Message: relay.Message{ID: arrival.ID, Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: header, Body: body},
		Prompt:  arrival.Prompt, Route: route, Service: route.ServiceFor(arrival.ID), TableVersion: table.Version,
		Arrived: arrived, Deadline: arrived.Add(patience(arrival, route)), ResumeAfter: arrival.ResumeAfter,
	}, size, nil
}

// patience is how long a request may take, by its caller and its route.
func patience(a Arrival, r *routes.Route) time.Duration {
	limit := noDeadline
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if a.Patience > 0 {
		limit = min(limit, a.Patience)
	}
	return limit
}

// body reads the whole message, so that it can be sent more than once and has
// one framing only.
func (h *Handler) body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int64, *errkind.Error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, 0, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, 0, errkind.New(errkind.BodyTooLarge, "body of %d bytes", r.ContentLength)
	}
	if h.bodies.Load()+max(0, r.ContentLength) > h.MaxBodyMemory {
		return nil, 0, errkind.New(errkind.Overloaded, "bodies in flight take %d bytes", h.bodies.Load())
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := readSized(reader, r.ContentLength)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, 0, errkind.New(errkind.BodyTooLarge, "body of more than %d bytes", limit)
		}
		return nil, 0, errkind.New(errkind.BadRequest, "read body: %w", err)
	}
	size := int64(len(body))
	h.bodies.Add(size)
	return body, size, nil
}

func readSized(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// refuse answers a request that was not carried.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, id domain.RequestID, err *errkind.Error) {
	h.Metrics.Count("edge.refused."+string(err.Kind), 1)
	h.Log.Log(event.RequestRefused, event.F("request", id), event.F("kind", err.Kind),
		event.F("host", r.Host), event.F("path", r.URL.Path), event.F("detail", err.Message))
	h.answerFailure(w, err)
}
