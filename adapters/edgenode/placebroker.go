package edgenode

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/places"
)

const (
	// maxPlacesPerNode is the number of places in a region, per node of it, below which a service is
	// brokered. With more of them a node has a place of its own on average, and late views matter
	// less than a message for each request costs.
	maxPlacesPerNode = 1.0
	// brokerTick is the time between two checks of waiting requests, brokerIdleTick the same
	// while no request uses or awaits a place.
	brokerTick     = 5 * time.Millisecond
	brokerIdleTick = 500 * time.Millisecond
	// offersInterval is the time between two reads of what may be said of upstreams.
	offersInterval = 25 * time.Millisecond
	// loanInterval is the time between two renewals of a loan, which is valid for a second.
	loanInterval = 200 * time.Millisecond
	// loanTimeout limits a call to another region; it is several round trips.
	loanTimeout = 400 * time.Millisecond
)

// placeBroker is the broker of one service at this node.
type placeBroker struct {
	node    *Node
	service string

	mu       sync.Mutex
	broker   *places.Broker
	offersAt time.Time
	loanAt   time.Time
	// lentBy is the number of permits that each region lent last.
	lentBy map[domain.Region]int
}

// brokered reports whether the places of a service are granted by a broker in this region.
func (n *Node) brokered(now time.Time, service string) bool {
	return n.catalog.Pool(service).HasFewerSlots(func() float64 { return maxPlacesPerNode * float64(n.members.RegionSize(now)) })
}

// placeBroker returns this node's broker of a service.
func (n *Node) placeBroker(service string) *placeBroker {
	n.brokersMu.Lock()
	defer n.brokersMu.Unlock()
	s := n.brokers[service]
	if s == nil {
		hold := n.catalog.Pool(service).Load(time.Now()).MeanSlotTime
		s = &placeBroker{node: n, service: service, broker: places.NewBroker(n.settings.Place.Region, rand.Uint64()>>1, hold), lentBy: make(map[domain.Region]int)}
		n.brokers[service] = s
		n.log.Log(event.BrokerStarted, event.F("service", service))
		signal(n.brokersActive)
	}
	return s
}

// acquire waits for a place until ctx ends.
func (s *placeBroker) acquire(ctx context.Context, r places.Request) (places.Decision, error) {
	decided := make(chan places.Decision, 1)
	w := &places.Waiter{Request: r, Value: decided}
	s.do(func(now time.Time, b *places.Broker) {
		s.refreshOffers(now)
		b.Acquire(now, w)
	})
	signal(s.node.brokersActive)
	select {
	case d := <-decided:
		if ctx.Err() == nil {
			return d, nil
		}
	case <-ctx.Done():
	}
	s.do(func(now time.Time, b *places.Broker) { b.Cancel(now, w) })
	return places.Decision{}, ctx.Err()
}

// do calls f with the broker and passes on what it decided.
func (s *placeBroker) do(f func(now time.Time, b *places.Broker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Now(), s.broker)
	for _, w := range s.broker.Decided() {
		s.record(w)
		w.Value.(chan places.Decision) <- w.Decision // has room for the one decision
	}
}

func (s *placeBroker) record(w *places.Waiter) {
	m := s.node.metrics
	m.Observe("places.wait_us", w.Decision.Waited)
	switch d := w.Decision; {
	case !d.Granted():
		m.Count("places.refused", 1)
		s.node.log.Log(event.PlaceRefused, event.F("service", s.service), event.F("kind", d.Kind), event.F("priority", w.Priority), event.F("account", w.Account),
			event.F("waited_ms", d.Waited.Milliseconds()), event.F("expected_ms", min(time.Hour, d.Expected).Milliseconds()), event.F("objective_left_ms", w.ObjectiveLeft.Milliseconds()),
			event.F("retry_after_ms", d.RetryAfter.Milliseconds()), event.F("waiting", s.broker.Waiting()), event.F("outstanding", s.broker.Outstanding()))
	case d.Upstream.Place.Region != s.node.settings.Place.Region:
		m.Count("places.granted_elsewhere", 1)
	default:
		m.Count("places.granted", 1)
	}
}

// refreshOffers reads which upstreams may be used. The caller must hold s.mu.
func (s *placeBroker) refreshOffers(now time.Time) {
	if now.Sub(s.offersAt) < offersInterval {
		return
	}
	s.offersAt = now
	var list []places.Upstream
	for _, o := range s.node.catalog.Pool(s.service).Offers(now) {
		list = append(list, places.Upstream{ID: o.ID, Started: o.Started, Place: o.Place, Slots: o.Slots, Others: o.OthersInFlight, MaxConnections: o.MaxConnections, Brittle: o.Brittle})
	}
	s.broker.SetUpstreams(now, list)
}

// runBrokers lets the brokers of this node decide on what waits until ctx ends.
func (n *Node) runBrokers(ctx context.Context) {
	for ctx.Err() == nil {
		n.brokersMu.Lock()
		list := make([]*placeBroker, 0, len(n.brokers))
		for _, s := range n.brokers {
			list = append(list, s)
		}
		n.brokersMu.Unlock()
		idle := true
		for _, s := range list {
			s.do(func(now time.Time, b *places.Broker) {
				s.refreshOffers(now)
				b.Tick(now)
				s.borrow(now)
				idle = idle && b.Idle()
			})
		}
		if !idle {
			sleep(ctx, brokerTick)
			continue
		}
		select {
		case <-ctx.Done():
		case <-n.brokersActive:
		case <-time.After(brokerIdleTick):
		}
	}
}

// borrow asks the brokers of other regions for places while there is demand for them. The caller
// must hold s.mu.
func (s *placeBroker) borrow(now time.Time) {
	n := s.node
	if now.Before(s.loanAt) {
		return
	}
	regions := n.regions.Offering(now, s.service)
	if len(regions) == 0 {
		return
	}
	borrowed, _ := s.broker.Borrowed(now)
	wanted := s.broker.Wanted(now, n.regions.RoundTrip(regions[0]))
	if wanted == 0 && borrowed == 0 || !n.isBroker(now, s.service) {
		return
	}
	s.loanAt = now.Add(loanInterval)
	all := 0
	for _, region := range regions {
		all += s.lentBy[region]
	}
	share := (wanted + len(regions) - 1) / len(regions)
	for _, region := range regions {
		// A region that cannot lend its share is made up for by the others.
		ask := share
		if len(s.lentBy) == len(regions) {
			ask = min(wanted, max(share, wanted-(all-s.lentBy[region])))
		}
		go s.borrowFrom(region, ask)
	}
}

func (s *placeBroker) borrowFrom(region domain.Region, wanted int) {
	n := s.node
	lender, found := n.members.Broker(time.Now(), region, s.service)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(n.requests, loanTimeout)
	defer cancel()
	askedAt := time.Now()
	lent, validFor, err := n.mesh.LendPlaces(ctx, lender.PeerAddress, s.service, n.settings.Place.Region, wanted)
	if err != nil {
		n.metrics.Count("places.loans_failed", 1)
		n.members.MarkUnreachable(lender.ID)
		return
	}
	total := 0
	for _, l := range lent {
		total += l.Permits
	}
	s.do(func(now time.Time, b *places.Broker) {
		trip := now.Sub(askedAt)
		if (total > 0) != (s.lentBy[region] > 0) {
			n.log.Log(event.PlacesBorrowed, event.F("service", s.service), event.F("region", region), event.F("lender", lender.ID), event.F("wanted", wanted), event.F("lent", total),
				event.F("waiting", b.Waiting()), event.F("trip_ms", trip.Milliseconds()))
		}
		s.lentBy[region] = total
		n.metrics.Count("places.borrowed", int64(total))
		b.Borrow(now, region, lent, trip, validFor-trip)
	})
}

// isBroker reports whether this node is the broker of a service by its own view.
func (n *Node) isBroker(now time.Time, service string) bool {
	m, found := n.members.Broker(now, n.settings.Place.Region, service)
	return found && m.ID == n.settings.Node
}

// errNoBroker is the error for calls that this node does not answer as a broker.
var errNoBroker = errors.New("the node grants no places")

// AcquirePlace implements mesh.PlaceBroker.
func (n *Node) AcquirePlace(ctx context.Context, from domain.NodeID, service string, r places.Request) (places.Decision, error) {
	if n.members.State() != domain.NodeServing || !n.catalog.Known(service) {
		return places.Decision{}, errNoBroker
	}
	r.Domain, r.Random = n.members.PlaceOf(from).FailureDomain, rand.Float64()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(n.requests, func() { cancel(errNoBroker) })()
	return n.placeBroker(service).acquire(ctx, r)
}

// ReleasePlaces implements mesh.PlaceBroker.
func (n *Node) ReleasePlaces(list []mesh.PlaceRelease) {
	for _, r := range list {
		if !n.catalog.Known(r.Service) {
			continue
		}
		n.placeBroker(r.Service).release(r, true)
	}
}

// release returns a place. What it shows about the upstream is recorded if another node had the place:
// this node has recorded its own requests.
func (s *placeBroker) release(r mesh.PlaceRelease, fromOther bool) {
	known := false
	s.do(func(now time.Time, b *places.Broker) { _, known = b.Release(now, r.Release) })
	if fromOther && known && r.Outcome != instances.Canceled {
		s.node.catalog.Pool(s.service).RecordOutcome(time.Now(), r.Instance, r.Outcome)
	}
}

// LendPlaces implements mesh.PlaceBroker. Only the broker knows which places are free.
func (n *Node) LendPlaces(service string, to domain.Region, wanted int) (lent []places.Lent, validFor time.Duration) {
	now := time.Now()
	if !n.catalog.Known(service) || !n.brokered(now, service) || !n.isBroker(now, service) || to == n.settings.Place.Region {
		return nil, 0
	}
	s := n.placeBroker(service)
	s.do(func(now time.Time, b *places.Broker) {
		s.refreshOffers(now)
		lent, validFor = b.Lend(now, to, wanted, n.regions.RoundTrip(to))
	})
	signal(n.brokersActive)
	total := 0
	for _, l := range lent {
		total += l.Permits
	}
	n.metrics.Count("places.lent", int64(total))
	return lent, validFor
}
