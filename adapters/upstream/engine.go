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

// Headers and paths of the upstreams' interface.
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

const maxShortAnswerBytes = 4 << 20

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

// Close waits for the cancel requests under way and closes idle connections.
func (e *Engine) Close() {
	e.cancels.Wait()
	e.rt.CloseIdleConnections()
}

// Generate implements ports.Engine. A refusal by the engine (status 429 or
// 503) is of kind overloaded with verdict "no", any other 5xx is of kind
// upstream_failed, and other answers are passed on.
func (e *Engine) Generate(ctx context.Context, up domain.UpstreamRef, g ports.GenerateRequest) (answer.Stream, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+up.Address+PathCompletions, bytes.NewReader(g.Body))
	if err != nil {
		return nil, errkind.New(errkind.Internal, "build request: %w", err).WithRun(domain.RunNo)
	}
	setGenerateHeaders(req.Header, g)
	allowReplay(req.Header)
	o := e.o
	if !g.Stream {
		o.HeadTimeout = o.WholeTimeout
	}
	x, err := start(ctx, e.rt, o, req)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode >= http.StatusInternalServerError || x.resp.StatusCode == http.StatusTooManyRequests {
		defer x.close()
		return nil, refusal(x.resp)
	}
	abandoned := func() { e.cancelLater(up, g.RequestID) }
	if strings.HasPrefix(x.resp.Header.Get("Content-Type"), "text/event-stream") {
		return &EventStream{x: x, up: up, r: sseReader{src: x}, abandoned: abandoned}, nil
	}
	return &bodyStream{x: x, up: up, abandoned: abandoned}, nil
}

func setGenerateHeaders(h http.Header, g ports.GenerateRequest) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, string(g.RequestID))
	// An empty value is not sent. It lets net/http send the generation again when
	// a pooled connection proves stale.
	h[replayNames[0]] = []string{}
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

func refusal(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		e := errkind.New(errkind.Overloaded, "engine answered %s", resp.Status).WithRun(domain.RunNo)
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			return e.WithRetryAfter(time.Duration(s) * time.Second)
		}
		return e
	}
	return errkind.New(errkind.UpstreamFailed, "engine answered %s", resp.Status)
}

// cancelLater cancels a generation without making the caller wait.
func (e *Engine) cancelLater(up domain.UpstreamRef, id domain.RequestID) {
	e.cancels.Go(func() {
		_ = e.Cancel(context.Background(), up, id) // the broken connection tells the engine too
	})
}

// Cancel implements ports.Engine.
func (e *Engine) Cancel(ctx context.Context, up domain.UpstreamRef, id domain.RequestID) error {
	err := e.short(ctx, http.MethodPost, up, PathCancel+url.PathEscape(string(id)), nil, nil)
	if errkind.From(err) != nil && errkind.From(err).Kind == errkind.NotFound {
		return nil
	}
	return err
}

// Load implements ports.Engine.
func (e *Engine) Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	var report domain.LoadReport
	err := e.short(ctx, http.MethodGet, up, PathLoad, nil, &report)
	return report, err
}

// Order implements ports.Engine. An engine that refuses the fencing number
// gives kind conflict.
func (e *Engine) Order(ctx context.Context, up domain.UpstreamRef, o ports.EngineOrder) error {
	return e.short(ctx, http.MethodPost, up, PathOrders, o, nil)
}

// CacheEvents implements ports.Engine.
func (e *Engine) CacheEvents(ctx context.Context, up domain.UpstreamRef, after uint64) ([]ports.CacheEvent, error) {
	var events []ports.CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := e.short(ctx, http.MethodGet, up, path, nil, &events)
	return events, err
}

func (e *Engine) short(ctx context.Context, method string, up domain.UpstreamRef, path string, in, out any) error {
	return shortCall(ctx, e.rt, e.o, method, "http://"+up.Address+path, in, out)
}

// shortCall sends one small JSON request and decodes its answer into out.
func shortCall(ctx context.Context, rt http.RoundTripper, o Options, method, target string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errkind.New(errkind.Internal, "encode: %w", err).WithRun(domain.RunNo)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, target, body)
	if err != nil {
		return errkind.New(errkind.Internal, "build request: %w", err).WithRun(domain.RunNo)
	}
	o.HeadTimeout, o.ProgressTimeout = o.CallTimeout, o.CallTimeout
	x, err := start(ctx, rt, o, req)
	if err != nil {
		return err
	}
	defer x.close()
	return decodeShort(x, out)
}

func decodeShort(x *exchange, out any) error {
	data, err := io.ReadAll(io.LimitReader(x, maxShortAnswerBytes))
	if err != nil {
		return x.bodyError(err)
	}
	switch status := x.resp.StatusCode; {
	case status == http.StatusConflict:
		return errkind.New(errkind.Conflict, "upstream answered %s", x.resp.Status)
	case status == http.StatusNotFound:
		return errkind.New(errkind.NotFound, "upstream answered %s", x.resp.Status)
	case status >= http.StatusMultipleChoices:
		return errkind.New(errkind.UpstreamFailed, "upstream answered %s", x.resp.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errkind.New(errkind.UpstreamFailed, "decode answer: %w", err)
	}
	return nil
}
