package telemetry_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/crocusspread/crocusspread/core/event"
)

const eventsPage = "../../docs/EVENTS.md"

// row returns the row of the Markdown table for an event.
func row(e event.Event) string { return fmt.Sprintf("| %d | `%s` | %s |", e.Number, e.Name, e.Help) }

// TestEventsPageMatchesCatalogue checks that docs/EVENTS.md lists exactly the events of
// the catalogue.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	content, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := make(map[string]bool)
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") && !strings.HasPrefix(line, "| ---") {
			page[strings.TrimSpace(line)] = true
		}
	}
	for i, e := range event.Catalogue() {
		if !page[row(e)] {
			t.Errorf("docs/EVENTS.md has no row: %s", row(e))
		}
		delete(page, row(e))
		if i > 0 && event.Catalogue()[i-1].Number >= e.Number {
			t.Errorf("event %d is out of order, want ascending numbers", e.Number)
		}
	}
	for line := range page {
		t.Errorf("docs/EVENTS.md has a row for an undefined event: %s", line)
	}
}
