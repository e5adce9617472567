package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

// TestSuspicionOfSilentUpstreamEndsWhenItIsHeard guards against a sound upstream that gets no requests for seconds
// because several were given up while it was silent for a moment, and against one that crashes being forgiven for answers
// in between.
func TestSuspicionOfSilentUpstreamEndsWhenItIsHeard(t *testing.T) {
	reset := func(t *instances.Ticket, now time.Time) { t.Done(now, instances.Broken) }
	silent := func(t *instances.Ticket, now time.Time) { t.GiveUp(now); t.Done(now, instances.Broken) }
	for name, c := range map[string]struct {
		even, odd func(*instances.Ticket, time.Time) // how the requests end
		heard     bool
		want      bool // suspect afterwards
	}{
		"silent":                        {silent, silent, false, true},
		"silent, then heard":            {silent, silent, true, false},
		"connections reset, then heard": {reset, reset, true, true},
		"both, then heard":              {silent, reset, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := newCatalog(t, instances.Options{}, "a", "b")
			var given []*instances.Ticket
			for len(given) < 7 {
				if ticket := placeRequest(catalog, start); ticket != nil && ticket.ID == "a" {
					given = append(given, ticket)
				}
			}
			last := given[6]
			at := start.Add(time.Second)
			for i, ticket := range given[:6] {
				[]func(*instances.Ticket, time.Time){c.even, c.odd}[i%2](ticket, at)
			}
			if c.heard {
				last.Progress(at.Add(100 * time.Millisecond))
			}
			for _, s := range catalog.Statuses(at.Add(200 * time.Millisecond)) {
				if got := s.Availability == instances.Suspect; s.ID == "a" && got != c.want {
					t.Errorf("got suspect %v, want %v", got, c.want)
				}
			}
		})
	}
}
