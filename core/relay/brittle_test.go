package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/routes"
)

// TestRequestRejectedByBrittleUpstreamIsNotSentToTheNext guards against rejections that go round all
// upstreams of a full service.
func TestRequestRejectedByBrittleUpstreamIsNotSentToTheNext(t *testing.T) {
	for _, kind := range []routes.Kind{routes.AtMostOnce, routes.Idempotent, routes.Streaming} {
		r := newFixture(t, 3)
		r.upstreams.replies = []reply{shed, success}
		now := time.Now()
		r.Catalog.Pool("app").RecordBrittle(now, now, instances.ReportedLoad{Brittle: true, MaxRejections: 3})
		f := r.Serve(context.Background(), newRequest(kind, 3), &recordingSink{})
		if f == nil || f.Kind != errkind.Overloaded || f.Verdict() != domain.RunNo || f.RetryDelay() <= 0 {
			t.Errorf("%v: got failure %+v, want one that says that the request has not run and when to retry", kind, f)
		}
		if n := len(r.upstreams.calls); n != 1 {
			t.Errorf("%v: the request was sent %d times, want once", kind, n)
		}
	}
}
