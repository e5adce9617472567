package instances

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Catalog holds the instances of all services.
type Catalog struct {
	options Options

	mu    sync.RWMutex
	pools map[string]*Pool
	// serviceOf maps each instance, of any region, to its service.
	serviceOf map[domain.UpstreamID]string
	// doubtful holds the instances whose entry disappeared around a store outage and may have lapsed.
	doubtful map[domain.UpstreamID]doubt
	outage   outage
	// newest holds the newest entry of each instance, also for a time after its removal.
	newest    map[domain.UpstreamID]*newestEntry
	evacuated map[domain.FailureDomain]bool
	services  map[string]routes.Service
	// maxEventGaps maps each service to the smallest of the maximum event gaps
	// that its routes allow.
	maxEventGaps map[string]time.Duration
	// accounts is set if the deployment has client accounts.
	accounts bool
}

// NewCatalog returns an empty catalog.
func NewCatalog(o Options) *Catalog {
	return &Catalog{
		options:   o.withDefaults(),
		pools:     make(map[string]*Pool),
		serviceOf: make(map[domain.UpstreamID]string),
		doubtful:  make(map[domain.UpstreamID]doubt),
		newest:    make(map[domain.UpstreamID]*newestEntry),
		evacuated: make(map[domain.FailureDomain]bool),
		services:  make(map[string]routes.Service),
	}
}

// Pool returns the pool of a service, creating an empty one if necessary.
func (c *Catalog) Pool(service string) *Pool {
	c.mu.RLock()
	p := c.pools[service]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool(service)
}

// Known reports whether the routing table or an instance names a service.
func (c *Catalog) Known(service string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, configured := c.services[service]
	return configured || c.pools[service] != nil
}

func (c *Catalog) pool(service string) *Pool {
	p := c.pools[service]
	if p == nil {
		p = newPool(service, &c.options)
		p.configure(c.services[service], c.maxEventGaps[service], c.accounts)
		c.pools[service] = p
	}
	return p
}

// Configure applies the services of a routing table.
func (c *Catalog) Configure(t *routes.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = t.Services
	c.maxEventGaps = t.MinEventGaps()
	c.accounts = t.HasAccounts()
	for name, p := range c.pools {
		p.configure(c.services[name], c.maxEventGaps[name], c.accounts)
	}
}

// Put adds or updates one instance, whose entry has just changed.
func (c *Catalog) Put(now time.Time, in Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(now, in, true)
}

// put adds or updates one instance. changed is set if its entry has just changed; the entries of a list may be old.
func (c *Catalog) put(now time.Time, in Instance, changed bool) {
	delete(c.doubtful, in.ID)
	if c.isOutdated(in) {
		c.options.Log.Log(event.InstanceOutdated, event.F("instance", in.ID), event.F("leaving", in.Leaving), event.F("sequence", in.Sequence))
		return
	}
	c.recordEntry(in)
	if old, known := c.serviceOf[in.ID]; known && old != in.Service {
		c.pool(old).remove(now, in.ID)
	}
	c.serviceOf[in.ID] = in.Service
	c.pool(in.Service).put(now, in, changed, c.evacuated[in.Place.FailureDomain])
}

// Replace applies a complete list of instances; instances that are not in it are
// treated as removed.
func (c *Catalog) Replace(now time.Time, list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[domain.UpstreamID]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
		c.put(now, in, false)
	}
	for _, id := range slices.Collect(maps.Keys(c.serviceOf)) {
		if !listed[id] {
			c.handleMissing(now, id)
		}
	}
}

// Remove handles the removal of an instance's entry from the store.
func (c *Catalog) Remove(now time.Time, id domain.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleMissing(now, id)
}

// SetEvacuated sets the failure domains whose instances receive no requests.
func (c *Catalog) SetEvacuated(now time.Time, domains map[domain.FailureDomain]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.setEvacuated(now, c.evacuated, domains)
	}
	c.evacuated = maps.Clone(domains)
}

// ForEach calls f with each pool.
func (c *Catalog) ForEach(f func(*Pool)) {
	c.mu.RLock()
	pools := slices.Collect(maps.Values(c.pools))
	c.mu.RUnlock()
	for _, p := range pools {
		f(p)
	}
}

// Tick is called every TickInterval. A longer time without a call means that the node was
// suspended.
func (c *Catalog) Tick(now time.Time) {
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tick(now)
	})
}
