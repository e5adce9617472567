package enginesim

import (
	"slices"
	"sync"
)

// queue hands out a number of places, first to the highest priority and then
// to the oldest.
type queue struct {
	mu      sync.Mutex
	size    int
	taken   int
	waiting []*ticket
}

// ticket waits for a place; ready closes when it has one.
type ticket struct {
	priority int
	ready    chan struct{}
}

func newQueue(size int) *queue { return &queue{size: size} }

func (q *queue) enter(priority int) *ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &ticket{priority: priority, ready: make(chan struct{})}
	if q.taken < q.size {
		q.taken++
		close(t.ready)
		return t
	}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority < priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return t
}

// leave gives back the ticket's place, or takes it out of the queue.
func (q *queue) leave(t *ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.waiting, t); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		return
	}
	if len(q.waiting) == 0 {
		q.taken--
		return
	}
	close(q.waiting[0].ready)
	q.waiting = slices.Delete(q.waiting, 0, 1)
}

// load returns the number of places taken and of tickets waiting.
func (q *queue) load() (taken, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.taken, len(q.waiting)
}
