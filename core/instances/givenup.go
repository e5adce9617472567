package instances

import "time"

// givenUp is the record of failures of an upstream from before requests were given up because it was silent. It holds
// again once the upstream is heard: a sound one may be silent for a moment.
type givenUp struct {
	// at is when a request was last given up; zero if none was since the upstream was heard.
	at time.Time
	// unrecorded is the number of these requests whose outcome is not recorded yet.
	unrecorded   int
	failureRate  float64
	suspectUntil time.Time
	suspectFor   time.Duration
}

// GiveUp records that the request is given up because its upstream is silent; Done follows.
func (t *Ticket) GiveUp(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	u := t.upstream
	u.restoreIfHeard()
	g := &u.givenUp
	if g.at.IsZero() {
		*g = givenUp{failureRate: u.failureRate, suspectUntil: u.suspectUntil, suspectFor: u.suspectFor}
	}
	g.at = now
	g.unrecorded++
}

// restoreIfHeard restores the record of failures if the upstream has sent a byte since a request was given up.
func (u *upstream) restoreIfHeard() {
	g := &u.givenUp
	if g.at.IsZero() || !u.coldness.lastByteAt.After(g.at) {
		return
	}
	u.failureRate, u.suspectUntil, u.suspectFor = g.failureRate, g.suspectUntil, g.suspectFor
	*g = givenUp{}
}

// recordFailure keeps the record as it is if the failure is no request that was given up.
func (g *givenUp) recordFailure(o Outcome) {
	if o == Broken && g.unrecorded > 0 {
		g.unrecorded--
		return
	}
	*g = givenUp{}
}
