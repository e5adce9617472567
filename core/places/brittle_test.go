package places_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/places"
)

func brittleUpstreams(n int) []places.Upstream {
	list := upstreams(n)
	for i := range list {
		list[i].Brittle = true
	}
	return list
}

// TestBrittleUpstreamsGetNoMorePermitsThanSlots guards against a limit that grows until requests wait.
func TestBrittleUpstreamsGetNoMorePermitsThanSlots(t *testing.T) {
	b := newBroker(2)
	held := fillAt(b, start)
	if len(held) <= 2*slots {
		t.Fatalf("got %d permits, want some beyond the slots before the upstreams are brittle", len(held))
	}
	b.SetUpstreams(start, brittleUpstreams(2))
	idle := places.Release{Outcome: instances.Answered, Used: 60 * ms, Load: instances.ReportedLoad{Running: slots - 1, Slots: slots}}
	for i := range 200 {
		at := start.Add(time.Duration(i) * ms)
		ask(b, at, "a/1", 300*ms)
		r := idle
		r.ID, held = held[0], held[1:]
		b.Release(at, r)
		for _, w := range b.Decided() {
			if w.Decision.Granted() {
				held = append(held, w.Decision.ID)
			}
		}
		if n := b.Outstanding(); n > 2*slots && i > 4 {
			t.Fatalf("%d permits are outstanding after %d answers, want at most %d", n, i+1, 2*slots)
		}
		if len(held) == 0 {
			t.Fatalf("no permit is granted after %d answers", i+1)
		}
	}
}

// TestPlaceOfRequestThatWasGivenUpIsNotGrantedAtOnce: the brittle upstream may still work on it.
func TestPlaceOfRequestThatWasGivenUpIsNotGrantedAtOnce(t *testing.T) {
	b := places.NewBroker("r0", 0, 60*ms)
	b.SetUpstreams(start, brittleUpstreams(1))
	held := fill(b)
	if len(held) != slots {
		t.Fatalf("got %d permits, want %d: the slots", len(held), slots)
	}
	w := ask(b, start, "a/1", 300*ms)
	b.Release(start.Add(ms), places.Release{ID: held[0], Outcome: instances.Canceled, Used: 30 * ms})
	if w.Decision.Granted() {
		t.Error("the place of a request that was given up is granted at once")
	}
	b.Release(start.Add(2*ms), places.Release{ID: held[1], Outcome: instances.Canceled})
	if !w.Decision.Granted() {
		t.Error("a place that was returned unused is free and a request waits")
	}
}

func TestPlacesOfBrittleUpstreamsAreNotLent(t *testing.T) {
	b := places.NewBroker("r0", 0, 60*ms)
	b.SetUpstreams(start, brittleUpstreams(2))
	if lent, _ := b.Lend(start, "r1", 4, 100*ms); len(lent) != 0 {
		t.Errorf("got %+v, want nothing", lent)
	}
}
