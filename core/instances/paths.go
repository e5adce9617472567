package instances

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// minFailedPaths is the number of upstreams that this node fails to connect to, without connecting to any other meanwhile,
// from which its paths are suspected.
const minFailedPaths = 2

// paths is what a node knows of its paths to all upstreams of its region together. A connection that cannot be opened tells
// nothing by itself: the fault may be the upstream's, or that of the path.
type paths struct {
	mu sync.Mutex
	// failed are the addresses to which no connection could be opened since failedSince; none of another address was
	// opened since.
	failed      map[string]struct{}
	failedSince time.Time
	// lostSince is since when the node reaches no upstream; zero if it reaches some.
	lostSince time.Time
}

// recordDial records the outcome of a connection attempt that began at startedAt. It reports whether that ended or raised the
// suspicion that the paths are lost.
func (p *paths) recordDial(address string, startedAt time.Time, opened bool) (trustedAgain, suspected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if opened {
		if startedAt.Before(p.failedSince) && p.lostSince.IsZero() {
			return false, false // it tells nothing of the time since
		}
		trustedAgain = p.suspected()
		p.failed, p.failedSince = nil, time.Time{}
		return trustedAgain, false
	}
	if p.failed == nil {
		p.failed, p.failedSince = make(map[string]struct{}), startedAt
	}
	p.failed[address] = struct{}{}
	return false, p.suspected()
}

func (p *paths) suspected() bool { return len(p.failed) >= minFailedPaths }

// trusts reports whether a connection that was refused at a time was refused by the upstream's machine, as far as is known.
func (p *paths) trusts(refusedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostSince.IsZero() && (!p.suspected() || refusedAt.Before(p.failedSince))
}

// lost reports whether the node reaches no upstream.
func (p *paths) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostSince.IsZero()
}

// RecordDial records the outcome of an attempt to open a connection to an upstream that began at startedAt.
func (c *Catalog) RecordDial(address string, startedAt time.Time, opened bool) {
	trustedAgain, suspected := c.paths.recordDial(address, startedAt, opened)
	if trustedAgain {
		c.options.StatementsChanged()
	}
	if suspected {
		c.options.PathsSuspected()
	}
}

// PathsSuspected reports whether this node may have lost its paths to all upstreams.
func (c *Catalog) PathsSuspected() bool {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	return c.paths.suspected() && c.paths.lostSince.IsZero()
}

// PathsLost reports whether this node reaches no upstream.
func (c *Catalog) PathsLost() bool { return c.paths.lost() }

// SetPathsLost records whether this node reaches any upstream, after attempts to connect to several. It reports whether that
// has changed.
func (c *Catalog) SetPathsLost(now time.Time, lost bool) (changed bool) {
	if lost && !c.PathsLost() {
		c.ForEach(func(p *Pool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, u := range p.upstreams {
				u.coldness.restart.attributeToPath()
			}
		})
	}
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	since := c.paths.lostSince
	if lost == !since.IsZero() {
		return false
	}
	if lost {
		c.paths.lostSince = now
		c.options.Log.Log(event.PathsLost, event.F("failed", len(c.paths.failed)), event.F("for_ms", now.Sub(c.paths.failedSince).Milliseconds()))
		return true
	}
	c.paths.lostSince, c.paths.failed, c.paths.failedSince = time.Time{}, nil, time.Time{}
	c.options.Log.Log(event.PathsRestored, event.F("after_ms", now.Sub(since).Milliseconds()))
	return true
}

// PathProbes returns the addresses of at most n random upstreams of the region that show whether this node reaches any,
// first those that it has not failed to reach.
func (c *Catalog) PathProbes(now time.Time, n int) []string {
	var list []string
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, u := range p.upstreams {
			if a, _ := p.exclusion(now, u); a != Elsewhere {
				list = append(list, u.Address)
			}
		}
	})
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	var untried, failed []string
	for _, address := range list {
		if _, found := c.paths.failed[address]; found {
			failed = append(failed, address)
		} else {
			untried = append(untried, address)
		}
	}
	list = append(untried, failed...)
	return list[:min(n, len(list))]
}
