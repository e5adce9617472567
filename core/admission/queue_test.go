package admission

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func waiting(c Class, priority int, cost float64, after time.Duration) *entry {
	return &entry{class: c, priority: priority, cost: cost, enqueued: epoch.Add(after)}
}

func TestQuickQuestionsPassLongJobsAndDoNotStarveThem(t *testing.T) {
	q := newQueue(0.75, time.Second)
	for range 100 {
		q.push(waiting(Long, 0, 4, 0))
	}
	for range 1000 {
		q.push(waiting(Short, 0, 0.1, time.Second))
	}
	var time [classes]float64
	firstLong, order := -1, 0
	for time[Short]+time[Long] < 100 {
		e := q.next(epoch, nil)
		q.serve(e)
		time[e.class] += e.cost
		if e.class == Long && firstLong < 0 {
			firstLong = order
		}
		order++
	}
	if share := time[Short] / 100; share < 0.7 || share > 0.8 {
		t.Errorf("short work had %.0f%% of the slot time, want about 75%%", 100*share)
	}
	if firstLong > 150 {
		t.Errorf("the first long job came after %d questions", firstLong)
	}
}

func TestIdleClassSavesUpNoTurns(t *testing.T) {
	q := newQueue(0.75, time.Second)
	for range 50 {
		q.push(waiting(Long, 0, 4, 0))
	}
	for range 40 {
		q.serve(q.next(epoch, nil))
	}
	for range 1000 {
		q.push(waiting(Short, 0, 0.1, 0))
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
		t.Error("200 questions in a row kept a long job waiting")
	}
}

func TestHighPriorityGoesFirstUntilLowHasWaited(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		want   int
	}{{"at once", 0, 5}, {"less than the difference", 4 * time.Second, 5}, {"more than the difference", 6 * time.Second, 0}} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(0.75, time.Second)
			q.push(waiting(Short, 0, 1, 0))
			q.push(waiting(Short, 5, 1, c.waited))
			if e := q.next(epoch.Add(c.waited), nil); e.priority != c.want {
				t.Errorf("priority %d goes first, want %d", e.priority, c.want)
			}
		})
	}
}

func TestFullPlacesDoNotHoldUpOthers(t *testing.T) {
	q := newQueue(0.75, time.Second)
	home, all := waiting(Short, 9, 1, 0), waiting(Short, 0, 1, 0)
	home.places, all.places = "nl", "nl de"
	q.push(home)
	q.push(all)
	if e := q.next(epoch, []string{"nl"}); e != all {
		t.Errorf("%v goes next", e)
	}
	if e := q.next(epoch, []string{"nl", "nl de"}); e != nil {
		t.Errorf("%v goes next although all places are full", e)
	}
}

func TestRemovedEntryIsNotServed(t *testing.T) {
	q := newQueue(0.75, time.Second)
	a, b := waiting(Short, 0, 1, 0), waiting(Short, 0, 1, 0)
	q.push(a)
	q.push(b)
	if !q.remove(a) || q.remove(a) {
		t.Error("an entry is removed other than once")
	}
	if got := []*entry{q.next(epoch, nil)}; !slices.Equal(got, []*entry{b}) || q.len() != 1 {
		t.Errorf("%v is next of %d", got, q.len())
	}
}

func TestTokenBucketLetsALargeRequestIntoDebt(t *testing.T) {
	b := bucket{burst: 2 * time.Second}
	b.setRate(epoch, 100)
	if b.wait(epoch) != 0 {
		t.Fatal("a new bucket is empty")
	}
	b.take(epoch, 1000)
	if got := b.wait(epoch); got < 7*time.Second || got > 9*time.Second {
		t.Errorf("after 1000 of 200 tokens the wait is %s, want about 8 s", got)
	}
	b.take(epoch, -900)
	if got := b.wait(epoch); got != 0 {
		t.Errorf("after a correction the wait is %s", got)
	}
	if b.wait(epoch.Add(time.Hour)); b.balance != 200 {
		t.Errorf("the bucket filled up to %v, want 200", b.balance)
	}
}

func TestRetriesAreAShareOfRequests(t *testing.T) {
	cfg := DefaultConfig()
	b := newRetryBudget(&cfg, epoch)
	allowed := 0
	for i := range 1000 {
		b.request()
		if b.take(epoch.Add(time.Duration(i) * time.Millisecond)) {
			allowed++
		}
	}
	// A tenth of the requests, one a second, and the one at the start.
	if allowed < 95 || allowed > 102 {
		t.Errorf("%d retries for 1000 failing requests in a second, want about 102", allowed)
	}
}
