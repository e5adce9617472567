package upstreams

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/routing"
)

// maxAggregateAge is the time after which an aggregate may be replaced by one with
// a lower sequence number.
const maxAggregateAge = 15 * time.Second

// Domains tracks the remote failure domains, with a lock for each. It is safe for
// concurrent use.
type Domains struct {
	options Options
	mu      sync.RWMutex
	byName  map[domain.FailureDomain]*remoteDomain
}

// remoteDomain is the tracked state of one failure domain, guarded by mu.
type remoteDomain struct {
	mu        sync.Mutex
	place     domain.Place
	sequence  uint64
	sampledAt time.Time
	reachable bool
	roundTrip time.Duration
	link      *routing.LinkBudget
	targets   map[domain.Target]*remoteTarget
}

// remoteTarget is the load of one target in a remote failure domain.
type remoteTarget struct {
	load TargetAggregate
	work workHistory
}

// NewDomains returns an empty set of domains. It ignores the failure domain of
// o.Place.
func NewDomains(o Options) *Domains {
	return &Domains{options: o.withDefaults(), byName: make(map[domain.FailureDomain]*remoteDomain)}
}

func (d *Domains) get(name domain.FailureDomain) *remoteDomain {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byName[name]
}

func (d *Domains) getOrAdd(place domain.Place) *remoteDomain {
	if o := d.get(place.FailureDomain); o != nil {
		return o
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.byName[place.FailureDomain]
	if !ok {
		o = &remoteDomain{place: place, targets: make(map[domain.Target]*remoteTarget)}
		d.byName[place.FailureDomain] = o
	}
	return o
}

// Observe records an aggregate that was sampled age ago and reports whether it is
// newer than the previous one. A lower or equal sequence number is ignored, unless
// the previous aggregate is older than maxAggregateAge: then the sender's counter
// was reset.
func (d *Domains) Observe(now time.Time, a Aggregate, sequence uint64, age time.Duration) bool {
	if a.Place.FailureDomain == d.options.Place.FailureDomain {
		return false
	}
	o := d.getOrAdd(a.Place)
	o.mu.Lock()
	defer o.mu.Unlock()
	if sequence <= o.sequence && now.Sub(o.sampledAt) < maxAggregateAge {
		return false
	}
	o.sequence = sequence
	o.sampledAt = now.Add(-age)
	for _, t := range o.targets {
		t.load = TargetAggregate{Target: t.load.Target}
	}
	for _, load := range a.Targets {
		t := o.target(load.Target)
		t.load = load
		t.work.rebase(o.sampledAt)
	}
	return true
}

func (o *remoteDomain) target(t domain.Target) *remoteTarget {
	rt, ok := o.targets[t]
	if !ok {
		rt = &remoteTarget{load: TargetAggregate{Target: t}, work: newWorkHistory()}
		o.targets[t] = rt
	}
	return rt
}

// SetReachable sets whether a node of the domain responds, and the round-trip time.
func (d *Domains) SetReachable(place domain.Place, reachable bool, roundTrip time.Duration) {
	o := d.getOrAdd(place)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reachable = reachable
	o.roundTrip = roundTrip
}

// SetLink sets the budget of the link to the domain's region; nil means no limit.
func (d *Domains) SetLink(place domain.Place, link *routing.LinkBudget) {
	o := d.getOrAdd(place)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.link = link
}

// StartForward records a request that is forwarded to the domain. It fails with
// kind peer_unreachable if the domain is unknown.
func (d *Domains) StartForward(now time.Time, name domain.FailureDomain, t domain.Target, promptTokens int) (*Dispatch, error) {
	o := d.get(name)
	if o == nil {
		return nil, errkind.New(errkind.PeerUnreachable, "unknown failure domain %q", name)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	work := &o.target(t).work
	work.start(now, promptTokens)
	return &Dispatch{counter: &forwardCounter{domain: o, work: work}, promptTokens: promptTokens}, nil
}

// forwardCounter records the progress of a Dispatch to a remote failure domain.
type forwardCounter struct {
	domain *remoteDomain
	work   *workHistory
}

func (c *forwardCounter) firstToken(now time.Time, promptTokens int, _ uint64) {
	c.domain.mu.Lock()
	defer c.domain.mu.Unlock()
	c.work.firstToken(now, promptTokens)
}

func (c *forwardCounter) end(now time.Time, _ Outcome) {
	c.domain.mu.Lock()
	defer c.domain.mu.Unlock()
	c.work.end(now)
}

// AppendTo adds the domains to the builder of a routing snapshot, ordered by name.
func (d *Domains) AppendTo(now time.Time, b *routing.Builder) {
	d.mu.RLock()
	var all []routing.Domain
	for _, o := range d.byName {
		all = append(all, o.routing(now))
	}
	d.mu.RUnlock()
	slices.SortFunc(all, func(a, b routing.Domain) int {
		return cmp.Compare(a.Place.FailureDomain, b.Place.FailureDomain)
	})
	for _, o := range all {
		b.AddDomain(o)
	}
}

func (o *remoteDomain) routing(now time.Time) routing.Domain {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := routing.Domain{
		Place:     o.place,
		Reachable: o.reachable,
		RoundTrip: o.roundTrip,
		Link:      o.link,
	}
	for _, t := range o.targets {
		r.Targets = append(r.Targets, routing.DomainTarget{
			Target:               t.load.Target,
			Upstreams:            t.load.Upstreams,
			Slots:                t.load.Slots,
			Free:                 t.load.Free,
			Wait:                 t.load.Wait,
			CostPerMillionTokens: t.load.CostPerMillionTokens,
			Age:                  now.Sub(o.sampledAt),
			Work:                 t.work.counters,
		})
	}
	slices.SortFunc(r.Targets, func(a, b routing.DomainTarget) int {
		return cmp.Or(cmp.Compare(a.Target.Kind, b.Target.Kind), cmp.Compare(a.Target.Name, b.Target.Name))
	})
	return r
}
