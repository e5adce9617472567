package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// healthInterval is the time between two health requests to an upstream.
const healthInterval = time.Second

// HealthCheck is a health request that is due.
type HealthCheck struct {
	Instance
	// Path is the path of the service's health requests.
	Path string
}

// DueHealthChecks returns the upstreams whose health tells whether they have become cold. It is
// called while the entries, which tell it otherwise, are not up to date. checks reports whether this
// node is the one that checks an upstream. Those known to be cold need no check.
func (c *Catalog) DueHealthChecks(now time.Time, checks func(domain.UpstreamID) bool) []HealthCheck {
	var due []HealthCheck
	c.ForEach(func(p *Pool) { due = append(due, p.dueHealthChecks(now, checks)...) })
	return due
}

func (p *Pool) dueHealthChecks(now time.Time, checks func(domain.UpstreamID) bool) []HealthCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasColdPhase() || p.config.HealthPath == "" {
		return nil
	}
	var due []HealthCheck
	for _, u := range p.upstreams {
		if !p.accepts(now, u, "") || u.cold(now) || now.Sub(u.healthCheckedAt) < healthInterval || !checks(u.ID) {
			continue
		}
		u.healthCheckedAt = now
		due = append(due, HealthCheck{Instance: u.Instance, Path: p.config.HealthPath})
	}
	return due
}
