package relay_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/quarantine"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
)

const heldPart = 0xdead

var crashed = reply{err: errkind.New(errkind.UpstreamFailed, "send: %w", relay.ConnectionClosed(io.EOF))}

func promptRequest(kind routes.Kind, attempts int, parts ...uint64) *relay.Request {
	r := newRequest(kind, attempts)
	for _, id := range append(parts, 0x1a57) {
		r.Prompt.Parts = append(r.Prompt.Parts, placement.Part{ID: id, Tokens: 10})
	}
	return r
}

// hold makes the engine hold heldPart.
func (r *fixture) hold() {
	past := time.Now().Add(-10 * time.Second)
	for i := range 3 {
		r.Quarantine.RecordCrash(past.Add(time.Duration(i)*time.Second), uint64(i), past, quarantine.Parts(1, heldPart))
	}
}

func TestRequestWithHeldPartIsRefusedWithoutAnyAttempt(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Streaming, routes.Idempotent, routes.AtMostOnce} {
		r := newFixture(t, 3)
		r.addEastNode()
		r.hold()
		f := r.Serve(context.Background(), promptRequest(kind, 2, 1, heldPart), &recordingSink{})
		if f == nil || f.Kind != errkind.PromptPartHeld || f.Verdict() != domain.RunNo || f.RetryDelay() != 0 {
			t.Errorf("kind %v: got failure %+v, want %s, not run, without a time to come back", kind, f, errkind.PromptPartHeld)
		}
		if n := len(r.upstreams.calls) + len(r.nodes.calls); n != 0 {
			t.Errorf("kind %v: the request was sent %d times, want 0", kind, n)
		}
	}
}

func TestRequestWithHeldLastPartIsServed(t *testing.T) {
	r := newFixture(t, 3)
	r.hold()
	r.upstreams.replies = []reply{success}
	req := newRequest(routes.Idempotent, 2)
	req.Prompt.Parts = []placement.Part{{ID: 1}, {ID: heldPart}}
	if f := r.Serve(context.Background(), req, &recordingSink{}); f != nil {
		t.Errorf("got failure %v, want an answer: the last part belongs to the request itself", f)
	}
}

// TestRefusalOfHeldPartElsewhereIsFinal: a node that does not know yet that a part is held
// relays the request to one that does.
func TestRefusalOfHeldPartElsewhereIsFinal(t *testing.T) {
	r := newFixture(t, 0)
	r.addEastNode()
	refusal := errkind.New(errkind.PromptPartHeld, "held").WithRun(domain.RunNo)
	r.nodes.replies = []reply{{err: &relay.RemoteError{Failure: refusal}}, success}
	f := r.Serve(context.Background(), promptRequest(routes.Idempotent, 3, heldPart), &recordingSink{})
	if f == nil || f.Kind != errkind.PromptPartHeld || f.RetryDelay() != 0 || len(r.nodes.calls) != 1 {
		t.Errorf("got failure %+v after %d attempts, want the other node's refusal after 1", f, len(r.nodes.calls))
	}
	r.nodes.replies = []reply{success}
	if f := r.Serve(context.Background(), promptRequest(routes.Idempotent, 3, 2), &recordingSink{}); f != nil {
		t.Errorf("another request got failure %v, want an answer: the region is not full", f)
	}
}

func TestRequestUnderWhichTwoUpstreamsCrashedIsNotSentToAThird(t *testing.T) {
	r := newFixture(t, 3)
	r.upstreams.replies = []reply{{err: crashed.err, delay: 300 * time.Millisecond}, {err: crashed.err, delay: 300 * time.Millisecond}, success}
	f := r.Serve(context.Background(), promptRequest(routes.Idempotent, 3, 1, heldPart), &recordingSink{})
	if f == nil || f.Verdict() != domain.RunUnknown || len(r.upstreams.calls) != 2 {
		t.Errorf("got failure %v after %d attempts, want one after 2", f, len(r.upstreams.calls))
	}
}

// TestAnswersClearPartsAfterSecondEvent: an upstream that wrote more than the beginning of an answer
// did not crash because it began one.
func TestAnswersClearPartsAfterSecondEvent(t *testing.T) {
	for chunks, held := range map[string]bool{"": true, "data: 1\n\n": true, "data: 1\n\ndata: 2\n\n": false} {
		r := newFixture(t, 3)
		past := time.Now().Add(-10 * time.Second)
		for i := range 2 {
			r.Quarantine.RecordCrash(past.Add(time.Duration(i)*time.Second), uint64(i), past, quarantine.Parts(heldPart))
		}
		broken := reply{end: relay.ConnectionClosed(io.ErrUnexpectedEOF)}
		if chunks != "" {
			broken.chunks = []string{chunks}
		}
		r.upstreams.replies = []reply{broken}
		if f := r.Serve(context.Background(), promptRequest(routes.Streaming, 1, heldPart), &recordingSink{}); f == nil {
			t.Fatalf("events %q: got an answer, want a failure", chunks)
		}
		decision, _ := r.Quarantine.Check(time.Now().Add(time.Second), quarantine.Parts(heldPart))
		if got := decision == quarantine.Refuse; got != held {
			t.Errorf("after events %q: part held %v, want %v", chunks, got, held)
		}
	}
}

// TestTimeoutsDoNotAccuseParts: a silent connection may be the network's fault.
func TestTimeoutsDoNotAccuseParts(t *testing.T) {
	r := newFixture(t, 3)
	for range 6 {
		r.upstreams.replies = []reply{{err: errkind.New(errkind.UpstreamFailed, "connection timed out")}}
		r.Serve(context.Background(), promptRequest(routes.Streaming, 1, heldPart), &recordingSink{})
	}
	if records := r.Quarantine.Message(time.Now()).Suspects; len(records) != 0 {
		t.Errorf("got records %+v after timeouts, want none", records)
	}
}
