package orders

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Engine is an engine of the failure domain as the node sees it.
type Engine struct {
	Ref    domain.UpstreamRef
	Models []string
	// Live is set if the engine takes new work.
	Live bool
	// Reported is set once the engine has said what it has loaded.
	Reported bool
	// Requests are those running and waiting there, of all nodes; Slots those
	// that it runs at once.
	Requests, Slots float64
}

func (e *Engine) use() float64 {
	if e.Slots <= 0 {
		return 0
	}
	return e.Requests / e.Slots
}

// loaded names a model on an engine.
type loaded struct {
	engine domain.UpstreamID
	model  string
}

// demand remembers since when what the engines show has been so.
type demand struct {
	cfg     Config
	missing map[string]time.Time
	hot     map[string]time.Time
	cold    map[string]time.Time
	dwell   map[loaded]time.Time
}

func newDemand(cfg Config) *demand {
	return &demand{
		cfg: cfg, missing: make(map[string]time.Time), hot: make(map[string]time.Time),
		cold: make(map[string]time.Time), dwell: make(map[loaded]time.Time),
	}
}

// usage sums a model's live engines up.
type usage struct {
	copies          int
	requests, slots float64
}

func (u usage) share() float64 {
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
			u.copies++
			u.requests += e.Requests
			u.slots += e.Slots
			sums[m] = u
		}
	}
	return sums
}

// observe takes a look at the engines.
func (d *demand) observe(now time.Time, s Situation) {
	sums := usages(s.Engines)
	missing := make(map[string]time.Time)
	for _, m := range s.Wanted {
		if sums[m].copies < d.cfg.Floor {
			carry(missing, d.missing, m, now)
		}
	}
	hot, cold := make(map[string]time.Time), make(map[string]time.Time)
	for m, u := range sums {
		if u.share() >= d.cfg.HighUse {
			carry(hot, d.hot, m, now)
		}
		if u.share() <= d.cfg.LowUse {
			carry(cold, d.cold, m, now)
		}
	}
	d.missing, d.hot, d.cold = missing, hot, cold
	d.observeDwell(now, s.Engines)
}

func (d *demand) observeDwell(now time.Time, engines []Engine) {
	dwell := make(map[loaded]time.Time)
	for _, e := range engines {
		for _, m := range e.Models {
			carry(dwell, d.dwell, loaded{e.Ref.ID, m}, now)
		}
	}
	d.dwell = dwell
}

// carry takes over since when a condition has held; now if it is new.
func carry[K comparable](next, known map[K]time.Time, k K, now time.Time) {
	next[k] = now
	if from, ok := known[k]; ok {
		next[k] = from
	}
}

// lasted tells if a condition has held for at least d.
func lasted[K comparable](times map[K]time.Time, k K, now time.Time, d time.Duration) bool {
	from, ok := times[k]
	return ok && now.Sub(from) >= d
}
