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
	return &Bucket{level: low, low: low, at: start + max(0, t.refill(t.Extended)-leaseMargin)}
}

// advance fills the bucket and updates the level down to which tokens are granted. An account
// gets its burst, and a few of its largest requests in addition if these are large compared
// to it. After a time of lower levels, that level rises with the bucket's, so that an account
// that uses as much as its rate is not held up.
func (b *Bucket) advance(now time.Duration, t *Terms) {
	b.level = min(t.Depth, b.level+t.Rate*(now-b.at).Seconds())
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
	if extended := b.level - (t.Depth - t.Swing - t.Extended); largest > 0 && t.Extended > 0 {
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
}

// Begin begins a term with empty buckets, which fill from start on. The lease was granted by a
// call that was sent at sentAt.
func (a *Authority) Begin(start, sentAt, ttl time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.start, a.end = start, sentAt+ttl-leaseMargin
	a.buckets = make(map[string]*Bucket)
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
	a.end, a.buckets = 0, nil
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

// Grant answers a demand. It returns false if the node is not the authority, or does not grant
// tokens of the account yet.
func (a *Authority) Grant(now time.Duration, t *Terms, d *Demand) (Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active(now) {
		return Grant{}, false
	}
	now = max(now, a.start)
	b := a.buckets[d.Account]
	if b == nil {
		b = newBucket(a.start, t)
		a.buckets[d.Account] = b
	}
	if now < b.at {
		return Grant{}, false
	}
	return b.Grant(now, t, d), true
}
