package places_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/places"
)

func upstreams(n int) (list []places.Upstream) {
	for i := range n {
		list = append(list, places.Upstream{ID: domain.UpstreamID(fmt.Sprint("u", i)), Started: 1, Slots: slots, Place: domain.Place{Region: "r0"}})
	}
	return list
}

func newBroker(n int) *places.Broker {
	b := places.NewBroker("r0", 0, 60*ms)
	b.SetUpstreams(start, upstreams(n))
	return b
}

// ask asks for a place; the request is described by its name: an account and a priority.
func ask(b *places.Broker, now time.Time, name string, objective time.Duration) *places.Waiter {
	account, priority, _ := strings.Cut(name, "/")
	w := &places.Waiter{Value: name, Request: places.Request{Account: account, Priority: int(priority[0] - '0'), Objective: objective, ObjectiveLeft: objective, Left: 3 * time.Second, Random: 0.5}}
	b.Acquire(now, w)
	return w
}

// fill takes all places, some time ago.
func fill(b *places.Broker) (held []uint64) { return fillAt(b, start.Add(-2*time.Second)) }

func fillAt(b *places.Broker, at time.Time) (held []uint64) {
	for {
		w := ask(b, at, "x/5", 300*ms)
		if !w.Decision.Granted() {
			b.Cancel(at, w)
			b.Decided()
			return held
		}
		held = append(held, w.Decision.ID)
	}
}

func TestOrderOfWaiting(t *testing.T) {
	for _, c := range []struct {
		name, asked, want string
	}{
		{"higher priority first", "a/2 a/1 a/3", "a/1 a/2 a/3"},
		{"accounts in turn", "a/1 a/1 a/1 b/1 c/1", "a/1 b/1 c/1 a/1 a/1"},
		{"lower priorities are not starved", "a/1 a/1 a/1 a/1 a/1 a/1 a/2 a/2 a/2", "a/1 a/1 a/1 a/1 a/1 a/2 a/1 a/2 a/2"},
		{"one account does not starve another of a lower priority", "a/1 a/1 a/1 b/2 b/2", "a/1 a/1 a/1 b/2 b/2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBroker(1)
			held := fill(b)
			for i, name := range strings.Fields(c.asked) {
				ask(b, start.Add(time.Duration(i)*time.Microsecond), name, time.Second)
			}
			var got []string
			for _, id := range held {
				b.Release(start.Add(ms), places.Release{ID: id, Outcome: instances.Canceled})
				for _, w := range b.Decided() {
					got = append(got, w.Value.(string))
				}
			}
			if s := strings.Join(got, " "); !strings.HasPrefix(c.want, s) || len(got) < min(len(held), len(strings.Fields(c.want))) {
				t.Errorf("got %q, want %q", s, c.want)
			}
		})
	}
}

func TestLeastTimeLeftIsFirstWithinAnAccount(t *testing.T) {
	b := newBroker(1)
	held := fill(b)
	ask(b, start, "a/1", 500*ms)
	urgent := ask(b, start.Add(ms), "a/1", 300*ms)
	b.Release(start.Add(2*ms), places.Release{ID: held[0], Outcome: instances.Canceled})
	if !urgent.Decision.Granted() {
		t.Error("the request with less time left still waits")
	}
}

// An idle place while a request waits is lost, and a request beyond the limit waits where
// nobody can take it back.
func TestPermitsStayWithinTheLimitAndNoneIsIdle(t *testing.T) {
	b := newBroker(2)
	held := fill(b)
	if want := 2 * (slots + 2); len(held) != want {
		t.Fatalf("got %d permits, want %d: the slots and the reserve", len(held), want)
	}
	w := ask(b, start, "a/1", 300*ms)
	b.Release(start.Add(10*ms), places.Release{ID: held[3], Outcome: instances.Canceled})
	if !w.Decision.Granted() {
		t.Error("a place is free and a request waits")
	}
}

func TestRejectionLowersTheLimitAtOnce(t *testing.T) {
	b := newBroker(1)
	held := fill(b)
	w := ask(b, start, "a/1", 300*ms)
	b.Release(start.Add(10*ms), places.Release{ID: held[0], Outcome: instances.Shed})
	if w.Decision.Granted() {
		t.Error("got a permit for a place that the upstream does not have")
	}
}

func TestExcludedUpstreamIsNotOffered(t *testing.T) {
	b := newBroker(2)
	for range 4 {
		w := &places.Waiter{Request: places.Request{Objective: 300 * ms, ObjectiveLeft: 300 * ms, Left: time.Second, Excluded: []domain.UpstreamID{"u0"}}}
		b.Acquire(start, w)
		if w.Decision.Upstream.ID != "u1" {
			t.Errorf("got upstream %q, want the one that is not excluded", w.Decision.Upstream.ID)
		}
	}
}

// Under sustained overload a queue without a bound would make every answer late.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	b := newBroker(1)
	fill(b)
	waiting := 0
	for range 100 {
		w := ask(b, start, "a/1", 300*ms)
		if d := w.Decision; d.Kind == errkind.Overloaded {
			if d.RetryAfter <= 0 || d.RetryAfter > time.Second {
				t.Fatalf("got Retry-After %v, want up to a third of the time left", d.RetryAfter)
			}
			break
		}
		waiting++
	}
	// 150 ms of wait at 8 places of 60 ms each.
	if waiting < 10 || waiting > 22 {
		t.Errorf("%d requests wait, want about 20", waiting)
	}
}

func TestWaitingRequestIsRefusedOnceItCannotBeServed(t *testing.T) {
	b := newBroker(1)
	fillAt(b, start) // held for as long as the test looks at them
	w := ask(b, start, "a/1", 300*ms)
	for at := time.Duration(0); at <= 300*ms; at += 5 * ms {
		for range 5 { // more than are served
			ask(b, start.Add(at), "a/1", 300*ms)
		}
		if b.Tick(start.Add(at)); w.Decision.Kind != "" {
			if at < 240*ms {
				t.Errorf("refused after %v, while the objective could be met", at)
			}
			return
		}
	}
	t.Error("a request that cannot meet its objective waits, and no place is expected to be idle")
}

// A returning request that counted its objective anew would take the place of one that can
// still be answered in time.
func TestObjectiveOfReturningRequestCountsFromItsFirstAttempt(t *testing.T) {
	b := newBroker(1)
	held := fill(b)
	request := places.Request{Key: 7, Objective: 300 * ms, ObjectiveLeft: 10 * ms, Left: 3 * time.Second}
	for range 100 { // more than are served
		ask(b, start, "a/1", 300*ms)
	}
	b.Acquire(start, &places.Waiter{Request: request})
	request.ObjectiveLeft = 300 * ms
	back := &places.Waiter{Request: request}
	b.Acquire(start.Add(100*ms), back)
	b.Release(start.Add(110*ms), places.Release{ID: held[0], Outcome: instances.Canceled})
	if back.Decision.Kind != errkind.Overloaded {
		t.Errorf("got %+v, want a refusal: it is late and there is no idle place", back.Decision)
	}
}

func TestPermitLapsesAfterTheDeadline(t *testing.T) {
	b := newBroker(1)
	fill(b)
	b.Tick(start.Add(1400 * ms))
	if n := b.Outstanding(); n != 0 {
		t.Errorf("%d permits are outstanding after their deadlines", n)
	}
}

func TestBrokerWithoutUsableUpstreamsRefuses(t *testing.T) {
	b := newBroker(1)
	fill(b)
	w := ask(b, start, "a/1", 300*ms)
	b.SetUpstreams(start.Add(ms), nil)
	if w.Decision.Kind != errkind.NoCapacity {
		t.Errorf("got %+v, want a refusal at once", w.Decision)
	}
}

func TestRequestsCrossOnlyIfTheWaitIsLongerThanTheTrip(t *testing.T) {
	b, far := newBroker(1), places.NewBroker("r1", 0, 60*ms)
	far.SetUpstreams(start, []places.Upstream{{ID: "f", Started: 1, Slots: slots, Place: domain.Place{Region: "r1"}}})
	fill(b)
	lent, validFor := far.Lend(start, "r0", 100, regionTrip)
	if n := lent[0].Permits; n <= slots || n > 4*slots {
		t.Errorf("got %d permits, want those in transit beside the %d slots", n, slots)
	}
	b.Borrow(start, "r1", lent, regionTrip, validFor)
	for i := range 40 {
		w := ask(b, start.Add(time.Duration(i)), "a/1", 500*ms)
		// 110 ms at 8 places of 60 ms each.
		if crossed := w.Decision.Granted(); crossed != (i > 14) && (i < 13 || i > 16) {
			t.Fatalf("request %d in the queue crossed: %v", i, crossed)
		}
		if i > 16 && w.Decision.Upstream.ID != "f" {
			t.Fatalf("got upstream %q, want the one of the other region", w.Decision.Upstream.ID)
		}
		if i == 20 {
			break
		}
	}
	only := &places.Waiter{Request: places.Request{Objective: 500 * ms, ObjectiveLeft: 500 * ms, Left: time.Second, Regions: []domain.Region{"r0"}}}
	b.Acquire(start, only)
	if only.Decision.Granted() {
		t.Error("a request crossed to a region that is not allowed")
	}
}

func TestLoanEnds(t *testing.T) {
	far := newBroker(1)
	far.Lend(start, "r1", 100, regionTrip)
	if n := len(fill(far)); n > 3 {
		t.Errorf("%d places are granted beside those that are lent", n)
	}
	far.Tick(start.Add(1200 * ms))
	if n := len(fill(far)); n < slots-2 {
		t.Errorf("%d places are granted after the loan, want the others again", n)
	}
}

// BenchmarkBroker measures a grant and a release beside a full queue.
func BenchmarkBroker(b *testing.B) {
	broker := newBroker(2)
	held := fill(broker)
	now := start
	for i := range 40 {
		ask(broker, now, fmt.Sprintf("a%d/%d", i%8, 1+i%2), 500*ms)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(2 * ms)
		ask(broker, now, "a/1", 500*ms)
		broker.Release(now, places.Release{ID: held[0], Used: 60 * ms, Outcome: instances.Answered, Load: instances.ReportedLoad{Running: 6, Waiting: 1, Slots: 6}})
		held = held[1:]
		for _, w := range broker.Decided() {
			if w.Decision.Granted() {
				held = append(held, w.Decision.ID)
			}
		}
		if len(held) == 0 {
			held = fill(broker)
		}
	}
}

// Permits whose return was lost with the path to their node would keep places idle until the deadlines of their
// requests, seconds later, while others wait.
func TestPlacesOfLostPermitsAreGrantedAgain(t *testing.T) {
	b := newBroker(1)
	held := fill(b) // none of them is returned
	at := start.Add(-1500 * ms)
	b.Tick(at)
	w := ask(b, at, "a/1", 300*ms)
	if !w.Decision.Granted() {
		t.Fatal("the request waits for places of permits that are lost")
	}
	b.Release(at.Add(ms), places.Release{ID: held[0], Outcome: instances.Answered}) // it was in use after all
	b.Release(at.Add(2*ms), places.Release{ID: w.Decision.ID, Outcome: instances.Answered})
	if n := len(fillAt(b, at.Add(3*ms))); n != slots+2 {
		t.Errorf("%d places are granted, want %d", n, slots+2)
	}
}

// After a broken path permits come back seconds late. Taken for long work, they made the broker refuse requests
// as if the upstreams had hardly any capacity.
func TestLateReturnIsNotTakenForLongWork(t *testing.T) {
	b := newBroker(1)
	for _, id := range fillAt(b, start) {
		b.Release(start.Add(time.Second), places.Release{ID: id, Used: 60 * ms, Outcome: instances.Answered})
	}
	fillAt(b, start.Add(time.Second))
	for i := range 5 {
		if w := ask(b, start.Add(time.Second), "a/1", 300*ms); w.Decision.Kind != "" {
			t.Fatalf("request %d in the queue was refused, want it to wait for work of 60 ms", i)
		}
	}
}
