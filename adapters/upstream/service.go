package upstream

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Service implements ports.Service. It is safe for concurrent use.
type Service struct {
	o        Options
	pooled   *http.Transport
	unpooled *http.Transport
}

// NewService returns a client of services without model engines.
func NewService(o Options) *Service {
	o = o.withDefaults()
	return &Service{o: o, pooled: o.pooled(), unpooled: o.unpooled()}
}

// Close closes idle connections.
func (s *Service) Close() { s.pooled.CloseIdleConnections() }

// Call implements ports.Service. It returns every response of the service,
// regardless of its status, and does not follow redirects. A non-repeatable call
// uses a new connection, so that net/http never resends it.
func (s *Service) Call(ctx context.Context, up domain.UpstreamRef, call ports.ServiceRequest) (answer.Stream, error) {
	req, err := newServiceRequest(up, call)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "build request: %w", err)
	}
	rt := s.unpooled
	if call.Repeatable {
		rt = s.pooled
	}
	x, err := start(ctx, rt, s.o, req)
	if err != nil {
		return nil, err
	}
	return &bodyStream{x: x, up: up}, nil
}

func newServiceRequest(up domain.UpstreamRef, call ports.ServiceRequest) (*http.Request, error) {
	path, err := url.PathUnescape(call.Path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(call.Method, "http://"+up.Address, nil)
	if err != nil {
		return nil, err
	}
	req.URL.Path, req.URL.RawPath, req.URL.RawQuery = path, call.Path, call.Query
	req.Header = EndToEnd(call.Header)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // prevents net/http from adding its default
	}
	req.Header.Set(HeaderRequestID, string(call.RequestID))
	if call.OperationID != "" {
		req.Header.Set(HeaderOperationID, string(call.OperationID))
	}
	if !call.Repeatable {
		hideIdempotencyHeaders(req.Header)
	}
	setBody(req, call.Body)
	return req, nil
}

// setBody sets the request body. GetBody remains unset, because a streamed body
// cannot be read twice.
func setBody(req *http.Request, body answer.BodyReader) {
	if body == nil {
		return
	}
	req.Body = io.NopCloser(body)
	req.ContentLength = -1
	if n, err := strconv.ParseInt(req.Header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		req.ContentLength = n
	}
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
}

// Load implements ports.Service.
func (s *Service) Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	var report domain.LoadReport
	err := unaryCall(ctx, s.pooled, s.o, http.MethodGet, "http://"+up.Address+PathLoad, nil, &report)
	return report, err
}
