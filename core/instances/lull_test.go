package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

// TestUpstreamThatIsSlowForLongIsAvoided guards against an upstream whose slow answers are all taken for silences of a sound one.
func TestUpstreamThatIsSlowForLongIsAvoided(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	now, sent := start, 0
	for range 60 {
		ticket := placeRequest(c, now)
		took := 40 * time.Millisecond
		if ticket.ID == "a" {
			took = time.Second
		}
		now = now.Add(took)
		ticket.FirstByte(now, instances.ReportedLoad{}, true)
		ticket.Progress(now)
		ticket.Done(now, instances.Answered)
		if ticket.ID == "a" {
			sent++
		}
	}
	if sent > 20 {
		t.Errorf("the slow upstream got %d of 60 requests, want at most a third", sent)
	}
}
