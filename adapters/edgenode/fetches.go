package edgenode

import (
	"sync"
	"time"
)

const (
	// fetchHedgeDelay is how long a fetch may take before another node is asked as well. It is
	// several times as long as a fetch takes without a fault.
	fetchHedgeDelay = 700 * time.Millisecond
	// maxFetches is the maximum number of fetches of the same documents at a time.
	maxFetches = 3
)

// fetches limits the fetches of one kind of documents. Another node is asked if one does not answer: it may have been cut off,
// suspended or ended since it told of the documents.
type fetches struct {
	mu sync.Mutex
	// pending holds the addresses of the nodes that have not answered yet.
	pending   map[string]bool
	startedAt time.Time
}

// start runs fetch in a goroutine unless enough fetches are pending.
func (f *fetches) start(now time.Time, address string, fetch func(address string)) {
	if !f.admit(now, address) {
		return
	}
	go func() {
		defer f.end(address)
		fetch(address)
	}()
}

func (f *fetches) admit(now time.Time, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending[address] || len(f.pending) >= maxFetches || len(f.pending) > 0 && now.Sub(f.startedAt) < fetchHedgeDelay {
		return false
	}
	if f.pending == nil {
		f.pending = make(map[string]bool)
	}
	f.pending[address], f.startedAt = true, now
	return true
}

func (f *fetches) end(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, address)
}
