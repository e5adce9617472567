package peers

import "time"

const (
	// DrainAcceptPeriod is how long a draining node accepts every request. It covers
	// callers that cache a directory response for three times its TTL less the time of a
	// lookup.
	DrainAcceptPeriod = 2900 * time.Millisecond
	// drainNoticeMargin covers the time until the other nodes know that a node drains,
	// and the transit of a request to it.
	drainNoticeMargin = 500 * time.Millisecond
	// lastAnswersPeriod is the end of the drain in which requests still in flight are
	// answered instead of cut.
	lastAnswersPeriod = 250 * time.Millisecond
)

// Drain is the planned stop of the local node.
type Drain struct {
	StartedAt time.Time
	// EndsAt is when connections of callers are closed.
	EndsAt time.Time
}

// LastAnswersAt returns when the node answers requests still in flight and abandons
// their upstreams.
func (d *Drain) LastAnswersAt() time.Time { return d.EndsAt.Add(-lastAnswersPeriod) }

// Accept returns the deadline of a request that arrives now and may take until the given
// deadline, and whether the node accepts the request. After DrainAcceptPeriod only
// requests that certainly end before the node stops are accepted: a longer one is served
// by another node after a refusal. Before it, the deadline of a longer one is shortened,
// so that it is refused at once if its upstreams are known to need more time, and has an
// answer in any case.
func (d *Drain) Accept(now, deadline time.Time) (time.Time, bool) {
	last := d.LastAnswersAt()
	if !deadline.After(last) {
		return deadline, true
	}
	return last, now.Before(d.StartedAt.Add(DrainAcceptPeriod))
}
