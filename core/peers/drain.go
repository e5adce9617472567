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
)

// Drain is the planned stop of the local node.
type Drain struct {
	StartedAt time.Time
	// EndsAt is when requests still in flight are cut.
	EndsAt time.Time
}

// Accepts reports whether the node accepts a request that arrives now and may take until
// deadline. After DrainAcceptPeriod only requests that certainly end before the node
// stops are accepted: a longer one is served by another node after a refusal, but
// would have no complete answer here.
func (d *Drain) Accepts(now, deadline time.Time) bool {
	return now.Before(d.StartedAt.Add(DrainAcceptPeriod)) || !deadline.After(d.EndsAt)
}
