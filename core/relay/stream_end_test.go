package relay_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/relay"
)

var eventStream = map[string][]string{"Content-Type": {"text/event-stream; charset=utf-8"}}

// withoutEvent is a complete answer of an event stream without any event.
func withoutEvent() reply {
	return reply{head: relay.Head{Status: 200, Signed: true, Header: eventStream}}
}

func TestStreamWithoutAnyEventIsNotDelivered(t *testing.T) {
	f := newFixture(t, 3)
	f.upstreams.replies = []reply{withoutEvent()}
	sink := &recordingSink{}
	failure := f.Serve(context.Background(), streaming(2, false), sink)
	if failure == nil || failure.Broken || failure.Verdict() != domain.RunUnknown || sink.head.Status != 0 {
		t.Errorf("got %+v and status %d, want a failure before the answer began", failure, sink.head.Status)
	}
}

func TestResumableStreamWithoutAnyEventIsSentAgain(t *testing.T) {
	f := newFixture(t, 3)
	f.upstreams.replies = []reply{withoutEvent(), {chunks: []string{"id: 1\ndata: a\n\n"}}}
	sink := &recordingSink{}
	if failure := f.Serve(context.Background(), streaming(2, true), sink); failure != nil || sink.body != "id: 1\ndata: a\n\n" {
		t.Errorf("got %v and body %q, want the event of the second upstream", failure, sink.body)
	}
}

// A stream that is resumed after its last event has no further one.
func TestResumedStreamMayHaveNoEvent(t *testing.T) {
	f := newFixture(t, 3)
	f.upstreams.replies = []reply{withoutEvent()}
	r := streaming(2, true)
	r.ResumeAfter = "7"
	if failure := f.Serve(context.Background(), r, &recordingSink{}); failure != nil {
		t.Errorf("resumed by the caller: got %v, want an empty answer", failure.Error)
	}
	f.upstreams.replies = []reply{{chunks: []string{"id: 1\ndata: a\n\n"}, end: context.DeadlineExceeded}, withoutEvent()}
	if failure := f.Serve(context.Background(), streaming(2, true), &recordingSink{}); failure != nil {
		t.Errorf("resumed by the node: got %v, want the answer to end", failure.Error)
	}
}

// The route says that its answers consist of events; an upstream may omit the content type.
func TestStreamWithoutContentTypeNeedsWholeEvents(t *testing.T) {
	for name, chunks := range map[string][]string{"no event": nil, "a part of an event": {"id: 1\ndata: a\n\nid: 2\nda"}} {
		f := newFixture(t, 3)
		f.upstreams.replies = []reply{{chunks: chunks}}
		if failure := f.Serve(context.Background(), streaming(1, false), &recordingSink{}); failure == nil {
			t.Errorf("%s: got a success, want a failure", name)
		}
	}
}

func TestAnswerOfAnotherTypeOnStreamingRouteIsDelivered(t *testing.T) {
	f := newFixture(t, 3)
	head := relay.Head{Status: 200, Signed: true, Header: map[string][]string{"Content-Type": {"application/json"}}}
	f.upstreams.replies = []reply{{head: head, chunks: []string{"{}"}}}
	sink := &recordingSink{}
	if failure := f.Serve(context.Background(), streaming(1, false), sink); failure != nil || sink.body != "{}" {
		t.Errorf("got %v and body %q, want the whole answer", failure, sink.body)
	}
}

// Lines may end with CR, LF or both.
func TestStreamsOfAnyLineEndAreResumedAndDelivered(t *testing.T) {
	for _, eol := range []string{"\n", "\r", "\r\n"} {
		event := func(id string) string { return strings.ReplaceAll("id: "+id+"\ndata: a\n\n", "\n", eol) }
		whole := event("1") + event("2")
		for size := 1; size <= len(whole); size++ {
			for _, resumable := range []bool{false, true} {
				f := newFixture(t, 3)
				f.upstreams.replies = []reply{{head: relay.Head{Status: 200, Signed: true, Header: eventStream}, chunks: split(whole, size)}}
				sink := &recordingSink{}
				if failure := f.Serve(context.Background(), streaming(1, resumable), sink); failure != nil || sink.body != whole {
					t.Errorf("line end %q in chunks of %d, resumable %v: got %v and body %q, want %q", eol, size, resumable, failure, sink.body, whole)
				}
			}
			f := newFixture(t, 3)
			cut := event("1") + "id: 2" + eol + "da"
			f.upstreams.replies = []reply{{chunks: split(cut, size), end: io.ErrUnexpectedEOF}, {chunks: []string{event("2")}}}
			sink := &recordingSink{}
			if failure := f.Serve(context.Background(), streaming(2, true), sink); failure != nil || withoutBreaks(sink.body) != withoutBreaks(whole) {
				t.Errorf("line end %q in chunks of %d, resumed: got %v and body %q, want %q", eol, size, failure, sink.body, whole)
			} else if after := f.upstreams.calls[1].ResumeAfter; after != "1" {
				t.Errorf("line end %q in chunks of %d: got resume after %q, want 1", eol, size, after)
			}
		}
	}
}

// split splits text into chunks of size bytes.
func split(text string, size int) []string {
	var chunks []string
	for chunk := range slices.Chunk([]byte(text), size) {
		chunks = append(chunks, string(chunk))
	}
	return chunks
}

// withoutBreaks removes line breaks, as the last one of an event may be lost where a stream
// is resumed.
func withoutBreaks(text string) string { return strings.NewReplacer("\r", "", "\n", "").Replace(text) }
