package enginesim

import (
	"slices"
	"sync"
)

// slotQueue assigns a fixed number of slots to requests, the highest priority first
// and the oldest first among equal priorities.
type slotQueue struct {
	mu      sync.Mutex
	size    int
	inUse   int
	waiting []*slotRequest
}

// slotRequest is a request for a slot. ready is closed when a slot is assigned.
type slotRequest struct {
	priority int
	ready    chan struct{}
}

func newSlotQueue(size int) *slotQueue { return &slotQueue{size: size} }

func (q *slotQueue) acquire(priority int) *slotRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	req := &slotRequest{priority: priority, ready: make(chan struct{})}
	if q.inUse < q.size {
		q.inUse++
		close(req.ready)
		return req
	}
	index := len(q.waiting)
	for index > 0 && q.waiting[index-1].priority < priority {
		index--
	}
	q.waiting = slices.Insert(q.waiting, index, req)
	return req
}

// release frees the request's slot, or removes the request from the queue if it is
// still waiting.
func (q *slotQueue) release(req *slotRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if index := slices.Index(q.waiting, req); index >= 0 {
		q.waiting = slices.Delete(q.waiting, index, index+1)
		return
	}
	if len(q.waiting) == 0 {
		q.inUse--
		return
	}
	close(q.waiting[0].ready)
	q.waiting = slices.Delete(q.waiting, 0, 1)
}

// load returns the number of slots in use and of requests waiting.
func (q *slotQueue) load() (inUse, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inUse, len(q.waiting)
}
