package relay_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

// TestSilentAttemptIsKeptWithoutAnotherUpstream guards against answers that are given up although nothing can replace
// them.
func TestSilentAttemptIsKeptWithoutAnotherUpstream(t *testing.T) {
	stream := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	resumable := streaming(2, true)
	resumable.Route.MaxEventGap = 400 * time.Millisecond
	for name, c := range map[string]struct {
		request *relay.Request
		reply   reply
	}{
		"idempotent, pending":                 {newRequest(routes.Idempotent, 2), reply{delay: 3 * time.Second, chunks: []string{"whole"}}},
		"resumable stream, pending":           {streaming(2, true), reply{delay: 1800 * time.Millisecond, chunks: stream}},
		"resumable stream, under way":         {resumable, reply{chunks: stream, pause: 2900 * time.Millisecond}},
		"resumable stream, sends parts of it": {resumable, reply{chunks: append([]string{stream[0]}, strings.Split("id: 2\ndata: b\n\n", "")...), pause: 250 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				f.upstreams.replies = []reply{c.reply}
				now := time.Now()
				c.request.Arrived, c.request.Deadline = now, now.Add(5*time.Second)
				sink := &recordingSink{}
				if failure := f.Serve(context.Background(), c.request, sink); failure != nil || sink.body != strings.Join(c.reply.chunks, "") {
					t.Errorf("got failure %v and body %q, want the whole answer", failure, sink.body)
				}
			})
		})
	}
}

// TestLargeAnswerThatPausesIsNotBrokenOff guards against the end of an answer whose beginning the caller has, so that no
// other can follow.
func TestLargeAnswerThatPausesIsNotBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		large := strings.Repeat("x", 80<<10)
		f.upstreams.replies = []reply{{chunks: []string{large, "end"}, pause: 2500 * time.Millisecond}, {chunks: []string{"other"}}}
		sink := &recordingSink{}
		if failure := f.Serve(context.Background(), newRequest(routes.Idempotent, 2), sink); failure != nil || sink.body != large+"end" {
			t.Errorf("got failure %v and %d bytes, want the whole answer", failure, len(sink.body))
		}
	})
}

// TestMoveAfterSilence guards against requests that are sent elsewhere during the silence of a sound upstream without a
// gain, and against those that are left at an upstream that is silent for longer.
func TestMoveAfterSilence(t *testing.T) {
	for name, c := range map[string]struct {
		kind                routes.Kind
		objective, deadline time.Duration
		after               time.Duration // zero if the request is not to be moved during a silence of 1.3 s
	}{
		"idempotent, late in any case":  {routes.Idempotent, 500 * time.Millisecond, 5 * time.Second, 0},
		"idempotent, in time elsewhere": {routes.Idempotent, 2 * time.Second, 5 * time.Second, 700 * time.Millisecond},
		"idempotent, with a close end":  {routes.Idempotent, 500 * time.Millisecond, 1400 * time.Millisecond, 700 * time.Millisecond},
		"resumable stream, in time":     {routes.Streaming, 2 * time.Second, 5 * time.Second, 0},
		"resumable stream, late":        {routes.Streaming, 500 * time.Millisecond, 5 * time.Second, 0},
	} {
		for _, silence := range []time.Duration{1300 * time.Millisecond, time.Minute} {
			t.Run(name+", "+silence.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, 2)
					f.upstreams.replies = []reply{{delay: silence, chunks: []string{"id: 1\n\n"}}, {chunks: []string{"id: 1\n\n"}}}
					r := newRequest(c.kind, 2)
					r.Route.Resumable, r.Route.Objective, r.Deadline = c.kind == routes.Streaming, c.objective, r.Arrived.Add(c.deadline)
					if failure := f.Serve(context.Background(), r, &recordingSink{}); failure != nil {
						t.Fatalf("got failure %v, want an answer", failure)
					}
					after := c.after
					if after == 0 {
						after = min(silence, 1500*time.Millisecond)
					}
					want := 2
					if silence < time.Minute && c.after == 0 {
						want = 1
					}
					if took := time.Since(r.Arrived); len(f.upstreams.calls) != want || took < after || took > after+400*time.Millisecond {
						t.Errorf("got %d attempts and an answer after %v, want %d and %v", len(f.upstreams.calls), took, want, after)
					}
				})
			})
		}
	}
}
