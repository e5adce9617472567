package instances

import (
	"cmp"
	"slices"
)

// latestSamples holds the latest samples of a value.
type latestSamples[T cmp.Ordered] struct {
	// values holds the samples; once it is full, the next one replaces that at index next.
	values []T
	next   int
	// sorted is the buffer for quantile.
	sorted []T
}

// add adds a sample and drops the oldest one if there are more than the given number.
func (s *latestSamples[T]) add(sample T, number int) {
	if len(s.values) < number {
		s.values = append(s.values, sample)
		return
	}
	s.values[s.next] = sample
	s.next = (s.next + 1) % number
}

// quantile returns a quantile below 1 of the samples, of which there must be some.
func (s *latestSamples[T]) quantile(q float64) T {
	s.sorted = append(s.sorted[:0], s.values...)
	slices.Sort(s.sorted)
	return s.sorted[int(q*float64(len(s.sorted)))]
}
