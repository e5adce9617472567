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
