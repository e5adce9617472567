package edgenode

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/places"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	// brokerTimeout is how long a broker may be silent while a request waits there before the node
	// places its requests by itself. Calls wait at the broker, so that any other answer of it
	// counts; brokerProbeAfter is the silence after which one is asked for.
	brokerTimeout    = 150 * time.Millisecond
	brokerProbeAfter = 70 * time.Millisecond
	// brokerRetryInterval is the time between two calls to a broker that did not answer.
	brokerRetryInterval = 300 * time.Millisecond
	// releaseDelay is how long a returned place waits for others to the same broker.
	releaseDelay = 2 * time.Millisecond
	// releaseTimeout limits the return of places. While a broker does not answer, at most
	// maxKeptReleases are kept until it does, for maxReleaseAttempts; their permits have lapsed
	// after that.
	releaseTimeout     = 400 * time.Millisecond
	maxKeptReleases    = 256
	maxReleaseAttempts = 20
	// accountPriorityStep makes the priority of the account come before that of the route.
	accountPriorityStep = 100
)

// placeClient gets places from the brokers of this region. It implements relay.Places.
type placeClient struct {
	node *Node

	mu      sync.Mutex
	brokers map[string]*brokerPath
}

// brokerPath is the path to a broker at an address.
type brokerPath struct {
	address string

	mu      sync.Mutex
	heardAt time.Time
	// lost is set from a failed call until one succeeds.
	lost     bool
	probedAt time.Time
	probing  bool
	releases []mesh.PlaceRelease
	// releaseFailures is the number of consecutive failures to return places.
	releaseFailures int
}

// path returns the path to an address. Paths to nodes that are no members any more are forgotten.
func (c *placeClient) path(address string) *brokerPath {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.brokers[address]
	if p == nil {
		p = &brokerPath{address: address}
		c.brokers[address] = p
	}
	return p
}

// forgetUnknown forgets the paths to addresses that belong to no known member.
func (c *placeClient) forgetUnknown(known []peers.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.brokers) == 0 {
		return
	}
	addresses := make(map[string]bool, len(known))
	for _, m := range known {
		addresses[m.PeerAddress] = true
	}
	for address := range c.brokers {
		if !addresses[address] {
			delete(c.brokers, address)
		}
	}
}

// Acquire implements relay.Places.
func (c *placeClient) Acquire(ctx context.Context, r *relay.Request, objectiveFrom time.Time, excluded []domain.UpstreamID) (relay.Permit, *errkind.Error) {
	n, now := c.node, time.Now()
	if !n.brokered(now, r.Service) || !r.Allows(n.settings.Place.Region) {
		return nil, nil
	}
	broker, found := n.members.Broker(now, n.settings.Place.Region, r.Service)
	if !found {
		return nil, nil
	}
	q := n.placeRequest(now, r, objectiveFrom, excluded)
	var d places.Decision
	var err error
	p := (*brokerPath)(nil)
	if broker.ID == n.settings.Node {
		d, err = n.placeBroker(r.Service).acquire(ctx, q)
	} else {
		p = c.path(broker.PeerAddress)
		d, err = c.acquireFrom(ctx, p, &broker, r.Service, q)
	}
	switch {
	case err != nil && ctx.Err() != nil:
		// The engine tells the caller why the context ended.
		return nil, errkind.New(errkind.DeadlineUnreachable, "the request waited for a place at broker %s until it ended", broker.ID)
	case err != nil:
		n.metrics.Count("places.placed_alone", 1)
		return nil, nil
	case d.Granted():
		return &placePermit{client: c, path: p, service: r.Service, decision: d}, nil
	case d.Kind == errkind.NoCapacity: // no upstream whose places a broker may grant
		return nil, nil
	}
	return nil, errkind.New(d.Kind, "no place at service %q in time, says broker %s", r.Service, broker.ID).WithRetryAfter(d.RetryAfter)
}

func (n *Node) placeRequest(now time.Time, r *relay.Request, objectiveFrom time.Time, excluded []domain.UpstreamID) places.Request {
	q := places.Request{
		Priority: max(0, r.Route.Priority), Objective: r.Route.Objective, ObjectiveLeft: r.Route.Objective - now.Sub(objectiveFrom),
		Left: r.Deadline.Sub(now) - r.Reserve, Domain: n.settings.Place.FailureDomain, Excluded: excluded, Random: rand.Float64(),
	}
	if r.Account != nil {
		q.Account = r.Account.Name
		q.Priority = min(accountPriorityStep-1, q.Priority) + accountPriorityStep*max(0, r.Account.Priority)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ID)) // never returns an error
	q.Key = h.Sum64()
	if r.Relayed { // never relayed again
		q.Regions = []domain.Region{n.settings.Place.Region}
		return q
	}
	all := n.settings.regions()
	for _, region := range all {
		if r.Allows(region) {
			q.Regions = append(q.Regions, region)
		}
	}
	if len(q.Regions) == len(all) {
		q.Regions = nil
	}
	return q
}

var errBrokerSilent = errors.New("the broker does not answer")

// acquireFrom waits for a place at another node, as long as that node answers anything.
func (c *placeClient) acquireFrom(ctx context.Context, p *brokerPath, broker *peers.Member, service string, q places.Request) (places.Decision, error) {
	started := time.Now()
	if p.isLost() {
		c.probe(p, brokerRetryInterval)
		return places.Decision{}, errBrokerSilent
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the broker takes a place back that is granted after that
	type result struct {
		decision places.Decision
		err      error
	}
	results := make(chan result, 1)
	go func() {
		d, err := c.node.mesh.AcquirePlace(ctx, p.address, service, q)
		results <- result{d, err}
	}()
	timer := time.NewTimer(brokerProbeAfter)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				p.heard(time.Now())
			} else if ctx.Err() == nil {
				c.setLost(p, broker, service, r.err)
			}
			return r.decision, r.err
		case <-ctx.Done():
			return places.Decision{}, ctx.Err()
		case now := <-timer.C:
			silence := p.silence(now, started)
			if silence >= brokerTimeout {
				c.setLost(p, broker, service, errBrokerSilent)
				return places.Decision{}, errBrokerSilent
			}
			if silence >= brokerProbeAfter {
				c.probe(p, brokerProbeAfter)
				timer.Reset(brokerTimeout - silence)
			} else {
				timer.Reset(brokerProbeAfter - silence)
			}
		}
	}
}

func (p *brokerPath) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// silence returns the time since the broker answered anything, or since a time if that is later.
func (p *brokerPath) silence(now, since time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heardAt.After(since) {
		since = p.heardAt
	}
	return now.Sub(since)
}

func (p *brokerPath) heard(now time.Time) (regained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	regained = p.lost
	p.heardAt, p.lost = now, false
	return regained
}

// setLost records that a broker does not answer: until it does, this node places its requests by
// itself.
func (c *placeClient) setLost(p *brokerPath, broker *peers.Member, service string, err error) {
	p.mu.Lock()
	first := !p.lost
	p.lost, p.probedAt = true, time.Now()
	p.mu.Unlock()
	if first {
		c.node.metrics.Count("places.broker_lost", 1)
		c.node.log.Log(event.BrokerLost, event.F("service", service), event.F("broker", broker.ID), event.F("error", err))
	}
}

// probe calls the broker unless a call is in flight or was made within an interval.
func (c *placeClient) probe(p *brokerPath, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.probing || now.Sub(p.probedAt) < interval {
		return
	}
	p.probing, p.probedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(c.node.requests, brokerTimeout)
		defer cancel()
		err := c.node.mesh.Ping(ctx, p.address)
		p.mu.Lock()
		p.probing = false
		p.mu.Unlock()
		if err == nil && p.heard(time.Now()) {
			c.node.log.Log(event.BrokerFound, event.F("address", p.address))
			c.flush(p)
		}
	}()
}

// placePermit implements relay.Permit.
type placePermit struct {
	client *placeClient
	// path is nil if this node is the broker.
	path     *brokerPath
	service  string
	decision places.Decision
}

// Place implements relay.Permit.
func (p *placePermit) Place() relay.Place {
	u := &p.decision.Upstream
	return relay.Place{Instance: u.ID, Started: u.Started, Region: u.Place.Region}
}

// Release implements relay.Permit.
func (p *placePermit) Release(report relay.PlaceReport) {
	r := mesh.PlaceRelease{Service: p.service, Instance: p.decision.Upstream.ID, Release: places.Release{
		ID: p.decision.ID, Used: report.Used, Outcome: report.Outcome, Load: report.Load,
	}}
	if p.path == nil {
		p.client.node.placeBroker(p.service).release(r, false)
		return
	}
	p.client.enqueue(p.path, r)
}

// enqueue returns a place with those that are returned shortly after it.
func (c *placeClient) enqueue(p *brokerPath, r mesh.PlaceRelease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releases = append(p.releases, r)
	if len(p.releases) == 1 {
		time.AfterFunc(releaseDelay, func() { c.flush(p) })
	}
}

func (c *placeClient) flush(p *brokerPath) {
	p.mu.Lock()
	list := p.releases
	p.releases = nil
	p.mu.Unlock()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := c.node.mesh.ReleasePlaces(ctx, p.address, list)
	if err == nil {
		p.heard(time.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.releaseFailures++; err == nil {
		p.releaseFailures = 0
		return
	}
	if p.releaseFailures > maxReleaseAttempts {
		list, p.releaseFailures = nil, 0
	}
	kept := list[:min(len(list), max(0, maxKeptReleases-len(p.releases)))]
	p.releases = append(p.releases, kept...)
	c.node.metrics.Count("places.releases_lost", int64(len(list)-len(kept)))
	if len(kept) > 0 && len(p.releases) == len(kept) { // otherwise the next return sends them
		time.AfterFunc(releaseTimeout, func() { c.flush(p) })
	}
}

// observePlaces adds the gauges of the brokers.
func (n *Node) observePlaces() {
	sum := func(f func(*places.Broker) int) func() int64 {
		return func() (total int64) {
			n.brokersMu.Lock()
			defer n.brokersMu.Unlock()
			for _, s := range n.brokers {
				s.mu.Lock()
				total += int64(f(s.broker))
				s.mu.Unlock()
			}
			return total
		}
	}
	n.metrics.ObserveGauge("places.waiting", sum((*places.Broker).Waiting))
	n.metrics.ObserveGauge("places.outstanding", sum((*places.Broker).Outstanding))
}

var (
	_ relay.Places     = (*placeClient)(nil)
	_ mesh.PlaceBroker = (*Node)(nil)
)
