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

// maxAggregateAge is how long a sequence number bars lower ones.
const maxAggregateAge = 15 * time.Second

// Domains holds what a node knows of the other failure domains, each under its
// own lock. It is safe for concurrent use.
type Domains struct {
	options Options
	mu      sync.RWMutex
	byName  map[domain.FailureDomain]*otherDomain
}

type otherDomain struct {
	mu        sync.Mutex
	place     domain.Place
	sequence  uint64
	reading   time.Time
	reachable bool
	roundTrip time.Duration
	link      *routing.LinkBudget
	targets   map[domain.Target]*otherTarget
}

type otherTarget struct {
	load TargetAggregate
	work journal
}

// NewDomains returns an empty set; o.Place is left out of it.
func NewDomains(o Options) *Domains {
	return &Domains{options: o.withDefaults(), byName: make(map[domain.FailureDomain]*otherDomain)}
}

func (d *Domains) get(name domain.FailureDomain) *otherDomain {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byName[name]
}

func (d *Domains) getOrAdd(place domain.Place) *otherDomain {
	if o := d.get(place.FailureDomain); o != nil {
		return o
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.byName[place.FailureDomain]
	if !ok {
		o = &otherDomain{place: place, targets: make(map[domain.Target]*otherTarget)}
		d.byName[place.FailureDomain] = o
	}
	return o
}

// Observe takes an aggregate whose reading is age old. It tells if the aggregate
// is newer than what was known. A lower sequence number is ignored, unless nothing
// newer came for maxAggregateAge: then its counter was started anew.
func (d *Domains) Observe(now time.Time, a Aggregate, sequence uint64, age time.Duration) bool {
	if a.Place.FailureDomain == d.options.Place.FailureDomain {
		return false
	}
	o := d.getOrAdd(a.Place)
	o.mu.Lock()
	defer o.mu.Unlock()
	if sequence <= o.sequence && now.Sub(o.reading) < maxAggregateAge {
		return false
	}
	o.sequence = sequence
	o.reading = now.Add(-age)
	for _, t := range o.targets {
		t.load = TargetAggregate{Target: t.load.Target}
	}
	for _, load := range a.Targets {
		t := o.target(load.Target)
		t.load = load
		t.work.rebase(o.reading)
	}
	return true
}

func (o *otherDomain) target(t domain.Target) *otherTarget {
	ot, ok := o.targets[t]
	if !ok {
		ot = &otherTarget{load: TargetAggregate{Target: t}, work: newJournal()}
		o.targets[t] = ot
	}
	return ot
}

// SetReachable says if a node of the domain answers, and how far it is.
func (d *Domains) SetReachable(place domain.Place, reachable bool, roundTrip time.Duration) {
	o := d.getOrAdd(place)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reachable = reachable
	o.roundTrip = roundTrip
}

// SetLink sets the budget of the link to the domain's region; nil for none.
func (d *Domains) SetLink(place domain.Place, link *routing.LinkBudget) {
	o := d.getOrAdd(place)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.link = link
}

// StartForward counts a request that is sent to the domain; kind
// peer_unreachable if the domain is unknown.
func (d *Domains) StartForward(now time.Time, name domain.FailureDomain, t domain.Target, promptTokens int) (*Dispatch, error) {
	o := d.get(name)
	if o == nil {
		return nil, errkind.New(errkind.PeerUnreachable, "failure domain %q is unknown", name)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	work := &o.target(t).work
	work.start(now, promptTokens)
	return &Dispatch{at: &forwardCounter{domain: o, work: work}, prompt: promptTokens}, nil
}

type forwardCounter struct {
	domain *otherDomain
	work   *journal
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

// AppendTo adds the domains to a routing snapshot, ordered by name.
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

func (o *otherDomain) routing(now time.Time) routing.Domain {
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
			Age:                  now.Sub(o.reading),
			Own:                  t.work.own,
		})
	}
	slices.SortFunc(r.Targets, func(a, b routing.DomainTarget) int {
		return cmp.Or(cmp.Compare(a.Target.Kind, b.Target.Kind), cmp.Compare(a.Target.Name, b.Target.Name))
	})
	return r
}
