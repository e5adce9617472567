package admission

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func queuedEntry(c Class, priority int, cost float64, after time.Duration) *entry {
	return &entry{class: c, priority: priority, cost: cost, enqueued: epoch.Add(after)}
}

func TestShortRequestsPassLongOnesWithoutStarvingThem(t *testing.T) {
	q := newQueue(0.75, time.Second)
	for range 100 {
		q.push(queuedEntry(Long, 0, 4, 0))
	}
	for range 1000 {
		q.push(queuedEntry(Short, 0, 0.1, time.Second))
	}
	var slotTime [classes]float64
	firstLong, order := -1, 0
	for slotTime[Short]+slotTime[Long] < 100 {
		e := q.next(epoch, nil)
		q.serve(e)
		slotTime[e.class] += e.cost
		if e.class == Long && firstLong < 0 {
			firstLong = order
		}
		order++
	}
	if share := slotTime[Short] / 100; share < 0.7 || share > 0.8 {
		t.Errorf("got %.0f%% of the slot time for short requests, want about 75%%", 100*share)
	}
	if firstLong > 150 {
		t.Errorf("the first long request came after %d short ones, want at most 150", firstLong)
	}
}

func TestIdleClassAccumulatesNoCredit(t *testing.T) {
	q := newQueue(0.75, time.Second)
	for range 50 {
		q.push(queuedEntry(Long, 0, 4, 0))
	}
	for range 40 {
		q.serve(q.next(epoch, nil))
	}
	for range 1000 {
		q.push(queuedEntry(Short, 0, 0.1, 0))
	}
	short := 0
	for range 200 {
		e := q.next(epoch, nil)
		q.serve(e)
		if e.class == Short {
			short++
		}
	}
	if short == 200 {
		t.Error("200 short requests in a row were served before a long one")
	}
}

func TestAgingRaisesLowPriority(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		want   int
	}{{"no wait", 0, 5}, {"less than the difference", 4 * time.Second, 5}, {"more than the difference", 6 * time.Second, 0}} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(0.75, time.Second)
			q.push(queuedEntry(Short, 0, 1, 0))
			q.push(queuedEntry(Short, 5, 1, c.waited))
			if e := q.next(epoch.Add(c.waited), nil); e.priority != c.want {
				t.Errorf("got priority %d first, want %d", e.priority, c.want)
			}
		})
	}
}

func TestFullRegionsDoNotBlockOtherEntries(t *testing.T) {
	q := newQueue(0.75, time.Second)
	home, all := queuedEntry(Short, 9, 1, 0), queuedEntry(Short, 0, 1, 0)
	home.regionsKey, all.regionsKey = "nl", "nl de"
	q.push(home)
	q.push(all)
	if e := q.next(epoch, []string{"nl"}); e != all {
		t.Errorf("got %v next, want the entry with free capacity", e)
	}
	if e := q.next(epoch, []string{"nl", "nl de"}); e != nil {
		t.Errorf("got %v next, want none: no region has capacity", e)
	}
}

func TestRemovedEntryIsNotServed(t *testing.T) {
	q := newQueue(0.75, time.Second)
	a, b := queuedEntry(Short, 0, 1, 0), queuedEntry(Short, 0, 1, 0)
	q.push(a)
	q.push(b)
	if !q.remove(a) || q.remove(a) {
		t.Error("an entry was not removed exactly once")
	}
	if got := []*entry{q.next(epoch, nil)}; !slices.Equal(got, []*entry{b}) || q.len() != 1 {
		t.Errorf("got %v next of %d queued, want the remaining entry", got, q.len())
	}
}

func TestTokenBucketAllowsNegativeBalance(t *testing.T) {
	b := tokenBucket{burst: 2 * time.Second}
	b.setRate(epoch, 100)
	if b.wait(epoch) != 0 {
		t.Fatal("a new bucket is not full")
	}
	b.charge(epoch, 1000)
	if got := b.wait(epoch); got < 7*time.Second || got > 9*time.Second {
		t.Errorf("after charging 1000 tokens to a bucket of 200: got a wait of %s, want about 8 s", got)
	}
	b.charge(epoch, -900)
	if got := b.wait(epoch); got != 0 {
		t.Errorf("after a refund: got a wait of %s, want 0", got)
	}
	if b.wait(epoch.Add(time.Hour)); b.balance != 200 {
		t.Errorf("got a full bucket of %v tokens, want 200", b.balance)
	}
}

func TestRetriesAreLimitedToShareOfRequests(t *testing.T) {
	cfg := DefaultConfig()
	b := newRetryBudget(&cfg, epoch)
	allowed := 0
	for i := range 1000 {
		b.recordRequest()
		if b.tryTake(epoch.Add(time.Duration(i) * time.Millisecond)) {
			allowed++
		}
	}
	// A tenth of the requests, one per second, and the one available at the start.
	if allowed < 95 || allowed > 102 {
		t.Errorf("got %d retries for 1000 failing requests in a second, want about 102", allowed)
	}
}
