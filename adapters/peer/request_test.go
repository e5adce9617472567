package peer_test

import (
	"context"
	"errors"
	"testing"

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
