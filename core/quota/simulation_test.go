package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routes"
	"github.com/crocusspread/crocusspread/core/virtualtime"
)

const (
	simTick         = 5 * time.Millisecond
	simLocalDelay   = 3 * time.Millisecond // one way, within a region
	simRemoteDelay  = 55 * time.Millisecond
	simStoreDelay   = 4 * time.Millisecond
	simDrawTimeout  = 400 * time.Millisecond
	simRequestWait  = 300 * time.Millisecond
	simExchange     = 300 * time.Millisecond
	simHolderRetry  = time.Second
	simMaxDelay     = 300 * time.Millisecond // from the charge of a request until its upstream has it
	simRegions      = 3
	simNodesPerPart = 4
)

var (
	simBounds = Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 190000}
	// tightBounds leave little beside the burst, so that a fault of the calculation shows.
	tightBounds = Bounds{Window: 8 * time.Second, Over: 0.1}
)

// simAccount is an account with its demand.
type simAccount struct {
	name        string
	rate, burst float64
	// load is the demand relative to the rate, cost the size of a request.
	load func(at time.Duration) float64
	cost func(r *rand.Rand) float64
	mean float64 // of cost
	// moves is the time between two moves of the demand to another region; zero means that it
	// is in all regions.
	moves time.Duration

	offered, served, denied, unavailable float64
	requests, deniedRequests             int
	// demand is what was asked for, and when; deniedBelow counts the requests that were denied
	// while the demand of the last window was within rate x window + burst.
	demand      []lot
	demanded    float64
	deniedBelow int
	// reference is a bucket of the account's rate and burst that sees all requests.
	reference, referenceServed float64
	referenceAt                time.Duration
	arrivals                   []lot // what arrived at upstreams, and when
	sum                        float64
	highest                    float64
}

type simulation struct {
	t        *testing.T
	bounds   Bounds
	rnd      *rand.Rand
	now      time.Duration // real time
	leases   int
	queue    virtualtime.Queue
	nodes    []*simNode
	accounts []*simAccount
	lease    simLease
	// nodeDraws and holderDraws count the draws from holders and from the authority by other
	// nodes, the others the accounts in them.
	nodeDraws, holderDraws, nodeDemands, holderDemands int
	termsOf                                            map[string]*Terms
}

// simLease is the key of the authority in the store.
type simLease struct {
	node  int
	id    uint64
	term  uint64
	until time.Duration
}

func (s *simulation) after(d time.Duration, do func()) {
	s.queue.Add(s.now+d, do)
}

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

func (s *simulation) terms(account string) *Terms { return s.termsOf[account] }

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

// ask records the demand.
func (a *simAccount) ask(s *simulation, cost float64) {
	a.demanded += cost
	a.demand = append(a.demand, lot{cost, s.now})
	for a.demand[0].until < s.now-s.bounds.Window {
		a.demanded -= a.demand[0].tokens
		a.demand = a.demand[1:]
	}
}

func (a *simAccount) deny(s *simulation, cost float64) {
	a.denied += cost
	a.deniedRequests++
	if a.demanded <= a.rate*s.bounds.Window.Seconds()+a.burst {
		a.deniedBelow++
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

// arrive counts a request at its upstream and checks the window that ends there.
func (s *simulation) arrive(a *simAccount, cost float64) {
	a.served += cost
	a.sum += cost
	a.arrivals = append(a.arrivals, lot{cost, s.now})
	for a.arrivals[0].until < s.now-s.bounds.Window {
		a.sum -= a.arrivals[0].tokens
		a.arrivals = a.arrivals[1:]
	}
	a.highest = max(a.highest, a.sum/s.bounds.Limit(a.rate, a.burst))
	if a.sum > s.bounds.Limit(a.rate, a.burst)+1e-6 {
		s.t.Fatalf("at %v: requests of account %s count for %.0f in %v, want at most %.0f", s.now, a.name, a.sum, s.bounds.Window, s.bounds.Limit(a.rate, a.burst))
	}
}

// refer counts what a single bucket of the account's rate and burst would serve.
func (a *simAccount) refer(now time.Duration, cost float64) {
	a.reference = min(a.burst, a.reference+a.rate*(now-a.referenceAt).Seconds())
	a.referenceAt = now
	if cost <= a.reference {
		a.reference -= cost
		a.referenceServed += cost
	}
}

func newSimulation(t *testing.T, bounds Bounds, seed uint64, accounts ...*simAccount) *simulation {
	return newSimulationOf(t, bounds, seed, simRegions*simNodesPerPart, accounts...)
}

func newSimulationOf(t *testing.T, bounds Bounds, seed uint64, nodes int, accounts ...*simAccount) *simulation {
	s := &simulation{t: t, bounds: bounds, rnd: rand.New(rand.NewPCG(seed, 17)), accounts: accounts, termsOf: make(map[string]*Terms)}
	for range nodes {
		s.add()
	}
	for _, a := range accounts {
		a.reference = a.burst
		terms := bounds.Terms(a.quota())
		s.termsOf[a.name] = &terms
	}
	return s
}

func (s *simulation) add() {
	n := &simNode{sim: s, index: len(s.nodes), region: len(s.nodes) % simRegions,
		offset: time.Duration(s.rnd.Int64N(int64(1000 * time.Hour))), drift: (s.rnd.Float64() - 0.5) / 500}
	n.start()
	s.nodes = append(s.nodes, n)
}

// advance runs the simulation for a time.
func (s *simulation) advance(length time.Duration) {
	for end := s.now + length; s.now < end; {
		next := s.now + simTick
		for at, do, ok := s.queue.Next(next); ok; at, do, ok = s.queue.Next(next) {
			s.now = max(s.now, at)
			do()
		}
		s.now = next
		for _, n := range s.nodes {
			n.tick()
		}
		for _, a := range s.accounts {
			s.offer(a)
		}
	}
}

// offer sends the requests of an account for one step.
func (s *simulation) offer(a *simAccount) {
	rate := a.load(s.now) * a.rate / a.mean * simTick.Seconds()
	for ; rate > 0; rate-- {
		if rate < 1 && s.rnd.Float64() >= rate {
			return
		}
		n := s.nodes[s.rnd.IntN(len(s.nodes))]
		if a.moves > 0 {
			region := int(s.now/a.moves) % simRegions
			for n.region != region {
				n = s.nodes[s.rnd.IntN(len(s.nodes))]
			}
		}
		cost := a.cost(s.rnd)
		a.refer(s.now, cost)
		n.request(a, cost)
	}
}

func (a *simAccount) quota() *routes.Quota {
	return &routes.Quota{CountsTokens: a.mean > 1, PerSecond: a.rate, Burst: a.burst}
}

func (s *simulation) reset() {
	for _, a := range s.accounts {
		a.offered, a.served, a.denied, a.unavailable, a.referenceServed, a.requests, a.deniedRequests, a.deniedBelow, a.highest = 0, 0, 0, 0, 0, 0, 0, 0, 0
	}
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func fixed(cost float64) (func(*rand.Rand) float64, float64) {
	return func(*rand.Rand) float64 { return cost }, cost
}

// mixedCost is that of short questions with a few long prompts.
func mixedCost() (func(*rand.Rand) float64, float64) {
	const largeShare = 0.01
	return func(r *rand.Rand) float64 {
		if r.Float64() < largeShare {
			return float64(17000 + r.IntN(76000))
		}
		return 200
	}, largeShare*55000 + (1-largeShare)*200
}

// longCost is that of long prompts only.
func longCost() (func(*rand.Rand) float64, float64) {
	return func(r *rand.Rand) float64 { return float64(17000 + r.IntN(76000)) }, 55000
}

func account(name string, rate float64, load func(time.Duration) float64, moves time.Duration, cost func(*rand.Rand) float64, mean float64) *simAccount {
	return &simAccount{name: name, rate: rate, burst: rate, load: load, cost: cost, mean: mean, moves: moves}
}

func small(name string, rate, load float64, moves time.Duration, cost float64) *simAccount {
	f, mean := fixed(cost)
	return account(name, rate, constant(load), moves, f, mean)
}

// bursts is a load of 0.55 that rises to 7.5 times that for 6.5 s, every 20 s.
func bursts(at time.Duration) float64 {
	if at%(20*time.Second) > 13500*time.Millisecond {
		return 0.55 * 7.5
	}
	return 0.55
}

// disturb cuts, kills and freezes nodes, and adds some, at random.
func (s *simulation) disturb() {
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	if s.rnd.IntN(3) == 0 { // the node that matters most
		n = s.nodes[s.lease.node]
	}
	length := time.Duration(s.rnd.IntN(8000)) * time.Millisecond
	switch s.rnd.IntN(9) {
	case 0:
		n.cutStore = true
		s.after(length, func() { n.cutStore = false })
	case 1:
		n.cutRegions = true
		s.after(length, func() { n.cutRegions = false })
	case 2:
		n.cutAll = true
		s.after(length, func() { n.cutAll = false })
	case 3:
		n.cutAll, n.cutStore = true, true
		s.after(length, func() { n.cutAll, n.cutStore = false, false })
	case 4:
		if !n.dead {
			n.dead = true
			n.life++
			s.after(length, n.start)
		}
	case 5:
		n.frozenUntil = s.now + length
	case 6:
		region := s.rnd.IntN(simRegions)
		for _, o := range s.nodes {
			if o.region == region {
				o.cutRegions = true
				s.after(length, func() { o.cutRegions = false })
			}
		}
	case 7:
		if len(s.nodes) < 30 {
			s.add()
		}
	case 8:
		s.nodes[s.lease.node].resign()
	}
	s.after(time.Duration(200+s.rnd.IntN(4000))*time.Millisecond, s.disturb)
}

// TestNoWindowExceedsTheLimitWhateverFails checks the sum over every window while nodes are cut
// off, killed, frozen and added, with clocks that differ, at loads far above the rates.
func TestNoWindowExceedsTheLimitWhateverFails(t *testing.T) {
	const seeds = 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			bounds, minServed := simBounds, 0.3
			if seed%2 == 1 {
				bounds, minServed = tightBounds, 0.15
			}
			mixed, mixedMean := mixedCost()
			long, longMean := longCost()
			many, manyMean := fixed(2000)
			s := newSimulation(t, bounds, seed,
				account("mixed", 47000, bursts, time.Second, mixed, mixedMean),
				account("long", 47000, bursts, 700*time.Millisecond, long, longMean),
				account("large", 500000, bursts, 1500*time.Millisecond, many, manyMean),
				small("always", 60000, 4, 0, 400),
				small("requests", 50, 3, 0, 1))
			s.after(3*time.Second, s.disturb)
			s.advance(40 * time.Second)
			for _, a := range s.accounts {
				t.Logf("%s: highest window %.2f of the limit; of %.0f offered %.2f served, %.2f denied, %.2f without authority; reference %.2f",
					a.name, a.highest, a.offered, a.served/a.offered, a.denied/a.offered, a.unavailable/a.offered, a.referenceServed/a.offered)
				if a.served < minServed*a.referenceServed {
					t.Errorf("account %s: %.0f served, want at least %v of the %.0f that its quota allows: the test shows nothing otherwise", a.name, a.served, minServed, a.referenceServed)
				}
			}
		})
	}
}

// TestMovingDemandIsServed compares what is served with what one bucket of the account's rate and
// burst would serve, while the demand moves between three regions and is far above the rate at
// times.
func TestMovingDemandIsServed(t *testing.T) {
	t.Parallel()
	mixed, mixedMean := mixedCost()
	many, manyMean := fixed(2000)
	for _, moves := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		s := newSimulation(t, simBounds, 1,
			account("mixed", 94000, bursts, moves, mixed, mixedMean),
			account("large", 500000, bursts, moves, many, manyMean),
			small("always", 60000, 2, moves, 400),
			small("requests", 50, 3, moves, 1))
		s.advance(10 * time.Second)
		s.reset()
		s.advance(60 * time.Second)
		for _, a := range s.accounts {
			t.Logf("moves every %v, %s: served %.3f of the reference, highest window %.2f of the limit, %d denied", moves, a.name, a.served/a.referenceServed, a.highest, a.deniedRequests)
			if a.served < 0.9*a.referenceServed {
				t.Errorf("moves every %v, account %s: served %.0f, want at least 0.9 of %.0f", moves, a.name, a.served, a.referenceServed)
			}
		}
	}
}

// TestSteadyAccountIsNotRefused has accounts use 0.55 of their rate, also with long prompts and
// while their demand moves between regions within a second. Requests arrive at random, so that an
// account with long prompts exceeds its quota at times; only then may requests be denied, except
// for one in a thousand: a few long prompts that arrive together exceed what the bucket lends.
func TestSteadyAccountIsNotRefused(t *testing.T) {
	t.Parallel()
	requests, denied := make(map[string]int), make(map[string]int)
	mixed, mixedMean := mixedCost()
	long, longMean := longCost()
	for seed := range uint64(4) {
		for _, moves := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			s := newSimulation(t, simBounds, seed,
				account("mixed", 47000, constant(0.55), moves, mixed, mixedMean),
				account("long", 94000, constant(0.55), moves, long, longMean),
				account("long at the smallest rate", 47000, constant(0.55), moves, long, longMean),
				account("large", 500000, constant(0.55), moves, longOf(2000), 2000),
				small("plain", 47000, 0.55, moves, 200),
				small("requests", 50, 0.55, moves, 1))
			s.advance(15 * time.Second)
			s.reset()
			s.advance(60 * time.Second)
			for _, a := range s.accounts {
				t.Logf("seed %d, moves every %v, %s: %.0f offered, %d denied, %d of them below the quota, %.0f without authority",
					seed, moves, a.name, a.offered, a.deniedRequests, a.deniedBelow, a.unavailable)
				requests[a.name] += a.requests
				denied[a.name] += a.deniedBelow
				if a.unavailable > 0 {
					t.Errorf("seed %d, moves every %v, account %s: %.0f tokens without authority, want none", seed, moves, a.name, a.unavailable)
				}
			}
		}
	}
	for name, n := range denied {
		if allowed := 1 + requests[name]/1000; n > allowed {
			t.Errorf("account %s: %d of %d requests denied below the quota, want at most %d", name, n, requests[name], allowed)
		}
	}
}

const (
	// demandBytes are the bytes of messages for an account in a draw, both ways, and wireBytes
	// those of a draw on the wire beside that; see TestSizeOfQuotaMessages of adapters/mesh.
	demandBytes = 33
	wireBytes   = 240
	// requestsPerNode is the number of requests a second for which the traffic is counted: half
	// a million tokens a second, as plain requests, over 130 nodes.
	requestsPerNode = 19
	// maxQuotaTraffic is the part of the limit for control traffic that draws may use.
	maxQuotaTraffic = 700 // bytes of messages per second and node
)

// TestDrawsOfLargeFleets counts the draws of fleets of up to 330 nodes, for the design note.
func TestDrawsOfLargeFleets(t *testing.T) {
	t.Parallel()
	const length = 2 * time.Second
	for _, nodes := range []int{9, 79, 130, 330} {
		for _, count := range []int{16, 1400} {
			var accounts []*simAccount
			rate := float64(nodes*requestsPerNode) * 200 / 0.55 / float64(count)
			for i := range count {
				a := small(fmt.Sprint("account-", i), rate, 0.55, 0, 200)
				a.load = func(at time.Duration) float64 {
					if at < 20*time.Second { // until the buckets are full
						return 0
					}
					return 0.55
				}
				accounts = append(accounts, a)
			}
			s := newSimulationOf(t, simBounds, 1, nodes, accounts...)
			s.advance(23 * time.Second)
			s.reset()
			s.nodeDraws, s.holderDraws, s.nodeDemands, s.holderDemands = 0, 0, 0, 0
			s.advance(length)
			perNode := func(n int) float64 { return float64(n) / float64(nodes) / length.Seconds() }
			perHolder := func(n int) float64 { return float64(n) / simRegions / length.Seconds() }
			traffic := perNode(s.nodeDemands) * demandBytes
			denied := 0
			for _, a := range s.accounts {
				denied += a.deniedRequests
			}
			t.Logf("%d nodes, %d accounts: %.1f draws with %.1f accounts a second and node, %.0f bytes/s of messages, %.0f on the wire; %.0f draws with %.0f accounts a second and holder, %.0f bytes/s, %.0f on the wire; %d requests denied",
				nodes, count, perNode(s.nodeDraws), perNode(s.nodeDemands), traffic, traffic+perNode(s.nodeDraws)*wireBytes,
				perHolder(s.holderDraws), perHolder(s.holderDemands), perHolder(s.holderDemands)*demandBytes, perHolder(s.holderDemands)*demandBytes+perHolder(s.holderDraws)*wireBytes, denied)
			if traffic > maxQuotaTraffic {
				t.Errorf("%d nodes, %d accounts: %.0f bytes per second and node, want at most %d", nodes, count, traffic, maxQuotaTraffic)
			}
		}
	}
}

func longOf(cost float64) func(*rand.Rand) float64 { return func(*rand.Rand) float64 { return cost } }
