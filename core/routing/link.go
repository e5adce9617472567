package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// LinkBudget limits the bytes that a node sends over one link between regions. It
// is a token bucket in one atomic word, so that decisions read it without a lock.
type LinkBudget struct {
	bytesPerSecond float64
	burst          time.Duration
	// fullAt is the time at which the bucket is full again, in Unix nanoseconds.
	fullAt atomic.Int64
}

// NewLinkBudget returns a full budget with the given rate and a capacity of
// bytesPerSecond times burst.
func NewLinkBudget(bytesPerSecond float64, burst time.Duration) *LinkBudget {
	return &LinkBudget{bytesPerSecond: bytesPerSecond, burst: burst}
}

// Remaining returns the number of bytes that may be sent at now; negative if the
// budget is overdrawn, the maximum if l is nil.
func (l *LinkBudget) Remaining(now time.Time) int64 {
	if l == nil {
		return math.MaxInt64
	}
	untilFull := max(l.fullAt.Load()-now.UnixNano(), 0)
	return int64((l.burst - time.Duration(untilFull)).Seconds() * l.bytesPerSecond)
}

// Consume consumes n bytes at now. It may overdraw the budget, because the bytes of a
// response in progress are counted but not delayed.
func (l *LinkBudget) Consume(now time.Time, n int) {
	if l == nil {
		return
	}
	cost := int64(float64(n) / l.bytesPerSecond * float64(time.Second))
	for {
		old := l.fullAt.Load()
		if l.fullAt.CompareAndSwap(old, max(old, now.UnixNano())+cost) {
			return
		}
	}
}
