package admission

import "time"

// bucket is a token bucket that may go into debt: a request passes while the
// balance is above zero and is charged whole, so that one which is larger than
// the burst passes as well, and the debt delays those behind it. Its owner
// locks it.
type bucket struct {
	// rate is in tokens a second; balance is in tokens.
	rate    float64
	balance float64
	burst   time.Duration
	filled  time.Time
}

// setRate changes the rate from now on. A new bucket starts full.
func (b *bucket) setRate(now time.Time, rate float64) {
	if b.filled.IsZero() {
		b.filled, b.rate = now, rate
		b.balance = b.size()
		return
	}
	b.fill(now)
	b.rate = rate
	b.balance = min(b.balance, b.size())
}

func (b *bucket) size() float64 { return b.rate * b.burst.Seconds() }

func (b *bucket) fill(now time.Time) {
	if now.After(b.filled) {
		b.balance = min(b.balance+b.rate*now.Sub(b.filled).Seconds(), b.size())
		b.filled = now
	}
}

// wait returns how long until the balance is above zero; zero if it is.
func (b *bucket) wait(now time.Time) time.Duration {
	b.fill(now)
	if b.balance > 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.balance) / b.rate * float64(time.Second))
}

// take charges tokens; a negative number gives back.
func (b *bucket) take(now time.Time, tokens float64) {
	b.fill(now)
	b.balance = min(b.balance-tokens, b.size())
}
