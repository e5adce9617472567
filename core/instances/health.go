package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// healthInterval is the time between two health requests to an upstream.
	healthInterval = time.Second
	// confirmSpread is the time over which the nodes that noticed the loss of a connection ask for the upstream's health, so
	// that most of them hear what the first one found.
	confirmSpread = time.Second
	// unsettledFor is the time after which nodes ask for the health of an upstream although another one should have.
	unsettledFor = 3 * time.Second
)

// HealthCheck is a health request that is due.
type HealthCheck struct {
	Instance
	// SentAt is when it is sent.
	SentAt time.Time
	// Path is the path of the service's health requests.
	Path string
}

// DueHealthChecks returns the upstreams whose health tells whether they have become cold: those that may have started
// again and, if entriesOutdated is set because the entries are not up to date, all others. checks reports whether this node is
// the one of its region that checks an upstream. Those known to be cold need no check.
func (c *Catalog) DueHealthChecks(now time.Time, entriesOutdated bool, checks func(service string, id domain.UpstreamID) bool) []HealthCheck {
	var due []HealthCheck
	c.ForEach(func(p *Pool) { due = append(due, p.dueHealthChecks(now, entriesOutdated, checks)...) })
	return due
}

func (p *Pool) dueHealthChecks(now time.Time, entriesOutdated bool, checks func(string, domain.UpstreamID) bool) []HealthCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasColdPhase() || p.config.HealthPath == "" || p.paths.lost() {
		return nil
	}
	var due []HealthCheck
	for _, u := range p.upstreams {
		if !p.accepts(now, u, "") || now.Sub(u.healthCheckedAt) < healthInterval || !p.needsHealthCheck(now, u, entriesOutdated) {
			continue
		}
		if !p.mayCheckHealth(now, u, checks) {
			continue
		}
		if rate, bounded := p.ownRate(now, u); bounded {
			u.pace.Record(now, rate)
		}
		u.healthCheckedAt = now
		due = append(due, HealthCheck{Instance: u.Instance, SentAt: now, Path: p.config.HealthPath})
	}
	return due
}

// mayCheckHealth reports whether this node may check the upstream's health. A node that alone knows of a presumed restart may.
// The one that checks for the region waits until its finding, told to others, is later than the losses that they know of. If
// the upstream refuses that one, others ask.
func (p *Pool) mayCheckHealth(now time.Time, u *upstream, checks func(string, domain.UpstreamID) bool) bool {
	r := &u.coldness.restart
	wait := 2*lossRefutedAfter + time.Duration(p.options.ColdPhase(u.ID)*float64(confirmSpread))
	if r.presumed() && now.Sub(r.lost.until) > healthInterval && now.Sub(r.presumedSince) > unsettledFor+wait {
		return true
	}
	return r.unconfirmed(now, wait) || (!r.presumed() || now.Sub(r.lost.until) > healthInterval) && checks(p.service, u.ID)
}

// needsHealthCheck reports whether the upstream's health tells more than is known.
func (p *Pool) needsHealthCheck(now time.Time, u *upstream, entriesOutdated bool) bool {
	if r := &u.coldness.restart; r.presumed() {
		return now.After(u.coldness.until) && r.coldUntil.IsZero()
	}
	return entriesOutdated && !u.cold(now)
}
