package callerapi_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/core/errkind"
)

const callersPage = "../../docs/callers.md"

// row returns the cells of the page's table that the code determines.
func row(k errkind.Kind) string {
	a := errkind.Lookup(k)
	wait := "-"
	if a.RetryAfter > 0 {
		wait = fmt.Sprintf("%g s", a.RetryAfter.Seconds())
	}
	return fmt.Sprintf("| `%s` | %d | %s | %s | ", k, a.Status, a.Run, wait)
}

// TestCallersPageListsTheErrorKinds compares the table of docs/callers.md with the
// defined error kinds: each kind has one row with its status, verdict and retry delay,
// and a text that says what the caller should do.
func TestCallersPageListsTheErrorKinds(t *testing.T) {
	text, err := os.ReadFile(callersPage)
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| kind | status |")
	if !found {
		t.Fatal("docs/callers.md has no table of kinds")
	}
	advice := make(map[string]string)
	for line := range strings.Lines(table) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.SplitAfterN(line, "| ", 6)
		start := strings.Join(cells[:5], "")
		if advice[start] != "" {
			t.Errorf("two rows start with %s", start)
		}
		advice[start] = strings.Trim(cells[len(cells)-1], " |\n")
	}
	for _, k := range errkind.Kinds() {
		if advice[row(k)] == "" {
			t.Errorf("docs/callers.md has no row, or a row without advice, for: %s", row(k))
		}
		delete(advice, row(k))
	}
	for start := range advice {
		t.Errorf("docs/callers.md has a row for an undefined kind: %s", start)
	}
}
