package placement

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Policy holds the limits and weights of a decision.
type Policy struct {
	// RefuseAt is the maximum expected delay as a fraction of the objective. Above
	// it the request is refused, which is better than a late response.
	RefuseAt float64
	// QueueAt is the maximum expected wait for a free slot as a fraction of the
	// objective. Under sustained overload the wait converges to this limit, so with
	// a limit equal to the objective every response would be late.
	QueueAt float64
	// UrgentQueueAt replaces QueueAt for the most urgent routes of a service.
	UrgentQueueAt float64
	// DomainCost is added to the delay of an upstream in another failure domain of
	// the region, for the network latency and the traffic.
	DomainCost time.Duration
	// CrossingCost is added to the delay of another region, for the traffic between
	// regions.
	CrossingCost time.Duration
	// CrossingRefuseAt is the maximum expected delay in another region as a
	// multiple of the objective.
	CrossingRefuseAt float64
	// ReadAgainWeight is the additional weight of the prefill time of uncached
	// prompt tokens, because prefill delays all requests at the upstream.
	ReadAgainWeight float64
	// MaxWait is the maximum time, as a fraction of the objective, for which a
	// request is held until an engine has reduced its prefill backlog.
	MaxWait float64
	// CrowdingCost is added for each request at an upstream, because each one slows
	// the token generation of the others.
	CrowdingCost time.Duration
}

// DefaultPolicy returns a policy for objectives of half a second to a second. The
// benchmarks are in docs/design/0016-placing-by-route.md.
func DefaultPolicy() Policy {
	return Policy{
		RefuseAt:         1,
		QueueAt:          0.5,
		UrgentQueueAt:    0.6,
		DomainCost:       40 * time.Millisecond,
		CrossingCost:     60 * time.Millisecond,
		CrossingRefuseAt: 1,
		ReadAgainWeight:  1.5,
		MaxWait:          0.4,
		CrowdingCost:     2 * time.Millisecond,
	}
}

// RegionLoad is the latest known load of a service in another region.
type RegionLoad struct {
	Region domain.Region
	// Delay is the expected time to first byte in the region, without prefill and
	// network latency.
	Delay time.Duration
	// RoundTrip is the network round-trip time to the region.
	RoundTrip time.Duration
	// CachedTokens is the number of tokens of the request's prompt that an engine
	// of the region is expected to have cached.
	CachedTokens int
	// Domain is the failure domain of that engine; empty if none is known.
	Domain domain.FailureDomain
	// Free is this node's share of the requests that the region can start without
	// waiting, minus those that the node has already sent. A value below one is the
	// probability that one more request can start.
	Free float64
}

// Choice is the action to take for a request.
type Choice uint8

const (
	// Refuse refuses the request, because no upstream or region would serve it in
	// time.
	Refuse Choice = iota
	// Wait delays the request until the backlog of an engine has decreased.
	Wait
	// Local sends the request to an upstream of the local region.
	Local
	// Remote sends the request to another region.
	Remote
)

// Decision is the result of Choose.
type Decision struct {
	Choice Choice
	// Index is the index of the candidate chosen by a Local decision.
	Index int
	// Region is the region of a Remote decision. Domain is the failure domain in
	// it that has the prompt cached; empty if any domain is suitable.
	Region domain.Region
	Domain domain.FailureDomain
	// Delay is the expected time to first byte with the best choice, also if the
	// request is refused.
	Delay time.Duration
	// ForSlot is the part of Delay that a Local decision expects to spend waiting
	// for a free slot.
	ForSlot time.Duration
	// Cost is the value that the decision minimizes: the delay and the penalties
	// for the effect on other requests.
	Cost time.Duration
	// For is the time to wait before the next decision.
	For time.Duration
	// Tokens is the number of prompt tokens to prefill.
	Tokens int
	// Usable is the number of usable candidates.
	Usable int
}

// Choose returns the option with the lowest cost. The candidates are the upstreams
// of the request's service in the local region, or none if the request may not run
// there; others are the other regions in which it may run.
func (p Policy) Choose(r *Request, s Speeds, candidates []Candidate, others []RegionLoad) Decision {
	local := p.bestLocal(r, s, candidates)
	remote, found := p.bestRemote(r, s, others)
	limit := p.limit(r)
	localInTime := local.Choice == Local && r.Elapsed+local.Delay <= limit && local.ForSlot <= p.queueLimit(r)
	remoteInTime := found && r.Elapsed+remote.Delay <= min(limit, time.Duration(p.CrossingRefuseAt*float64(r.Objective)))
	preferLocal := !remoteInTime || local.Cost <= remote.Cost
	if localInTime && local.For > 0 && preferLocal {
		if r.Elapsed+local.For <= time.Duration(p.MaxWait*float64(r.Objective)) {
			return Decision{Choice: Wait, For: local.For, Delay: local.Delay, Usable: local.Usable}
		}
		preferLocal = !remoteInTime
	}
	switch {
	case localInTime && preferLocal:
		return local
	case remoteInTime:
		remote.Usable = local.Usable
		return remote
	}
	best := local.Delay
	if found && (local.Choice == Refuse || remote.Delay < best) {
		best = remote.Delay
	}
	return Decision{Choice: Refuse, Delay: best, Usable: local.Usable}
}

// limit returns the latest time, relative to the request's arrival, at which the
// response should begin.
func (p Policy) limit(r *Request) time.Duration {
	return min(time.Duration(p.RefuseAt*float64(r.Objective)), r.Elapsed+r.Left)
}

// queueLimit returns the maximum wait for a free slot.
func (p Policy) queueLimit(r *Request) time.Duration {
	if r.Urgent {
		return time.Duration(p.UrgentQueueAt * float64(r.Objective))
	}
	return time.Duration(p.QueueAt * float64(r.Objective))
}

// bestLocal returns the usable candidate with the lowest cost, or Refuse if there
// is none. Request.Spread selects among equal ones.
func (p Policy) bestLocal(r *Request, s Speeds, candidates []Candidate) Decision {
	best := Decision{Choice: Refuse}
	for n := range candidates {
		i := (n + int(r.Spread%uint32(len(candidates)))) % len(candidates)
		c := &candidates[i]
		if !c.Usable || slices.Contains(r.Exclude, c.ID) {
			continue
		}
		best.Usable++
		tokens := max(0, r.PromptTokens-c.CachedTokens)
		delay, slotWait := c.delay(s, tokens)
		cost := delay + time.Duration(c.load()*float64(p.CrowdingCost))
		if s.PrefillRate > 0 {
			cost += time.Duration(p.ReadAgainWeight * float64(tokens) / s.PrefillRate * float64(time.Millisecond))
		}
		if !c.SameDomain {
			cost += p.DomainCost
		}
		wait := c.backlogWait(s, tokens)
		cost += wait
		if best.Choice == Refuse || cost < best.Cost {
			best.Choice, best.Index, best.Delay, best.Tokens, best.For, best.Cost, best.ForSlot = Local, i, delay, tokens, wait, cost, slotWait
		}
	}
	return best
}

// bestRemote returns the region with the lowest cost among those with free
// capacity; false if there is none.
func (p Policy) bestRemote(r *Request, s Speeds, others []RegionLoad) (Decision, bool) {
	var best Decision
	found := false
	for _, o := range others {
		if o.Free < 1 && r.randomFraction() >= o.Free {
			continue
		}
		delay := o.Delay + o.RoundTrip
		tokens := max(0, r.PromptTokens-o.CachedTokens)
		cost := delay + p.CrossingCost
		if s.PrefillRate > 0 {
			prefillTime := time.Duration(float64(tokens) / s.PrefillRate * float64(time.Millisecond))
			delay += prefillTime
			cost += prefillTime + time.Duration(p.ReadAgainWeight*float64(prefillTime))
		}
		if !found || cost < best.Cost {
			best, found = Decision{Choice: Remote, Region: o.Region, Domain: o.Domain, Delay: delay, Cost: cost, Tokens: tokens}, true
		}
	}
	return best, found
}
