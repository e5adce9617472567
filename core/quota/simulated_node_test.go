package quota

import (
	"fmt"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

type simNode struct {
	sim    *simulation
	index  int
	region int
	// life changes when the process is killed, so that what was sent to it is lost.
	life        int
	dead        bool
	frozenUntil time.Duration
	inbox       []func() // arrived while it was frozen
	// cutRegions is set while the node reaches no other region, cutAll while it reaches no
	// other node, cutStore while it does not reach the store.
	cutRegions, cutAll, cutStore bool
	offset                       time.Duration
	drift                        float64

	balance            *Balance
	holder             *Holder
	authority          *Authority
	view               *View
	nodeDraw, regDraw  simDrawer
	failedUntil        map[int]time.Duration
	exchangeAt         time.Duration
	attemptAt, renewAt time.Duration
	attempting         bool
	lease              uint64
}

// simDrawer makes the draws of a balance.
type simDrawer struct {
	lastAt  time.Duration
	sinceAt time.Duration
}

func (n *simNode) id() domain.NodeID { return domain.NodeID(fmt.Sprint(n.index)) }

// clock returns the node's reading of its clock.
func (n *simNode) clock() time.Duration {
	return n.offset + time.Duration((1+n.drift)*float64(n.sim.now))
}

func (n *simNode) start() {
	n.balance, n.holder, n.authority = NewBalance(NodeHorizon, nil), NewHolder(nil), &Authority{}
	n.view = NewView(n.clock())
	n.failedUntil = make(map[int]time.Duration)
	n.dead, n.attempting, n.lease = false, false, 0
	n.nodeDraw, n.regDraw = simDrawer{}, simDrawer{}
	n.attemptAt, n.inbox = 0, nil
}

// deliver runs do at the node after a delay, unless the node was killed meanwhile.
func (n *simNode) deliver(d time.Duration, do func()) {
	life := n.life
	n.sim.after(d, func() {
		if n.life != life || n.dead {
			return
		}
		if n.sim.now < n.frozenUntil {
			n.inbox = append(n.inbox, do)
			return
		}
		do()
	})
}

func (n *simNode) reaches(o *simNode) bool {
	if n == o {
		return true
	}
	return !n.cutAll && !o.cutAll && (n.region == o.region || !n.cutRegions && !o.cutRegions)
}

func (n *simNode) delayTo(o *simNode) time.Duration {
	switch {
	case n == o:
		return 0
	case n.region == o.region:
		return simLocalDelay
	}
	return simRemoteDelay + time.Duration(n.sim.rnd.IntN(5))*time.Millisecond
}

// send runs do at another node unless the link is cut.
func (n *simNode) send(o *simNode, do func()) {
	if n.reaches(o) && !o.dead {
		o.deliver(n.delayTo(o), do)
	}
}

// draw sends the draw of a balance if one is due.
func (n *simNode) draw(b *Balance, d *simDrawer, call func(*Draw, func([]Grant, bool))) {
	needed, urgent := b.Pending()
	now := n.clock()
	if !needed {
		d.sinceAt = 0
		return
	}
	if d.sinceAt == 0 {
		d.sinceAt = now
	}
	if now-d.lastAt < MinDrawInterval || !urgent && now-d.sinceAt < PrefetchDelay {
		return
	}
	draw := b.NextDraw(now)
	d.lastAt, d.sinceAt = now, 0
	if draw == nil {
		return
	}
	ended := false
	call(draw, func(grants []Grant, answered bool) {
		if ended {
			return
		}
		ended = true
		b.Complete(n.clock(), draw, grants)
	})
	n.deliver(simDrawTimeout, func() {
		if !ended {
			ended = true
			b.Complete(n.clock(), draw, nil)
		}
	})
}

// regionHolder returns the node's choice of a holder: the first of the region that did not fail
// lately, or itself.
func (n *simNode) regionHolder() *simNode {
	now := n.clock()
	for _, o := range n.sim.nodes {
		if o.region == n.region && now >= n.failedUntil[o.index] {
			return o
		}
	}
	return n
}

// drawFromHolder makes the draw of the node.
func (n *simNode) drawFromHolder(d *Draw, done func([]Grant, bool)) {
	holder := n.regionHolder()
	if holder != n {
		n.sim.nodeDraws++
		n.sim.nodeDemands += len(d.Demands)
	}
	answered := false
	n.send(holder, func() {
		holder.serve(d.Demands, func(grants []Grant) {
			holder.send(n, func() { answered = true; done(grants, true) })
		})
	})
	n.deliver(simDrawTimeout-simTick, func() {
		if !answered && holder != n {
			n.failedUntil[holder.index] = n.clock() + simHolderRetry
		}
	})
}

// serve answers the draw of a node once all its demands are answered.
func (n *simNode) serve(demands []Demand, done func([]Grant)) {
	var grants []Grant
	open := 1
	finish := func() {
		if open--; open == 0 {
			done(grants)
		}
	}
	for i := range demands {
		d := &demands[i]
		g, w := n.holder.Serve(n.clock(), n.sim.terms(d.Account), d)
		grants = append(grants, g)
		if w == nil {
			continue
		}
		open++
		index := i
		n.await(w, simDrawTimeout, func() {
			g, answered := n.holder.Answer(n.clock(), d.Account, w)
			if !answered {
				g = Grant{} // of no account
			}
			grants[index] = g
			finish()
		})
	}
	finish()
}

// await runs do when the waiter's draw has ended, or after a limit.
func (n *simNode) await(w *Waiter, limit time.Duration, do func()) {
	end := n.sim.now + limit
	var poll func()
	poll = func() {
		select {
		case <-w.Done():
		default:
			if n.sim.now < end {
				n.deliver(simTick, poll)
				return
			}
		}
		do()
	}
	poll()
}

// drawFromAuthority makes the draw of the node as a holder.
func (n *simNode) drawFromAuthority(d *Draw, done func([]Grant, bool)) {
	a, known := n.view.Current()
	if !known {
		done(nil, false)
		return
	}
	var index int
	fmt.Sscan(string(a.Node), &index)
	node := n.sim.nodes[index]
	if node != n {
		n.sim.holderDraws++
		n.sim.holderDemands += len(d.Demands)
	}
	n.send(node, func() {
		var grants []Grant
		available := node.authority.Active(node.clock())
		for i := range d.Demands {
			if g, ok := node.authority.Grant(node.clock(), n.sim.terms(d.Demands[i].Account), &d.Demands[i]); ok {
				grants = append(grants, g)
			}
		}
		node.send(n, func() {
			if !available {
				n.view.Forget(n.clock(), a.Term)
				done(nil, false)
				return
			}
			done(grants, true)
		})
	})
}

func (n *simNode) exchange() {
	now := n.clock()
	if now < n.exchangeAt {
		return
	}
	n.exchangeAt = now + simExchange
	o := n.sim.nodes[n.sim.rnd.IntN(len(n.sim.nodes))]
	if o == n {
		return
	}
	if a, ok := n.view.Announcement(now); ok && (n.view.Fresh(now) || n.sim.rnd.Float64() < 0.3) {
		n.send(o, func() { o.view.Merge(o.clock(), a) })
	}
	n.send(o, func() {
		if a, ok := o.view.Announcement(o.clock()); ok {
			o.send(n, func() { n.view.Merge(n.clock(), a) })
		}
	})
}

// tick runs the node's loops.
func (n *simNode) tick() {
	if n.dead || n.sim.now < n.frozenUntil {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		do()
	}
	n.elect()
	n.exchange()
	n.draw(n.balance, &n.nodeDraw, n.drawFromHolder)
	n.draw(n.holder.Balance, &n.regDraw, n.drawFromAuthority)
}

// request sends one request of an account to a node.
func (n *simNode) request(a *simAccount, cost float64) {
	if n.dead || n.sim.now < n.frozenUntil {
		return // its callers see no answer
	}
	a.offered += cost
	a.requests++
	a.ask(n.sim, cost)
	t := n.sim.terms(a.name)
	c, outcome, _ := n.balance.Take(n.clock(), a.name, t, cost)
	switch outcome {
	case Taken:
		n.run(a, c)
	case Denied:
		a.deny(n.sim, cost)
	case Unanswered:
		n.takeEmergency(a, t, cost)
	case Missing:
		w := n.balance.Wait(n.clock(), a.name, t, cost)
		n.await(w, simRequestWait, func() {
			c, answered, _ := w.Result()
			switch {
			case c.Tokens > 0:
				n.run(a, c)
			case answered:
				a.deny(n.sim, cost)
			default:
				n.takeEmergency(a, t, cost)
			}
		})
	}
}

func (n *simNode) takeEmergency(a *simAccount, t *Terms, cost float64) {
	share := t.Emergency / float64(len(n.sim.nodes))
	if c, ok := n.balance.TakeEmergency(n.clock(), a.name, t, n.sim.bounds.Window, share, cost); ok {
		n.run(a, c)
	} else {
		a.unavailable += cost
	}
}

// run sends a charged request to an upstream. Some are not run and return their tokens.
func (n *simNode) run(a *simAccount, c Charge) {
	s := n.sim
	if s.rnd.IntN(50) == 0 {
		n.deliver(time.Duration(s.rnd.IntN(500))*time.Millisecond, func() { n.balance.Return(n.clock(), a.name, c) })
		return
	}
	s.after(time.Duration(s.rnd.Int64N(int64(simMaxDelay))), func() { s.arrive(a, c.Tokens) })
}
