package admission

import "time"

// minWindow stores the recent values of a variable to determine their minimum.
type minWindow struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add records the value from now on and removes values that were replaced before since.
func (w *minWindow) add(now time.Time, value float64, since time.Time) {
	w.samples = append(w.samples, sample{at: now, value: value})
	old := 0
	for old+1 < len(w.samples) && !w.samples[old+1].at.After(since) {
		old++
	}
	w.samples = append(w.samples[:0], w.samples[old:]...)
}

// min returns the smallest value from since until now, or zero if there is no value for
// that time.
func (w *minWindow) min(since time.Time) float64 {
	if len(w.samples) == 0 || w.samples[0].at.After(since) {
		return 0
	}
	low := w.samples[0].value
	for _, s := range w.samples[1:] {
		low = min(low, s.value)
	}
	return low
}
