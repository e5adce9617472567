package connlimit

import (
	"net"
	"sync"
)

// Held limits what all clients of a listener together leave unfinished, such as calls whose
// message has not arrived. If there is too much, the connection of the client that has most is
// closed, unless all have little.
type Held struct {
	// max is the limit; a connection with less than share is not closed.
	max, share int
	reason     Reason

	mu     sync.Mutex
	total  int
	byConn map[*conn]int
}

// hardFactor is how far the limit may be exceeded while connections end or all clients have little.
const hardFactor = 1.5

// NewHeld returns a limit; a connection that has less than share is not closed.
func NewHeld(maximum, share int, reason Reason) *Held {
	return &Held{max: maximum, share: share, reason: reason, byConn: make(map[*conn]int)}
}

// Begin records more for a client, given by the address of its connection, and reports whether there
// is room for it. End must be called in either case. Other connections than those of a Listener don't
// count.
func (h *Held) Begin(client net.Addr, weight int) bool {
	a, ok := client.(clientAddr)
	if !ok {
		return true
	}
	most, room := h.add(a.conn, weight)
	if most != nil {
		most.cut(h.reason)
	}
	return room
}

// add counts and returns the connection to close, nil if none is, and whether there is room.
func (h *Held) add(c *conn, weight int) (most *conn, room bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total += weight
	h.byConn[c] += weight
	if h.total <= h.max {
		return nil, true
	}
	for other, n := range h.byConn {
		if n >= h.share && !other.closed.Load() && (most == nil || n > h.byConn[most]) {
			most = other
		}
	}
	return most, float64(h.total) <= hardFactor*float64(h.max)
}

// End records the end of what Begin recorded.
func (h *Held) End(client net.Addr, weight int) {
	a, ok := client.(clientAddr)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total -= weight
	if h.byConn[a.conn] -= weight; h.byConn[a.conn] == 0 {
		delete(h.byConn, a.conn)
	}
}
