package edgenode

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// storeEra is the highest era of the store that this node knows of.
type storeEra struct {
	log event.Logger
	// risen receives a token when the era rises.
	risen chan struct{}
	// onRise is called when the era rises, before anything of the new era is applied.
	onRise func(now time.Time)

	mu      sync.Mutex
	known   bool
	current uint64
}

func newStoreEra(log event.Logger, onRise func(now time.Time)) *storeEra {
	return &storeEra{log: log, risen: make(chan struct{}, 1), onRise: onRise}
}

// observe records an era; from is the address of the node that reported it, or "store". It
// returns false if the era has passed.
func (e *storeEra) observe(era uint64, from string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.current {
		return era == e.current
	}
	if e.known {
		e.log.Log(event.StoreRestored, event.F("era", era), event.F("before", e.current), event.F("from", from))
		e.onRise(time.Now())
		signal(e.risen)
	}
	e.known, e.current = true, era
	return true
}

// latest returns the highest era known.
func (e *storeEra) latest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}
