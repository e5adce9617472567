package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/quota"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

type plainDialect struct{ Dialect }

func (plainDialect) ParseRequest(http.Header) (RequestInfo, error) { return RequestInfo{ID: "q"}, nil }
func (plainDialect) StripInternalHeaders(http.Header)              {}
func (plainDialect) SetRetryAfter(http.Header, time.Duration)      {}

type noMetrics struct{}

func (noMetrics) Count(string, int64)           {}
func (noMetrics) Observe(string, time.Duration) {}

type failingServer struct{ failure *relay.Failure }

func (s failingServer) Serve(_ context.Context, _ *relay.Request, sink relay.Sink) *relay.Failure {
	if s.failure == nil {
		_ = sink.Begin(relay.Head{Status: http.StatusOK}) // the recorder does not fail
	}
	return s.failure
}

// TestChargeIsReturnedUnlessTheRequestMayHaveRun guards against quotas that refused requests use
// up, and against requests that run without counting.
func TestChargeIsReturnedUnlessTheRequestMayHaveRun(t *testing.T) {
	failure := func(k errkind.Kind) *relay.Failure { return &relay.Failure{Error: errkind.New(k, "test")} }
	cases := []struct {
		name     string
		failure  *relay.Failure
		body     string
		returned bool
	}{
		{"served", nil, "x", false},
		{"refused", failure(errkind.Overloaded), "x", true},
		{"may have run", failure(errkind.UpstreamFailed), "x", false},
		{"body is too large", nil, "too large", true},
	}
	table, err := routes.New(1, []routes.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Idempotent, Timeout: time.Second, MaxAttempts: 1,
		Split: []routes.WeightedService{{Service: "app", Weight: 1}}}},
		[]routes.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 1}}, routes.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 5, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		returned := 0.0
		h := New(Config{
			Dialect: plainDialect{}, Engine: failingServer{c.failure}, Table: func() *routes.Table { return table },
			CheckAccepting: func(context.Context) *errkind.Error { return nil }, Accept: func(*relay.Request) *errkind.Error { return nil },
			Authorize: func(http.Header, *routes.Route, *routes.Table) (*routes.Account, *errkind.Error) {
				return &routes.Account{Name: "a"}, nil
			},
			Charge: func(_ context.Context, r *relay.Request) *errkind.Error {
				r.Charge = quota.Charge{Tokens: 7}
				return nil
			},
			Refund:           func(r *relay.Request) { returned += r.Charge.Tokens },
			CloseConnections: func() bool { return false }, Log: event.Discard{}, Metrics: noMetrics{}, MaxRequests: func() int64 { return 10 }, MaxTotalBodyBytes: 1000,
		})
		r := httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader(c.body))
		r.RequestURI = "/x"
		h.ServeHTTP(httptest.NewRecorder(), r)
		if want := map[bool]float64{true: 7}[c.returned]; returned != want {
			t.Errorf("%s: %v tokens returned, want %v", c.name, returned, want)
		}
	}
}

// TestDeniedChargeIsRefusedBeforeTheBody guards against bodies that are read for requests beyond
// the quota.
func TestDeniedChargeIsRefusedBeforeTheBody(t *testing.T) {
	table, err := routes.New(1, []routes.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Idempotent, Timeout: time.Second, MaxAttempts: 1,
		Split: []routes.WeightedService{{Service: "app", Weight: 1}}}},
		[]routes.Service{{Name: "app", HealthPath: "/healthz", MaxConnections: 1}}, routes.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 5, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	h := New(Config{
		Dialect: plainDialect{}, Engine: failingServer{}, Table: func() *routes.Table { return table },
		CheckAccepting: func(context.Context) *errkind.Error { return nil }, Accept: func(*relay.Request) *errkind.Error { return nil },
		Authorize: func(http.Header, *routes.Route, *routes.Table) (*routes.Account, *errkind.Error) {
			return &routes.Account{Name: "a"}, nil
		},
		Charge: func(context.Context, *relay.Request) *errkind.Error {
			return errkind.New(errkind.LimitExceeded, "test").WithRun(domain.RunNo)
		},
		Refund:           func(*relay.Request) { t.Error("a charge was returned that was not made") },
		CloseConnections: func() bool { return false }, Log: event.Discard{}, Metrics: noMetrics{}, MaxRequests: func() int64 { return 10 }, MaxTotalBodyBytes: 1000,
	})
	body := readerFunc(func([]byte) (int, error) {
		t.Error("the body was read")
		return 0, http.ErrBodyReadAfterClose
	})
	r := httptest.NewRequest(http.MethodPost, "http://h/x", body)
	r.RequestURI = "/x"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code != http.StatusTooManyRequests {
		t.Errorf("got status %d, want 429", w.Code)
	}
}
