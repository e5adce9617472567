package relay_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

var (
	errReset       = errkind.New(errkind.UpstreamFailed, "connection reset")
	errUnreachable = errkind.New(errkind.PeerUnreachable, "connection refused")
	shed           = reply{head: relay.Head{Status: 503, NotRun: true}}
	misdirected    = reply{head: relay.Head{Status: 421, Misdirected: true}}
	failed500      = reply{head: relay.Head{Status: 500, Signed: true}, chunks: []string{"oops"}}
	success        = reply{chunks: []string{"fine"}}
	mismatched     = reply{head: relay.Head{Status: 200, Signed: true, RequestID: "another"}, chunks: []string{"other"}}
	unsigned       = reply{head: relay.Head{Status: 200}, chunks: []string{"x"}}
	truncated      = reply{chunks: []string{"half"}, end: errors.New("unexpected EOF")}
)

// TestAttempts simulates the outcomes of the attempts of one request and checks the
// number of attempts and the caller's result.
func TestAttempts(t *testing.T) {
	cases := []struct {
		name     string
		kind     routes.Kind
		attempts int
		replies  []reply
		calls    int
		body     string // of an answer
		status   int
		wantKind errkind.Kind // of a failure
		run      domain.Run
	}{
		{"first attempt answers", routes.AtMostOnce, 1, []reply{success}, 1, "fine", 200, "", ""},
		{"reset leaves open whether it ran", routes.AtMostOnce, 2, []reply{{err: errReset}}, 1, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"reset of an idempotent request is repeated", routes.Idempotent, 2, []reply{{err: errReset}, success}, 2, "fine", 200, "", ""},
		{"attempts are limited", routes.Idempotent, 2, []reply{{err: errReset}, {err: errReset}}, 2, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"connection refused proves that nothing ran", routes.AtMostOnce, 1, []reply{{err: errUnreachable}, success}, 2, "fine", 200, "", ""},
		{"shed request is sent to another upstream", routes.AtMostOnce, 2, []reply{shed, success}, 2, "fine", 200, "", ""},
		{"shed by the only attempt did not run", routes.AtMostOnce, 1, []reply{shed}, 1, "", 0, errkind.Overloaded, domain.RunNo},
		{"misdirected request is placed again", routes.AtMostOnce, 1, []reply{misdirected, success}, 2, "fine", 200, "", ""},
		{"failure of the upstream is passed on", routes.AtMostOnce, 2, []reply{failed500}, 1, "oops", 500, "", ""},
		{"failure of an idempotent request is repeated", routes.Idempotent, 2, []reply{failed500, success}, 2, "fine", 200, "", ""},
		{"second failure is passed on", routes.Idempotent, 2, []reply{failed500, failed500}, 2, "oops", 500, "", ""},
		{"answer of another request is rejected", routes.AtMostOnce, 2, []reply{mismatched}, 1, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"unsigned success is rejected", routes.AtMostOnce, 2, []reply{unsigned}, 1, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"truncated answer is an error", routes.AtMostOnce, 2, []reply{truncated}, 1, "", 0, errkind.Truncated, domain.RunUnknown},
		{"truncated answer of an idempotent request is repeated", routes.Idempotent, 2, []reply{truncated, success}, 2, "fine", 200, "", ""},
		{"shed after a reset may have run", routes.Idempotent, 2, []reply{{err: errReset}, shed}, 2, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, 3)
			r.upstreams.replies = c.replies
			var got recordingSink
			f := r.Serve(context.Background(), newRequest(c.kind, c.attempts), &got)
			if len(r.upstreams.calls) != c.calls {
				t.Errorf("got %d attempts, want %d", len(r.upstreams.calls), c.calls)
			}
			if c.wantKind == "" {
				if f != nil || got.body != c.body || got.head.Status != c.status {
					t.Fatalf("got failure %v, status %d, body %q, want the answer", f, got.head.Status, got.body)
				}
				return
			}
			if f == nil {
				t.Fatalf("got answer %d %q, want failure %s", got.head.Status, got.body, c.wantKind)
			}
			if f.Kind != c.wantKind || f.Verdict() != c.run {
				t.Errorf("got %s run %s, want %s run %s", f.Kind, f.Verdict(), c.wantKind, c.run)
			}
			if got.body != "" {
				t.Errorf("got body %q, want none", got.body)
			}
		})
	}
}

// TestAttemptsOfOtherNodesCount relays to a node that reports an upstream's failure and
// that it has used up all attempts. The request must not be sent again.
func TestAttemptsOfOtherNodesCount(t *testing.T) {
	r := newFixture(t, 0)
	r.addEastNode()
	remoteReply := failed500
	remoteReply.sent = 2
	r.nodes.replies = []reply{remoteReply, success}
	var got recordingSink
	f := r.Serve(context.Background(), newRequest(routes.Idempotent, 2), &got)
	if f != nil || got.head.Status != 500 {
		t.Errorf("got failure %v, status %d; want the upstream's 500", f, got.head.Status)
	}
	if len(r.nodes.calls) != 1 {
		t.Errorf("got %d relayed attempts, want 1: two upstreams ran it already", len(r.nodes.calls))
	}
}

func TestRelayedFailureKeepsVerdictOfNode(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want domain.Run
	}{
		"refused by the node": {&relay.RemoteError{Failure: errkind.New(errkind.Overloaded, "full").WithRun(domain.RunNo)}, domain.RunNo},
		"connection lost":     {errkind.New(errkind.PeerLost, "reset"), domain.RunUnknown},
		"ran at the node":     {&relay.RemoteError{Failure: errkind.New(errkind.Truncated, "cut").WithRun(domain.RunUnknown), SendCount: 1}, domain.RunUnknown},
	} {
		r := newFixture(t, 0)
		r.addEastNode()
		r.nodes.replies = []reply{{err: c.err}}
		f := r.Serve(context.Background(), newRequest(routes.AtMostOnce, 2), &recordingSink{})
		if f == nil || f.Verdict() != c.want {
			t.Errorf("%s: got %+v, want run %s", name, f, c.want)
		}
	}
}

// TestRelayedRequestIsNotRelayedAgain sends a relayed request to a node that has no
// upstream while another region has capacity. The node must refuse it.
func TestRelayedRequestIsNotRelayedAgain(t *testing.T) {
	r := newFixture(t, 0)
	r.addEastNode()
	req := newRequest(routes.Idempotent, 2)
	req.Relayed = true
	f := r.Serve(context.Background(), req, &recordingSink{})
	if f == nil || f.Verdict() != domain.RunNo || len(r.nodes.calls) > 0 {
		t.Errorf("got failure %v and %d relayed attempts, want a refusal and none", f, len(r.nodes.calls))
	}
}

func TestForbiddenRegionsAreNotUsed(t *testing.T) {
	r := newFixture(t, 1)
	r.addEastNode()
	req := newRequest(routes.Idempotent, 2)
	req.Route.Regions = []domain.Region{"south"}
	f := r.Serve(context.Background(), req, &recordingSink{})
	if f == nil || len(r.upstreams.calls)+len(r.nodes.calls) > 0 {
		t.Fatal("got an attempt in a region that the route does not allow")
	}
	if f.RetryDelay() <= 0 {
		t.Error("got no retry delay in the refusal")
	}
}

func TestDeadlineExpiryReportsUnknownRun(t *testing.T) {
	r := newFixture(t, 1)
	r.upstreams.replies = []reply{{hang: true}}
	req := newRequest(routes.AtMostOnce, 1)
	req.Deadline = req.Arrived.Add(50 * time.Millisecond)
	f := r.Serve(context.Background(), req, &recordingSink{})
	if f == nil || f.Kind != errkind.Timeout || f.Verdict() != domain.RunUnknown {
		t.Errorf("got %+v, want a timeout with an unknown run", f)
	}
}

// TestRequestThatWasNeverSentIsRefused guards against answers of 502 or 504, which promise nothing, to
// requests of which it is certain that they reached no upstream.
func TestRequestThatWasNeverSentIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		local int
		reply reply
	}{
		"deadline before the connection": {1, reply{err: errkind.New(errkind.PeerUnreachable, "connect"), delay: 310 * time.Millisecond}},
		"no stream to the other node":    {0, reply{err: errkind.New(errkind.PeerUnreachable, "no stream"), delay: 310 * time.Millisecond}},
		"the other node did not send it": {0, reply{err: &relay.RemoteError{Failure: errkind.New(errkind.UpstreamFailed, "x").WithRun(domain.RunNo)}}},
	} {
		r := newFixture(t, c.local)
		if c.local == 0 {
			r.addEastNode()
		}
		r.upstreams.replies, r.nodes.replies = []reply{c.reply}, []reply{c.reply}
		req := newRequest(routes.AtMostOnce, 1)
		req.Deadline = req.Arrived.Add(300 * time.Millisecond)
		f := r.Serve(context.Background(), req, &recordingSink{})
		if f == nil || errkind.Lookup(f.Kind).Status != 503 || f.Verdict() != domain.RunNo || f.RetryDelay() <= 0 {
			t.Errorf("%s: got %+v, want a refusal with a retry delay", name, f)
		}
		if len(r.upstreams.calls)+len(r.nodes.calls) != 1 {
			t.Errorf("%s: got attempts at %v and %v, want one", name, r.upstreams.to, r.nodes.to)
		}
	}
}

// fakePlaces grants places in order and records what became of them.
type fakePlaces struct {
	grants   []relay.Place
	refusal  *errkind.Error
	excluded [][]domain.UpstreamID
	reports  []relay.PlaceReport
}

type fakePermit struct {
	p     *fakePlaces
	place relay.Place
}

func (f *fakePermit) Place() relay.Place          { return f.place }
func (f *fakePermit) Release(r relay.PlaceReport) { f.p.reports = append(f.p.reports, r) }

func (p *fakePlaces) Acquire(_ context.Context, _ *relay.Request, _ time.Time, excluded []domain.UpstreamID) (relay.Permit, *errkind.Error) {
	p.excluded = append(p.excluded, excluded)
	if len(p.grants) == 0 {
		return nil, p.refusal
	}
	place := p.grants[0]
	p.grants = p.grants[1:]
	return &fakePermit{p, place}, nil
}

// TestAttemptsUseGrantedPlaces guards against places that are not returned, and against attempts
// elsewhere than at the place that was granted.
func TestAttemptsUseGrantedPlaces(t *testing.T) {
	u1, u2, east := relay.Place{Instance: "u1", Region: "west"}, relay.Place{Instance: "u2", Region: "west"}, relay.Place{Instance: "v", Region: "east"}
	unknown := relay.Place{Instance: "u9", Region: "west"}
	refusal := errkind.New(errkind.Overloaded, "full").WithRetryAfter(time.Second)
	shed := reply{head: relay.Head{Status: 503, NotRun: true, RequestID: "r1"}}
	for name, c := range map[string]struct {
		places   fakePlaces
		replies  []reply
		remote   bool
		sentTo   string
		outcomes []instances.Outcome
		refused  bool
	}{
		"place of the region":            {places: fakePlaces{grants: []relay.Place{u2}}, replies: []reply{success}, sentTo: "u2", outcomes: []instances.Outcome{instances.Answered}},
		"place that the node cannot use": {places: fakePlaces{grants: []relay.Place{unknown, u1}}, replies: []reply{success}, sentTo: "u1", outcomes: []instances.Outcome{instances.Canceled, instances.Answered}},
		"rejected by the upstream":       {places: fakePlaces{grants: []relay.Place{u1, u2}}, replies: []reply{shed, success}, sentTo: "u2", outcomes: []instances.Outcome{instances.Shed, instances.Answered}},
		"place of another region":        {places: fakePlaces{grants: []relay.Place{east}}, replies: []reply{success}, remote: true, sentTo: "e1", outcomes: []instances.Outcome{instances.Answered}},
		"refused by the broker":          {places: fakePlaces{refusal: refusal}, refused: true},
	} {
		r := newFixture(t, 2)
		r.addEastNode()
		r.Places = &c.places
		target := r.upstreams
		if c.remote {
			target = r.nodes
		}
		target.replies = c.replies
		f := r.Serve(context.Background(), newRequest(routes.AtMostOnce, 2), &recordingSink{})
		switch {
		case c.refused && (f == nil || f.Kind != errkind.Overloaded || f.RetryDelay() != time.Second || len(r.upstreams.calls)+len(r.nodes.calls) > 0):
			t.Errorf("%s: got %+v, want the broker's refusal", name, f)
		case !c.refused && (f != nil || target.to[len(target.to)-1] != c.sentTo):
			t.Errorf("%s: got failure %+v and attempts at %v, want an answer of %s", name, f, target.to, c.sentTo)
		}
		var outcomes []instances.Outcome
		for _, report := range c.places.reports {
			outcomes = append(outcomes, report.Outcome)
		}
		if !slices.Equal(outcomes, c.outcomes) {
			t.Errorf("%s: got places returned with outcomes %v, want %v", name, outcomes, c.outcomes)
		}
		if n := len(c.places.excluded); n > 1 && len(c.places.excluded[n-1]) != n-1 {
			t.Errorf("%s: the last place was asked for without %v, want without those used before", name, c.places.excluded[n-1])
		}
	}
}

// TestGrantedPlaceIsHonoured: the node of the other region runs the request there without asking again.
func TestGrantedPlaceIsHonoured(t *testing.T) {
	r := newFixture(t, 3)
	r.Places = &fakePlaces{refusal: errkind.New(errkind.Overloaded, "full")}
	r.upstreams.replies = []reply{success}
	req := newRequest(routes.AtMostOnce, 1)
	req.Relayed, req.Place = true, &relay.Place{Instance: "u3", Region: "west"}
	if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil || r.upstreams.to[0] != "u3" {
		t.Errorf("got failure %+v and attempts at %v, want an answer of u3", f, r.upstreams.to)
	}
}

func TestCanceledRequestIsNotRetried(t *testing.T) {
	r := newFixture(t, 2)
	r.upstreams.replies = []reply{{hang: true}, success}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	f := r.Serve(ctx, newRequest(routes.Idempotent, 2), &recordingSink{})
	if f == nil || !f.CallerDisconnected || len(r.upstreams.calls) != 1 {
		t.Errorf("got %+v after %d attempts, want a canceled request after 1", f, len(r.upstreams.calls))
	}
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	r := newFixture(t, 3)
	for i := range 2000 {
		r.upstreams.replies = []reply{{err: errReset}, success}
		req := newRequest(routes.Idempotent, 2)
		if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil {
			if i < 20 { // the slack alone allows this many
				t.Fatalf("request %d failed within the slack: %v", i, f)
			}
			return
		}
	}
	t.Error("got 2000 retries for 2000 requests, want the budget to refuse some")
}

// TestRelayedRequestGoesToFailureDomainOfPrompt checks that the request is sent to a
// node in the failure domain of the engine that has the prompt in its cache, so that the
// body crosses no failure domain.
func TestRelayedRequestGoesToFailureDomainOfPrompt(t *testing.T) {
	for _, promptDomain := range []domain.FailureDomain{"east-a", "east-b"} {
		r := newFixture(t, 0)
		r.addEastNode()
		now := time.Now()
		for _, fd := range []domain.FailureDomain{"east-a", "east-b"} {
			node := peers.Member{ID: domain.NodeID("n-" + fd), Place: domain.Place{Region: "east", FailureDomain: fd}, State: domain.NodeServing, HeartbeatCounter: 1}
			r.Members.Merge(now, &node, nil)
		}
		r.Catalog.Put(now, instances.Instance{ID: "engine", Service: "app", Address: "x:1", Place: domain.Place{Region: "east", FailureDomain: promptDomain}, Slots: 4})
		r.nodes.replies = []reply{{chunks: []string{"whole"}}}
		req := newRequest(routes.Idempotent, 1)
		req.Prompt = relay.Prompt{InputTokens: 17000, Parts: []placement.Part{{ID: 7, Tokens: 13000}, {ID: 8, Tokens: 4000}}}
		if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil {
			t.Fatal(f)
		}
		if want := "n-" + string(promptDomain); len(r.nodes.to) != 1 || r.nodes.to[0] != want {
			t.Errorf("got nodes %v, want %s", r.nodes.to, want)
		}
	}
}

// A repeatable request whose upstream breaks its connection after the objective still has
// time for another attempt.
func TestRequestThatFailsAfterItsObjectiveIsSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.upstreams.replies = []reply{{chunks: []string{"par", "t"}, pause: 800 * time.Millisecond, end: errors.New("reset")}, {chunks: []string{"whole"}}}
		sink := &recordingSink{}
		if failure := f.Serve(context.Background(), newRequest(routes.Idempotent, 2), sink); failure != nil || sink.body != "whole" {
			t.Errorf("got failure %v and body %q, want the answer of the second upstream", failure, sink.body)
		}
	})
}

// TestLongPrefillIsNotTakenForSilence guards against sending a long prompt to a second upstream
// while the first one still prefills it, which doubles the load when it is highest.
func TestLongPrefillIsNotTakenForSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, err := routes.New(1, nil, []routes.Service{{Name: "app", Engine: &routes.Engine{Slots: 4}}}, routes.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		r := newFixture(t, 2)
		r.Catalog.Configure(table)
		r.upstreams.replies = []reply{{delay: time.Second, chunks: []string{"id: 1\n\n"}}}
		req := newRequest(routes.Streaming, 2)
		req.Route.Resumable, req.Route.Objective = true, 800*time.Millisecond
		req.Prompt.InputTokens = 40000 // half a second at the assumed rate
		if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil {
			t.Errorf("the request failed: %v", f)
		}
		if n := len(r.upstreams.calls); n != 1 {
			t.Errorf("the request was sent %d times, want once", n)
		}
	})
}
