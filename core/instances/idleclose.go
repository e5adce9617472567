package instances

import "time"

const (
	// idleTimeoutTolerance is the part of an idle timeout after which the end of an idle connection is attributed to it.
	idleTimeoutTolerance = 0.9
	// idleTimeoutSlack is how much later than after twice its idle timeout an upstream may close a connection.
	idleTimeoutSlack = time.Second
	// minIdleTimeout is the shortest idle timeout that is learned. Whatever ends connections that were just used is no timeout.
	minIdleTimeout = time.Second
	// idleTimeoutRetention is how long a learned idle timeout is used.
	idleTimeoutRetention = time.Minute
)

// idleTimeout is the time after which the upstreams of a service close idle connections, as far as it has been learned.
type idleTimeout struct {
	shortest  time.Duration
	learnedAt time.Time
}

// explains reports whether the end of a connection that was idle for a time is no sign of the end of a process. stated is the idle
// timeout that the upstream stated, if it did.
func (t *idleTimeout) explains(now time.Time, idle, stated time.Duration) bool {
	reaches := func(timeout time.Duration) bool {
		return timeout > 0 && float64(idle) >= idleTimeoutTolerance*float64(timeout) && idle <= 2*timeout+idleTimeoutSlack
	}
	return reaches(stated) || now.Sub(t.learnedAt) < idleTimeoutRetention && reaches(t.shortest)
}

// learn records that a process that closed an idle connection had not ended. idle is how long the connection had been idle.
func (t *idleTimeout) learn(now time.Time, idle time.Duration) {
	if idle >= minIdleTimeout && (now.Sub(t.learnedAt) >= idleTimeoutRetention || idle < t.shortest) {
		t.shortest, t.learnedAt = idle, now
	}
}

// RecordIdleClosed records that the upstream at an address closed a connection that was idle for a time. Unless its idle timeout
// explains that, it may have ended and started again.
func (c *Catalog) RecordIdleClosed(now time.Time, address string, idle, statedTimeout time.Duration) {
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.hasColdPhase() || p.idleTimeout.explains(now, idle, statedTimeout) {
			return
		}
		for _, u := range p.upstreams {
			if a, _ := p.exclusion(now, u); u.Address != address || a <= LeavingRegistered {
				continue
			}
			p.recordLoss(now, now.Add(-idle), u, LossClosed)
			if u.idleClosedAfter == 0 || idle < u.idleClosedAfter {
				u.idleClosedAfter = idle
			}
		}
	})
}
