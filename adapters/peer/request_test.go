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

// TestOversizedBodyIsRefusedNotTruncated sends a body that exceeds the receiver's
// limit.
func TestOversizedBodyIsRefusedNotTruncated(t *testing.T) {
	got := -1
	address := startServer(t, func(_ context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
		got = len(fwd.Payload)
		return w.WriteHead(answer.Head{Status: 200})
	})
	fwd := newRequest(address)
	fwd.Repeatable = false
	fwd.Payload = make([]byte, 64<<20+1)
	_, _, err := execute(testContext(t), newClient(t, testTimeout), fwd)
	if !errors.Is(err, errkind.Of(errkind.BodyTooLarge)) || got != -1 {
		t.Errorf("got execution with %d of %d bytes and error %v, want no execution and body_too_large", got, len(fwd.Payload), err)
	}
}

// TestSenderDeadlineIsReportedAsTimeout lets the sender's deadline expire.
func TestSenderDeadlineIsReportedAsTimeout(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	address := startServer(t, func(ctx context.Context, _ *gateway.ForwardedRequest, _ answer.Writer) error {
		<-ctx.Done()
		return ctx.Err()
	})
	_, _, err := execute(ctx, newClient(t, testTimeout), newRequest(address))
	if !errors.Is(err, errkind.Of(errkind.Timeout)) {
		t.Errorf("got %v, want kind timeout", err)
	}
}

// TestReceiverDeadlineIsReportedAsTimeout lets the receiver's deadline expire before the
// sender's.
func TestReceiverDeadlineIsReportedAsTimeout(t *testing.T) {
	address := startServer(t, func(context.Context, *gateway.ForwardedRequest, answer.Writer) error { return context.DeadlineExceeded })
	_, _, err := execute(testContext(t), newClient(t, testTimeout), newRequest(address))
	if !errors.Is(err, errkind.Of(errkind.Timeout)) {
		t.Errorf("got %v, want kind timeout", err)
	}
}

// TestNonUTF8ValuesAreForwardedUnchanged forwards a path, a query and header values that
// are valid in HTTP but not in UTF-8.
func TestNonUTF8ValuesAreForwardedUnchanged(t *testing.T) {
	const latin1 = "caf\xe9"
	var path, query string
	address := startServer(t, func(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
		path, query = fwd.Path, fwd.Query
		return echo(ctx, fwd, w)
	})
	fwd := newRequest(address)
	fwd.Path, fwd.Query, fwd.Header = "/"+latin1, "q="+latin1, map[string][]string{"X-Place": {latin1, "plain"}}
	fwd.Traceparent = latin1
	head, _, err := execute(testContext(t), newClient(t, testTimeout), fwd)
	if err != nil {
		t.Fatal(err)
	}
	if got := head.Header["X-Place"]; len(got) != 2 || got[0] != latin1 || got[1] != "plain" || path != fwd.Path || query != fwd.Query {
		t.Errorf("got header %q, path %q, query %q, want them as sent", got, path, query)
	}
}

// TestErrorWithNonUTF8MessageKeepsItsVerdict returns an error with a message that is not
// valid UTF-8.
func TestErrorWithNonUTF8MessageKeepsItsVerdict(t *testing.T) {
	address := startServer(t, func(context.Context, *gateway.ForwardedRequest, answer.Writer) error {
		return errkind.New(errkind.BadRequest, "malformed value caf\xe9")
	})
	_, _, err := execute(testContext(t), newClient(t, testTimeout), newRequest(address))
	if !errors.Is(err, errkind.Of(errkind.BadRequest)) || errkind.From(err).Verdict() != domain.RunNo {
		t.Errorf("got %v, want bad_request with verdict no", err)
	}
}
