package currency

import (
	"testing"
	"time"
)

func TestNodesAskWhenTheProofAges(t *testing.T) {
	r := NewRefresher(Policy{Bound: 5 * time.Second}, 0)
	p := Proof{Version: 1, At: 10 * time.Second}
	if got := r.Ask(p.At+2*time.Second, p); got != Nowhere {
		t.Errorf("asks %d with a proof of 2 s", got)
	}
	now := p.At + 2001*ms
	var sources []Source
	for end := now + 2*time.Second; now < end; now += 10 * ms {
		if s := r.Ask(now, p); s != Nowhere {
			sources = append(sources, s)
		}
	}
	want := []Source{Reader, Region, Fleet, Reader} // after 0, 0.2, 0.6 and 1.4 s
	if len(sources) != len(want) {
		t.Fatalf("asked %v in 2 s, want %v", sources, want)
	}
	for i := range want {
		if sources[i] != want[i] {
			t.Errorf("asked %v, want %v", sources, want)
		}
	}
	p.At = now
	if got := r.Ask(now, p); got != Nowhere {
		t.Errorf("asks %d with a new proof", got)
	}
	if got := r.Ask(now+2100*ms, p); got != Reader {
		t.Errorf("asks %d when that ages, want a reader at once", got)
	}
}

// A fleet that loses the store must not ask ever more, nor read it all at the same moment.
func TestQuestionsOfAFleetWithoutStoreAreLimited(t *testing.T) {
	first, last := time.Hour, time.Duration(0)
	for i := range 100 {
		r := NewRefresher(Policy{Bound: 5 * time.Second}, float64(i)/100)
		p := Proof{Version: 1, At: time.Second}
		asked := 0
		readAt := time.Duration(0)
		for age := time.Duration(0); age < time.Minute; age += 20 * ms {
			if r.Ask(p.At+age, p) != Nowhere {
				asked++
			}
			if readAt == 0 && r.ReadStore(p.At+age, p) {
				readAt = age
			}
		}
		if asked > 62 {
			t.Errorf("a node asked %d times in a minute, want at most once a second", asked)
		}
		first, last = min(first, readAt), max(last, readAt)
	}
	if first <= 3*time.Second || last > 3800*ms || last-first < 700*ms {
		t.Errorf("100 nodes begin to read the store at ages from %v to %v, want them spread between 3 and 3.75 s", first, last)
	}
}

// Anyone can send unknown keys; each must not cause a call to the store.
func TestUnknownKeysCauseLimitedReads(t *testing.T) {
	r := NewRefresher(Policy{Bound: 5 * time.Second}, 0)
	p := Proof{Version: 1, At: time.Minute}
	reads := 0
	for now, end := p.At, p.At+10*time.Second; now < end; now += 10 * ms {
		r.WantFresh()
		if r.ReadStore(now, p) && r.ReadFresh(now, p) {
			reads++
			p.At = now
		}
	}
	if reads < 8 || reads > 10 {
		t.Errorf("%d reads in 10 s, want about one a second", reads)
	}
	r = NewRefresher(Policy{Bound: 5 * time.Second}, 0)
	if r.ReadStore(p.At+1500*ms, p) || r.ReadFresh(p.At+1500*ms, p) {
		t.Error("reads without an unknown key")
	}
}

func TestFirstReadersHoldReadsForAtMostASecond(t *testing.T) {
	for bound, want := range map[time.Duration][2]time.Duration{5 * time.Second: {625 * ms, 2 * time.Second}, time.Minute: {time.Second, 24 * time.Second}, 2 * time.Second: {250 * ms, 800 * ms}} {
		if got := [2]time.Duration{(Policy{Bound: bound}).Watch(true), (Policy{Bound: bound}).Watch(false)}; got != want {
			t.Errorf("bound %v: the first and other readers hold reads for %v, want %v", bound, got, want)
		}
	}
}
