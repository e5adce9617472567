package admission

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
)

const (
	// settleAfter and settlePerNode give the time for which a demand must have been
	// published before it counts for the node's own share. They cover the spreading
	// of demands, which takes longer in a larger fleet.
	settleAfter   = 10 * time.Second
	settlePerNode = 125 * time.Millisecond
	// earlyNodes is the number of nodes among which a limit that nobody else asks
	// for is divided before a demand has settled.
	earlyNodes = 16
	// turnLength is how long parties keep what could not be divided.
	turnLength = 4 * time.Second
	// lostAfter is how long a party that is not heard of goes on to count.
	lostAfter = 20 * time.Second
	// turnGap is how long what could not be divided is left unused at the change
	// of a turn; it covers the time between two updates and the skew of clocks.
	turnGap = 1500 * time.Millisecond
	// refreshAfter is the age at which an unchanged demand is published again;
	// membership forgets after two minutes.
	refreshAfter = 40 * time.Second
	// peakDecay is what is left of a peak of demand after one update.
	peakDecay = 0.9
	// changeShare is the relative change from which a demand is published, and
	// changeGap the time between two such.
	changeShare = 0.25
	changeGap   = 3 * time.Second
	// maxPublished bounds the demands published at one update.
	maxPublished = 16
)

// Fleet is what a node knows of the others.
type Fleet struct {
	// Own are the live nodes of the own failure domain, the node itself included.
	Own []domain.NodeID
	// Known is the number of nodes of the own failure domain, live or not.
	Known int
	// Others are the other failure domains.
	Others []Domain
	// Demands are the newest demands heard.
	Demands []membership.LimitDemand
}

// Domain is another failure domain.
type Domain struct {
	Name      domain.FailureDomain
	Nodes     int
	Reachable bool
}

// isolated tells if the node hears at most half of its failure domain.
func (f *Fleet) isolated() bool { return f.Known > 1 && 2*len(f.Own) <= f.Known }

// Usage is what one customer's requests at this node use and want.
type Usage struct {
	Customer domain.CustomerID
	Limits   lists.Limits
	// InFlight is what is admitted; Peak is the most that was in flight or waited
	// since the last update.
	InFlight int
	Peak     int
	// TokensPerSecond is the rate that was asked for since the last update.
	TokensPerSecond float64
}

// Share is this node's part of a customer's limits.
type Share struct {
	Concurrency     int
	TokensPerSecond float64
}

// Shares divides customers' limits between nodes, first between failure domains
// and then between the nodes of the own one. It is safe for concurrent use.
//
// A node counts its own demand as the least that it published during the time
// that demands take to settle, and others' demand as last heard. Shares that are
// computed so sum up to at most the limit while every demand is known everywhere
// within that time, because a share never grows with another's demand. A demand
// that is newer may use an equal part of the limit per node at once, or, if known
// demands leave it, a part for one of earlyNodes.
//
// A node that is isolated from its domain keeps its last shares. A failure
// domain that cannot be reached keeps what it asked for last.
type Shares struct {
	self   domain.NodeID
	domain domain.FailureDomain

	mu        sync.Mutex
	fleet     Fleet
	customers map[domain.CustomerID]*demands
	// nodes holds the number of nodes by failure domain.
	nodes map[domain.FailureDomain]int
	// seen is when a node of the own domain was last live.
	seen map[domain.NodeID]time.Time
	// cut marks failure domains that cannot be reached.
	cut map[domain.FailureDomain]bool
}

// demands is what is known of one customer.
type demands struct {
	share     Share
	published membership.LimitDemand
	at        time.Time
	peak      float64
	rate      float64
	// own are the node's published demands; domain those of its failure domain.
	own, domain         window
	ownRate, domainRate window
	// heard holds the newest demands of the other parties.
	heard map[domain.NodeID]membership.LimitDemand
	// heardAt is when each was last among the newest.
	heardAt map[domain.NodeID]time.Time
	// aggregated is the demand of the whole domain that this node published last.
	aggregated   membership.LimitDemand
	aggregatedAt time.Time
	// touched is when someone last asked for the customer; zero if the node only
	// heard of it.
	touched time.Time
}

// NewShares returns shares for a node.
func NewShares(self domain.NodeID, fd domain.FailureDomain) *Shares {
	return &Shares{
		self: self, domain: fd, customers: make(map[domain.CustomerID]*demands),
		nodes: map[domain.FailureDomain]int{fd: 1}, cut: make(map[domain.FailureDomain]bool),
		seen: make(map[domain.NodeID]time.Time),
	}
}

// Share returns the share in force, for a customer that was not heard of yet
// what it may use at once.
func (s *Shares) Share(customer domain.CustomerID, limits lists.Limits, now time.Time) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.customers[customer]; d != nil && !d.touched.IsZero() {
		return d.share
	}
	d := s.customer(customer)
	d.touched = now
	d.share = s.compute(now, customer, limits, d)
	return d.share
}

// Update takes what the fleet and this node's customers want now. It returns the
// demands to publish.
func (s *Shares) Update(now time.Time, fleet Fleet, usage []Usage) []membership.LimitDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, fleet)
	s.hear(now)
	var publish []membership.LimitDemand
	for i := range usage {
		d := s.customer(usage[i].Customer)
		d.touched = now
		publish = s.publish(now, publish, d, &usage[i])
	}
	if s.sumsUp() {
		for id, d := range s.customers {
			publish = s.publishDomain(now, publish, id, d)
		}
	}
	for i := range usage {
		d := s.customers[usage[i].Customer]
		s.sample(now, d)
		if !fleet.isolated() {
			d.share = s.compute(now, usage[i].Customer, usage[i].Limits, d)
		}
	}
	s.forget(now)
	return publish
}

// customer returns what is known of a customer.
func (s *Shares) customer(id domain.CustomerID) *demands {
	d := s.customers[id]
	if d != nil {
		return d
	}
	d = &demands{heard: make(map[domain.NodeID]membership.LimitDemand), heardAt: make(map[domain.NodeID]time.Time)}
	for _, r := range s.fleet.Demands {
		if r.Customer == id {
			d.take(r, s.self)
		}
	}
	s.customers[id] = d
	return d
}

// observe keeps the last known size of domains that are not heard of.
func (s *Shares) observe(now time.Time, f Fleet) {
	s.fleet = f
	s.see(now, f)
	s.nodes[s.domain] = max(len(s.seen), 1)
	listed := map[domain.FailureDomain]bool{s.domain: true}
	for _, d := range f.Others {
		listed[d.Name] = true
		s.cut[d.Name] = !d.Reachable
		if d.Reachable || s.nodes[d.Name] == 0 {
			s.nodes[d.Name] = max(d.Nodes, 1)
		}
	}
	for name := range s.nodes {
		if !listed[name] && !f.isolated() {
			delete(s.nodes, name)
		}
	}
}

// see notes the live nodes of the own domain. One that falls silent counts for
// lostAfter more, so that a node which is cut off from all of them, and loses them
// one by one, finds out before it takes their shares over.
func (s *Shares) see(now time.Time, f Fleet) {
	for _, id := range f.Own {
		s.seen[id] = now
	}
	for id, at := range s.seen {
		switch {
		case f.isolated():
			s.seen[id] = now
		case now.Sub(at) > lostAfter:
			delete(s.seen, id)
		}
	}
}

// hear takes the newest demands over, and drops those of parties that are gone.
func (s *Shares) hear(now time.Time) {
	newest := make(map[heardKey]bool, len(s.fleet.Demands))
	for _, r := range s.fleet.Demands {
		newest[heardKey{r.Customer, r.Node}] = true
		d := s.customers[r.Customer]
		if d == nil && s.sumsUp() {
			d = s.customer(r.Customer)
		}
		if d != nil {
			d.take(r, s.self)
			d.touch(now, r)
		}
	}
	for id, d := range s.customers {
		for party := range d.heard {
			if newest[heardKey{id, party}] {
				d.heardAt[party] = now
			}
			if !s.keeps(party, now.Sub(d.heardAt[party])) {
				delete(d.heard, party)
				delete(d.heardAt, party)
			}
		}
	}
}

type heardKey struct {
	customer domain.CustomerID
	node     domain.NodeID
}

func (d *demands) take(r membership.LimitDemand, self domain.NodeID) {
	if r.Node != self && r.Sequence > d.heard[r.Node].Sequence {
		d.heard[r.Node] = r
	}
}

// touch keeps a customer that others ask for.
func (d *demands) touch(now time.Time, r membership.LimitDemand) {
	if !d.touched.IsZero() && r.InFlight+r.Waiting+r.TokensPerSecond > 0 {
		d.touched = now
	}
}

// keeps tells if a party's demand, which was last among the newest that long ago,
// goes on to count. An isolated node keeps all, and a domain that cannot be reached
// is kept; of others, what is not heard any more is dropped.
func (s *Shares) keeps(party domain.NodeID, silent time.Duration) bool {
	if s.fleet.isolated() {
		return true
	}
	if fd, ok := membership.PartyDomain(party); ok {
		return s.nodes[fd] > 0 && (silent <= lostAfter || s.cut[fd])
	}
	_, seen := s.seen[party]
	return seen && silent <= lostAfter
}

// forget drops customers that neither this node nor others ask for.
func (s *Shares) forget(now time.Time) {
	for id, d := range s.customers {
		if d.touched.IsZero() {
			d.touched = now
		}
		if now.Sub(d.touched) > forgetAfter {
			delete(s.customers, id)
		}
	}
}

// forgetAfter is the time without a request after which a customer is forgotten.
const forgetAfter = time.Minute
