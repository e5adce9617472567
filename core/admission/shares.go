package admission

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
)

const (
	// baseSettleTime, plus settleTimePerNode for each node of the fleet, is the time for
	// which a demand must have been published before it counts for the node's own share.
	// It covers the propagation of demands, which takes longer in a larger fleet.
	baseSettleTime    = 10 * time.Second
	settleTimePerNode = 125 * time.Millisecond
	// unsettledDivisor is the number of equal parts into which a limit without other
	// demand is divided for use before a demand has settled.
	unsettledDivisor = 16
	// turnLength is the time for which a party holds an indivisible unit.
	turnLength = 4 * time.Second
	// silenceTimeout is how long the demand of a party that no longer reports still
	// counts.
	silenceTimeout = 20 * time.Second
	// turnGap is the time for which an indivisible unit stays unused at a change of
	// turn. It covers the interval between two updates and the clock skew.
	turnGap = 1500 * time.Millisecond
	// republishAfter is the age at which an unchanged demand is published again;
	// membership drops demands after two minutes.
	republishAfter = 40 * time.Second
	// peakDecay is the factor by which a peak of demand shrinks with each update.
	peakDecay = 0.9
	// minRelativeChange is the relative change above which a demand is published again,
	// minPublishInterval the minimum time between two such publications.
	minRelativeChange  = 0.25
	minPublishInterval = 3 * time.Second
	// maxPublishedDemands is the maximum number of demands published per update.
	maxPublishedDemands = 16
)

// Fleet describes the other nodes as this node sees them.
type Fleet struct {
	// OwnNodes are the live nodes of this node's failure domain, including itself.
	OwnNodes []domain.NodeID
	// KnownOwnNodes is the number of nodes of this node's failure domain, live or not.
	KnownOwnNodes int
	// OtherDomains are the other failure domains.
	OtherDomains []Domain
	// Demands are the latest demands received.
	Demands []membership.LimitDemand
}

// Domain describes another failure domain.
type Domain struct {
	Name      domain.FailureDomain
	Nodes     int
	Reachable bool
}

// isolated reports whether the node reaches at most half of its failure domain.
func (f *Fleet) isolated() bool { return f.KnownOwnNodes > 1 && 2*len(f.OwnNodes) <= f.KnownOwnNodes }

// Usage is the current usage and demand of one customer at this node.
type Usage struct {
	Customer domain.CustomerID
	Limits   lists.Limits
	// InFlight is the number of admitted requests; PeakDemand is the highest number in
	// flight or queued since the last update.
	InFlight   int
	PeakDemand int
	// TokensPerSecond is the requested token rate since the last update.
	TokensPerSecond float64
}

// Share is this node's part of a customer's limits.
type Share struct {
	Concurrency     int
	TokensPerSecond float64
}

// Shares divides customers' limits among nodes: first among failure domains, then among
// the nodes of this node's own domain. It is safe for concurrent use.
//
// A node counts its own demand as the minimum that it published during the time that
// demands take to settle, and others' demand as last received. Shares computed this way
// add up to at most the limit as long as every demand reaches all nodes within that
// time, because a share never grows when another party's demand grows. For a newer
// demand, a node may immediately use the equal share of the limit per node or, if the
// known demands leave enough, one of unsettledDivisor parts of the limit.
//
// A node that is isolated from its domain keeps its last shares. A failure domain that
// cannot be reached keeps the share for its last known demand.
type Shares struct {
	self   domain.NodeID
	domain domain.FailureDomain

	mu        sync.Mutex
	fleet     Fleet
	customers map[domain.CustomerID]*customerDemand
	// nodes holds the number of nodes by failure domain.
	nodes map[domain.FailureDomain]int
	// lastLive is when each node of this node's domain was last live.
	lastLive map[domain.NodeID]time.Time
	// unreachable marks failure domains that cannot be reached.
	unreachable map[domain.FailureDomain]bool
}

// customerDemand is the known demand of one customer.
type customerDemand struct {
	share       Share
	published   membership.LimitDemand
	publishedAt time.Time
	// peak and rate are the decaying maxima of the requests in flight and queued, and of
	// the tokens per second.
	peak float64
	rate float64
	// own holds the node's published demands, domain those of its failure domain.
	own, domain         minWindow
	ownRate, domainRate minWindow
	// received holds the latest demands of the other parties.
	received map[domain.NodeID]membership.LimitDemand
	// receivedAt is when each of them was last part of the membership view.
	receivedAt map[domain.NodeID]time.Time
	// aggregated is the demand of the whole failure domain that this node published
	// last.
	aggregated   membership.LimitDemand
	aggregatedAt time.Time
	// lastUsed is when the customer last had demand; zero if its demand is only known
	// from other nodes.
	lastUsed time.Time
}

// NewShares returns the shares of the node self in the failure domain fd.
func NewShares(self domain.NodeID, fd domain.FailureDomain) *Shares {
	return &Shares{
		self: self, domain: fd, customers: make(map[domain.CustomerID]*customerDemand),
		nodes: map[domain.FailureDomain]int{fd: 1}, unreachable: make(map[domain.FailureDomain]bool),
		lastLive: make(map[domain.NodeID]time.Time),
	}
}

// Share returns the customer's current share, or for a new customer the share that it
// may use immediately.
func (s *Shares) Share(customer domain.CustomerID, limits lists.Limits, now time.Time) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.customers[customer]; d != nil && !d.lastUsed.IsZero() {
		return d.share
	}
	d := s.customer(customer)
	d.lastUsed = now
	d.share = s.computeShare(now, customer, limits, d)
	return d.share
}

// Update applies the current state of the fleet and the usage of this node's customers.
// It returns the demands to publish.
func (s *Shares) Update(now time.Time, fleet Fleet, usage []Usage) []membership.LimitDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateFleet(now, fleet)
	s.updateReceived(now)
	var publish []membership.LimitDemand
	for i := range usage {
		d := s.customer(usage[i].Customer)
		d.lastUsed = now
		publish = s.publish(now, publish, d, &usage[i])
	}
	if s.isAggregator() {
		for id, d := range s.customers {
			publish = s.publishDomain(now, publish, id, d)
		}
	}
	for i := range usage {
		d := s.customers[usage[i].Customer]
		s.recordSamples(now, d)
		if !fleet.isolated() {
			d.share = s.computeShare(now, usage[i].Customer, usage[i].Limits, d)
		}
	}
	s.evictIdle(now)
	return publish
}

// customer returns the state of a customer and creates it if necessary.
func (s *Shares) customer(id domain.CustomerID) *customerDemand {
	d := s.customers[id]
	if d != nil {
		return d
	}
	d = &customerDemand{received: make(map[domain.NodeID]membership.LimitDemand), receivedAt: make(map[domain.NodeID]time.Time)}
	for _, r := range s.fleet.Demands {
		if r.Customer == id {
			d.receive(r, s.self)
		}
	}
	s.customers[id] = d
	return d
}

// updateFleet stores the fleet's state. Domains that are not reachable keep their last
// known size.
func (s *Shares) updateFleet(now time.Time, f Fleet) {
	s.fleet = f
	s.updateLiveNodes(now, f)
	s.nodes[s.domain] = max(len(s.lastLive), 1)
	listed := map[domain.FailureDomain]bool{s.domain: true}
	for _, d := range f.OtherDomains {
		listed[d.Name] = true
		s.unreachable[d.Name] = !d.Reachable
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

// updateLiveNodes records the live nodes of this node's domain. A node that stops
// reporting still counts for silenceTimeout. A node that is cut off and loses the others
// one by one thus detects its isolation before it takes over their shares.
func (s *Shares) updateLiveNodes(now time.Time, f Fleet) {
	for _, id := range f.OwnNodes {
		s.lastLive[id] = now
	}
	for id, at := range s.lastLive {
		switch {
		case f.isolated():
			s.lastLive[id] = now
		case now.Sub(at) > silenceTimeout:
			delete(s.lastLive, id)
		}
	}
}

// updateReceived stores the latest demands and removes those of parties that are gone.
func (s *Shares) updateReceived(now time.Time) {
	reported := make(map[demandKey]bool, len(s.fleet.Demands))
	for _, r := range s.fleet.Demands {
		reported[demandKey{r.Customer, r.Node}] = true
		d := s.customers[r.Customer]
		if d == nil && s.isAggregator() {
			d = s.customer(r.Customer)
		}
		if d != nil {
			d.receive(r, s.self)
			d.refresh(now, r)
		}
	}
	for id, d := range s.customers {
		for party := range d.received {
			if reported[demandKey{id, party}] {
				d.receivedAt[party] = now
			}
			if !s.retains(party, now.Sub(d.receivedAt[party])) {
				delete(d.received, party)
				delete(d.receivedAt, party)
			}
		}
	}
}

type demandKey struct {
	customer domain.CustomerID
	node     domain.NodeID
}

func (d *customerDemand) receive(r membership.LimitDemand, self domain.NodeID) {
	if r.Node != self && r.Sequence > d.received[r.Node].Sequence {
		d.received[r.Node] = r
	}
}

// refresh prevents the eviction of a customer that has demand at other nodes.
func (d *customerDemand) refresh(now time.Time, r membership.LimitDemand) {
	if !d.lastUsed.IsZero() && r.InFlight+r.Waiting+r.TokensPerSecond > 0 {
		d.lastUsed = now
	}
}

// retains reports whether a party's demand still counts, where silence is the time since
// it was last part of the membership view. An isolated node retains all demands, and
// those of an unreachable failure domain are retained; other demands are dropped once
// they are no longer reported.
func (s *Shares) retains(party domain.NodeID, silence time.Duration) bool {
	if s.fleet.isolated() {
		return true
	}
	if fd, ok := membership.DemandOriginDomain(party); ok {
		return s.nodes[fd] > 0 && (silence <= silenceTimeout || s.unreachable[fd])
	}
	_, known := s.lastLive[party]
	return known && silence <= silenceTimeout
}

// evictIdle removes customers without demand at this node and at others.
func (s *Shares) evictIdle(now time.Time) {
	for id, d := range s.customers {
		if d.lastUsed.IsZero() {
			d.lastUsed = now
		}
		if now.Sub(d.lastUsed) > idleCustomerTTL {
			delete(s.customers, id)
		}
	}
}

// idleCustomerTTL is the time without a request after which a customer's state is
// removed.
const idleCustomerTTL = time.Minute
