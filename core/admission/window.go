package admission

import "time"

// window remembers a value for a while, to tell what it never fell below.
type window struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add notes the value from now on and forgets what was replaced before since.
func (w *window) add(now time.Time, value float64, since time.Time) {
	w.samples = append(w.samples, sample{at: now, value: value})
	old := 0
	for old+1 < len(w.samples) && !w.samples[old+1].at.After(since) {
		old++
	}
	w.samples = append(w.samples[:0], w.samples[old:]...)
}

// lowest returns the smallest value from since until now; zero if the value was
// not known at that time.
func (w *window) lowest(since time.Time) float64 {
	if len(w.samples) == 0 || w.samples[0].at.After(since) {
		return 0
	}
	low := w.samples[0].value
	for _, s := range w.samples[1:] {
		low = min(low, s.value)
	}
	return low
}
