package admission

import "time"

// throughputWindow is the time over which a queue's throughput is measured.
const throughputWindow = 2 * time.Second

// throughputMeter measures the slot time that a queue assigns per second while requests
// are queued. The caller must hold a lock.
type throughputMeter struct {
	startedAt time.Time
	// current and previous are the slot time of the current window and of the one
	// before, in seconds.
	current, previous float64
	complete          bool
}

// reset restarts the measurement, when a queue begins to fill.
func (p *throughputMeter) reset(now time.Time) { *p = throughputMeter{startedAt: now} }

func (p *throughputMeter) advance(now time.Time) {
	if now.Sub(p.startedAt) < throughputWindow {
		return
	}
	p.previous, p.complete = p.current*throughputWindow.Seconds()/now.Sub(p.startedAt).Seconds(), true
	p.current, p.startedAt = 0, now
}

// record counts assigned slot time, in seconds.
func (p *throughputMeter) record(now time.Time, cost float64) {
	p.advance(now)
	p.current += cost
}

// estimate returns the measured throughput in seconds of slot time per second, or
// expected until the first window is complete. The result never exceeds expected,
// because other nodes use the same slots.
func (p *throughputMeter) estimate(now time.Time, expected float64) float64 {
	p.advance(now)
	if !p.complete {
		return expected
	}
	return min(p.previous/throughputWindow.Seconds(), expected)
}
