package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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

func (s *simulation) terms(account string) *Terms { return s.termsOf[account] }

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

func (s *simulation) reset() {
	for _, a := range s.accounts {
		a.offered, a.served, a.denied, a.unavailable, a.referenceServed, a.requests, a.deniedRequests, a.deniedBelow, a.highest = 0, 0, 0, 0, 0, 0, 0, 0, 0
	}
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
