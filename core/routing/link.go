package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// LinkBudget bounds the bytes that a node sends over one link between regions:
// a token bucket in one atomic word, so that decisions read it without a lock.
type LinkBudget struct {
	bytesPerSecond float64
	burst          time.Duration
	// fullAt is when the bucket is full again, in Unix nanoseconds.
	fullAt atomic.Int64
}

// NewLinkBudget returns a full budget of the given rate that holds burst's worth.
func NewLinkBudget(bytesPerSecond float64, burst time.Duration) *LinkBudget {
	return &LinkBudget{bytesPerSecond: bytesPerSecond, burst: burst}
}

// Left returns the bytes that may be sent at now; negative if overdrawn.
func (l *LinkBudget) Left(now time.Time) int64 {
	if l == nil {
		return math.MaxInt64
	}
	debt := max(l.fullAt.Load()-now.UnixNano(), 0)
	return int64((l.burst - time.Duration(debt)).Seconds() * l.bytesPerSecond)
}

// Take spends n bytes at now. It may overdraw the budget: bytes of an answer that
// is under way are counted, not held back.
func (l *LinkBudget) Take(now time.Time, n int) {
	if l == nil {
		return
	}
	spent := int64(float64(n) / l.bytesPerSecond * float64(time.Second))
	for {
		old := l.fullAt.Load()
		if l.fullAt.CompareAndSwap(old, max(old, now.UnixNano())+spent) {
			return
		}
	}
}
