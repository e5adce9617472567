package relay_test

import (
	"context"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// TestRefusalOfAnotherRequestIsNotTakenForThisOne: a faulty upstream writes an earlier refusal once more
// on a kept connection.
func TestRefusalOfAnotherRequestIsNotTakenForThisOne(t *testing.T) {
	for name, head := range map[string]relay.Head{
		"not run":     {Status: 503, NotRun: true, RequestID: "earlier"},
		"misdirected": {Status: 421, Misdirected: true, RequestID: "earlier"},
		"not run, without an ID on a kept connection":     {Status: 503, NotRun: true, Reused: true},
		"misdirected, without an ID on a kept connection": {Status: 421, Misdirected: true, Reused: true},
	} {
		for _, kind := range []routes.Kind{routes.AtMostOnce, routes.Streaming} {
			r := newFixture(t, 3)
			r.upstreams.replies = []reply{{head: head}, success}
			f := r.Serve(context.Background(), newRequest(kind, 3), &recordingSink{})
			if f == nil || f.Kind != errkind.UpstreamFailed || f.Verdict() != domain.RunUnknown {
				t.Errorf("%s, %v: got failure %+v, want one that leaves open whether the request ran", name, kind, f)
			}
			if n := len(r.upstreams.calls); n != 1 {
				t.Errorf("%s, %v: the request was sent %d times, want once", name, kind, n)
			}
		}
	}
}

// TestRequestThatWasNotSentInTimeIsPlacedAgain: what was known of its upstream may have changed.
func TestRequestThatWasNotSentInTimeIsPlacedAgain(t *testing.T) {
	for _, kind := range []routes.Kind{routes.AtMostOnce, routes.Idempotent} {
		r := newFixture(t, 3)
		r.upstreams.replies = []reply{{err: relay.ErrOutdated}, success}
		req := newRequest(kind, 1)
		if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil || req.SendCount != 1 {
			t.Errorf("%v: got failure %+v after %d sends, want an answer after 1", kind, f, req.SendCount)
		}
	}
}
