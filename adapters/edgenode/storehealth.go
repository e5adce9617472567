package edgenode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
)

// storeHealth tracks whether the store responds to this node.
type storeHealth struct {
	log     event.Logger
	catalog *instances.Catalog
	// dropConnections closes idle connections to the store.
	dropConnections func()

	mu               sync.Mutex
	unavailable      bool
	unavailableSince time.Time
}

// observeStore publishes as gauges whether the store answers this node and how long ago it confirmed to any node what this one has.
func (n *Node) observeStore() {
	n.metrics.ObserveGauge("store.failing", n.health.failing)
	n.metrics.ObserveGauge("store.operator_age_ms", func() int64 { return n.state.operatorAge().Milliseconds() })
	n.metrics.ObserveGauge("store.entries_age_ms", func() int64 { return n.state.entriesAge().Milliseconds() })
}

// failing returns 1 if the latest calls to the store failed, otherwise 0.
func (h *storeHealth) failing() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable {
		return 1
	}
	return 0
}

// recordOutcome records the outcome of a call to the store.
func (h *storeHealth) recordOutcome(ctx context.Context, what string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the node is shutting down
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && !h.unavailable:
		h.unavailable, h.unavailableSince = true, now
		h.catalog.MarkStoreUnavailable()
		h.log.Log(event.PlatformFailed, event.F("call", what), event.F("error", err))
	case err == nil && h.unavailable:
		h.unavailable = false
		h.catalog.MarkStoreAvailable(now)
		h.log.Log(event.PlatformRestored, event.F("call", what), event.F("after_ms", now.Sub(h.unavailableSince).Milliseconds()))
	}
	if err != nil && ctx.Err() != nil {
		h.dropConnections() // no response before the timeout: the connection may be dead
	}
}
