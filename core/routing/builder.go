package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	defaultPrefillTokensPerSecond = 8000.0
	defaultDecodeTokensPerSecond  = 40.0
	defaultSlots                  = 1
	minSlowStart                  = 0.01
)

// Upstream is an upstream of the own failure domain.
type Upstream struct {
	Ref     domain.UpstreamRef
	Targets []domain.Target
	State   domain.UpstreamState
	// Running, Waiting, Slots and OthersInFlight count requests; the last is what
	// the domain's other nodes have in flight there.
	Running, Waiting, Slots, OthersInFlight int
	// OthersSinceReport is how OthersInFlight changed since the load report.
	OthersSinceReport int
	// QueuedTokens is the prompt work ahead of a new request that is not this
	// node's own, in tokens.
	QueuedTokens           int
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	CostPerMillionTokens   float64
	// SlowStart is the usable share of the capacity, 0 to 1; zero means 1.
	SlowStart float64
	// Preferred is set for the upstreams that this node takes first among equals,
	// so that the domain's nodes keep out of each other's way.
	Preferred bool
	// Prefixes are hashes of prompt prefixes thought to be cached.
	Prefixes []uint64
	// Own may be nil.
	Own *OwnWork
}

// Domain is another failure domain.
type Domain struct {
	Place     domain.Place
	Reachable bool
	RoundTrip time.Duration
	// Link may be nil for "not budgeted".
	Link    *LinkBudget
	Targets []DomainTarget
}

// DomainTarget aggregates one target's upstreams in another failure domain.
type DomainTarget struct {
	Target domain.Target
	// Upstreams, Slots and Free are counts; zero Upstreams means 1.
	Upstreams, Slots, Free int
	// Wait is the expected wait in the queue.
	Wait                 time.Duration
	CostPerMillionTokens float64
	// Speeds of one upstream; zero means a default.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// Age is the reading's age when the snapshot was built.
	Age time.Duration
	// Own may be nil.
	Own *OwnWork
}

// Builder collects what a Snapshot holds. It is used by one goroutine.
type Builder struct {
	own       domain.Place
	regions   []domain.Region
	upstreams []Upstream
	domains   []Domain
}

// NewBuilder returns a builder for a node at place.
func NewBuilder(place domain.Place) *Builder { return &Builder{own: place} }

// AddRegion makes a region known that no upstream or domain is in.
func (b *Builder) AddRegion(r domain.Region) { b.regions = append(b.regions, r) }

// AddUpstream adds an upstream of the own failure domain.
func (b *Builder) AddUpstream(u Upstream) { b.upstreams = append(b.upstreams, u) }

// AddDomain adds another failure domain.
func (b *Builder) AddDomain(d Domain) { b.domains = append(b.domains, d) }

// Build returns the snapshot. It fails with kind bad_request if there are more
// than 256 regions, or an upstream stands outside the own failure domain.
func (b *Builder) Build() (*Snapshot, error) {
	names := b.regionNames()
	if len(names) > maxRegions {
		return nil, errkind.New(errkind.BadRequest, "%d regions exceed the limit of %d", len(names), maxRegions)
	}
	s := &Snapshot{
		own:       b.own,
		regions:   newRegionTable(names),
		upstreams: slices.Clone(b.upstreams),
		domains:   slices.Clone(b.domains),
		targets:   make(map[domain.Target]int32),
	}
	if err := s.indexUpstreams(); err != nil {
		return nil, err
	}
	s.indexDomains()
	return s, nil
}

func (b *Builder) regionNames() []domain.Region {
	names := append([]domain.Region{b.own.Region}, b.regions...)
	for i := range b.domains {
		names = append(names, b.domains[i].Place.Region)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *Snapshot) list(t domain.Target) *targetList {
	i, ok := s.targets[t]
	if !ok {
		i = int32(len(s.lists))
		s.targets[t] = i
		s.lists = append(s.lists, targetList{target: t})
	}
	return &s.lists[i]
}

func (s *Snapshot) indexUpstreams() error {
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if u.Ref.Place != s.own {
			return errkind.New(errkind.BadRequest, "upstream %q stands in %q, not in %q", u.Ref.ID, u.Ref.Place.FailureDomain, s.own.FailureDomain)
		}
		slices.Sort(u.Prefixes)
		for _, t := range u.Targets {
			l := s.list(t)
			l.candidates = append(l.candidates, s.localCandidate(int32(i)))
			l.local = len(l.candidates)
		}
	}
	return nil
}

func (s *Snapshot) localCandidate(i int32) Candidate {
	c := newLocalCandidate(&s.upstreams[i])
	c.Upstream = i
	c.region = s.regions.Index(s.own.Region)
	return c
}

func newLocalCandidate(u *Upstream) Candidate {
	return Candidate{
		Domain:       noDomain,
		state:        u.State,
		reachable:    true,
		weight:       1,
		slots:        float64(max(u.Slots, defaultSlots)) * share(u.SlowStart),
		busy:         float64(max(u.Running+u.Waiting+u.OthersSinceReport, 0)),
		others:       float64(u.OthersInFlight),
		queuedTokens: float64(u.QueuedTokens),
		prefill:      orDefault(u.PrefillTokensPerSecond, defaultPrefillTokensPerSecond),
		decode:       orDefault(u.DecodeTokensPerSecond, defaultDecodeTokensPerSecond),
		cost:         u.CostPerMillionTokens,
		key:          xxhash.Sum64String(string(u.Ref.ID)),
		preferred:    u.Preferred,
		prefixes:     u.Prefixes,
		own:          u.Own,
	}
}

func (s *Snapshot) indexDomains() {
	for i := range s.domains {
		for j := range s.domains[i].Targets {
			l := s.list(s.domains[i].Targets[j].Target)
			l.candidates = append(l.candidates, s.domainCandidate(int32(i), &s.domains[i].Targets[j]))
		}
	}
}

func (s *Snapshot) domainCandidate(i int32, t *DomainTarget) Candidate {
	d := &s.domains[i]
	return Candidate{
		Upstream:  noUpstream,
		Domain:    i,
		region:    s.regions.Index(d.Place.Region),
		state:     domain.UpstreamLive,
		reachable: d.Reachable && t.Slots > 0,
		weight:    float64(max(t.Upstreams, 1)),
		slots:     float64(max(t.Slots, defaultSlots)),
		busy:      float64(t.Slots - t.Free),
		wait:      t.Wait.Seconds(),
		roundTrip: d.RoundTrip.Seconds(),
		prefill:   orDefault(t.PrefillTokensPerSecond, defaultPrefillTokensPerSecond),
		decode:    orDefault(t.DecodeTokensPerSecond, defaultDecodeTokensPerSecond),
		cost:      t.CostPerMillionTokens,
		key:       xxhash.Sum64String(string(d.Place.FailureDomain)),
		own:       t.Own,
		link:      d.Link,
	}
}

// Estimate is the load of one upstream now.
type Estimate struct {
	// Slots is usable; Requests is what runs or waits.
	Slots, Requests float64
	// Wait is the expected wait before a new request's prefill.
	Wait time.Duration
}

// Estimate corrects the load report by own and others' work, for requests whose
// answers are about outputTokens long.
func (u *Upstream) Estimate(outputTokens int) Estimate {
	c := newLocalCandidate(u)
	requests, tokens := c.load()
	service := float64(outputTokens) / c.decode
	wait := max(requests+1-c.slots, 0)*service/c.slots + tokens/c.prefill
	return Estimate{Slots: c.slots, Requests: requests, Wait: time.Duration(wait * float64(time.Second))}
}

func share(s float64) float64 {
	if s <= 0 || s > 1 {
		return 1
	}
	return max(s, minSlowStart)
}

func orDefault(v, d float64) float64 {
	if v <= 0 {
		return d
	}
	return v
}
