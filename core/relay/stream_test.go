package relay_test

import (
	"context"
	"errors"
	"testing"
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
