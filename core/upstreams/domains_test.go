package upstreams

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routing"
)

func aggregate(slots, free int) Aggregate {
	return Aggregate{Place: remotePlace, Targets: []TargetAggregate{{Target: model, Upstreams: 1, Slots: slots, Free: free}}}
}

func TestAggregatesAreOrderedBySequence(t *testing.T) {
	d := NewDomains(Options{Place: place})
	steps := []struct {
		after    time.Duration
		sequence uint64
		want     bool
	}{{0, 5, true}, {time.Second, 4, false}, {time.Second, 5, false}, {2 * time.Second, 6, true}, {time.Minute, 1, true}}
	for i, s := range steps {
		if got := d.Observe(at(s.after), aggregate(8, 8), s.sequence, 0); got != s.want {
			t.Errorf("step %d: Observe returned %v, want the opposite", i, got)
		}
	}
	if d.Observe(start, Aggregate{Place: place}, 9, 0) {
		t.Error("accepted an aggregate of the node's own failure domain")
	}
}

// Requests forwarded since the aggregate was sampled must be counted; otherwise all
// nodes would send to the domain that appeared free.
func TestForwardsSinceSampleCorrectAggregate(t *testing.T) {
	d := NewDomains(Options{Place: place})
	d.SetReachable(remotePlace, true, 110*time.Millisecond)
	d.Observe(start, aggregate(4, 4), 1, 0)
	if _, err := d.StartForward(start, "nowhere", model, 1); err == nil {
		t.Error("StartForward to an unknown failure domain did not fail")
	}
	var dispatches []*Dispatch
	for range 8 {
		w, err := d.StartForward(at(time.Second), remotePlace.FailureDomain, model, 10)
		if err != nil {
			t.Fatal(err)
		}
		dispatches = append(dispatches, w)
	}
	loaded := predictedFirstToken(t, d, time.Second)
	for _, w := range dispatches {
		w.End(at(2*time.Second), OutcomeSucceeded)
	}
	if idle := predictedFirstToken(t, d, 2*time.Second); loaded < idle+time.Second {
		t.Errorf("predicted %v with eight forwards in flight and %v without, want a difference of at least 1s", loaded, idle)
	}
}

func predictedFirstToken(t *testing.T, d *Domains, after time.Duration) time.Duration {
	t.Helper()
	b := routing.NewBuilder(place)
	d.AppendTo(at(after), b)
	s, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	tuning, err := routing.ProfileLatency.Tuning()
	if err != nil {
		t.Fatal(err)
	}
	req := routing.Request{Target: model, OutputTokens: 100, Allowed: s.Regions().Set(func(domain.Region) bool { return true })}
	return routing.New(tuning.Policy()).Decide(s, &req, at(after)).FirstToken
}

func TestAggregateSumsLiveUpstreams(t *testing.T) {
	tr := newTestTracker(t, 3)
	observe(t, tr, time.Second, "0", func(r *domain.LoadReport) { r.Running = 4; r.CostPerMillionTokens = 3 })
	observe(t, tr, time.Second, "1", func(r *domain.LoadReport) { r.Running = 1 })
	tr.ObserveLeaving("2")
	got := tr.Aggregate(at(time.Second)).Targets
	want := TargetAggregate{Target: model, Upstreams: 2, Slots: 8, Free: 3, CostPerMillionTokens: 1.5}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
