package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

// member is a node with its membership and its requests of one customer.
type member struct {
	ref    domain.NodeRef
	group  *membership.Group
	shares *Shares
	share  Share
	// demand is the number of requests that the node would like to run; inFlight holds
	// the end times of the requests in flight.
	demand   int
	inFlight []time.Time
	rate     float64
	stopped  bool
	// extraCustomers are further customers with the same demand.
	extraCustomers []domain.CustomerID
}

// fleetSim simulates a fleet whose nodes exchange heartbeats in virtual time.
type fleetSim struct {
	now     time.Time
	rnd     *rand.Rand
	members []*member
	limits  lists.Limits
	// partitioned reports whether messages between two nodes are lost.
	partitioned func(a, b *member) bool
	// afterStep is called after each node's step.
	afterStep func()
}

func newFleetSim(domains, nodes int, limits lists.Limits) *fleetSim {
	w := &fleetSim{now: epoch, rnd: rand.New(rand.NewPCG(1, 2)), limits: limits, partitioned: func(*member, *member) bool { return false }, afterStep: func() {}}
	var vms []ports.VM
	for d := range domains {
		for n := range nodes {
			place := domain.Place{Region: domain.Region(fmt.Sprintf("r%d", d)), FailureDomain: domain.FailureDomain(fmt.Sprintf("d%d", d))}
			ref := domain.NodeRef{
				ID: domain.NodeID(fmt.Sprintf("n%d-%d", d, n)), Incarnation: domain.Incarnation(len(w.members) + 1), Place: place,
				PeerAddress: fmt.Sprintf("a%d-%d", d, n), State: domain.NodeServing,
			}
			vms = append(vms, ports.VM{ID: string(ref.ID), Role: ports.RoleEntry, Place: place, Address: ref.PeerAddress})
			w.members = append(w.members, &member{
				ref: ref, group: membership.New(membership.DefaultConfig(ref), w.now), shares: NewShares(ref.ID, place.FailureDomain),
			})
		}
	}
	for _, m := range w.members {
		m.group.SetVMs(w.now, vms)
		m.group.SetState(w.now, domain.NodeServing)
	}
	return w
}

func (w *fleetSim) find(id domain.NodeID) *member {
	for _, m := range w.members {
		if m.ref.ID == id {
			return m
		}
	}
	return nil
}

// advanceSecond runs one heartbeat and one division per node, spread over one second.
func (w *fleetSim) advanceSecond() {
	for _, m := range w.members {
		w.now = w.now.Add(time.Second / time.Duration(len(w.members)))
		if m.stopped {
			continue
		}
		m.step(w)
		w.afterStep()
		for _, out := range m.group.StartRound(w.now) {
			to := w.find(out.To.ID)
			if to == nil || to.stopped || w.partitioned(m, to) {
				m.group.HandleFailure(w.now, out.To)
				continue
			}
			m.group.HandleReply(w.now, out.To, w.now, to.group.Receive(w.now, out.Message))
		}
	}
}

func (w *fleetSim) run(seconds int) {
	for range seconds {
		w.advanceSecond()
	}
}

// step ends requests, starts those that the share allows, and updates the shares.
func (m *member) step(w *fleetSim) {
	running := m.inFlight[:0]
	for _, end := range m.inFlight {
		if end.After(w.now) {
			running = append(running, end)
		}
	}
	m.inFlight = running
	for len(m.inFlight) < min(m.demand, m.share.Concurrency) {
		m.inFlight = append(m.inFlight, w.now.Add(time.Duration(500+w.rnd.IntN(4000))*time.Millisecond))
	}
	own := Usage{
		Customer: "c", Limits: w.limits, InFlight: len(m.inFlight), PeakDemand: max(m.demand, len(m.inFlight)), TokensPerSecond: m.rate,
	}
	usage := []Usage{own}
	for _, id := range m.extraCustomers {
		own.Customer = id
		usage = append(usage, own)
	}
	demands := m.shares.Update(w.now, m.fleet(), usage)
	m.group.SetDemands(w.now, demands)
	m.share = m.shares.Share("c", w.limits, w.now)
}

func (m *member) fleet() Fleet {
	v := m.group.View()
	f := Fleet{KnownOwnNodes: len(v.PeerIDs) + 1, Demands: v.Demands}
	for _, n := range v.LocalNodes {
		f.OwnNodes = append(f.OwnNodes, n.ID)
	}
	for _, d := range v.OtherDomains {
		f.OtherDomains = append(f.OtherDomains, Domain{Name: d.Place.FailureDomain, Nodes: d.LiveNodes, Reachable: d.Reachable})
	}
	return f
}

// totals returns the sums of the shares that are in demand, of the requests in flight,
// and of the token rates.
func (w *fleetSim) totals() (shares, inFlight int, rate float64) {
	for _, m := range w.members {
		shares += min(m.share.Concurrency, m.demand)
		inFlight += len(m.inFlight)
		if m.rate > 0 {
			rate += min(m.share.TokensPerSecond, m.rate)
		}
	}
	return shares, inFlight, rate
}

const settleSeconds = 40 // seconds

func TestSettledSharesFollowDemandWithinTheLimit(t *testing.T) {
	for _, c := range []struct {
		name           string
		domains, nodes int
		limit          int
		demand         []int
		want           []int
	}{
		{"demand at one node", 3, 3, 90, []int{100}, []int{90}},
		{"demand in two domains", 3, 3, 90, []int{100, 0, 0, 50}, []int{53, 0, 0, 37}},
		{"one domain, one node", 1, 1, 5, []int{10}, []int{5}},
		{"one domain, three nodes", 1, 3, 30, []int{60, 20, 2}, []int{17, 11, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFleetSim(c.domains, c.nodes, lists.Limits{Concurrency: c.limit, TokensPerSecond: 1000})
			for i, n := range c.demand {
				w.members[i].demand, w.members[i].rate = n, float64(10*n)
			}
			w.run(settleSeconds)
			for i, want := range c.want {
				if got := min(w.members[i].share.Concurrency, w.members[i].demand); got < want-max(1, want/8) || got > want+max(1, want/8) {
					t.Errorf("node %d: got a share of %d of %d, want about %d", i, got, c.limit, want)
				}
			}
			w.afterStep = func() {
				shares, inFlight, rate := w.totals()
				if shares > c.limit || inFlight > c.limit+len(w.members) || rate > 1000+1 {
					t.Errorf("got shares of %d and %d in flight of a limit of %d, and %.0f of 1000 tokens per second", shares, inFlight, c.limit, rate)
				}
			}
			w.run(settleSeconds)
			w.checkParties(t)
		})
	}
}

// checkParties checks that the demands of single nodes are not sent to other failure
// domains.
func (w *fleetSim) checkParties(t *testing.T) {
	for _, m := range w.members {
		for _, d := range m.group.View().Demands {
			if _, isDomain := membership.DemandOriginDomain(d.Node); !isDomain && w.find(d.Node).ref.Place != m.ref.Place {
				t.Errorf("node %s received the demand of %s, a node of another domain", m.ref.ID, d.Node)
			}
		}
	}
}

func TestUnsettledDemandIsLimitedToEqualShare(t *testing.T) {
	w := newFleetSim(3, 3, lists.Limits{Concurrency: 90})
	w.run(settleSeconds)
	for _, m := range w.members {
		m.demand = 100
	}
	w.afterStep = func() {
		if shares, inFlight, _ := w.totals(); shares > 90 || inFlight > 90+len(w.members) {
			t.Errorf("at %s: shares add up to %d and %d are in flight, want at most 90", w.now.Sub(epoch), shares, inFlight)
		}
	}
	w.run(settleSeconds)
}

func TestIncreasedDomainDemandWaitsUntilSettled(t *testing.T) {
	w := newFleetSim(2, 2, lists.Limits{Concurrency: 90})
	w.members[0].demand, w.members[2].demand = 50, 100
	w.run(settleSeconds)
	w.members[1].demand = 200
	w.afterStep = func() {
		shares, _, _ := w.totals()
		// The node with the new demand may use its equal share immediately.
		if unsettled := 90 / len(w.members); shares > 90+unsettled {
			t.Errorf("at %s: shares add up to %d, want at most 90 and the unsettled part", w.now.Sub(epoch), shares)
		}
	}
	w.run(settleSeconds)
}

// TestNewDomainDemandCountsOnlyOnceSettled delivers the domain's demand before that of
// the node whose demand it includes.
func TestNewDomainDemandCountsOnlyOnceSettled(t *testing.T) {
	s := NewShares("n0-1", "d0")
	limits := lists.Limits{Concurrency: 90}
	now, sequence := epoch, uint64(0)
	update := func(seconds int, ownDomain uint32) int {
		for range seconds {
			now = now.Add(time.Second)
			sequence++
			s.Update(now, Fleet{
				OwnNodes: []domain.NodeID{"n0-0", "n0-1"}, KnownOwnNodes: 2, OtherDomains: []Domain{{Name: "d1", Nodes: 2, Reachable: true}, {Name: "d2", Nodes: 2, Reachable: true}},
				Demands: []membership.LimitDemand{
					{Customer: "c", Node: membership.DomainDemandOrigin("d0"), Sequence: sequence, Waiting: ownDomain},
					{Customer: "c", Node: membership.DomainDemandOrigin("d1"), Sequence: sequence, Waiting: 100},
				},
			}, []Usage{{Customer: "c", Limits: limits, PeakDemand: 50}})
		}
		return s.Share("c", limits, now).Concurrency
	}
	before := update(settleSeconds, 50)
	if after := update(1, 250); after != before {
		t.Errorf("the share went from %d to %d before the demand settled, want no change", before, after)
	}
	if after := update(settleSeconds, 250); after <= before {
		t.Errorf("the share went from %d to %d after the demand settled, want growth", before, after)
	}
}

// TestRandomDemandStaysWithinOvershootBound changes demand at random, at times faster
// than it propagates.
func TestRandomDemandStaysWithinOvershootBound(t *testing.T) {
	for _, limit := range []int{3, 20, 100} {
		w := newFleetSim(3, 3, lists.Limits{Concurrency: limit})
		maxInFlight, totalUsed, totalLimit := 0, 0, 0
		const span = 600
		for i := range span {
			if i%(5+w.rnd.IntN(10)) == 0 {
				w.members[w.rnd.IntN(9)].demand = w.rnd.IntN(2 * limit)
			}
			w.advanceSecond()
			_, inFlight, _ := w.totals()
			maxInFlight = max(maxInFlight, inFlight)
			if totalDemand := w.totalDemand(); totalDemand >= limit {
				totalUsed += min(inFlight, limit)
				totalLimit += limit
			}
		}
		t.Logf("limit %d: at most %d in flight, %.0f%% of the limit used while demand exceeded it", limit, maxInFlight, 100*float64(totalUsed)/float64(totalLimit))
		if bound := OvershootBound(limit, 9); maxInFlight > bound {
			t.Errorf("limit %d: got %d requests in flight, want at most %d", limit, maxInFlight, bound)
		}
	}
}

func (w *fleetSim) totalDemand() int {
	sum := 0
	for _, m := range w.members {
		sum += m.demand
	}
	return sum
}

func TestSmallLimitStarvesNoNode(t *testing.T) {
	w := newFleetSim(3, 3, lists.Limits{Concurrency: 3})
	for _, m := range w.members {
		m.demand = 2
	}
	w.run(settleSeconds)
	served := make(map[domain.NodeID]int)
	maxInFlight := 0
	for range 120 {
		w.advanceSecond()
		for _, m := range w.members {
			served[m.ref.ID] += len(m.inFlight)
		}
		_, inFlight, _ := w.totals()
		maxInFlight = max(maxInFlight, inFlight)
	}
	for _, m := range w.members {
		if served[m.ref.ID] == 0 {
			t.Errorf("node %s served no request in two minutes", m.ref.ID)
		}
	}
	t.Logf("at most %d in flight of 3; %v", maxInFlight, served)
	if maxInFlight > OvershootBound(3, 9) {
		t.Errorf("got %d requests in flight, want at most the overshoot bound", maxInFlight)
	}
}

func TestIsolatedNodeKeepsItsLastShare(t *testing.T) {
	w := newFleetSim(1, 3, lists.Limits{Concurrency: 30, TokensPerSecond: 1000})
	for i, m := range w.members {
		m.demand, m.rate = 20*(i+1), 500
	}
	w.run(settleSeconds)
	isolated := w.members[2]
	before := isolated.share
	w.partitioned = func(a, b *member) bool { return a == isolated || b == isolated }
	for range 120 {
		w.advanceSecond()
		if isolated.share.Concurrency != before.Concurrency {
			t.Fatalf("the isolated node's share went from %v to %v", before, isolated.share)
		}
	}
	// The other nodes still reach each other and take over its share.
	shares, _, _ := w.totals()
	if shares > 30+before.Concurrency {
		t.Errorf("shares add up to %d, want at most 30 and the isolated node's share", shares)
	}
	w.partitioned = func(a, b *member) bool { return false }
	w.run(settleSeconds)
	if shares, inFlight, _ := w.totals(); shares > 30 || inFlight > 30+len(w.members) {
		t.Errorf("after the partition shares add up to %d and %d are in flight, want at most 30", shares, inFlight)
	}
}

func TestUnreachableDomainKeepsItsShare(t *testing.T) {
	w := newFleetSim(3, 3, lists.Limits{Concurrency: 90})
	for _, m := range w.members {
		m.demand = 40
	}
	w.run(settleSeconds)
	w.partitioned = func(a, b *member) bool {
		return a.ref.Place != b.ref.Place && (a.ref.Place.FailureDomain == "d0" || b.ref.Place.FailureDomain == "d0")
	}
	for range 120 {
		w.advanceSecond()
		if shares, inFlight, _ := w.totals(); shares > 90 || inFlight > 90+len(w.members) {
			t.Fatalf("with a domain partitioned, shares add up to %d and %d are in flight, want at most 90", shares, inFlight)
		}
	}
	for _, m := range w.members {
		if m.share.Concurrency == 0 {
			t.Errorf("node %s has a share of 0", m.ref.ID)
		}
	}
}

func TestShareOfStoppedNodeIsReassigned(t *testing.T) {
	w := newFleetSim(1, 3, lists.Limits{Concurrency: 30})
	for _, m := range w.members {
		m.demand = 30
	}
	w.run(settleSeconds)
	dead := w.members[1]
	dead.stopped, dead.demand, dead.inFlight = true, 0, nil
	w.run(2 * settleSeconds)
	if shares, _, _ := w.totals(); shares < 29 {
		t.Errorf("shares add up to %d after a node stopped, want at least 29 of 30", shares)
	}
}
