package routing

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	noUpstream = int32(-1)
	noDomain   = int32(-1)
)

// Snapshot is the state that a node bases routing decisions on. It is immutable
// except for the atomic counters and link budgets that it references.
type Snapshot struct {
	place     domain.Place
	regions   *RegionTable
	upstreams []Upstream
	domains   []Domain
	targets   map[domain.Target]int32
	lists     []targetList
}

// targetList holds the candidates of a target, those of the local failure domain
// first; local is their number.
type targetList struct {
	target     domain.Target
	candidates []Candidate
	local      int
}

// Candidate is a local upstream or a remote failure domain that could run the
// requests of a target.
type Candidate struct {
	// Upstream is an index into the local upstreams; -1 for a remote domain.
	Upstream int32
	// Domain is an index into the remote failure domains; -1 for a local upstream.
	Domain    int32
	region    int32
	state     domain.UpstreamState
	reachable bool
	// weight is the number of upstreams that the candidate represents.
	weight float64
	// slots is the number of usable slots; reportedRequests is the number of
	// requests in the load report, corrected by what other nodes sent since;
	// othersInFlight is what other nodes of the failure domain have in flight.
	slots, reportedRequests, othersInFlight float64
	queuedTokens                            float64
	// queueWait and roundTrip are in seconds.
	queueWait, roundTrip float64
	// prefillRate and decodeRate are in tokens per second.
	prefillRate, decodeRate float64
	cost                    float64
	preferred               bool
	prefixes                []uint64
	ownWork                 *InFlightWork
	link                    *LinkBudget
}

// Place returns the location of the node that the snapshot was built for.
func (s *Snapshot) Place() domain.Place { return s.place }

// Regions returns the table of the regions in the snapshot.
func (s *Snapshot) Regions() *RegionTable { return s.regions }

// Upstream returns the local upstream with the index given in a Decision.
func (s *Snapshot) Upstream(i int32) *Upstream { return &s.upstreams[i] }

// Domain returns the remote failure domain with the index given in a Decision.
func (s *Snapshot) Domain(i int32) *Domain { return &s.domains[i] }

// UpstreamCount returns the number of local upstreams.
func (s *Snapshot) UpstreamCount() int { return len(s.upstreams) }

// HasTarget reports whether any upstream or failure domain serves t.
func (s *Snapshot) HasTarget(t domain.Target) bool {
	_, ok := s.targets[t]
	return ok
}

// isRemote reports whether the candidate is a remote failure domain.
func (c *Candidate) isRemote() bool { return c.Domain != noDomain }

// load estimates the current number of requests at the candidate and the prompt
// tokens queued ahead of a new request. It corrects the load report by this node's
// work since then and never returns fewer requests than this node and the other
// nodes of the failure domain have in flight.
func (c *Candidate) load() (requests, tokens float64) {
	inFlight, delta, pending := c.ownWork.read()
	requests = max(c.reportedRequests+delta, inFlight+c.othersInFlight, 0)
	tokens = c.queuedTokens + max(pending, 0)
	return requests, tokens
}

// cached reports whether the prompt prefix is expected to be cached.
func (c *Candidate) cached(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	_, ok := slices.BinarySearch(c.prefixes, prefix)
	return ok
}
