package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// coldRate is that of newCatalog's service, maxColdArrivals what its upstreams may get in a second.
const (
	coldRate        = 2
	maxColdArrivals = 1.5*coldRate + 3
)

// coldRegion is the nodes of a region with one upstream that has a cold phase.
type coldRegion []*instances.Catalog

func newColdRegion(t *testing.T, nodes int) coldRegion {
	r := make(coldRegion, nodes)
	for i := range r {
		r[i] = newCatalog(t, instances.Options{
			ColdShare: func(rate float64) float64 { return sharedbounds.ColdRate(nodes, rate) },
			ColdPhase: func(domain.UpstreamID) float64 { return float64(i) / float64(nodes) },
		}, "a")
	}
	return r
}

// propagate applies what one node knows of upstreams at all others.
func (r coldRegion) propagate(now time.Time, from int) {
	list := r[from].Statements(now)
	for i, c := range r {
		if i != from {
			c.ApplyStatements(now, list)
		}
	}
}

// placedInSecond returns the number of requests placed if each node places one every 100 ms.
func (r coldRegion) placedInSecond(from time.Time) int {
	placed := 0
	for now := from; now.Before(from.Add(time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, c := range r {
			if ticket := placeRequest(c, now); ticket != nil {
				placed++
				ticket.Done(now, instances.Answered)
			}
		}
	}
	return placed
}

// The entry of the new process is written after requests arrive.
func TestRestartNoticedByOneNodeDoesNotFloodUpstream(t *testing.T) {
	r := newColdRegion(t, 12)
	lost := placeRequest(r[0], start)
	lost.ConnectionLost(after(10), instances.LossRefused)
	lost.Done(after(10), instances.Unreachable)
	r.propagate(after(20), 0)
	if got := r.placedInSecond(after(700)); got > maxColdArrivals {
		t.Errorf("%d requests in a second were placed on an upstream that may have started again, want at most %v", got, maxColdArrivals)
	}
}
