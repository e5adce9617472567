package errkind_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

func TestEveryKindHasItsOwnExitCodeAndAVerdict(t *testing.T) {
	seen := make(map[int]errkind.Kind)
	for _, k := range errkind.Kinds() {
		a := errkind.Lookup(k)
		if other, ok := seen[a.ExitCode]; ok {
			t.Errorf("%s and %s share exit code %d", k, other, a.ExitCode)
		}
		seen[a.ExitCode] = k
		if a.Status < 400 || a.Run == "" {
			t.Errorf("%s: status %d, run %q", k, a.Status, a.Run)
		}
	}
}

func TestErrorKeepsItsKindThroughWrapping(t *testing.T) {
	cause := errors.New("connection refused")
	e := errkind.New(errkind.PeerUnreachable, "dial: %w", cause)
	wrapped := fmt.Errorf("attempt 2: %w", e)
	if !errors.Is(wrapped, errkind.Of(errkind.PeerUnreachable)) || !errors.Is(wrapped, cause) {
		t.Fatalf("%v lost its kind or cause", wrapped)
	}
	if got := errkind.From(wrapped).Verdict(); got != domain.RunNo {
		t.Errorf("verdict %q, want the table's %q", got, domain.RunNo)
	}
	if got := errkind.From(errors.New("unlisted")).Kind; got != errkind.Internal {
		t.Errorf("an unlisted error became %q", got)
	}
}

// TestEndOfAContextKeepsItsMeaning: a node whose deadline ends a moment before the
// sender's says so, and not that it failed.
func TestEndOfAContextKeepsItsMeaning(t *testing.T) {
	for err, want := range map[error]errkind.Kind{
		context.DeadlineExceeded: errkind.Timeout, context.Canceled: errkind.Canceled, errors.New("another"): errkind.Internal,
	} {
		got := errkind.From(fmt.Errorf("read the answer: %w", err))
		if got.Kind != want || got.Verdict() == domain.RunNo {
			t.Errorf("%v became %s with run %s, want kind %s and no promise", err, got.Kind, got.Verdict(), want)
		}
		if !errors.Is(got, err) {
			t.Errorf("%v is lost in %v", err, got)
		}
	}
}
