package relay_test

import (
	"context"
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
