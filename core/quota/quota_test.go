package quota

import (
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/routes"
)

func tokenQuota(rate float64) *routes.Quota {
	return &routes.Quota{CountsTokens: true, TokensPerPlainRequest: 200, PerSecond: rate, Burst: rate}
}

// TestTermsAddUpToTheLimit guards against a division of the limit that grants more than it.
func TestTermsAddUpToTheLimit(t *testing.T) {
	for _, b := range []Bounds{simBounds, {Window: 8 * time.Second}, {Window: time.Second, Over: 0.1, Slack: 10}} {
		for _, rate := range []float64{1, 50, 47000, 500000, 2e7} {
			for _, burst := range []float64{0, rate / 5, rate, 3 * rate} {
				q := &routes.Quota{CountsTokens: true, PerSecond: rate, Burst: burst}
				terms := b.Terms(q)
				used := rate*(b.Window+terms.Validity+terms.Delay).Seconds() + terms.Swing + terms.Emergency
				if limit := b.Limit(rate, burst); used > limit*1.000001 {
					t.Errorf("%+v, rate %v, burst %v: %v may be used in a window, want at most %v", b, rate, burst, used, limit)
				}
				if terms.Depth > burst/2 || terms.Depth > terms.Swing {
					t.Errorf("%+v, rate %v, burst %v: depth %v, want at most half of the burst and the swing %v", b, rate, burst, terms.Depth, terms.Swing)
				}
			}
		}
	}
}

// began returns an authority whose term began long ago.
func began(now time.Duration) *Authority {
	a := &Authority{}
	a.Begin(now-time.Minute, now, time.Hour, nil)
	return a
}

// TestRequestLargerThanTheBucketIsGranted guards against a bucket whose depth denies long prompts
// for ever.
func TestRequestLargerThanTheBucketIsGranted(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	now := 100 * time.Second
	a := began(now)
	if terms.Depth >= 93000 {
		t.Fatalf("depth is %v, want less than the request", terms.Depth)
	}
	for range 3 {
		g, ok := a.Grant(now, &terms, &Demand{Account: "a", Needed: 93000, Largest: 93000})
		if !ok || g.Tokens != 93000 {
			t.Fatalf("at %v: got %+v, want the tokens", now, g)
		}
		now += 2 * time.Second
	}
}

// TestLongPromptsAreServedBesidePlainRequestsAboveTheRate guards against small requests that take
// all tokens before a large one gets enough.
func TestLongPromptsAreServedBesidePlainRequestsAboveTheRate(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	a := began(100 * time.Second)
	var small, large, askedSmall, askedLarge int
	retryAt := 100 * time.Second
	for now := 100 * time.Second; now < 140*time.Second; now += 10 * time.Millisecond {
		for range 5 {
			askedSmall++
			if g, _ := a.Grant(now, &terms, &Demand{Account: "a", Needed: 200, Largest: 200}); g.Tokens == 200 {
				small++
			}
		}
		if now >= retryAt {
			askedLarge++
			g, _ := a.Grant(now, &terms, &Demand{Account: "a", Needed: 60000, Largest: 60000})
			retryAt = now + max(time.Second, g.RetryAfter+g.RetryAfter/4)
			if g.Tokens > 0 {
				large++
			}
		}
	}
	if large*2 < askedLarge*small/askedSmall {
		t.Errorf("got %d of %d large and %d of %d small requests, want at least half the share for large ones", large, askedLarge, small, askedSmall)
	}
}

// TestNewAuthorityDoesNotGrantWhatTheLastOneGranted guards against a change of the authority that
// allows an account its burst, or its debt, a second time.
func TestNewAuthorityDoesNotGrantWhatTheLastOneGranted(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	now := 100 * time.Second
	granted := 0.0
	for change := range 12 {
		a := &Authority{}
		a.Begin(now, now, LeaseTTL, nil)
		if change == 0 {
			a = began(now)
			a.Renew(now, now, LeaseTTL)
		}
		for end := now + 300*time.Millisecond; now < end; now += 10 * time.Millisecond {
			g, _ := a.Grant(now, &terms, &Demand{Account: "a", Needed: 50000, Largest: 50000})
			granted += g.Tokens
		}
		a.End()
		if g, ok := a.Grant(now, &terms, &Demand{Account: "a", Needed: 1, Largest: 1}); ok {
			t.Fatalf("got %+v after the end of the term, want nothing", g)
		}
		now += leaseMargin
	}
	if limit := simBounds.Limit(47000, 47000) - terms.Emergency; granted > limit {
		t.Errorf("got %v tokens in 10 s, want at most %v", granted, limit)
	}
}

// TestPlannedStopHandsOverTheLevels guards against accounts that wait for their quota after each
// planned stop, and against levels that are used twice.
func TestPlannedStopHandsOverTheLevels(t *testing.T) {
	q := tokenQuota(47000)
	terms := func(string) (Terms, bool) { return simBounds.Terms(q), true }
	now := 100 * time.Second
	last := began(now)
	large := simBounds.Terms(q)
	granted := 0.0
	for range 3 {
		g, _ := last.Grant(now, &large, &Demand{Account: "a", Needed: 80000, Largest: 80000})
		granted += g.Tokens
	}
	last.Resign(now)
	if _, ok := last.Grant(now, &large, &Demand{Account: "a", Needed: 1, Largest: 1}); ok {
		t.Fatal("got a grant after the end of the term")
	}
	levels := last.HandOver(now+300*time.Millisecond, []string{"a", "b"}, terms)
	if len(levels) != 2 || granted != 240000 || levels[0].Granted != granted || levels[1].Debt != 0 {
		t.Fatalf("got levels %+v, want 240000 tokens granted of one account and none of the other", levels)
	}
	if again := last.HandOver(now+300*time.Millisecond, []string{"a", "b"}, terms); len(again) > 0 {
		t.Errorf("got levels %+v a second time, want none", again)
	}
	now += 300 * time.Millisecond
	next := &Authority{}
	next.Begin(now, now, LeaseTTL, levels)
	if g, ok := next.Grant(now, &large, &Demand{Account: "b", Needed: 60000, Largest: 60000}); !ok || g.Tokens != 60000 {
		t.Errorf("account with a full bucket: got %+v, want 60000 tokens", g)
	}
	if g, ok := next.Grant(now, &large, &Demand{Account: "a", Needed: 93000, Largest: 93000}); !ok || g.Tokens > 0 {
		t.Errorf("account in debt: got %+v, want a denial", g)
	}
}

func TestAuthorityStopsBeforeItsLeaseEnds(t *testing.T) {
	terms := simBounds.Terms(&routes.Quota{PerSecond: 10, Burst: 10})
	d := &Demand{Account: "a", Needed: 1, Largest: 1}
	a := &Authority{}
	a.Begin(10*time.Second, 10*time.Second, LeaseTTL, nil)
	if !a.Active(12400 * time.Millisecond) {
		t.Error("got an inactive authority 2.4 s after the lease was granted")
	}
	if _, ok := a.Grant(12500*time.Millisecond, &terms, d); ok {
		t.Error("got a grant 0.5 s before the end of the lease")
	}
	a.Renew(12600*time.Millisecond, 12*time.Second, LeaseTTL) // answered after the end
	if a.Active(12600 * time.Millisecond) {
		t.Error("got a term that began again, although another node may be the authority")
	}
}

// TestTakeAllocatesNothing guards the cost of requests that find tokens.
func TestTakeAllocatesNothing(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	b := NewBalance(NodeHorizon, nil)
	fill(b, "a", &terms, 1e9, 0)
	if n := testing.AllocsPerRun(1000, func() {
		c, _, _ := b.Take(time.Millisecond, "a", &terms, 200)
		b.Return(time.Millisecond, "a", c)
	}); n > 0 {
		t.Errorf("got %v allocations, want none", n)
	}
}

// fill draws tokens for a balance.
func fill(b *Balance, account string, terms *Terms, tokens float64, now time.Duration) *Waiter {
	w := b.Wait(now, account, terms, 1)
	d := b.NextDraw(now)
	b.Complete(now, d, []Grant{{Account: account, Tokens: tokens, Validity: time.Second}})
	return w
}

func TestTokensLapse(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	b := NewBalance(NodeHorizon, nil)
	w := fill(b, "a", &terms, 1000, 0)
	c, answered, _ := w.Result()
	if !answered || c.Tokens != 1 {
		t.Fatalf("got charge %+v, answered %v, want the token", c, answered)
	}
	if _, o, _ := b.Take(999*time.Millisecond, "a", &terms, 100); o != Taken {
		t.Errorf("got outcome %v before the tokens lapse, want Taken", o)
	}
	if _, o, _ := b.Take(time.Second, "a", &terms, 100); o != Missing {
		t.Errorf("got outcome %v after the tokens lapsed, want Missing", o)
	}
	b.Return(time.Second, "a", c)
	if _, o, _ := b.Take(time.Second, "a", &terms, 1); o != Missing {
		t.Errorf("got outcome %v after lapsed tokens were returned, want Missing", o)
	}
}

func TestDeniedDrawIsRemembered(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	b := NewBalance(NodeHorizon, nil)
	w := b.Wait(0, "a", &terms, 5000)
	b.Complete(0, b.NextDraw(0), []Grant{{Account: "a", RetryAfter: 2 * time.Second}})
	if c, answered, retryAfter := w.Result(); c.Tokens != 0 || !answered || retryAfter != 2*time.Second {
		t.Errorf("got %+v, %v, %v, want a denial with its delay", c, answered, retryAfter)
	}
	if _, o, retryAfter := b.Take(50*time.Millisecond, "a", &terms, 5000); o != Denied || retryAfter != 1950*time.Millisecond {
		t.Errorf("got %v, %v soon afterwards, want Denied with the rest of the delay", o, retryAfter)
	}
	if _, o, _ := b.Take(50*time.Millisecond, "a", &terms, 200); o != Missing {
		t.Errorf("got %v for a smaller request, want Missing", o)
	}
	if _, o, _ := b.Take(100*time.Millisecond, "a", &terms, 5000); o != Missing {
		t.Errorf("got %v after the period, want Missing", o)
	}
}

// TestAnswerThatIsLateIsNoDenial: a late answer does not show that the quota is exceeded.
func TestAnswerThatIsLateIsNoDenial(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	b := NewBalance(NodeHorizon, nil)
	w := b.Wait(0, "a", &terms, 200)
	d := b.NextDraw(0)
	b.Complete(2*time.Second, d, []Grant{{Account: "a", Tokens: 200, Validity: time.Second}})
	if c, answered, _ := w.Result(); c.Tokens != 0 || answered {
		t.Errorf("got %+v, answered %v, want neither tokens nor a denial", c, answered)
	}
}

func TestTokensOfAbandonedWaiterAreKept(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	b := NewBalance(NodeHorizon, nil)
	w := b.Wait(0, "a", &terms, 200)
	d := b.NextDraw(0)
	w.Result()
	b.Complete(100*time.Millisecond, d, []Grant{{Account: "a", Tokens: 200, Validity: time.Second}})
	if _, o, _ := b.Take(200*time.Millisecond, "a", &terms, 200); o != Taken {
		t.Errorf("got %v, want Taken", o)
	}
}

// TestEmergencyShareHoldsForEveryWindow guards against a share that is used twice within a window.
func TestEmergencyShareHoldsForEveryWindow(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	b := NewBalance(NodeHorizon, nil)
	const share = 1000
	var used []lot
	returned := 0
	for now := time.Duration(0); now < 40*time.Second; now += 7 * time.Millisecond {
		if c, ok := b.TakeEmergency(now, "a", &terms, 8*time.Second, share, 200); ok {
			used = append(used, lot{c.Tokens, now})
			if returned++; returned%3 == 0 {
				b.Return(now, "a", c)
				used = used[:len(used)-1]
			}
		}
		sum := 0.0
		for _, u := range used {
			if u.until > now-8*time.Second {
				sum += u.tokens
			}
		}
		if sum > share {
			t.Fatalf("at %v: %v used in 8 s, want at most %v", now, sum, share)
		}
	}
	if len(used) < 15 {
		t.Errorf("got %d requests in 40 s, want at least 15", len(used))
	}
}

func TestStockKeepsNoTokensLongerThanTheirValidity(t *testing.T) {
	var s stock
	for i := range 20 {
		s.add(10, time.Duration(20-i)*time.Second) // more lots than there is room for
	}
	last := 1e9
	for now := time.Duration(0); now <= 20*time.Second; now += time.Second {
		s.expire(now)
		allowed := 10 * (20 - now.Seconds())
		if got := s.total(); got > allowed || got > last {
			t.Errorf("at %v: got %v tokens, want at most %v", now, got, allowed)
		}
		last = s.total()
	}
}

// TestViewKeepsLatestTerm guards against exchanges that bring back an authority that is gone.
func TestViewKeepsLatestTerm(t *testing.T) {
	v := NewView(0)
	v.Merge(0, Announcement{Node: "n1", Term: 5})
	v.Merge(time.Second, Announcement{Node: "n0", Term: 4})
	if a, ok := v.Current(); !ok || a.Node != "n1" {
		t.Errorf("got %v, %v, want n1", a, ok)
	}
	v.Forget(2*time.Second, 5)
	v.Merge(3*time.Second, Announcement{Node: "n1", Term: 5, Age: 2 * time.Second})
	if a, ok := v.Current(); ok {
		t.Errorf("got %v, want none: its lease was confirmed before it was found not to be the authority", a)
	}
	v.Merge(3*time.Second, Announcement{Node: "n1", Term: 5, Age: 500 * time.Millisecond})
	if _, ok := v.Current(); !ok {
		t.Error("got none, want n1: its lease was confirmed since")
	}
	v.Forget(4*time.Second, 5)
	v.Merge(4*time.Second, Announcement{Term: 5, Address: "n1"})
	if a, ok := v.Announcement(4 * time.Second); !ok || a.Node != "" {
		t.Errorf("got announcement %v, %v, want that the term has ended", a, ok)
	}
	v.Merge(4*time.Second, Announcement{Node: "n1", Term: 5})
	if a, ok := v.Current(); ok {
		t.Errorf("got %v, want none: it has resigned", a)
	}
	if since, lost := v.Lost(5 * time.Second); !lost || since != 4*time.Second {
		t.Errorf("got %v, %v, want a loss since 4 s", since, lost)
	}
	v.Merge(5*time.Second, Announcement{Node: "n2", Term: 2, Era: 1})
	if a, ok := v.Current(); !ok || a.Node != "n2" {
		t.Errorf("got %v, %v, want n2 of the later era", a, ok)
	}
	if _, lost := v.Lost(5*time.Second + staleAfter); !lost {
		t.Error("got no loss although the lease was not confirmed any more")
	}
}

// TestNewAuthorityDeniesOnlyWhatIsKnownToExceed: a denial means that the quota is exceeded, which
// a new authority cannot know of an account with one long prompt.
func TestNewAuthorityDeniesOnlyWhatIsKnownToExceed(t *testing.T) {
	terms := simBounds.Terms(tokenQuota(47000))
	a := &Authority{}
	a.Begin(100*time.Second, 100*time.Second, time.Hour, nil)
	now := 103 * time.Second
	if g, ok := a.Grant(now, &terms, &Demand{Account: "a", Needed: 93000, Largest: 93000}); ok {
		t.Errorf("long prompt: got %+v, want no answer", g)
	}
	for range 1000 {
		a.Grant(now, &terms, &Demand{Account: "b", Needed: 200, Largest: 200})
	}
	if g, ok := a.Grant(now, &terms, &Demand{Account: "b", Needed: 200, Largest: 200}); !ok || g.RetryAfter == 0 {
		t.Errorf("200,000 tokens within a moment: got %+v, %v, want a denial", g, ok)
	}
}
