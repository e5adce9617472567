package relay_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

func streaming(attempts int, resumable bool) *relay.Request {
	r := newRequest(routes.Streaming, attempts)
	r.Route.Resumable = resumable
	return r
}

func TestResumableStreamContinuesAfterLastCompleteEvent(t *testing.T) {
	for _, c := range []struct {
		name        string
		firstChunks []string
		after       string
		want        string
	}{
		{"between events", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "2", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		{"within an event", []string{"id: 1\ndata: a\n\nid: 2\nda", "ta: b"}, "1", "id: 1\ndata: a\n\nid: 3\ndata: c\n\n"},
		{"before the first event", nil, "", "id: 3\ndata: c\n\n"},
		{"with carriage returns", []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"}, "1", "id: 1\r\ndata: a\r\n\r\nid: 3\ndata: c\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, 3)
			r.upstreams.replies = []reply{{chunks: c.firstChunks, end: errors.New("reset")}, {chunks: []string{"id: 3\ndata: c\n\n"}}}
			var got recordingSink
			if f := r.Serve(context.Background(), streaming(2, true), &got); f != nil {
				t.Fatal(f.Error)
			}
			if got.body != c.want {
				t.Errorf("got unexpected body %q", got.body)
			}
			if after := r.upstreams.calls[1].ResumeAfter; after != c.after {
				t.Errorf("got resume after %q, want %q", after, c.after)
			}
		})
	}
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	r := newFixture(t, 3)
	r.upstreams.replies = []reply{{chunks: []string{"id: 1\ndata: a\n\n"}, end: errors.New("reset")}}
	var got recordingSink
	f := r.Serve(context.Background(), streaming(2, false), &got)
	if f == nil || !f.Broken || f.Verdict() != domain.RunUnknown {
		t.Errorf("got %+v, want a broken answer", f)
	}
}

// TestStreamEndingWithinAnEventIsIncomplete has an upstream close its connection cleanly
// in the middle of an event.
func TestStreamEndingWithinAnEventIsIncomplete(t *testing.T) {
	r := newFixture(t, 3)
	r.upstreams.replies = []reply{{chunks: []string{"id: 1\ndata: a\n\nid: 2\nda"}}}
	var got recordingSink
	f := r.Serve(context.Background(), streaming(1, true), &got)
	if f == nil || !f.Broken {
		t.Errorf("got %+v, want a broken answer", f)
	}
	if got.body != "id: 1\ndata: a\n\n" {
		t.Errorf("got unexpected body %q", got.body)
	}
}

func TestCallersResumePositionIsForwarded(t *testing.T) {
	r := newFixture(t, 1)
	r.upstreams.replies = []reply{success}
	req := streaming(2, true)
	req.ResumeAfter = "7"
	r.upstreams.replies[0].chunks = []string{"id: 8\ndata: x\n\n"}
	if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil {
		t.Fatal(f.Error)
	}
	if got := r.upstreams.calls[0].ResumeAfter; got != "7" {
		t.Errorf("got resume after %q, want 7", got)
	}
}

// TestEndlessEventIsAborted sends an event that never ends, which must not use unbounded
// memory.
func TestEndlessEventIsAborted(t *testing.T) {
	r := newFixture(t, 1)
	chunk := string(make([]byte, 64<<10))
	endless := reply{}
	for range 64 {
		endless.chunks = append(endless.chunks, chunk)
	}
	r.upstreams.replies = []reply{endless}
	f := r.Serve(context.Background(), streaming(1, true), &recordingSink{})
	if f == nil {
		t.Error("got a success for an event of 4 MiB, want a failure")
	}
}

// TestPausingStreamIsNotAborted pauses a stream for over a second, as engines do when
// they run out of memory.
func TestPausingStreamIsNotAborted(t *testing.T) {
	r := newFixture(t, 2)
	r.upstreams.replies = []reply{{chunks: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, pause: 1200 * time.Millisecond}}
	var got recordingSink
	if f := r.Serve(context.Background(), streaming(2, true), &got); f != nil {
		t.Fatalf("got failure %v, want the complete stream", f.Error)
	}
	if len(r.upstreams.calls) != 1 {
		t.Errorf("got %d attempts for a stream that paused, want 1", len(r.upstreams.calls))
	}
}

// An upstream that sends comments or a part of an event now and then is not silent, but
// its stream makes no progress.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	for name, drip := range map[string]string{"comments": ": still here\n\n", "an event that does not end": "x"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 2)
			stalled := []string{"id: 1\ndata: a\n\n"}
			for range 40 {
				stalled = append(stalled, drip)
			}
			f.upstreams.replies = []reply{{chunks: stalled, pause: 200 * time.Millisecond}, {chunks: []string{"id: 2\ndata: b\n\n"}}}
			r := streaming(2, true)
			sink := &recordingSink{}
			began := time.Now()
			if failure := f.Serve(context.Background(), r, sink); failure != nil {
				t.Fatalf("%s: got failure %v, want the rest of the stream", name, failure)
			}
			if !strings.HasSuffix(sink.body, "id: 2\ndata: b\n\n") || len(f.upstreams.calls) != 2 || f.upstreams.calls[1].ResumeAfter != "1" {
				t.Errorf("%s: got body %q in %d attempts, want events 1 and 2 in two", name, sink.body, len(f.upstreams.calls))
			}
			if took := time.Since(began); took > 2500*time.Millisecond {
				t.Errorf("%s: the stream was resumed after %v, want before callers give up", name, took)
			}
		})
	}
}

// The objective concerns the first event. A stream that breaks off later still has to be
// completed.
func TestStreamThatBreaksOffAfterItsObjectiveIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.upstreams.replies = []reply{
			{chunks: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, pause: 900 * time.Millisecond, end: errors.New("reset")},
			{chunks: []string{"id: 3\ndata: c\n\n"}},
		}
		sink := &recordingSink{}
		if failure := f.Serve(context.Background(), streaming(2, true), sink); failure != nil || !strings.HasSuffix(sink.body, "id: 3\ndata: c\n\n") {
			t.Errorf("got failure %v and body %q, want the rest of the stream", failure, sink.body)
		}
	})
}

func TestSlowStreamWithNewEventsIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.upstreams.replies = []reply{{chunks: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}, pause: 1500 * time.Millisecond}}
		if failure := f.Serve(context.Background(), streaming(2, true), &recordingSink{}); failure != nil || len(f.upstreams.calls) != 1 {
			t.Errorf("got failure %v after %d attempts, want one complete stream", failure, len(f.upstreams.calls))
		}
	})
}

// TestErrorOfNextUpstreamIsNotWrittenIntoStream: a stream broke off, and the upstream at which it is
// resumed answers with something else than the rest of the stream.
func TestErrorOfNextUpstreamIsNotWrittenIntoStream(t *testing.T) {
	const begun = "id: 1\ndata: a\n\n"
	for name, second := range map[string]reply{
		"not found":               {head: relay.Head{Status: 404, Signed: true}, chunks: []string{"no such\n\n"}},
		"rejected":                {head: relay.Head{Status: 400}, chunks: []string{"data: bad request\n\n"}},
		"server error":            {head: relay.Head{Status: 500, Signed: true}, chunks: []string{"internal\n\n"}},
		"redirect":                {head: relay.Head{Status: 302}},
		"success that is no text": {head: relay.Head{Status: 200, Signed: true, Header: map[string][]string{"Content-Type": {"application/json"}}}, chunks: []string{"{}\n\n"}},
		"success without content": {head: relay.Head{Status: 204, Signed: true}},
	} {
		for _, remote := range []bool{false, true} {
			r := newFixture(t, 2)
			replies := []reply{{chunks: []string{begun}, end: errors.New("reset")}, second}
			if remote {
				r = newFixture(t, 0)
				r.addEastNode()
				r.nodes.replies = replies
			} else {
				r.upstreams.replies = replies
			}
			var got recordingSink
			f := r.Serve(context.Background(), streaming(2, true), &got)
			if got.body != begun {
				t.Errorf("%s, remote %v: the caller got %q, want the stream as far as it came", name, remote, got.body)
			}
			if f == nil || !f.Broken {
				t.Errorf("%s, remote %v: got failure %+v, want a stream that is not complete", name, remote, f)
			}
		}
	}
}
