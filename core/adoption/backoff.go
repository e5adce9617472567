package adoption

import (
	"math/rand/v2"
	"time"
)

// backoff computes retry delays by exponential backoff with jitter: the bound doubles
// with each failure, and the delay is random between half the bound and the bound.
type backoff struct {
	minDelay time.Duration
	maxDelay time.Duration
	failures int
}

// maxDoublings limits the shift, which would overflow otherwise.
const maxDoublings = 16

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) nextDelay(rnd *rand.Rand) time.Duration {
	bound := min(b.maxDelay, b.minDelay<<min(b.failures, maxDoublings))
	b.failures++
	return jitter(rnd, bound)
}

// jitter returns a random duration between half of d and d.
func jitter(rnd *rand.Rand, d time.Duration) time.Duration {
	half := d / 2
	return half + time.Duration(rnd.Int64N(int64(half)+1))
}
