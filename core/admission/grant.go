package admission

import "sync/atomic"

// grant implements gateway.Grant.
type grant struct {
	c          *Controller
	e          *entry
	customer   *customer
	room       *stage
	dispatched atomic.Bool
	done       atomic.Bool
}

// Dispatched implements gateway.Grant.
func (g *grant) Dispatched() {
	if g.dispatched.CompareAndSwap(false, true) {
		g.room.mu.Lock()
		g.room.resource.back(g.c.now(), g.e)
		g.room.mu.Unlock()
	}
}

// Done implements gateway.Grant.
func (g *grant) Done(tokens int) {
	if !g.done.CompareAndSwap(false, true) {
		return
	}
	g.Dispatched()
	now := g.c.now()
	if g.customer != nil {
		// What the request used stays charged.
		g.e.tokens -= float64(tokens)
		g.customer.release(now, g.e)
	}
	g.room.pump(now)
}

// openGrant holds nothing.
type openGrant struct{}

// Dispatched implements gateway.Grant.
func (openGrant) Dispatched() {}

// Done implements gateway.Grant.
func (openGrant) Done(int) {}
