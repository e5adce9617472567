package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/abort"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Server serves requests; relay.Engine implements it.
type Server interface {
	Serve(ctx context.Context, r *relay.Request, sink relay.Sink) *relay.Failure
}

// Config holds the dependencies and limits of a handler.
type Config struct {
	Dialect Dialect
	Engine  Server
	// Table returns the current routing table, nil if none is loaded.
	Table func() *routes.Table
	// TableAge returns the time since the routing table was last known to be the newest; a table that is older than
	// maxFinalAge decides on no path for good. Nil stands for one that is always current.
	TableAge func() time.Duration
	// CheckAccepting returns nil while the node accepts requests, otherwise the reason why
	// it does not.
	CheckAccepting func(ctx context.Context) *errkind.Error
	// Accept does the same for a request whose deadline is set, which it may shorten.
	Accept func(r *relay.Request) *errkind.Error
	// Authorize returns the client account of a request by its header, nil if the request
	// has and needs none. It is nil if requests need no account.
	Authorize func(h http.Header, route *routes.Route, t *routes.Table) (*routes.Account, *errkind.Error)
	// Charge charges a request to the quota of its account before its body is read. It is
	// nil if accounts have no quotas.
	Charge func(ctx context.Context, r *relay.Request) *errkind.Error
	// Refund returns what was charged for a request that was not run. It is set if Charge is.
	Refund func(r *relay.Request)
	// CloseConnections reports whether connections are closed after their response.
	CloseConnections func() bool
	Log              event.Logger
	Metrics          relay.Metrics
	// MaxRequests returns the maximum number of requests in flight.
	MaxRequests func() int64
	// MaxTotalBodyBytes is the maximum total size of their bodies in bytes.
	MaxTotalBodyBytes int64
	// OtherBodyBytes returns the size of other bodies that count towards it; nil if there are
	// none.
	OtherBodyBytes func() int64
	// Receives holds the bodies that are arriving; nil if none is ever canceled.
	Receives *connlimit.Receives
}

// Handler handles the requests of callers.
type Handler struct {
	Config
	requestsInFlight atomic.Int64
	bodyBytes        atomic.Int64 // of requests in flight
}

// New returns a handler with the given configuration.
func New(c Config) *Handler { return &Handler{Config: c} }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.requestsInFlight.Load() }

// BodyBytes returns the total size of the bodies of requests in flight.
func (h *Handler) BodyBytes() int64 { return h.bodyBytes.Load() }

// writeSlack is how long after the deadline of a request its response may still be
// written, to a caller that reads slowly.
const writeSlack = 5 * time.Second

// defaultTimeout applies to requests without a timeout from the caller or the route.
const defaultTimeout = time.Minute

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if limit := h.MaxRequests(); h.requestsInFlight.Add(1) > limit {
		h.requestsInFlight.Add(-1)
		h.reject(w, r, "", errkind.New(errkind.Overloaded, "%d requests in flight", limit))
		return
	}
	defer h.requestsInFlight.Add(-1)
	info, err := h.Dialect.ParseRequest(r.Header)
	req, size, failure := h.read(w, r, arrived, info, err)
	if failure != nil {
		h.reject(w, r, info.ID, failure)
		return
	}
	defer h.bodyBytes.Add(-size)
	// A failure means that the connection does not support deadlines; it then has none.
	_ = http.NewResponseController(w).SetWriteDeadline(req.Deadline.Add(writeSlack))
	sink := &responseSink{w: w, closing: h.CloseConnections()}
	f := h.Engine.Serve(r.Context(), req, sink)
	if f != nil && f.Verdict() == domain.RunNo {
		h.refund(req)
	}
	switch {
	case f == nil:
	case f.Broken || f.CallerDisconnected:
		abort.Response(w, r)
	default:
		h.writeFailure(w, f.Error)
	}
}

// read reads the message and matches it to a route. It returns the request and the
// size of its body in bytes; headerErr is the error from parsing the headers.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, arrived time.Time, info RequestInfo, headerErr error) (*relay.Request, int64, *errkind.Error) {
	if err := h.CheckAccepting(r.Context()); err != nil {
		return nil, 0, err
	}
	table := h.Table()
	if table == nil {
		return nil, 0, errkind.New(errkind.ListsUnavailable, "no routing table is loaded yet")
	}
	route := table.Match(hostOf(r), rawPath(r))
	if route == nil {
		return nil, 0, h.unknownTarget(r, table)
	}
	if headerErr != nil {
		return nil, 0, errkind.New(errkind.BadRequest, "%w", headerErr)
	}
	var account *routes.Account
	if h.Authorize != nil {
		var failure *errkind.Error
		if account, failure = h.Authorize(r.Header, route, table); failure != nil {
			return nil, 0, failure
		}
	}
	limit := arrived.Add(timeout(info, route))
	splitBy := info.ID
	if route.Resumable && info.Resumes != "" {
		splitBy = info.Resumes // the stream goes on at its service
	}
	req := &relay.Request{
		Message: relay.Message{ID: info.ID, Method: r.Method, Host: r.Host, RequestTarget: r.RequestURI},
		Prompt:  info.Prompt, Route: route, Service: route.ServiceFor(splitBy), Account: account, TableVersion: table.Version,
		Arrived: arrived, Deadline: limit, ResumeAfter: info.ResumeAfter, Resumes: info.Resumes,
	}
	if err := h.Accept(req); err != nil {
		return nil, 0, err
	}
	if h.Charge != nil && account != nil {
		if err := h.Charge(r.Context(), req); err != nil {
			return nil, 0, err
		}
	}
	body, size, failure := h.readBody(w, r, table.Limits.MaxBodyBytes, req.Deadline)
	if req.Deadline.Before(limit) && failure != nil && errors.Is(failure, os.ErrDeadlineExceeded) {
		failure = errkind.New(errkind.Draining, "the body did not arrive before the end of the node")
	}
	if failure != nil {
		h.refund(req)
		return nil, 0, failure
	}
	header := upstream.EndToEnd(r.Header)
	h.Dialect.StripInternalHeaders(header)
	if table.HasAccounts() {
		h.Dialect.StripAccountHeaders(header)
	}
	req.Header, req.Body = header, body
	return req, size, nil
}

// maxFinalAge is the age of the routing table up to which an unknown path is refused for good. Without a fault the
// table is confirmed more often; beyond it a route may have been added.
const maxFinalAge = 3 * time.Second

// unknownTarget returns the error for a request without a route.
func (h *Handler) unknownTarget(r *http.Request, table *routes.Table) *errkind.Error {
	age := time.Duration(0)
	if h.TableAge != nil {
		age = h.TableAge()
	}
	if age > maxFinalAge {
		return errkind.New(errkind.ListsOutdated, "no route for %s%s in routing table version %d, but there may be a newer one: it was confirmed %d ms ago",
			r.Host, r.URL.Path, table.Version, age.Milliseconds())
	}
	return errkind.New(errkind.UnknownTarget, "no route for %s%s in routing table version %d, which was confirmed %d ms ago", r.Host, r.URL.Path, table.Version, age.Milliseconds())
}

// refund returns what was charged for a request that was not run.
func (h *Handler) refund(r *relay.Request) {
	if r.Charge.Tokens > 0 {
		h.Refund(r)
	}
}

// timeout returns the time that a request may take: the lower of the limits of its
// caller and its route.
func timeout(info RequestInfo, r *routes.Route) time.Duration {
	limit := defaultTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if info.Timeout > 0 {
		limit = min(limit, info.Timeout)
	}
	return limit
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// rawPath returns the path of a request without decoding.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// reject counts and logs a request that is not served, and writes its response.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, id domain.RequestID, err *errkind.Error) {
	h.Metrics.Count("edge.refused."+string(err.Kind), 1)
	h.Log.Log(event.RequestRefused, event.F("request", id), event.F("kind", err.Kind),
		event.F("host", r.Host), event.F("path", r.URL.Path), event.F("detail", err.Message))
	h.writeFailure(w, err)
}
