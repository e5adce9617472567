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

// member is a node with its membership and its requests for one customer.
type member struct {
	ref    domain.NodeRef
	group  *membership.Group
	shares *Shares
	share  Share
	// wants is the demand; inFlight holds the ends of the requests in flight.
	wants    int
	inFlight []time.Time
	rate     float64
	stopped  bool
	// more are further customers that want as much.
	more []domain.CustomerID
}

// world is a fleet whose nodes exchange heartbeats in virtual time.
type world struct {
	now     time.Time
	rnd     *rand.Rand
	members []*member
	limits  lists.Limits
	// cut tells if no message passes between two nodes.
	cut func(a, b *member) bool
	// watch is called after each node's step.
	watch func()
}

func newWorld(domains, nodes int, limits lists.Limits) *world {
	w := &world{now: epoch, rnd: rand.New(rand.NewPCG(1, 2)), limits: limits, cut: func(*member, *member) bool { return false }, watch: func() {}}
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

func (w *world) find(id domain.NodeID) *member {
	for _, m := range w.members {
		if m.ref.ID == id {
			return m
		}
	}
	return nil
}

// second lets each node beat and divide once, spread over the second.
func (w *world) second() {
	for _, m := range w.members {
		w.now = w.now.Add(time.Second / time.Duration(len(w.members)))
		if m.stopped {
			continue
		}
		m.step(w)
		w.watch()
		for _, out := range m.group.Beat(w.now) {
			to := w.find(out.To.ID)
			if to == nil || to.stopped || w.cut(m, to) {
				m.group.Failed(w.now, out.To)
				continue
			}
			m.group.Replied(w.now, out.To, w.now, to.group.Receive(w.now, out.Message))
		}
	}
}

func (w *world) run(seconds int) {
	for range seconds {
		w.second()
	}
}

// step ends requests, starts those that the share allows, and divides anew.
func (m *member) step(w *world) {
	kept := m.inFlight[:0]
	for _, end := range m.inFlight {
		if end.After(w.now) {
			kept = append(kept, end)
		}
	}
	m.inFlight = kept
	for len(m.inFlight) < min(m.wants, m.share.Concurrency) {
		m.inFlight = append(m.inFlight, w.now.Add(time.Duration(500+w.rnd.IntN(4000))*time.Millisecond))
	}
	own := Usage{
		Customer: "c", Limits: w.limits, InFlight: len(m.inFlight), Peak: max(m.wants, len(m.inFlight)), TokensPerSecond: m.rate,
	}
	usage := []Usage{own}
	for _, id := range m.more {
		own.Customer = id
		usage = append(usage, own)
	}
	demands := m.shares.Update(w.now, m.fleet(), usage)
	m.group.SetDemands(w.now, demands)
	m.share = m.shares.Share("c", w.limits, w.now)
}

func (m *member) fleet() Fleet {
	v := m.group.View()
	f := Fleet{Known: len(v.Known) + 1, Demands: v.Demands}
	for _, n := range v.Own {
		f.Own = append(f.Own, n.ID)
	}
	for _, d := range v.Others {
		f.Others = append(f.Others, Domain{Name: d.Place.FailureDomain, Nodes: d.LiveNodes, Reachable: d.Reachable})
	}
	return f
}

// held sums up shares that are asked for, and requests in flight.
func (w *world) held() (shares, inFlight int, rate float64) {
	for _, m := range w.members {
		shares += min(m.share.Concurrency, m.wants)
		inFlight += len(m.inFlight)
		if m.rate > 0 {
			rate += min(m.share.TokensPerSecond, m.rate)
		}
	}
	return shares, inFlight, rate
}

const settled = 40 // seconds

func TestSettledSharesFollowDemandAndKeepTheLimit(t *testing.T) {
	for _, c := range []struct {
		name           string
		domains, nodes int
		limit          int
		wants          []int
		want           []int
	}{
		{"one node asks for all", 3, 3, 90, []int{100}, []int{90}},
		{"two domains ask in proportion", 3, 3, 90, []int{100, 0, 0, 50}, []int{53, 0, 0, 37}},
		{"one domain, one node", 1, 1, 5, []int{10}, []int{5}},
		{"one domain, three nodes", 1, 3, 30, []int{60, 20, 2}, []int{17, 11, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.domains, c.nodes, lists.Limits{Concurrency: c.limit, TokensPerSecond: 1000})
			for i, n := range c.wants {
				w.members[i].wants, w.members[i].rate = n, float64(10*n)
			}
			w.run(settled)
			for i, want := range c.want {
				if got := min(w.members[i].share.Concurrency, w.members[i].wants); got < want-max(1, want/8) || got > want+max(1, want/8) {
					t.Errorf("node %d has %d of %d, want about %d", i, got, c.limit, want)
				}
			}
			w.watch = func() {
				shares, inFlight, rate := w.held()
				if shares > c.limit || inFlight > c.limit+len(w.members) || rate > 1000+1 {
					t.Errorf("shares %d, in flight %d of %d, tokens %.0f of 1000 a second", shares, inFlight, c.limit, rate)
				}
			}
			w.run(settled)
			w.checkParties(t)
		})
	}
}

// checkParties checks that nodes' own demands stay inside their domain.
func (w *world) checkParties(t *testing.T) {
	for _, m := range w.members {
		for _, d := range m.group.View().Demands {
			if _, whole := membership.PartyDomain(d.Node); !whole && w.find(d.Node).ref.Place != m.ref.Place {
				t.Errorf("node %s holds the demand of %s, a node of another domain", m.ref.ID, d.Node)
			}
		}
	}
}

func TestDemandThatHasNotSpreadIsHeldToAnEqualPart(t *testing.T) {
	w := newWorld(3, 3, lists.Limits{Concurrency: 90})
	w.run(settled)
	for _, m := range w.members {
		m.wants = 100
	}
	w.watch = func() {
		if shares, inFlight, _ := w.held(); shares > 90 || inFlight > 90+len(w.members) {
			t.Errorf("at %s, shares sum up to %d and %d are in flight of 90", w.now.Sub(epoch), shares, inFlight)
		}
	}
	w.run(settled)
}

func TestDomainThatAsksForMoreWaitsUntilOthersKnow(t *testing.T) {
	w := newWorld(2, 2, lists.Limits{Concurrency: 90})
	w.members[0].wants, w.members[2].wants = 50, 100
	w.run(settled)
	w.members[1].wants = 200
	w.watch = func() {
		shares, _, _ := w.held()
		// The node that asks anew may use its equal part at once.
		if early := 90 / len(w.members); shares > 90+early {
			t.Errorf("at %s, shares sum up to %d of 90", w.now.Sub(epoch), shares)
		}
	}
	w.run(settled)
}

// TestDomainsNewDemandCountsOnlyOnceItHasSettled hears of the domain's demand before
// it hears of the node that asks.
func TestDomainsNewDemandCountsOnlyOnceItHasSettled(t *testing.T) {
	s := NewShares("n0-1", "d0")
	limits := lists.Limits{Concurrency: 90}
	now, sequence := epoch, uint64(0)
	update := func(seconds int, ownDomain uint32) int {
		for range seconds {
			now = now.Add(time.Second)
			sequence++
			s.Update(now, Fleet{
				Own: []domain.NodeID{"n0-0", "n0-1"}, Known: 2, Others: []Domain{{Name: "d1", Nodes: 2, Reachable: true}, {Name: "d2", Nodes: 2, Reachable: true}},
				Demands: []membership.LimitDemand{
					{Customer: "c", Node: membership.DomainParty("d0"), Sequence: sequence, Waiting: ownDomain},
					{Customer: "c", Node: membership.DomainParty("d1"), Sequence: sequence, Waiting: 100},
				},
			}, []Usage{{Customer: "c", Limits: limits, Peak: 50}})
		}
		return s.Share("c", limits, now).Concurrency
	}
	before := update(settled, 50)
	if after := update(1, 250); after != before {
		t.Errorf("the share went from %d to %d at once", before, after)
	}
	if after := update(settled, 250); after <= before {
		t.Errorf("the share went from %d to %d in the end", before, after)
	}
}

// TestRandomDemandStaysWithinTheStatedBound changes demand at random, also faster
// than it spreads.
func TestRandomDemandStaysWithinTheStatedBound(t *testing.T) {
	for _, limit := range []int{3, 20, 100} {
		w := newWorld(3, 3, lists.Limits{Concurrency: limit})
		most, total, full := 0, 0, 0
		const span = 600
		for i := range span {
			if i%(5+w.rnd.IntN(10)) == 0 {
				w.members[w.rnd.IntN(9)].wants = w.rnd.IntN(2 * limit)
			}
			w.second()
			_, inFlight, _ := w.held()
			most = max(most, inFlight)
			if wanted := w.wanted(); wanted >= limit {
				total += min(inFlight, limit)
				full += limit
			}
		}
		t.Logf("limit %d: at most %d in flight, %.0f%% of the limit used while more was wanted", limit, most, 100*float64(total)/float64(full))
		if bound := OvershootBound(limit, 9); most > bound {
			t.Errorf("limit %d: %d requests were in flight, above the bound of %d", limit, most, bound)
		}
	}
}

func (w *world) wanted() int {
	sum := 0
	for _, m := range w.members {
		sum += m.wants
	}
	return sum
}

func TestSmallLimitStarvesNoNode(t *testing.T) {
	w := newWorld(3, 3, lists.Limits{Concurrency: 3})
	for _, m := range w.members {
		m.wants = 2
	}
	w.run(settled)
	served := make(map[domain.NodeID]int)
	most := 0
	for range 120 {
		w.second()
		for _, m := range w.members {
			served[m.ref.ID] += len(m.inFlight)
		}
		_, inFlight, _ := w.held()
		most = max(most, inFlight)
	}
	for _, m := range w.members {
		if served[m.ref.ID] == 0 {
			t.Errorf("node %s served nothing in two minutes", m.ref.ID)
		}
	}
	t.Logf("at most %d in flight of 3; %v", most, served)
	if most > OvershootBound(3, 9) {
		t.Errorf("%d requests were in flight", most)
	}
}

func TestNodeInIsolationKeepsItsLastShare(t *testing.T) {
	w := newWorld(1, 3, lists.Limits{Concurrency: 30, TokensPerSecond: 1000})
	for i, m := range w.members {
		m.wants, m.rate = 20*(i+1), 500
	}
	w.run(settled)
	lone := w.members[2]
	before := lone.share
	w.cut = func(a, b *member) bool { return a == lone || b == lone }
	for range 120 {
		w.second()
		if lone.share.Concurrency != before.Concurrency {
			t.Fatalf("the isolated node's share went from %v to %v", before, lone.share)
		}
	}
	// The others hear each other and take its share over.
	shares, _, _ := w.held()
	if shares > 30+before.Concurrency {
		t.Errorf("shares sum up to %d of 30", shares)
	}
	w.cut = func(a, b *member) bool { return false }
	w.run(settled)
	if shares, inFlight, _ := w.held(); shares > 30 || inFlight > 30+len(w.members) {
		t.Errorf("after the cut shares sum up to %d and %d are in flight of 30", shares, inFlight)
	}
}

func TestDomainCutOffKeepsItsShareReserved(t *testing.T) {
	w := newWorld(3, 3, lists.Limits{Concurrency: 90})
	for _, m := range w.members {
		m.wants = 40
	}
	w.run(settled)
	w.cut = func(a, b *member) bool {
		return a.ref.Place != b.ref.Place && (a.ref.Place.FailureDomain == "d0" || b.ref.Place.FailureDomain == "d0")
	}
	for range 120 {
		w.second()
		if shares, inFlight, _ := w.held(); shares > 90 || inFlight > 90+len(w.members) {
			t.Fatalf("with a domain cut off, shares sum up to %d and %d are in flight of 90", shares, inFlight)
		}
	}
	for _, m := range w.members {
		if m.share.Concurrency == 0 {
			t.Errorf("node %s has no share", m.ref.ID)
		}
	}
}

func TestShareOfADeadNodeIsTakenOver(t *testing.T) {
	w := newWorld(1, 3, lists.Limits{Concurrency: 30})
	for _, m := range w.members {
		m.wants = 30
	}
	w.run(settled)
	dead := w.members[1]
	dead.stopped, dead.wants, dead.inFlight = true, 0, nil
	w.run(2 * settled)
	if shares, _, _ := w.held(); shares < 29 {
		t.Errorf("%d of 30 are in use after a node died", shares)
	}
}
