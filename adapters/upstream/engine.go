package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Headers and paths of the upstream API.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderOperationID = "X-Operation-Id"
	HeaderResumeAfter = "X-Resume-After"
	HeaderPriority    = "X-Priority"
	HeaderTraceparent = "Traceparent"

	PathCompletions = "/v1/chat/completions"
	PathModels      = "/v1/models"
	PathLoad        = "/load"
	PathCancel      = "/cancel/"
	PathOrders      = "/orders"
	PathCacheEvents = "/cache-events"
)

const maxUnaryResponseBytes = 4 << 20

// Engine implements ports.Engine. It is safe for concurrent use.
type Engine struct {
	o       Options
	rt      *http.Transport
	cancels sync.WaitGroup
}

// NewEngine returns a client of model engines.
func NewEngine(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{o: o, rt: o.pooled()}
}

// Close waits for pending cancel requests and closes idle connections.
func (e *Engine) Close() {
	e.cancels.Wait()
	e.rt.CloseIdleConnections()
}

// Generate implements ports.Engine. A response with status 429 or 503 is an error
// of kind overloaded with verdict "no", any other 5xx is an error of kind
// upstream_failed, and other responses are returned as they are.
func (e *Engine) Generate(ctx context.Context, up domain.UpstreamRef, g ports.GenerateRequest) (answer.Stream, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+up.Address+PathCompletions, bytes.NewReader(g.Body))
	if err != nil {
		return nil, errkind.New(errkind.Internal, "build request: %w", err).WithRun(domain.RunNo)
	}
	setGenerateHeaders(req.Header, g)
	allowResend(req.Header)
	o := e.o
	if !g.Stream {
		o.HeaderTimeout = o.NonStreamingTimeout
	}
	x, err := start(ctx, e.rt, o, req)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode >= http.StatusInternalServerError || x.resp.StatusCode == http.StatusTooManyRequests {
		defer x.close()
		return nil, refusal(x.resp)
	}
	abandoned := func() { e.cancelAsync(up, g.RequestID) }
	if strings.HasPrefix(x.resp.Header.Get("Content-Type"), "text/event-stream") {
		return &EventStream{x: x, up: up, r: sseReader{src: x}, abandoned: abandoned}, nil
	}
	return &bodyStream{x: x, up: up, abandoned: abandoned}, nil
}

func setGenerateHeaders(h http.Header, g ports.GenerateRequest) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, string(g.RequestID))
	// An empty value is not sent. It makes net/http treat the request as idempotent
	// and resend it if a pooled connection turns out to be stale.
	h[idempotencyHeaders[0]] = []string{}
	if g.ResumeAfter > 0 {
		h.Set(HeaderResumeAfter, strconv.FormatUint(g.ResumeAfter, 10))
	}
	if g.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(g.Priority))
	}
	if g.Traceparent != "" {
		h.Set(HeaderTraceparent, g.Traceparent)
	}
}

// refusal returns the error for a response with status 429 or 5xx.
func refusal(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		e := errkind.New(errkind.Overloaded, "engine returned status %s", resp.Status).WithRun(domain.RunNo)
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			return e.WithRetryAfter(time.Duration(s) * time.Second)
		}
		return e
	}
	return errkind.New(errkind.UpstreamFailed, "engine returned status %s", resp.Status)
}

// cancelAsync cancels a generation in the background.
func (e *Engine) cancelAsync(up domain.UpstreamRef, id domain.RequestID) {
	e.cancels.Go(func() {
		_ = e.Cancel(context.Background(), up, id) // best effort: the engine also detects the closed connection
	})
}

// Cancel implements ports.Engine.
func (e *Engine) Cancel(ctx context.Context, up domain.UpstreamRef, id domain.RequestID) error {
	err := e.unary(ctx, http.MethodPost, up, PathCancel+url.PathEscape(string(id)), nil, nil)
	if errkind.From(err) != nil && errkind.From(err).Kind == errkind.NotFound {
		return nil
	}
	return err
}

// Load implements ports.Engine.
func (e *Engine) Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	var report domain.LoadReport
	err := e.unary(ctx, http.MethodGet, up, PathLoad, nil, &report)
	return report, err
}

// Order implements ports.Engine. It fails with kind conflict if the engine rejects
// the fencing token.
func (e *Engine) Order(ctx context.Context, up domain.UpstreamRef, o ports.EngineOrder) error {
	return e.unary(ctx, http.MethodPost, up, PathOrders, o, nil)
}

// CacheEvents implements ports.Engine.
func (e *Engine) CacheEvents(ctx context.Context, up domain.UpstreamRef, after uint64) ([]ports.CacheEvent, error) {
	var events []ports.CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := e.unary(ctx, http.MethodGet, up, path, nil, &events)
	return events, err
}

func (e *Engine) unary(ctx context.Context, method string, up domain.UpstreamRef, path string, in, out any) error {
	return unaryCall(ctx, e.rt, e.o, method, "http://"+up.Address+path, in, out)
}

// unaryCall sends a small JSON request and decodes the response into out.
func unaryCall(ctx context.Context, rt http.RoundTripper, o Options, method, target string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errkind.New(errkind.Internal, "encode request: %w", err).WithRun(domain.RunNo)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, target, body)
	if err != nil {
		return errkind.New(errkind.Internal, "build request: %w", err).WithRun(domain.RunNo)
	}
	o.HeaderTimeout, o.ProgressTimeout = o.CallTimeout, o.CallTimeout
	x, err := start(ctx, rt, o, req)
	if err != nil {
		return err
	}
	defer x.close()
	return decodeUnary(x, out)
}

func decodeUnary(x *exchange, out any) error {
	data, err := io.ReadAll(io.LimitReader(x, maxUnaryResponseBytes))
	if err != nil {
		return x.bodyError(err)
	}
	switch status := x.resp.StatusCode; {
	case status == http.StatusConflict:
		return errkind.New(errkind.Conflict, "upstream returned status %s", x.resp.Status)
	case status == http.StatusNotFound:
		return errkind.New(errkind.NotFound, "upstream returned status %s", x.resp.Status)
	case status >= http.StatusMultipleChoices:
		return errkind.New(errkind.UpstreamFailed, "upstream returned status %s", x.resp.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errkind.New(errkind.UpstreamFailed, "decode response: %w", err)
	}
	return nil
}
