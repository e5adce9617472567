package quota

import (
	"math"
	"time"
)

// decayingSum is a sum whose terms decay exponentially.
type decayingSum struct {
	sum float64
	set time.Duration
}

func (s *decayingSum) at(now, timeConstant time.Duration) float64 {
	if now <= s.set || s.sum == 0 {
		return s.sum
	}
	return s.sum * math.Exp(-(now-s.set).Seconds()/timeConstant.Seconds())
}

func (s *decayingSum) add(now, timeConstant time.Duration, amount float64) {
	s.sum, s.set = s.at(now, timeConstant)+amount, max(s.set, now)
}

// slidingParts is the number of parts into which a window is divided for counting.
const slidingParts = 32

// slidingSum sums up what was counted during the last window, and during the part before it, as
// the window may begin there. If the width of the window changes, it begins anew with the
// sum so far.
type slidingSum struct {
	parts   [slidingParts + 1]float64
	current int64
	width   time.Duration
	sum     float64
}

// advance forgets what is older than the window.
func (s *slidingSum) advance(now, window time.Duration) {
	if width := window / slidingParts; width != s.width {
		sum := s.sum
		*s = slidingSum{width: width, current: int64(now / width)}
		s.count(sum)
	}
	current := int64(now / s.width)
	if current-s.current > slidingParts {
		*s = slidingSum{width: s.width, current: current}
	}
	for s.current < current {
		s.current++
		oldest := &s.parts[s.current%int64(len(s.parts))]
		s.sum -= *oldest
		*oldest = 0
	}
}

func (s *slidingSum) count(amount float64) {
	s.parts[s.current%int64(len(s.parts))] += amount
	s.sum += amount
}

func (s *slidingSum) total(now, window time.Duration) float64 {
	s.advance(now, window)
	return s.sum
}

func (s *slidingSum) add(now, window time.Duration, amount float64) {
	s.advance(now, window)
	s.count(amount)
}

// remove takes back an amount that was counted one window before a time.
func (s *slidingSum) remove(until time.Duration, amount float64) {
	part := int64((until - slidingParts*s.width) / s.width)
	if s.current-part <= slidingParts {
		p := &s.parts[part%int64(len(s.parts))]
		amount = min(amount, *p)
		*p -= amount
		s.sum -= amount
	}
}
