package errkind_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

func TestKindsHaveUniqueExitCodesAndVerdicts(t *testing.T) {
	seen := make(map[int]errkind.Kind)
	for _, k := range errkind.Kinds() {
		a := errkind.Lookup(k)
		if other, ok := seen[a.ExitCode]; ok {
			t.Errorf("%s and %s share exit code %d", k, other, a.ExitCode)
		}
		seen[a.ExitCode] = k
		if a.Status < 400 || a.Run == "" {
			t.Errorf("%s: got status %d and run %q, want an error status and a verdict", k, a.Status, a.Run)
		}
	}
}

func TestWrappedErrorKeepsKindAndCause(t *testing.T) {
	cause := errors.New("connection refused")
	e := errkind.New(errkind.PeerUnreachable, "dial: %w", cause)
	wrapped := fmt.Errorf("attempt 2: %w", e)
	if !errors.Is(wrapped, errkind.Of(errkind.PeerUnreachable)) || !errors.Is(wrapped, cause) {
		t.Fatalf("errors.Is does not find the kind or the cause of %v", wrapped)
	}
	if got := errkind.From(wrapped).Verdict(); got != domain.RunNo {
		t.Errorf("verdict %q, want the table's %q", got, domain.RunNo)
	}
	if got := errkind.From(errors.New("unlisted")).Kind; got != errkind.Internal {
		t.Errorf("kind of an unlisted error is %q, want internal", got)
	}
}

// TestContextErrorsKeepTheirKind guards against reporting an internal error when a
// node's deadline expires shortly before the sender's.
func TestContextErrorsKeepTheirKind(t *testing.T) {
	for err, want := range map[error]errkind.Kind{
		context.DeadlineExceeded: errkind.Timeout, context.Canceled: errkind.Canceled, errors.New("another"): errkind.Internal,
	} {
		got := errkind.From(fmt.Errorf("read the answer: %w", err))
		if got.Kind != want || got.Verdict() == domain.RunNo {
			t.Errorf("From(%v) has kind %s and run %s, want kind %s and a verdict other than no", err, got.Kind, got.Verdict(), want)
		}
		if !errors.Is(got, err) {
			t.Errorf("errors.Is does not find %v in %v", err, got)
		}
	}
}
