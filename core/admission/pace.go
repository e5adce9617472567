package admission

import "time"

// paceSpan is the time over which a queue's pace is measured.
const paceSpan = 2 * time.Second

// pace measures how much slot time a queue hands out while requests wait. Its
// owner locks it.
type pace struct {
	begun time.Time
	// current and last are sums over the running span and the one before.
	current, last float64
	whole         bool
}

// reset starts anew, when a queue begins to fill.
func (p *pace) reset(now time.Time) { *p = pace{begun: now} }

func (p *pace) roll(now time.Time) {
	if now.Sub(p.begun) < paceSpan {
		return
	}
	p.last, p.whole = p.current*paceSpan.Seconds()/now.Sub(p.begun).Seconds(), true
	p.current, p.begun = 0, now
}

// served counts slot time, in seconds.
func (p *pace) served(now time.Time, cost float64) {
	p.roll(now)
	p.current += cost
}

// estimate returns the measured pace in seconds a second, and expected before
// the first whole span. It never exceeds expected: others share the places.
func (p *pace) estimate(now time.Time, expected float64) float64 {
	p.roll(now)
	if !p.whole {
		return expected
	}
	return min(p.last/paceSpan.Seconds(), expected)
}
