package placement

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Policy holds the limits and weights of a decision.
type Policy struct {
	// MaxDelayRatio is the maximum expected delay as a fraction of the objective. Above
	// it the request is refused, which is better than a late response.
	MaxDelayRatio float64
	// MaxSlotWaitRatio is the maximum expected wait for a free slot as a fraction of the
	// objective. Under sustained overload the wait converges to this limit, so with
	// a limit equal to the objective every response would be late.
	MaxSlotWaitRatio float64
	// UrgentMaxSlotWaitRatio replaces MaxSlotWaitRatio for the most urgent routes of a
	// service.
	UrgentMaxSlotWaitRatio float64
	// CrossDomainCost is added to the delay of an upstream in another failure domain of
	// the region, for the network latency and the traffic.
	CrossDomainCost time.Duration
	// CrossRegionCost is added to the delay of another region, for the traffic between
	// regions.
	CrossRegionCost time.Duration
	// CrossRegionMaxDelayRatio is the maximum expected delay in another region as a
	// multiple of the objective.
	CrossRegionMaxDelayRatio float64
	// PrefillWeight is the additional weight of the prefill time of uncached
	// prompt tokens, because prefill delays all requests at the upstream.
	PrefillWeight float64
	// PreferredWeight is the weight of the prefill time of shared tokens that the upstream preferred by
	// all nodes would hold afterwards: later requests need not read them elsewhere.
	PreferredWeight float64
	// PreemptionWeight is the weight of the expected loss of a request that is preempted.
	PreemptionWeight float64
	// MaxBacklogWaitRatio is the maximum time, as a fraction of the objective, for which a
	// request is delayed until an engine has reduced its prefill backlog.
	MaxBacklogWaitRatio float64
	// InFlightCost is added for each request at an upstream, because each one slows
	// the token generation of the others.
	InFlightCost time.Duration
	// SpreadRatio is the difference in cost up to which upstreams whose speed varies count as
	// similar, as a fraction of the time for which a request occupies a slot; MaxSpreadCost is
	// its limit. Of two random ones among them the better is chosen, so that not all nodes
	// choose the one that has just become fast.
	SpreadRatio   float64
	MaxSpreadCost time.Duration
}

// DefaultPolicy returns a policy for objectives of half a second to a second. The
// benchmarks are in docs/design/0016-placing-by-route.md.
func DefaultPolicy() Policy {
	return Policy{
		MaxDelayRatio:            1,
		MaxSlotWaitRatio:         0.5,
		UrgentMaxSlotWaitRatio:   0.6,
		CrossDomainCost:          40 * time.Millisecond,
		CrossRegionCost:          60 * time.Millisecond,
		CrossRegionMaxDelayRatio: 1,
		PrefillWeight:            1.5,
		PreferredWeight:          0.3,
		PreemptionWeight:         1,
		MaxBacklogWaitRatio:      0.4,
		InFlightCost:             2 * time.Millisecond,
		SpreadRatio:              0.15,
		MaxSpreadCost:            60 * time.Millisecond,
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
	// FreeCapacity is this node's share of the requests that the region can start without
	// waiting, minus those that the node has already sent. A value below one is the
	// probability that one more request can start.
	FreeCapacity float64
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
	// SlotWait is the part of Delay that a Local decision expects to spend waiting
	// for a free slot.
	SlotWait time.Duration
	// Cost is the value that the decision minimizes: the delay and the penalties
	// for the effect on other requests.
	Cost time.Duration
	// BacklogWait is the time to wait before the next decision.
	BacklogWait time.Duration
	// firstRead is the part of Delay in which shared parts are read that no engine holds. It does not
	// count against the objective: refused, a large prompt would never be held.
	firstRead time.Duration
	// Tokens is the number of prompt tokens to prefill.
	Tokens int
	// Slowdown is the expected slowdown of the upstream of a Local decision.
	Slowdown float64
	// HeldTokens is the number of prompt tokens that the upstream of a Local decision is expected to hold,
	// ReservedTokens the memory that its running requests may need. OutOfMemory is set if it has
	// not the memory that the request needs; a Wait decision then waits for it.
	HeldTokens, ReservedTokens int
	OutOfMemory                bool
	// Usable is the number of usable candidates.
	Usable int
	// Silence is set if the request is refused because all upstreams of the region want no requests:
	// the shortest remaining time.
	Silence time.Duration
}

// Choose returns the option with the lowest cost. The candidates are the upstreams
// of the request's service in the local region, or none if the request may not run
// there; others are the other regions in which it may run.
func (p Policy) Choose(r *Request, s ServicePerformance, candidates []Candidate, others []RegionLoad) Decision {
	local := p.bestLocal(r, &s, candidates)
	remote, found := p.bestRemote(r, s, others)
	limit := p.limit(r)
	localInTime := local.Choice == Local && r.Elapsed+local.Delay-local.firstRead <= limit && local.Delay <= r.Remaining && local.SlotWait <= p.maxSlotWait(r)
	remoteInTime := found && r.Elapsed+remote.Delay <= min(limit, time.Duration(p.CrossRegionMaxDelayRatio*float64(r.Objective)))
	preferLocal := !remoteInTime || local.Cost <= remote.Cost
	if localInTime && local.BacklogWait > 0 && preferLocal {
		if r.Elapsed+local.BacklogWait <= time.Duration(p.MaxBacklogWaitRatio*float64(r.Objective)) {
			return Decision{Choice: Wait, BacklogWait: local.BacklogWait, Delay: local.Delay, OutOfMemory: local.OutOfMemory, Usable: local.Usable}
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
	return min(time.Duration(p.MaxDelayRatio*float64(r.Objective)), r.Elapsed+r.Remaining)
}

// maxSlotWait returns the maximum wait for a free slot.
func (p Policy) maxSlotWait(r *Request) time.Duration {
	if r.Urgent {
		return time.Duration(p.UrgentMaxSlotWaitRatio * float64(r.Objective))
	}
	return time.Duration(p.MaxSlotWaitRatio * float64(r.Objective))
}

// option is the expected effect of sending a request to a candidate.
type option struct {
	usable, fits, late                 bool
	tokens                             int
	delay, slotWait, backlogWait, cost time.Duration
	// firstRead is the part of delay in which shared parts are read that no engine holds.
	firstRead time.Duration
}

// better reports whether the option is preferred to another one: it fits the engine's memory, is in time, or
// costs less.
func (o *option) better(other *option) bool {
	if o.fits != other.fits {
		return o.fits
	}
	if o.late != other.late {
		return other.late
	}
	return o.cost < other.cost
}

// maxPriorityWait bounds the time for which more urgent requests take the slots that become free, as a
// multiple of the wait for a slot without them. Without a bound, long prompts leave the engines that hold them
// for the mere estimate of a full one.
const maxPriorityWait = 5

// evaluate sets the option of sending the request to a candidate.
func (p *Policy) evaluate(r *Request, s *ServicePerformance, c *Candidate) {
	o := &c.option
	*o = option{usable: true, tokens: max(0, r.PromptTokens-c.CachedTokens)}
	o.delay, o.slotWait = c.delay(s, o.tokens)
	if !r.Urgent && s.LessUrgentShare > 0 {
		// Slots that become free go to more urgent requests first.
		further := time.Duration(min(maxPriorityWait, 1/s.LessUrgentShare-1) * float64(o.slotWait))
		o.delay += further
		o.slotWait += further
	}
	o.cost = o.delay + time.Duration(c.load()*float64(p.InFlightCost))
	if s.PrefillRate > 0 {
		o.cost += time.Duration(p.PrefillWeight * float64(o.tokens) / s.PrefillRate * float64(time.Millisecond) * c.slowdown())
	}
	if c.PreferredTokens > 0 {
		o.cost -= time.Duration(p.PreferredWeight * float64(c.PreferredTokens) / s.PrefillRate * float64(time.Millisecond) * c.slowdown())
	}
	if c.MemoryTokens > 0 && s.PrefillRate > 0 {
		o.firstRead = time.Duration(float64(min(r.UnheldTokens, o.tokens)) / s.PrefillRate * float64(time.Millisecond) * c.slowdown())
	}
	if s.PreemptionCost > 0 {
		o.cost += time.Duration(p.PreemptionWeight * c.preemptionRisk() * float64(s.PreemptionCost))
	}
	if !c.SameDomain {
		o.cost += p.CrossDomainCost
	}
	o.backlogWait = c.backlogWait(s, o.tokens)
	if wait := c.memoryWait(); wait > 0 {
		o.delay += wait
		o.slotWait = max(o.slotWait, wait)
		o.backlogWait = max(o.backlogWait, wait)
	}
	o.cost += o.backlogWait
}

// bestLocal returns the usable candidate with the lowest cost, or Refuse if there
// is none. Request.Random selects among equal ones.
func (p Policy) bestLocal(r *Request, s *ServicePerformance, candidates []Candidate) Decision {
	best, usable, limit := -1, 0, p.limit(r)
	first := 0
	if len(candidates) > 0 {
		first = int(r.Random % uint32(len(candidates)))
	}
	for n := range candidates {
		i := first + n
		if i >= len(candidates) {
			i -= len(candidates)
		}
		c := &candidates[i]
		if !c.Usable || !c.everFits() || slices.Contains(r.Excluded, c.ID) {
			c.option.usable = false
			continue
		}
		p.evaluate(r, s, c)
		c.option.fits = c.fits()
		c.option.late = c.MemoryTokens > 0 && r.Elapsed+c.option.delay-c.option.firstRead > limit
		usable++
		if best < 0 || c.option.better(&candidates[best].option) {
			best = i
		}
	}
	if best < 0 {
		return Decision{Choice: Refuse}
	}
	if s.SpeedsVary {
		best = spread(r, candidates, &candidates[best].option, candidates[best].option.cost+min(p.MaxSpreadCost, time.Duration(p.SpreadRatio*float64(s.MeanSlotTime))))
	}
	o := &candidates[best].option
	return Decision{Choice: Local, Index: best, Delay: o.delay, SlotWait: o.slotWait, Cost: o.cost, BacklogWait: o.backlogWait, Tokens: o.tokens, firstRead: o.firstRead, Slowdown: candidates[best].slowdown(),
		HeldTokens: candidates[best].CachedTokens, ReservedTokens: int(candidates[best].ReservedTokens), OutOfMemory: !o.fits, Usable: usable}
}

// spread returns the better of two random candidates whose cost is at most maxCost, and
// which fit like the best one.
func spread(r *Request, candidates []Candidate, best *option, maxCost time.Duration) int {
	similar := 0
	for i := range candidates {
		if candidates[i].option.similar(best, maxCost) {
			similar++
		}
	}
	first := int(r.Random>>16) % similar
	second := int(r.Random&0xffff) % similar
	chosen := -1
	for i, n := 0, 0; i < len(candidates); i++ {
		if !candidates[i].option.similar(best, maxCost) {
			continue
		}
		if (n == first || n == second) && (chosen < 0 || candidates[i].option.cost < candidates[chosen].option.cost) {
			chosen = i
		}
		n++
	}
	return chosen
}

func (o *option) similar(best *option, maxCost time.Duration) bool {
	return o.usable && o.fits == best.fits && o.late == best.late && o.cost <= maxCost
}

// bestRemote returns the region with the lowest cost among those with free
// capacity; false if there is none.
func (p Policy) bestRemote(r *Request, s ServicePerformance, others []RegionLoad) (Decision, bool) {
	var best Decision
	found := false
	for _, o := range others {
		if o.FreeCapacity < 1 && r.randomFraction() >= o.FreeCapacity {
			continue
		}
		delay := o.Delay + o.RoundTrip
		tokens := max(0, r.PromptTokens-o.CachedTokens)
		cost := delay + p.CrossRegionCost
		if s.PrefillRate > 0 {
			prefillTime := time.Duration(float64(tokens) / s.PrefillRate * float64(time.Millisecond))
			delay += prefillTime
			cost += prefillTime + time.Duration(p.PrefillWeight*float64(prefillTime))
		}
		if !found || cost < best.Cost {
			best, found = Decision{Choice: Remote, Region: o.Region, Domain: o.Domain, Delay: delay, Cost: cost, Tokens: tokens}, true
		}
	}
	return best, found
}
