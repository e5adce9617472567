package instances

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// paths is what a node knows of its paths to all upstreams of a service in its region together. A connection that cannot be
// opened tells nothing by itself: the fault may be the upstream's, or that of the path.
type paths struct {
	mu sync.Mutex
	// failed are the addresses to which no connection could be opened since failedSince; none was opened to another one
	// since.
	failed      map[string]struct{}
	failedSince time.Time
	// lostSince is since when the node reaches no upstream; zero if it reaches some.
	lostSince time.Time
	// referenceAt is when the latest connection to an upstream of another service began that was opened, as the only
	// upstream of a service cannot be told from the path to it.
	referenceAt time.Time
}

// recordDial records the outcome of a connection attempt that began at startedAt. It reports whether paths that were not
// trusted are again.
func (p *paths) recordDial(address string, startedAt time.Time, opened bool) (trustedAgain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if opened {
		if startedAt.Before(p.failedSince) && p.lostSince.IsZero() {
			return false // it tells nothing of the time since
		}
		trustedAgain = len(p.failed) > 0
		p.failed, p.failedSince = nil, time.Time{}
		return trustedAgain
	}
	if p.failed == nil {
		p.failed, p.failedSince = make(map[string]struct{}), startedAt
	}
	p.failed[address] = struct{}{}
	return false
}

// suspected reports whether the paths may be lost.
func (p *paths) suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostSince.IsZero() && len(p.failed) > 0
}

// hasFailed reports whether no connection to an address could be opened since others were.
func (p *paths) hasFailed(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, failed := p.failed[address]
	return failed
}

// lost reports whether the node reaches no upstream.
func (p *paths) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostSince.IsZero()
}

// trusts reports whether a connection that was refused at a time was refused by the upstream's machine, as connections to
// others were opened since. only is set if the service has no other upstream in the region.
func (p *paths) trusts(refusedAt time.Time, only bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failed) > 0 && refusedAt.Before(p.failedSince) || only && p.referenceAt.After(refusedAt) {
		return true
	}
	return p.lostSince.IsZero() && len(p.failed) == 0
}

// set records whether the node reaches any upstream. It returns for how long the paths had failed or been lost; changed is false
// if that was known.
func (p *paths) set(now time.Time, lost bool) (failed int, before time.Duration, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost == !p.lostSince.IsZero() {
		if !lost {
			p.failed, p.failedSince = nil, time.Time{}
		}
		return 0, 0, false
	}
	failed, before = len(p.failed), now.Sub(p.failedSince)
	if lost {
		p.lostSince = now
		return failed, before, true
	}
	before = now.Sub(p.lostSince)
	p.lostSince, p.failed, p.failedSince = time.Time{}, nil, time.Time{}
	return 0, before, true
}

// RecordDial records the outcome of an attempt to open a connection to an upstream that began at startedAt.
func (c *Catalog) RecordDial(address string, startedAt time.Time, opened bool) {
	c.ForEach(func(p *Pool) {
		if !p.hasAddress(address) {
			return
		}
		if p.paths.recordDial(address, startedAt, opened) && p.hasHeldBack() {
			c.options.StatementsChanged()
		}
		if p.paths.suspected() {
			c.options.PathsSuspected()
		}
	})
}

// hasHeldBack reports whether the refusal of an upstream was held back.
func (p *Pool) hasHeldBack() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return u.coldness.restart.waitsForPath() })
}

// hasAddress reports whether an upstream of the service in this region has an address.
func (p *Pool) hasAddress(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool {
		return u.Address == address && u.Place.Region == p.options.Self.Region
	})
}

// countLocal returns the number of the service's upstreams in this region.
func (p *Pool) countLocal() int {
	n := 0
	for _, u := range p.upstreams {
		if u.Place.Region == p.options.Self.Region {
			n++
		}
	}
	return n
}

// PathsLost reports whether this node reaches no upstream of the service in its region.
func (p *Pool) PathsLost() bool { return p.paths.lost() }

// PathProbe is a service of whose upstreams this node may reach none.
type PathProbe struct {
	Service string
	// Addresses are those of some of its upstreams in the region, first such that this node has not failed to reach.
	Addresses []string
	// Reference is the address of an upstream of another service if the service has only one upstream in the region.
	Reference string
}

// PathProbes returns the services of whose upstreams this node may reach none, or reaches none, each with at most n addresses.
func (c *Catalog) PathProbes(n int) []PathProbe {
	var list []PathProbe
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.paths.lost() && !p.paths.suspected() {
			return
		}
		var addresses, failed []string
		for _, i := range rand.Perm(len(p.upstreams)) {
			switch u := p.upstreams[i]; {
			case u.Place.Region != p.options.Self.Region:
			case p.paths.hasFailed(u.Address):
				failed = append(failed, u.Address)
			default:
				addresses = append(addresses, u.Address)
			}
		}
		addresses = append(addresses, failed...)
		list = append(list, PathProbe{Service: p.service, Addresses: addresses[:min(n, len(addresses))]})
	})
	for i := range list {
		if len(list[i].Addresses) == 1 {
			list[i].Reference = c.otherAddress(list[i].Service)
		}
	}
	return list
}

// otherAddress returns the address of a random upstream of this region of another service; empty if there is none.
func (c *Catalog) otherAddress(service string) string {
	var list []string
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, u := range p.upstreams {
			if p.service != service && u.Place.Region == p.options.Self.Region {
				list = append(list, u.Address)
			}
		}
	})
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// RecordReference records that a connection to an upstream of another service, which began at startedAt, was opened, or that
// there is no such upstream: refusals of the service's only upstream are told from then on.
func (c *Catalog) RecordReference(service string, startedAt time.Time) {
	p := c.Pool(service)
	p.paths.mu.Lock()
	p.paths.referenceAt = startedAt
	p.paths.mu.Unlock()
	if p.hasHeldBack() {
		c.options.StatementsChanged()
	}
}

// SetPathsLost records whether this node reaches any upstream of a service in its region, after attempts to connect to several.
// It reports whether that has changed.
func (c *Catalog) SetPathsLost(now time.Time, service string, lost bool) (changed bool) {
	p := c.Pool(service)
	if lost && !p.PathsLost() {
		p.presumeRestarts(now)
	}
	failed, before, changed := p.paths.set(now, lost)
	switch {
	case changed && lost:
		c.options.Log.Log(event.PathsLost, event.F("service", service), event.F("failed", failed), event.F("for_ms", before.Milliseconds()))
	case changed:
		c.options.Log.Log(event.PathsRestored, event.F("service", service), event.F("after_ms", before.Milliseconds()))
	}
	return changed
}

// presumeRestarts records that from now on nothing shows this node whether an upstream of its region starts again.
func (p *Pool) presumeRestarts(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasColdPhase() {
		return
	}
	only := p.countLocal() == 1
	for _, u := range p.upstreams {
		if u.Place.Region == p.options.Self.Region {
			p.recordLoss(now, now, u, LossClosed)
			if r := &u.coldness.restart; r.refused.isZero() || !p.paths.trusts(r.refused.until, only) {
				r.pathLost = true
			}
		}
	}
}

// Unreached returns the services of whose upstreams in its region this node reaches none, sorted.
func (c *Catalog) Unreached() []string {
	var list []string
	c.ForEach(func(p *Pool) {
		if p.PathsLost() {
			list = append(list, p.service)
		}
	})
	slices.Sort(list)
	return list
}
