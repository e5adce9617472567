package adoption

import (
	"math/rand/v2"
	"time"
)

// backoff spaces retries: the bound doubles with each failure, and the wait is
// drawn between half the bound and the bound.
type backoff struct {
	least    time.Duration
	most     time.Duration
	failures int
}

// maxDoublings keeps the shift small.
const maxDoublings = 16

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) next(rnd *rand.Rand) time.Duration {
	bound := min(b.most, b.least<<min(b.failures, maxDoublings))
	b.failures++
	return jitter(rnd, bound)
}

// jitter draws a time between half of d and d.
func jitter(rnd *rand.Rand, d time.Duration) time.Duration {
	half := d / 2
	return half + time.Duration(rnd.Int64N(int64(half)+1))
}
