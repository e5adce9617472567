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

	mu     sync.Mutex
	lost   bool
	lostAt time.Time
}

// recordOutcome records the outcome of a call to the store.
func (l *storeHealth) recordOutcome(ctx context.Context, what string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the node is shutting down
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && !l.lost:
		l.lost, l.lostAt = true, now
		l.catalog.MarkStoreUnavailable()
		l.log.Log(event.PlatformFailed, event.F("call", what), event.F("error", err))
	case err == nil && l.lost:
		l.lost = false
		l.catalog.MarkStoreAvailable(now)
		l.log.Log(event.PlatformRestored, event.F("call", what), event.F("after_ms", now.Sub(l.lostAt).Milliseconds()))
	}
	if err != nil && ctx.Err() != nil {
		l.dropConnections() // no response before the timeout: the connection may be dead
	}
}
