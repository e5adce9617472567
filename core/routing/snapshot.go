package routing

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	noUpstream = int32(-1)
	noDomain   = int32(-1)
)

// Snapshot is what a node knows for routing. It is immutable but for the atomic
// counters of own work and link budgets that it points to.
type Snapshot struct {
	own       domain.Place
	regions   *RegionTable
	upstreams []Upstream
	domains   []Domain
	targets   map[domain.Target]int32
	lists     []targetList
}

// targetList holds a target's candidates, those of the own domain first.
type targetList struct {
	target     domain.Target
	candidates []Candidate
	local      int
}

// Candidate is one place where a target's requests could run.
type Candidate struct {
	// Upstream indexes the own domain's upstreams; -1 for another domain.
	Upstream int32
	// Domain indexes the other failure domains; -1 for an own upstream.
	Domain    int32
	region    int32
	state     domain.UpstreamState
	reachable bool
	// weight is the number of upstreams behind the candidate.
	weight float64
	// slots is the usable number of requests at once; busy counts requests at the
	// time of the report; others what the domain's other nodes have in flight.
	slots, busy, others float64
	queuedTokens        float64
	// wait and roundTrip are in seconds.
	wait, roundTrip float64
	// prefill and decode are speeds in tokens a second.
	prefill, decode float64
	cost            float64
	key             uint64
	preferred       bool
	prefixes        []uint64
	own             *OwnWork
	link            *LinkBudget
}

// Own returns the place that the snapshot was built for.
func (s *Snapshot) Own() domain.Place { return s.own }

// Regions returns the numbering of the regions that the snapshot knows.
func (s *Snapshot) Regions() *RegionTable { return s.regions }

// Upstream returns an own upstream by a Decision's index.
func (s *Snapshot) Upstream(i int32) *Upstream { return &s.upstreams[i] }

// Domain returns another failure domain by a Decision's index.
func (s *Snapshot) Domain(i int32) *Domain { return &s.domains[i] }

// Upstreams returns the number of own upstreams.
func (s *Snapshot) Upstreams() int { return len(s.upstreams) }

// Knows tells if any place serves t.
func (s *Snapshot) Knows(t domain.Target) bool {
	_, ok := s.targets[t]
	return ok
}

func (c *Candidate) away() bool { return c.Domain != noDomain }

// load estimates the requests at the candidate now, and the prompt tokens ahead
// of a new one: the report, corrected by own work since, and never below what
// this node and the domain's others have in flight.
func (c *Candidate) load() (requests, tokens float64) {
	inFlight, delta, pending := c.own.read()
	requests = max(c.busy+delta, inFlight+c.others, 0)
	tokens = c.queuedTokens + max(pending, 0)
	return requests, tokens
}

func (c *Candidate) cached(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	_, ok := slices.BinarySearch(c.prefixes, prefix)
	return ok
}
