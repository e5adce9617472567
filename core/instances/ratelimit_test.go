package instances_test

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

// after returns a time in milliseconds after the start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// answer places a request at sentMS and records an answer to it at answeredMS.
func answer(t *testing.T, c *instances.Catalog, sentMS, answeredMS int, limit float64) {
	t.Helper()
	ticket := placeRequest(c, after(sentMS))
	if ticket == nil {
		t.Fatalf("no request was placed at %d ms", sentMS)
	}
	ticket.RecordRateLimit(after(answeredMS), limit)
	ticket.Done(after(answeredMS), instances.Answered)
}

// placedFrom returns the number of requests placed in a second of one request each 10 ms.
func placedFrom(c *instances.Catalog, ms int) int {
	n := 0
	for at := ms; at < ms+1000; at += 10 {
		if ticket := placeRequest(c, after(at)); ticket != nil {
			n++
			ticket.Done(after(at), instances.Answered)
		}
	}
	return n
}

func TestLimitHoldsAsLongAsAnswersNameIt(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	answer(t, c, 0, 10, 2)
	if n := placedFrom(c, 20); n > 2 {
		t.Errorf("%d requests in a second were placed on an upstream that accepts 2", n)
	}
	answer(t, c, 2000, 2010, 20)
	if n := placedFrom(c, 2600); n < 15 || n > 21 {
		t.Errorf("%d requests in a second were placed on an upstream that changed its limit to 20", n)
	}
	answer(t, c, 4000, 4010, 0)
	if n := placedFrom(c, 4100); n != 100 {
		t.Errorf("%d of 100 requests were placed on an upstream that no longer names a limit", n)
	}
}

// TestAnswerFromBeforeLimitDoesNotEndIt: answers on different connections overtake each other.
func TestAnswerFromBeforeLimitDoesNotEndIt(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	early := placeRequest(c, after(0))
	answer(t, c, 5, 10, 2)
	early.RecordRateLimit(after(20), 0)
	early.Done(after(20), instances.Answered)
	if n := placedFrom(c, 30); n > 2 {
		t.Errorf("%d requests in a second were placed on an upstream that accepts 2", n)
	}
}

// TestNodeThatMayNotSendLearnsThatLimitEnded: it gets no answers of its own.
func TestNodeThatMayNotSendLearnsThatLimitEnded(t *testing.T) {
	sender := newCatalog(t, instances.Options{}, "a")
	other := newCatalog(t, instances.Options{RateShare: func(domain.UpstreamID, float64) float64 { return 0 }}, "a")
	answer(t, sender, 0, 10, 2)
	other.ApplyRateLimits(after(20), time.Time{}, sender.RateLimits(after(20)))
	if n := placedFrom(other, 30); n != 0 {
		t.Errorf("%d requests were placed by a node without a share of the limit", n)
	}
	answer(t, sender, 2000, 2010, 0)
	other.ApplyRateLimits(after(2020), after(2020), sender.RateLimits(after(2020)))
	if n := placedFrom(other, 2030); n != 100 {
		t.Errorf("%d of 100 requests were placed after the limit had ended", n)
	}
	sender.ApplyRateLimits(after(2100), after(2100), []instances.RateLimit{{Service: "app", Instance: "a", PerSecond: 2, Age: time.Second}})
	if n := placedFrom(sender, 2200); n != 100 {
		t.Errorf("%d of 100 requests were placed after older news of a limit", n)
	}
}

func TestNewIncarnationHasNoLimit(t *testing.T) {
	c := newCatalog(t, instances.Options{}, "a")
	answer(t, c, 0, 10, 2)
	restarted := newInstance("a")
	restarted.Started = 99
	c.Put(after(20), restarted)
	if n := placedFrom(c, 30); n != 100 {
		t.Errorf("%d of 100 requests were placed on an upstream that started again", n)
	}
}

func TestLimitOutlastsEntryOfTheSameProcess(t *testing.T) {
	for name, namedMS := range map[string]int{"named before the entry vanished": 10, "named while there was none": 30, "named after it came back": 50} {
		t.Run(name, func(t *testing.T) {
			c := newCatalog(t, instances.Options{}, "a")
			ticket := placeRequest(c, after(0))
			events := map[int]func(){
				namedMS: func() { ticket.RecordRateLimit(after(namedMS), 2) },
				20:      func() { c.Remove(after(20), "a") },
				40:      func() { c.Put(after(40), newInstance("a")) },
			}
			for ms := 10; ms <= 50; ms += 10 {
				if event, found := events[ms]; found {
					event()
				}
			}
			ticket.Done(after(60), instances.Answered)
			if n := placedFrom(c, 60); n > 2 {
				t.Errorf("%d requests in a second were placed on an upstream that accepts 2", n)
			}
		})
	}
}

func TestLimitedRegionReportsLittleCapacity(t *testing.T) {
	for limit, usable := range map[float64]int{2: 0, 1000: 1} {
		c := newCatalog(t, instances.Options{}, "a")
		answer(t, c, 0, 10, limit)
		if l := c.Pool("app").Load(after(20)); l.Usable != usable {
			t.Errorf("limit %v: other regions are told of %d usable upstreams, want %d", limit, l.Usable, usable)
		}
	}
}

// A message may be underway for seconds; its ages are those of its composition.
func TestEndOfLimitInMessageHeldUpDoesNotEndLaterLimit(t *testing.T) {
	sender, other := newCatalog(t, instances.Options{}, "a"), newCatalog(t, instances.Options{}, "a")
	answer(t, sender, 0, 10, 2)
	answer(t, sender, 2000, 2010, 0)
	heldUp := sender.RateLimits(after(2100))
	answer(t, other, 3000, 3010, 2)
	for _, composedAfter := range []time.Time{{}, after(2100)} { // another node's call, and the answer to one of this node
		other.ApplyRateLimits(after(4500), composedAfter, heldUp)
		if n := placedFrom(other, 4600); n > 2 {
			t.Errorf("%d requests in a second were placed on an upstream that accepts 2; the message was composed after %v", n, composedAfter)
		}
	}
}
