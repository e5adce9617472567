package admission

import "time"

// tokenBucket is a token bucket whose balance may become negative. A request passes
// while the balance is above zero and is charged in full, so a request larger than the
// burst can pass too; the negative balance delays later requests. The caller must hold a
// lock.
type tokenBucket struct {
	// rate is in tokens per second; balance is in tokens.
	rate       float64
	balance    float64
	burst      time.Duration
	refilledAt time.Time
}

// setRate changes the rate from now on. A new bucket starts full.
func (b *tokenBucket) setRate(now time.Time, rate float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.rate = now, rate
		b.balance = b.capacity()
		return
	}
	b.refill(now)
	b.rate = rate
	b.balance = min(b.balance, b.capacity())
}

func (b *tokenBucket) capacity() float64 { return b.rate * b.burst.Seconds() }

func (b *tokenBucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.balance = min(b.balance+b.rate*now.Sub(b.refilledAt).Seconds(), b.capacity())
		b.refilledAt = now
	}
}

// wait returns the time until the balance is above zero, or zero if it already is.
func (b *tokenBucket) wait(now time.Time) time.Duration {
	b.refill(now)
	if b.balance > 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.balance) / b.rate * float64(time.Second))
}

// charge subtracts tokens from the balance; a negative number refunds them.
func (b *tokenBucket) charge(now time.Time, tokens float64) {
	b.refill(now)
	b.balance = min(b.balance-tokens, b.capacity())
}
