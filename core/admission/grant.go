package admission

import "sync/atomic"

// grant implements gateway.Grant.
type grant struct {
	c          *Controller
	e          *entry
	customer   *customer
	target     *stage
	dispatched atomic.Bool
	done       atomic.Bool
}

// Dispatched implements gateway.Grant.
func (g *grant) Dispatched() {
	if g.dispatched.CompareAndSwap(false, true) {
		g.target.mu.Lock()
		g.target.resource.release(g.c.now(), g.e)
		g.target.mu.Unlock()
	}
}

// Release implements gateway.Grant.
func (g *grant) Release(tokens int) {
	if !g.done.CompareAndSwap(false, true) {
		return
	}
	g.Dispatched()
	now := g.c.now()
	if g.customer != nil {
		// The tokens that the request used stay charged.
		g.e.tokens -= float64(tokens)
		g.customer.releaseAndAdmit(now, g.e)
	}
	g.target.admitQueued(now)
}

// noopGrant is the grant of a request that reserves nothing.
type noopGrant struct{}

// Dispatched implements gateway.Grant.
func (noopGrant) Dispatched() {}

// Release implements gateway.Grant.
func (noopGrant) Release(int) {}
