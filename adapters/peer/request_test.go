package peer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// TestBodyAboveTheBoundIsRefusedNotCut sends a body that the receiver may not
// hold.
func TestBodyAboveTheBoundIsRefusedNotCut(t *testing.T) {
	got := -1
	address := startNode(t, func(_ context.Context, fwd *gateway.Forward, w answer.Writer) error {
		got = len(fwd.Payload)
		return w.WriteHead(answer.Head{Status: 200})
	})
	fwd := request(address)
	fwd.Repeatable = false
	fwd.Payload = make([]byte, 64<<20+1)
	_, _, err := execute(bounded(t), newClient(t, hangBound), fwd)
	if !errors.Is(err, errkind.Of(errkind.BodyTooLarge)) || got != -1 {
		t.Errorf("ran with %d of %d bytes, error %v", got, len(fwd.Payload), err)
	}
}

// TestDeadlineOfAForwardedRequestIsATimeout lets the sender's time run out.
func TestDeadlineOfAForwardedRequestIsATimeout(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	address := startNode(t, func(ctx context.Context, _ *gateway.Forward, _ answer.Writer) error {
		<-ctx.Done()
		return ctx.Err()
	})
	_, _, err := execute(ctx, newClient(t, hangBound), request(address))
	if !errors.Is(err, errkind.Of(errkind.Timeout)) {
		t.Errorf("got %v, want kind timeout", err)
	}
}

// TestReceiversDeadlineIsATimeout: the receiver's time runs out before the sender's.
func TestReceiversDeadlineIsATimeout(t *testing.T) {
	address := startNode(t, func(context.Context, *gateway.Forward, answer.Writer) error { return context.DeadlineExceeded })
	_, _, err := execute(bounded(t), newClient(t, hangBound), request(address))
	if !errors.Is(err, errkind.Of(errkind.Timeout)) {
		t.Errorf("got %v, want kind timeout", err)
	}
}

// TestOctetsOfARequestAndItsAnswerArriveUnchanged forwards what HTTP allows and
// UTF-8 does not.
func TestOctetsOfARequestAndItsAnswerArriveUnchanged(t *testing.T) {
	const latin1 = "caf\xe9"
	var path, query string
	address := startNode(t, func(ctx context.Context, fwd *gateway.Forward, w answer.Writer) error {
		path, query = fwd.Path, fwd.Query
		return echo(ctx, fwd, w)
	})
	fwd := request(address)
	fwd.Path, fwd.Query, fwd.Header = "/"+latin1, "q="+latin1, map[string][]string{"X-Place": {latin1, "plain"}}
	fwd.Traceparent = latin1
	head, _, err := execute(bounded(t), newClient(t, hangBound), fwd)
	if err != nil {
		t.Fatal(err)
	}
	if got := head.Header["X-Place"]; len(got) != 2 || got[0] != latin1 || got[1] != "plain" || path != fwd.Path || query != fwd.Query {
		t.Errorf("header %q, path %q, query %q", got, path, query)
	}
}

// TestRefusalWithOctetsInItsMessageKeepsItsVerdict refuses with a message that
// is not UTF-8.
func TestRefusalWithOctetsInItsMessageKeepsItsVerdict(t *testing.T) {
	address := startNode(t, func(context.Context, *gateway.Forward, answer.Writer) error {
		return errkind.New(errkind.BadRequest, "malformed value caf\xe9")
	})
	_, _, err := execute(bounded(t), newClient(t, hangBound), request(address))
	if !errors.Is(err, errkind.Of(errkind.BadRequest)) || errkind.From(err).Verdict() != domain.RunNo {
		t.Errorf("got %v", err)
	}
}
