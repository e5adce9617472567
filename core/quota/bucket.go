package quota

import (
	"math"
	"sync"
	"time"
)

// Demand is what a node wants of an account's tokens.
type Demand struct {
	Account string
	// Needed is for requests that wait, of which the largest counts for Largest.
	Needed, Largest float64
	// Expected is wanted in addition, for the expected demand.
	Expected float64
}

// Grant is the answer to a demand.
type Grant struct {
	Account string
	Tokens  float64
	// Validity is how long the tokens may be used, from when the demand was sent.
	Validity time.Duration
	// RetryAfter is the time until what was denied is expected to be there; zero if all
	// that was needed is granted.
	RetryAfter time.Duration
}

const (
	// largestRetention is how long a request's size counts for the permitted debt.
	largestRetention = 10 * time.Second
	// reservePeriod is how long tokens are reserved for a denied request after the time
	// at which they are expected to be there: its caller sends it again by then.
	reservePeriod = 500 * time.Millisecond
	// RetryJitter is the fraction by which the advised delays of callers are spread.
	RetryJitter = 0.25
	// deniedTime is the time constant with which denied demand is forgotten. Until then its
	// callers are expected to send it again, before requests that are denied now.
	deniedTime = time.Second
	// expectedFraction is the maximum fraction of the bucket's level that one demand gets
	// for expected requests, so that the holders of other regions get some too.
	expectedFraction = 0.5
	// maxRetryAfter limits the advised delay; sizes and rates may change meanwhile.
	maxRetryAfter = 15 * time.Second
)

// Bucket is the token bucket of an account at the authority. It is not safe for concurrent
// use.
type Bucket struct {
	level float64
	at    time.Duration
	// low is the level down to which tokens are granted.
	low float64
	// granted are the tokens that were granted during the last time.
	granted slidingSum
	// completeAt is when granted covers a whole window: what earlier authorities granted is not
	// known.
	completeAt time.Duration
	// used is what was granted beyond the account's rate.
	used float64
	// largest is the size of the largest request that was needed lately.
	largest   float64
	largestAt time.Duration
	// reserve is kept for the largest denied request: smaller ones leave it in the bucket.
	reserve      float64
	reserveUntil time.Duration
	denied       decayingSum
	// smallest is the size of the smallest request that was denied lately.
	smallest   float64
	smallestAt time.Duration
}

// newBucket returns the bucket of a term that began at start. It fills from its lowest level,
// as the authority before may have granted as much as it could, and only after the time in
// which an extended debt is paid off.
func newBucket(start time.Duration, t *Terms) *Bucket {
	low := t.Depth - t.Swing
	begin := start + t.refill(t.Extended)
	return &Bucket{level: low, low: low, at: begin, completeAt: begin + t.Window}
}

// Level is the state of an account's bucket at the end of a term.
type Level struct {
	Account string
	// Debt is how far the level is below the depth.
	Debt float64
	// Granted was granted in the window before, as far as is known; Partial is set if that
	// is not the whole window.
	Granted float64
	Partial bool
}

// continueBucket returns the bucket of a term that began at start and continues another one.
func continueBucket(start time.Duration, t *Terms, l *Level) *Bucket {
	b := &Bucket{level: t.Depth - l.Debt, low: t.Depth - t.Swing, at: start}
	b.granted.add(start, t.Window, l.Granted)
	if l.Partial {
		b.completeAt = start + t.Window
	}
	return b
}

// advance fills the bucket and updates the level down to which tokens are granted. An account
// gets its burst, and a few of its largest requests in addition if these are large compared
// to it. After a time of lower levels, that level rises with the bucket's, so that an account
// that uses as much as its rate is not held up.
func (b *Bucket) advance(now time.Duration, t *Terms) {
	filled := t.Rate * (now - b.at).Seconds()
	b.level = min(t.Depth, b.level+filled)
	b.used = max(0, b.used-filled)
	b.at = now
	swing := t.Burst
	if now-b.largestAt < largestRetention {
		swing += debtRequests * b.largest
	}
	b.low = max(t.Depth-t.Swing, min(t.Depth-swing, max(b.low, b.level-t.Burst)))
}

// room returns the number of tokens that may be granted for requests of a size.
func (b *Bucket) room(now time.Duration, t *Terms, largest float64) float64 {
	room := b.level - b.low
	granted := b.granted.total(now, t.Window)
	// An account that has used about its quota or less goes further into debt.
	if extended := b.level - (t.Depth - t.Swing - t.Extended); largest > 0 && t.Extended > 0 && now >= b.completeAt {
		room = max(room, min(extended, t.Regular-granted))
	}
	if largest < b.reserve && now < b.reserveUntil {
		room -= b.reserve
	}
	return math.Floor(max(0, min(room, t.MaxGranted-granted)))
}

// Grant takes tokens for a demand, and in addition returns the missing time for what it denies.
func (b *Bucket) Grant(now time.Duration, t *Terms, d *Demand) Grant {
	if d.Largest > 0 && (d.Largest >= b.largest || now-b.largestAt >= largestRetention) {
		b.largest, b.largestAt = d.Largest, now
	}
	b.advance(now, t)
	room := b.room(now, t, d.Largest)
	g := Grant{Account: d.Account, Validity: t.Validity}
	switch {
	case d.Needed <= room:
		g.Tokens = d.Needed
		if d.Needed > 0 && d.Largest >= b.reserve {
			b.reserve = 0
		}
	case d.Largest <= room:
		g.Tokens = room // for some of several requests
	default:
		g.Tokens = min(room, d.Needed-d.Largest)
	}
	b.take(now, t, g.Tokens)
	if missing := d.Needed - g.Tokens; missing > 0 {
		g.RetryAfter = b.retryAfter(now, t, missing)
		b.deny(now, t, d.Largest, g.RetryAfter)
	} else if d.Expected > 0 {
		room = b.room(now, t, 0)
		extra := math.Floor(max(0, min(d.Expected, expectedFraction*b.level, room)))
		b.take(now, t, extra)
		g.Tokens += extra
	}
	return g
}

func (b *Bucket) take(now time.Duration, t *Terms, tokens float64) {
	b.level -= tokens
	b.used += tokens
	b.granted.add(now, t.Window, tokens)
}

// deny records that a request was denied. Tokens are reserved for it if smaller ones were denied
// too: they would otherwise take all that comes in.
func (b *Bucket) deny(now time.Duration, t *Terms, largest float64, retryAfter time.Duration) {
	recent := now-b.smallestAt < deniedTime
	if recent && b.smallest < largest && largest > b.reserve && largest <= t.Swing {
		b.reserve, b.reserveUntil = largest, now+time.Duration((1+RetryJitter)*float64(retryAfter))+reservePeriod
	}
	if !recent || largest <= b.smallest {
		b.smallest, b.smallestAt = largest, now
	}
}

// exceeds reports whether the account is known to exceed its quota, after a denial: what was granted
// in this term and what was denied in the last second is more than its burst and one large request.
func (b *Bucket) exceeds(now time.Duration, t *Terms) bool {
	return now >= b.completeAt || b.used+b.denied.at(now, deniedTime) > t.Burst+b.largest
}

// retryAfter returns the time until denied tokens are expected to be there, after those that
// were denied before, and records them.
func (b *Bucket) retryAfter(now time.Duration, t *Terms, denied float64) time.Duration {
	wait := t.refill(denied + b.denied.at(now, deniedTime) - (b.level - b.low))
	b.denied.add(now, deniedTime, denied)
	return min(maxRetryAfter, max(time.Millisecond, wait))
}

const (
	// LeaseTTL is the TTL of the authority's lease, RenewInterval the time between two
	// renewals.
	LeaseTTL      = 3 * time.Second
	RenewInterval = time.Second
	// leaseMargin is how long before the end of its lease the authority stops granting. It
	// covers clocks that run at different rates.
	leaseMargin = 500 * time.Millisecond
)

// Authority grants tokens while its node holds the lease.
type Authority struct {
	mu sync.Mutex
	// Tokens are granted from start until end.
	start, end time.Duration
	buckets    map[string]*Bucket
	// levels are those with which accounts begin that the last authority handed over.
	levels map[string]Level
	// resignedAt is when the term was ended by Resign; zero if it was not, or if its levels
	// were handed over.
	resignedAt time.Duration
}

// Begin begins a term. The lease was granted by a call that was sent at sentAt. levels are what
// the last authority handed over; the buckets of other accounts begin empty and fill from start
// on.
func (a *Authority) Begin(start, sentAt, ttl time.Duration, levels []Level) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.start, a.end, a.resignedAt = start, sentAt+ttl-leaseMargin, 0
	a.buckets, a.levels = make(map[string]*Bucket), make(map[string]Level, len(levels))
	for _, l := range levels {
		a.levels[l.Account] = l
	}
}

// Resign ends the term of an authority that grants tokens, so that its levels can be handed over.
func (a *Authority) Resign(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active(now) {
		a.end, a.resignedAt = now, now
	}
}

// handOverPeriod is how long after its end the levels of a term are handed over. Another term may
// lie between that and a later one.
const handOverPeriod = time.Second

// HandOver returns the levels of the given accounts at the end of the term, once: a second node that
// asks is not the next authority. It returns nothing unless the term was ended by Resign, and for
// accounts that the authority did not grant tokens of yet.
func (a *Authority) HandOver(now time.Duration, accounts []string, terms func(account string) (Terms, bool)) []Level {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resignedAt == 0 || now-a.resignedAt > handOverPeriod {
		return nil
	}
	var levels []Level
	for _, account := range accounts {
		t, found := terms(account)
		if !found {
			continue
		}
		b := a.bucket(account, &t)
		if a.end < b.at {
			continue
		}
		b.advance(a.end, &t)
		levels = append(levels, Level{Account: account, Debt: math.Ceil(t.Depth - b.level), Granted: math.Ceil(b.granted.total(a.end, t.Window)), Partial: a.end < b.completeAt})
	}
	a.resignedAt = 0
	return levels
}

// Renew records that the lease was renewed by a call that was sent at sentAt. It has no effect
// after End, nor after the term has ended by itself: another node may have become the
// authority then.
func (a *Authority) Renew(now, sentAt, ttl time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now < a.end {
		a.end = max(a.end, sentAt+ttl-leaseMargin)
	}
}

// End ends the term.
func (a *Authority) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end, a.buckets, a.resignedAt = 0, nil, 0
}

// Active reports whether tokens are granted now.
func (a *Authority) Active(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active(now)
}

func (a *Authority) active(now time.Duration) bool { return now >= a.start && now < a.end }

// Ended reports whether the term has ended.
func (a *Authority) Ended(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now >= a.end
}

// Grant answers a demand. It returns false if the node is not the authority, or denies tokens only
// because it does not know what earlier authorities granted.
func (a *Authority) Grant(now time.Duration, t *Terms, d *Demand) (Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active(now) {
		return Grant{}, false
	}
	now = max(now, a.start)
	b := a.bucket(d.Account, t)
	if now < b.at {
		return Grant{}, false
	}
	g := b.Grant(now, t, d)
	return g, g.Tokens > 0 || g.RetryAfter == 0 || b.exceeds(now, t)
}

// bucket returns the bucket of an account.
func (a *Authority) bucket(account string, t *Terms) *Bucket {
	b := a.buckets[account]
	if b == nil {
		if l, found := a.levels[account]; found {
			b = continueBucket(a.start, t, &l)
		} else {
			b = newBucket(a.start, t)
		}
		a.buckets[account] = b
	}
	return b
}
