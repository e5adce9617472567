package quota

import (
	"fmt"
	"time"
)

// elect makes the node try to become the authority when none is known, and renew its lease.
func (n *simNode) elect() {
	now := n.clock()
	if n.lease != 0 {
		switch {
		case !n.authority.Active(now):
			n.lease = 0
		case now >= n.renewAt:
			n.renewAt = now + RenewInterval
			n.renew()
		}
		return
	}
	since, lost := n.view.Lost(now)
	if !lost || n.attempting {
		n.attemptAt = 0
		return
	}
	if n.attemptAt == 0 {
		n.attemptAt = max(now, since) + CandidateDelay(n.index, n.sim.rnd.Float64())
	}
	if now < n.attemptAt {
		return
	}
	n.attempting, n.attemptAt = true, 0
	n.callStore(func() func() {
		l := &n.sim.lease
		if n.sim.now < l.until {
			a := Announcement{Node: n.sim.nodes[l.node].id(), Term: l.term, Age: 2 * time.Second}
			return func() { n.view.Merge(n.clock(), a) }
		}
		n.sim.leases++
		*l = simLease{node: n.index, id: uint64(n.sim.leases), term: l.term + 1, until: n.sim.now + LeaseTTL}
		id, term := l.id, l.term
		return func() {
			n.lease = id
			var levels []Level
			if known, _ := n.view.Announcement(n.clock()); known.Node == "" && known.Address != "" && known.Term == term-1 {
				levels = n.askLevels(known.Address)
			}
			n.authority.Begin(n.clock(), now, LeaseTTL, levels)
			n.renewAt = n.clock() + RenewInterval
			n.view.Merge(n.clock(), Announcement{Node: n.id(), Term: term})
		}
	}, func() { n.attempting = false })
}

// askLevels returns the levels that the last authority hands over.
func (n *simNode) askLevels(address string) []Level {
	var index int
	fmt.Sscan(address, &index)
	o := n.sim.nodes[index]
	if o.dead || n.sim.now < o.frozenUntil || !n.reaches(o) {
		return nil
	}
	var accounts []string
	for _, a := range n.sim.accounts {
		accounts = append(accounts, a.name)
	}
	return o.authority.HandOver(o.clock(), accounts, func(account string) (Terms, bool) { return *n.sim.terms(account), true })
}

// resign ends the node's term as in a planned stop.
func (n *simNode) resign() {
	if n.lease == 0 || n.dead || n.sim.now < n.frozenUntil {
		return
	}
	l, id := &n.sim.lease, n.lease
	n.lease = 0
	n.authority.Resign(n.clock())
	if n.cutStore || l.id != id {
		return
	}
	l.until = min(l.until, n.sim.now)
	n.view.Merge(n.clock(), Announcement{Address: string(n.id()), Term: l.term})
}

func (n *simNode) renew() {
	sentAt := n.clock()
	id := n.lease
	n.callStore(func() func() {
		l := &n.sim.lease
		if l.id != id || n.sim.now >= l.until {
			return func() { n.authority.End() }
		}
		l.until = n.sim.now + LeaseTTL
		term := l.term
		return func() {
			n.authority.Renew(n.clock(), sentAt, LeaseTTL)
			n.view.Merge(n.clock(), Announcement{Node: n.id(), Term: term, Age: n.clock() - sentAt})
		}
	}, func() {})
}

// callStore makes a call, which may take effect without an answer; always runs at its end.
func (n *simNode) callStore(call func() func(), always func()) {
	ended := false
	end := func(f func()) {
		if !ended {
			ended = true
			if f != nil {
				f()
			}
			always()
		}
	}
	n.deliver(2*time.Second, func() { end(nil) })
	if n.cutStore {
		return
	}
	n.sim.after(simStoreDelay, func() {
		answer := call()
		if !n.cutStore {
			n.deliver(simStoreDelay, func() { end(answer) })
		}
	})
}
