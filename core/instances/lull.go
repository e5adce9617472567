package instances

import "time"

const (
	// minLull and maxLull bound how long an upstream with requests in flight sends no byte when it was silent for a moment,
	// the time for an answer included.
	minLull = 600 * time.Millisecond
	maxLull = 2 * time.Second
	// lullInterval is the minimum time between two lulls that do not count. An upstream with more of them is slow.
	lullInterval = 10 * time.Second
)

// withoutLull returns the time from the request to now without that in which the upstream was silent for a moment, but
// at least the expected time if it is shortened.
func (t *Ticket) withoutLull(now time.Time, expected time.Duration) time.Duration {
	u := t.upstream
	if gap := now.Sub(maxTime(u.coldness.lastByteAt, t.SentAt)); gap > minLull && gap <= maxLull && now.Sub(u.lull.until) > lullInterval {
		u.lull = period{u.coldness.lastByteAt, now}
	}
	took := now.Sub(t.SentAt)
	silent := u.lull.until.Sub(maxTime(u.lull.from, t.SentAt))
	if silent <= 0 || took <= expected {
		return took
	}
	return max(expected, took-silent)
}
