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
	// serviceOf names the pool of each instance, own region or not.
	serviceOf map[domain.UpstreamID]string
	// doubtful instances vanished from the store around an outage; they are
	// removed at the given time unless they come back.
	doubtful  map[domain.UpstreamID]time.Time
	evacuated map[domain.FailureDomain]bool
	services  map[string]routes.Service
	// gaps is the shortest of the longest pauses that a service's routes allow.
	gaps      map[string]time.Duration
	storeAway bool
	backAt    time.Time
}

// NewCatalog returns an empty catalog.
func NewCatalog(o Options) *Catalog {
	return &Catalog{
		options:   o.withDefaults(),
		pools:     make(map[string]*Pool),
		serviceOf: make(map[domain.UpstreamID]string),
		doubtful:  make(map[domain.UpstreamID]time.Time),
		evacuated: make(map[domain.FailureDomain]bool),
		services:  make(map[string]routes.Service),
	}
}

// Pool returns the pool of a service, creating an empty one if need be.
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

func (c *Catalog) pool(service string) *Pool {
	p := c.pools[service]
	if p == nil {
		p = newPool(service, &c.options)
		p.configure(c.services[service], c.gaps[service])
		c.pools[service] = p
	}
	return p
}

// Configure adopts the services of a routing table.
func (c *Catalog) Configure(t *routes.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = t.Services
	c.gaps = t.ShortestGaps()
	for name, p := range c.pools {
		p.configure(c.services[name], c.gaps[name])
	}
}

// Put adds or changes one instance.
func (c *Catalog) Put(now time.Time, in Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(now, in)
}

func (c *Catalog) put(now time.Time, in Instance) {
	delete(c.doubtful, in.ID)
	if old, known := c.serviceOf[in.ID]; known && old != in.Service {
		c.pool(old).remove(in.ID)
	}
	c.serviceOf[in.ID] = in.Service
	c.pool(in.Service).put(now, in, c.evacuated[in.Place.FailureDomain])
}

// Replace adopts a whole list of instances, as of now.
func (c *Catalog) Replace(now time.Time, list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[domain.UpstreamID]bool, len(list))
	for _, in := range list {
		listed[in.ID] = true
		c.put(now, in)
	}
	for _, id := range slices.Collect(maps.Keys(c.serviceOf)) {
		if !listed[id] {
			c.vanish(now, id)
		}
	}
}

// Remove drops an instance whose entry was removed from the store.
func (c *Catalog) Remove(now time.Time, id domain.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vanish(now, id)
}

// vanish removes an instance, or holds it as doubtful around an outage.
func (c *Catalog) vanish(now time.Time, id domain.UpstreamID) {
	service, known := c.serviceOf[id]
	if !known {
		return
	}
	if _, held := c.doubtful[id]; held {
		return
	}
	until := c.backAt.Add(c.options.Doubt)
	if c.storeAway || now.Before(until) {
		if c.storeAway {
			until = time.Time{} // set when the store is back
		}
		c.doubtful[id] = until
		c.options.Log.Log(event.InstanceDoubtful, event.F("instance", id), event.F("service", service))
		return
	}
	c.drop(id, service, "entry removed")
}

func (c *Catalog) drop(id domain.UpstreamID, service, why string) {
	delete(c.serviceOf, id)
	delete(c.doubtful, id)
	c.pool(service).remove(id)
	c.options.Log.Log(event.InstanceGone, event.F("instance", id), event.F("service", service), event.F("why", why))
}

// StoreLost notes that the store does not answer this node.
func (c *Catalog) StoreLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAway = true
}

// StoreBack notes that the store answers again.
func (c *Catalog) StoreBack(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeAway {
		return
	}
	c.storeAway = false
	c.backAt = now
	for id := range c.doubtful {
		c.doubtful[id] = now.Add(c.options.Doubt)
	}
}

// Sweep drops doubtful instances whose time has passed.
func (c *Catalog) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeAway {
		return
	}
	for id, until := range c.doubtful {
		if !now.Before(until) {
			c.drop(id, c.serviceOf[id], "missing after the store's return")
		}
	}
}

// SetEvacuated adopts the failure domains whose instances get nothing.
func (c *Catalog) SetEvacuated(now time.Time, domains map[domain.FailureDomain]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.evacuate(now, c.evacuated, domains)
	}
	c.evacuated = maps.Clone(domains)
}

// Each calls f with each pool.
func (c *Catalog) Each(f func(*Pool)) {
	c.mu.RLock()
	pools := slices.Collect(maps.Values(c.pools))
	c.mu.RUnlock()
	for _, p := range pools {
		f(p)
	}
}
