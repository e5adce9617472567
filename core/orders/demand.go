package orders

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Engine is the node's view of an engine of the failure domain.
type Engine struct {
	Ref    domain.UpstreamRef
	Models []string
	// Live is set if the engine accepts new work.
	Live bool
	// Reported is set once the engine has reported its loaded models.
	Reported bool
	// Requests is the number of running and waiting requests of all nodes, Slots
	// the number of requests that the engine runs concurrently.
	Requests, Slots float64
}

func (e *Engine) utilization() float64 {
	if e.Slots <= 0 {
		return 0
	}
	return e.Requests / e.Slots
}

// placement identifies a model on an engine.
type placement struct {
	engine domain.UpstreamID
	model  string
}

// demandTracker records since when a model has been missing, or at high or low
// utilization, and since when it has been loaded on an engine.
type demandTracker struct {
	cfg         Config
	missing     map[string]time.Time
	highUse     map[string]time.Time
	lowUse      map[string]time.Time
	loadedSince map[placement]time.Time
}

func newDemandTracker(cfg Config) *demandTracker {
	return &demandTracker{
		cfg: cfg, missing: make(map[string]time.Time), highUse: make(map[string]time.Time),
		lowUse: make(map[string]time.Time), loadedSince: make(map[placement]time.Time),
	}
}

// usage is the total usage of the live engines that have a model loaded.
type usage struct {
	replicas        int
	requests, slots float64
}

func (u usage) utilization() float64 {
	if u.slots <= 0 {
		return 0
	}
	return u.requests / u.slots
}

func usages(engines []Engine) map[string]usage {
	sums := make(map[string]usage)
	for _, e := range engines {
		if !e.Live {
			continue
		}
		for _, m := range e.Models {
			u := sums[m]
			u.replicas++
			u.requests += e.Requests
			u.slots += e.Slots
			sums[m] = u
		}
	}
	return sums
}

// observe updates the times from the present state of the engines.
func (d *demandTracker) observe(now time.Time, s DomainView) {
	sums := usages(s.Engines)
	missing := make(map[string]time.Time)
	for _, m := range s.DesiredModels {
		if sums[m].replicas < d.cfg.MinReplicas {
			keepStart(missing, d.missing, m, now)
		}
	}
	highUse, lowUse := make(map[string]time.Time), make(map[string]time.Time)
	for m, u := range sums {
		if u.utilization() >= d.cfg.HighUtilization {
			keepStart(highUse, d.highUse, m, now)
		}
		if u.utilization() <= d.cfg.LowUtilization {
			keepStart(lowUse, d.lowUse, m, now)
		}
	}
	d.missing, d.highUse, d.lowUse = missing, highUse, lowUse
	d.observePlacements(now, s.Engines)
}

func (d *demandTracker) observePlacements(now time.Time, engines []Engine) {
	loadedSince := make(map[placement]time.Time)
	for _, e := range engines {
		for _, m := range e.Models {
			keepStart(loadedSince, d.loadedSince, placement{e.Ref.ID, m}, now)
		}
	}
	d.loadedSince = loadedSince
}

// keepStart sets the time since when a condition holds: the previous one, or now if
// the condition is new.
func keepStart[K comparable](next, previous map[K]time.Time, k K, now time.Time) {
	next[k] = now
	if since, ok := previous[k]; ok {
		next[k] = since
	}
}

// heldFor reports whether a condition has held for at least d.
func heldFor[K comparable](times map[K]time.Time, k K, now time.Time, d time.Duration) bool {
	since, ok := times[k]
	return ok && now.Sub(since) >= d
}
