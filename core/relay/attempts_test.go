package relay_test

import (
	"context"
	"errors"
	"testing"
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
	failed500      = reply{head: relay.Head{Status: 500, Sealed: true}, chunks: []string{"oops"}}
	good           = reply{chunks: []string{"fine"}}
	crossed        = reply{head: relay.Head{Status: 200, Sealed: true, RequestID: "another"}, chunks: []string{"other"}}
	unsealed       = reply{head: relay.Head{Status: 200}, chunks: []string{"x"}}
	truncated      = reply{chunks: []string{"half"}, end: errors.New("unexpected EOF")}
)

// TestAttempts plays what upstreams do with the attempts of one request, and
// checks how many follow and what the caller is told.
func TestAttempts(t *testing.T) {
	cases := []struct {
		name     string
		kind     routes.Kind
		attempts int
		replies  []reply
		calls    int
		body     string // of an answer
		status   int
		kindOf   errkind.Kind // of a failure
		run      domain.Run
	}{
		{"first attempt answers", routes.AtMostOnce, 1, []reply{good}, 1, "fine", 200, "", ""},
		{"reset leaves open if it ran", routes.AtMostOnce, 2, []reply{{err: errReset}}, 1, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"reset of an idempotent request is repeated", routes.Idempotent, 2, []reply{{err: errReset}, good}, 2, "fine", 200, "", ""},
		{"attempts are bounded", routes.Idempotent, 2, []reply{{err: errReset}, {err: errReset}}, 2, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"no connection, so nothing ran", routes.AtMostOnce, 1, []reply{{err: errUnreachable}, good}, 2, "fine", 200, "", ""},
		{"shed request goes elsewhere", routes.AtMostOnce, 2, []reply{shed, good}, 2, "fine", 200, "", ""},
		{"shed by the only attempt did not run", routes.AtMostOnce, 1, []reply{shed}, 1, "", 0, errkind.Overloaded, domain.RunNo},
		{"misdirected request looks again", routes.AtMostOnce, 1, []reply{misdirected, good}, 2, "fine", 200, "", ""},
		{"failure of the upstream is passed on", routes.AtMostOnce, 2, []reply{failed500}, 1, "oops", 500, "", ""},
		{"failure of an idempotent request is repeated", routes.Idempotent, 2, []reply{failed500, good}, 2, "fine", 200, "", ""},
		{"second failure is passed on", routes.Idempotent, 2, []reply{failed500, failed500}, 2, "oops", 500, "", ""},
		{"crossed answer is no answer", routes.AtMostOnce, 2, []reply{crossed}, 1, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"unsigned success is no answer", routes.AtMostOnce, 2, []reply{unsealed}, 1, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
		{"cut answer of a call never looks whole", routes.AtMostOnce, 2, []reply{truncated}, 1, "", 0, errkind.Truncated, domain.RunUnknown},
		{"cut answer of an idempotent request is repeated", routes.Idempotent, 2, []reply{truncated, good}, 2, "fine", 200, "", ""},
		{"shed after a reset may have run", routes.Idempotent, 2, []reply{{err: errReset}, shed}, 2, "", 0, errkind.UpstreamFailed, domain.RunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3)
			r.upstreams.replies = c.replies
			var got caller
			f := r.Serve(context.Background(), request(c.kind, c.attempts), &got)
			if len(r.upstreams.calls) != c.calls {
				t.Errorf("%d attempts, want %d", len(r.upstreams.calls), c.calls)
			}
			if c.kindOf == "" {
				if f != nil || got.body != c.body || got.head.Status != c.status {
					t.Fatalf("failure %v, status %d, body %q", f, got.head.Status, got.body)
				}
				return
			}
			if f == nil {
				t.Fatalf("answered %d %q, want %s", got.head.Status, got.body, c.kindOf)
			}
			if f.Kind != c.kindOf || f.Verdict() != c.run {
				t.Errorf("got %s run %s, want %s run %s", f.Kind, f.Verdict(), c.kindOf, c.run)
			}
			if got.body != "" {
				t.Errorf("the caller got %q", got.body)
			}
		})
	}
}

// TestAttemptsCountOverNodes: another node used up the attempts before its
// upstream's failure came back.
func TestAttemptsCountOverNodes(t *testing.T) {
	r := newRig(t, 0)
	r.withEast()
	through := failed500
	through.sent = 2
	r.nodes.replies = []reply{through, good}
	var got caller
	f := r.Serve(context.Background(), request(routes.Idempotent, 2), &got)
	if f != nil || got.head.Status != 500 {
		t.Errorf("failure %v, status %d; want the upstream's 500", f, got.head.Status)
	}
	if len(r.nodes.calls) != 1 {
		t.Errorf("sent to %d nodes, want 1: two upstreams ran it already", len(r.nodes.calls))
	}
}

func TestRelayedRefusalTellsTheTruth(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want domain.Run
	}{
		"refused there":   {&relay.RemoteError{Failure: errkind.New(errkind.Overloaded, "full").WithRun(domain.RunNo)}, domain.RunNo},
		"connection lost": {errkind.New(errkind.PeerLost, "reset"), domain.RunUnknown},
		"ran there":       {&relay.RemoteError{Failure: errkind.New(errkind.Truncated, "cut").WithRun(domain.RunUnknown), Sent: 1}, domain.RunUnknown},
	} {
		r := newRig(t, 0)
		r.withEast()
		r.nodes.replies = []reply{{err: c.err}}
		f := r.Serve(context.Background(), request(routes.AtMostOnce, 2), &caller{})
		if f == nil || f.Verdict() != c.want {
			t.Errorf("%s: %+v, want run %s", name, f, c.want)
		}
	}
}

// TestRelayedRequestIsNeverPassedOn: a node that was sent a request runs or
// refuses it, even if another region has room.
func TestRelayedRequestIsNeverPassedOn(t *testing.T) {
	r := newRig(t, 0)
	r.withEast()
	req := request(routes.Idempotent, 2)
	req.Relayed = true
	f := r.Serve(context.Background(), req, &caller{})
	if f == nil || f.Verdict() != domain.RunNo || len(r.nodes.calls) > 0 {
		t.Errorf("failure %v, %d nodes asked", f, len(r.nodes.calls))
	}
}

func TestForbiddenRegionsAreNotUsed(t *testing.T) {
	r := newRig(t, 1)
	r.withEast()
	req := request(routes.Idempotent, 2)
	req.Route.Regions = []domain.Region{"south"}
	f := r.Serve(context.Background(), req, &caller{})
	if f == nil || len(r.upstreams.calls)+len(r.nodes.calls) > 0 {
		t.Error("a request ran in a region that its route forbids")
	}
	if f.Advice() <= 0 {
		t.Error("the refusal does not say when to come back")
	}
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	r := newRig(t, 1)
	r.upstreams.replies = []reply{{hang: true}}
	req := request(routes.AtMostOnce, 1)
	req.Deadline = req.Arrived.Add(50 * time.Millisecond)
	f := r.Serve(context.Background(), req, &caller{})
	if f == nil || f.Kind != errkind.Timeout || f.Verdict() != domain.RunUnknown {
		t.Errorf("got %+v, want a time-out that leaves open if it ran", f)
	}
}

func TestCallerThatLeftIsNotServedAgain(t *testing.T) {
	r := newRig(t, 2)
	r.upstreams.replies = []reply{{hang: true}, good}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	f := r.Serve(ctx, request(routes.Idempotent, 2), &caller{})
	if f == nil || !f.CallerLeft || len(r.upstreams.calls) != 1 {
		t.Errorf("got %+v after %d attempts", f, len(r.upstreams.calls))
	}
}

func TestRetryBudgetBoundsRepeats(t *testing.T) {
	r := newRig(t, 3)
	for i := range 2000 {
		r.upstreams.replies = []reply{{err: errReset}, good}
		req := request(routes.Idempotent, 2)
		if f := r.Serve(context.Background(), req, &caller{}); f != nil {
			if i < 20 { // the slack alone allows as many
				t.Fatalf("request %d: %v", i, f)
			}
			return
		}
	}
	t.Error("2000 repeats for 2000 requests: the budget was not asked")
}

// TestRelayedPromptGoesToItsFailureDomain: the node that is asked stands where the
// engine does that holds the prompt, so that the body crosses no failure domain.
func TestRelayedPromptGoesToItsFailureDomain(t *testing.T) {
	for _, holder := range []domain.FailureDomain{"east-a", "east-b"} {
		r := newRig(t, 0)
		r.withEast()
		now := time.Now()
		for _, fd := range []domain.FailureDomain{"east-a", "east-b"} {
			node := peers.Member{ID: domain.NodeID("n-" + fd), Place: domain.Place{Region: "east", FailureDomain: fd}, State: domain.NodeServing, Beat: 1}
			r.Members.Heard(now, &node, nil)
		}
		r.Catalog.Put(now, instances.Instance{ID: "engine", Service: "app", Address: "x:1", Place: domain.Place{Region: "east", FailureDomain: holder}, Slots: 4})
		r.nodes.replies = []reply{{chunks: []string{"whole"}}}
		req := request(routes.Idempotent, 1)
		req.Prompt = relay.Prompt{Input: 17000, Parts: []placement.Part{{ID: 7, Tokens: 13000}, {ID: 8, Tokens: 4000}}}
		if f := r.Serve(context.Background(), req, &caller{}); f != nil {
			t.Fatal(f)
		}
		if want := "n-" + string(holder); len(r.nodes.to) != 1 || r.nodes.to[0] != want {
			t.Errorf("sent to %v, want %s", r.nodes.to, want)
		}
	}
}
