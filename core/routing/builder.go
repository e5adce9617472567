package routing

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	defaultPrefillTokensPerSecond = 8000.0
	defaultDecodeTokensPerSecond  = 40.0
	defaultSlots                  = 1
	minSlowStartFraction          = 0.01
)

// Upstream is an upstream in the node's failure domain.
type Upstream struct {
	Ref     domain.UpstreamRef
	Targets []domain.Target
	State   domain.UpstreamState
	// Running, Waiting, Slots and OthersInFlight count requests; OthersInFlight
	// are those that other nodes of the failure domain have in flight there.
	Running, Waiting, Slots, OthersInFlight int
	// OthersDeltaSinceReport is the change of OthersInFlight since the load report.
	OthersDeltaSinceReport int
	// QueuedTokens is the number of prompt tokens queued ahead of a new request,
	// without those that this node dispatched.
	QueuedTokens int
	// PrefillTokensPerSecond and DecodeTokensPerSecond are throughputs; zero means
	// a default.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	CostPerMillionTokens   float64
	// SlowStart is the usable fraction of the capacity, 0 to 1; zero means 1.
	SlowStart float64
	// Preferred is set on the upstreams that this node prefers among equally good
	// ones, so that nodes of a failure domain do not compete for the same ones.
	Preferred bool
	// Prefixes are hashes of the prompt prefixes that the upstream is expected to
	// have cached.
	Prefixes []uint64
	// Work counts this node's work at the upstream; may be nil.
	Work *InFlightWork
}

// Domain is a remote failure domain.
type Domain struct {
	Place     domain.Place
	Reachable bool
	RoundTrip time.Duration
	// Link is the budget of the link to the domain; nil if it is not limited.
	Link    *LinkBudget
	Targets []DomainTarget
}

// DomainTarget aggregates the upstreams of one target in a remote failure domain.
type DomainTarget struct {
	Target domain.Target
	// Upstreams, Slots and Free are the numbers of upstreams, slots and free
	// slots; zero Upstreams means 1.
	Upstreams, Slots, Free int
	// Wait is the expected queueing delay.
	Wait                 time.Duration
	CostPerMillionTokens float64
	// PrefillTokensPerSecond and DecodeTokensPerSecond are throughputs of one
	// upstream; zero means a default.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// Age is the age of the load sample when the snapshot was built.
	Age time.Duration
	// Work counts this node's work at the target; may be nil.
	Work *InFlightWork
}

// Builder collects the contents of a Snapshot. It is not safe for concurrent use.
type Builder struct {
	place     domain.Place
	regions   []domain.Region
	upstreams []Upstream
	domains   []Domain
}

// NewBuilder returns a builder for a node located at place.
func NewBuilder(place domain.Place) *Builder { return &Builder{place: place} }

// AddRegion adds a region that need not contain an upstream or failure domain.
func (b *Builder) AddRegion(r domain.Region) { b.regions = append(b.regions, r) }

// AddUpstream adds an upstream in the node's failure domain.
func (b *Builder) AddUpstream(u Upstream) { b.upstreams = append(b.upstreams, u) }

// AddDomain adds a remote failure domain.
func (b *Builder) AddDomain(d Domain) { b.domains = append(b.domains, d) }

// Build returns the snapshot. It fails with kind bad_request if there are more
// than 256 regions or an upstream is located outside the node's failure domain.
func (b *Builder) Build() (*Snapshot, error) {
	names := b.regionNames()
	if len(names) > maxRegions {
		return nil, errkind.New(errkind.BadRequest, "%d regions exceed the limit of %d", len(names), maxRegions)
	}
	s := &Snapshot{
		place:     b.place,
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

// regionNames returns the sorted names of all regions, without duplicates.
func (b *Builder) regionNames() []domain.Region {
	names := append([]domain.Region{b.place.Region}, b.regions...)
	for i := range b.domains {
		names = append(names, b.domains[i].Place.Region)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// list returns the candidate list of a target and creates it if it is missing.
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
		if u.Ref.Place != s.place {
			return errkind.New(errkind.BadRequest, "upstream %q is in failure domain %q, want %q", u.Ref.ID, u.Ref.Place.FailureDomain, s.place.FailureDomain)
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
	c.region = s.regions.Index(s.place.Region)
	return c
}

func newLocalCandidate(u *Upstream) Candidate {
	return Candidate{
		Domain:           noDomain,
		state:            u.State,
		reachable:        true,
		weight:           1,
		slots:            float64(max(u.Slots, defaultSlots)) * slowStartFraction(u.SlowStart),
		reportedRequests: float64(max(u.Running+u.Waiting+u.OthersDeltaSinceReport, 0)),
		othersInFlight:   float64(u.OthersInFlight),
		queuedTokens:     float64(u.QueuedTokens),
		prefillRate:      orDefault(u.PrefillTokensPerSecond, defaultPrefillTokensPerSecond),
		decodeRate:       orDefault(u.DecodeTokensPerSecond, defaultDecodeTokensPerSecond),
		cost:             u.CostPerMillionTokens,
		preferred:        u.Preferred,
		prefixes:         u.Prefixes,
		ownWork:          u.Work,
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
		Upstream:         noUpstream,
		Domain:           i,
		region:           s.regions.Index(d.Place.Region),
		state:            domain.UpstreamLive,
		reachable:        d.Reachable && t.Slots > 0,
		weight:           float64(max(t.Upstreams, 1)),
		slots:            float64(max(t.Slots, defaultSlots)),
		reportedRequests: float64(t.Slots - t.Free),
		queueWait:        t.Wait.Seconds(),
		roundTrip:        d.RoundTrip.Seconds(),
		prefillRate:      orDefault(t.PrefillTokensPerSecond, defaultPrefillTokensPerSecond),
		decodeRate:       orDefault(t.DecodeTokensPerSecond, defaultDecodeTokensPerSecond),
		cost:             t.CostPerMillionTokens,
		ownWork:          t.Work,
		link:             d.Link,
	}
}

// Estimate is the estimated current load of one upstream.
type Estimate struct {
	// Slots is the number of usable slots, Requests the number of running and
	// waiting requests.
	Slots, Requests float64
	// Wait is the expected delay before the prefill of a new request.
	Wait time.Duration
}

// Estimate corrects the load report by the work that this node and other nodes
// dispatched since, for requests with about outputTokens output tokens.
func (u *Upstream) Estimate(outputTokens int) Estimate {
	c := newLocalCandidate(u)
	requests, tokens := c.load()
	decodeSeconds := float64(outputTokens) / c.decodeRate
	wait := max(requests+1-c.slots, 0)*decodeSeconds/c.slots + tokens/c.prefillRate
	return Estimate{Slots: c.slots, Requests: requests, Wait: time.Duration(wait * float64(time.Second))}
}

// slowStartFraction returns s limited to [minSlowStartFraction, 1]; values
// outside (0, 1] mean 1.
func slowStartFraction(s float64) float64 {
	if s <= 0 || s > 1 {
		return 1
	}
	return max(s, minSlowStartFraction)
}

// orDefault returns v if it is positive and d otherwise.
func orDefault(v, d float64) float64 {
	if v <= 0 {
		return d
	}
	return v
}
