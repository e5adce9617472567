package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

// availabilityOf returns the availability of the instance "a".
func availabilityOf(t *testing.T, c *instances.Catalog, now time.Time) (instances.Availability, time.Time) {
	t.Helper()
	for _, s := range c.Statuses(now) {
		if s.ID == "a" {
			return s.Availability, s.Until
		}
	}
	t.Fatal("the status has no instance a")
	return 0, time.Time{}
}

// TestAvailabilityHasThePrecedingReason adds one reason after the other, in order of rising precedence.
func TestAvailabilityHasThePrecedingReason(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	first, second := placeRequest(c, start), placeRequest(c, start)
	for _, ticket := range []*instances.Ticket{first, second} {
		if ticket.ID == "a" {
			first = ticket
		}
	}
	leaving := newInstance("a")
	leaving.Leaving, leaving.ColdRemaining = true, 4*time.Second
	cold := newInstance("a")
	cold.ColdRemaining = 4 * time.Second
	for _, step := range []struct {
		apply func()
		want  instances.Availability
		until time.Duration // after start; zero if not known
	}{
		{func() {}, instances.Available, 0},
		{func() { first.RecordRateLimit(start, 5) }, instances.Limited, 0},
		{func() { c.Put(start, cold) }, instances.Cold, 4 * time.Second},
		{func() { first.Done(start, instances.Unreachable) }, instances.Suspect, 500 * time.Millisecond},
		{func() { first.RecordReport(start, instances.ReportedLoad{RateLimit: 5, Silence: 2 * time.Second}) }, instances.Silenced, 2 * time.Second},
		{func() { c.Put(start, leaving) }, instances.LeavingRegistered, 0},
		{func() { first.RecordReport(start, instances.ReportedLoad{Leaving: true}) }, instances.LeavingStated, 0},
		{func() { c.SetEvacuated(start, map[domain.FailureDomain]bool{"west-a": true}) }, instances.Evacuated, 0},
	} {
		step.apply()
		got, until := availabilityOf(t, c, start)
		if got != step.want || step.until > 0 && !until.Equal(start.Add(step.until)) {
			t.Errorf("got %v until %v, want %v until %v", got, until.Sub(start), step.want, step.until)
		}
	}
	fresh := newInstance("a")
	fresh.Started = 7
	c.SetEvacuated(start, nil)
	c.Put(start.Add(10*time.Second), fresh)
	if got, _ := availabilityOf(t, c, start.Add(10*time.Second)); got != instances.Available {
		t.Errorf("got %v after a new process had started under the ID, want available", got)
	}
}

func TestWhatAnUpstreamSaidOutlastsItsRecord(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	during, after := placeRequest(c, start), placeRequest(c, start)
	during.RecordReport(start, instances.ReportedLoad{Silence: time.Minute})
	c.Remove(start, "a")
	c.Put(start.Add(time.Second), newInstance("a"))
	if got, _ := availabilityOf(t, c, start.Add(time.Second)); got != instances.Silenced {
		t.Errorf("got %v after the upstream had registered again, want it to be silent", got)
	}
	after.RecordReport(start.Add(2*time.Second), instances.ReportedLoad{Leaving: true})
	if got, _ := availabilityOf(t, c, start.Add(2*time.Second)); got != instances.LeavingStated {
		t.Errorf("got %v after an answer to a request from before, want leaving", got)
	}
}

func TestEndOfSilenceLetsOneRequestThrough(t *testing.T) {
	const silence = 5 * time.Second
	for name, tc := range map[string]struct {
		end  func(ticket *instances.Ticket, now time.Time)
		then int // requests placed after the first one has ended
	}{
		"answered": {func(ticket *instances.Ticket, now time.Time) {
			ticket.RecordReport(now, instances.ReportedLoad{})
			ticket.Done(now, instances.Answered)
		}, 3},
		"answer has begun": {func(ticket *instances.Ticket, now time.Time) { ticket.RecordReport(now, instances.ReportedLoad{}) }, 3},
		"shed":             {func(ticket *instances.Ticket, now time.Time) { ticket.Done(now, instances.Shed) }, 1},
		"silence again": {func(ticket *instances.Ticket, now time.Time) {
			ticket.RecordReport(now, instances.ReportedLoad{Silence: time.Minute})
			ticket.Done(now, instances.Shed)
		}, 0},
		"still in flight": {func(*instances.Ticket, time.Time) {}, 0},
	} {
		c := newCatalog(t, instances.Options{}, "a")
		asked := placeRequest(c, start)
		asked.RecordReport(start, instances.ReportedLoad{Silence: silence})
		asked.Done(start, instances.Canceled)
		if got := countPlaced(c, start.Add(silence-time.Millisecond), 3); got > 0 {
			t.Errorf("%s: %d requests were placed during the silence, want none", name, got)
		}
		end := start.Add(silence)
		trial := placeRequest(c, end)
		if trial == nil || placeRequest(c, end) != nil {
			t.Fatalf("%s: want one request at the end of the silence", name)
		}
		tc.end(trial, end.Add(20*time.Second)) // shed load is forgotten by then
		if got := countPlaced(c, end.Add(40*time.Second), 3); got != tc.then {
			t.Errorf("%s: %d of 3 requests were placed then, want %d", name, got, tc.then)
		}
	}
}

func TestCallersAreToldTheShortestSilence(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a", "b")
	for _, d := range []time.Duration{8 * time.Second, 3 * time.Second} {
		ticket := placeRequest(c, start)
		ticket.RecordReport(start, instances.ReportedLoad{Silence: d})
	}
	if d := refusal(c, start.Add(time.Second)); d.Silence != 2*time.Second {
		t.Errorf("got silence %v, want the shortest remaining one, 2 s", d.Silence)
	}
	c.Put(start, newInstance("c"))
	ticket := placeRequest(c, start)
	ticket.Done(start, instances.Unreachable)
	if d := refusal(c, start.Add(time.Millisecond)); d.Silence != 0 {
		t.Errorf("got silence %v beside an upstream that is suspect, want none", d.Silence)
	}
}

func BenchmarkPlace(b *testing.B) {
	c := instances.NewCatalog(instances.Options{Self: localPlace})
	for i := range 44 {
		in := newInstance(domain.UpstreamID(string(rune('a'+i%26)) + string(rune('a'+i/26))))
		in.Slots = 1 << 20
		c.Put(start, in)
	}
	b.ReportAllocs()
	for b.Loop() {
		placeRequest(c, start).Done(start, instances.Canceled)
	}
}
