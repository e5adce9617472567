package peer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
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
