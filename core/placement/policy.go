package placement

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Policy holds the weights of a decision.
type Policy struct {
	// RefuseAt is the part of the objective beyond which an expected delay makes a
	// refusal better than an answer that comes too late.
	RefuseAt float64
	// QueueAt is the same for the part of the delay that passes until a slot is
	// free. Under steady overload that wait settles at the limit, so that at the
	// objective every answer would be late.
	QueueAt float64
	// UrgentQueueAt is QueueAt for the most urgent routes of a service.
	UrgentQueueAt float64
	// DomainCost is added to the delay of an upstream in another failure domain
	// of the region, for the way and the bytes.
	DomainCost time.Duration
	// CrossingCost is added to the delay of another region, for the bytes that
	// cross.
	CrossingCost time.Duration
	// CrossingRefuseAt is the multiple of the objective from which another
	// region's expected delay is no use.
	CrossingRefuseAt float64
	// ReadAgainWeight multiplies the time an upstream needs for prompt tokens
	// that another one has cached: that time is lost to all requests there.
	ReadAgainWeight float64
	// MaxWait is the share of the objective that a request may be held until an
	// engine has read what it was sent before.
	MaxWait float64
	// CrowdingCost is added per request that an upstream holds, as each one
	// slows the others' tokens down.
	CrowdingCost time.Duration
}

// DefaultPolicy suits objectives of half a second to a second; see
// docs/design/0016-placing-by-route.md for the runs.
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

// RegionLoad is the last that is known of a service in another region.
type RegionLoad struct {
	Region domain.Region
	// Delay is the expected time to the first byte there, prompt not counted.
	Delay time.Duration
	// RoundTrip is the network's share.
	RoundTrip time.Duration
	// CachedTokens are those of the request's prompt that an engine there is
	// expected to hold.
	CachedTokens int
	// Domain is where that engine stands; empty if none is known.
	Domain domain.FailureDomain
	// Free is this node's share of the requests that fit before they have to
	// wait, those that it has on the way there taken off. Less than one is the
	// chance that one fits.
	Free float64
}

// Choice says what to do with a request.
type Choice uint8

const (
	// Refuse means that no place would serve the request in time.
	Refuse Choice = iota
	// Wait means that a place will be free soon.
	Wait
	// Local means an upstream of the own region.
	Local
	// Remote means another region.
	Remote
)

// Decision is the outcome of Choose.
type Decision struct {
	Choice Choice
	// Index is the candidate of a Local decision.
	Index int
	// Region is that of a Remote decision, Domain the failure domain there that
	// has the prompt; empty if any will do.
	Region domain.Region
	Domain domain.FailureDomain
	// Delay is the expected time to the first byte at the place chosen; for a
	// refusal, at the best place.
	Delay time.Duration
	// ForSlot is the part of Delay that passes until a slot is free at the
	// upstream of a Local decision.
	ForSlot time.Duration
	// Cost is what the place was chosen by: the delay and what the request
	// costs others there.
	Cost time.Duration
	// For is how long to wait before the next look.
	For time.Duration
	// Tokens is the number of prompt tokens to read at the candidate.
	Tokens int
	// Usable is the number of candidates that could have been chosen.
	Usable int
}

// Choose picks the place with the least cost. The candidates are those of the
// request's service in the own region, without any if the request may not run
// here; others are the regions that it may run in beside.
func (p Policy) Choose(r *Request, s Speeds, candidates []Candidate, others []RegionLoad) Decision {
	local := p.bestLocal(r, s, candidates)
	remote, found := p.bestRemote(r, s, others)
	limit := p.limit(r)
	localOK := local.Choice == Local && r.Elapsed+local.Delay <= limit && local.ForSlot <= p.queueLimit(r)
	remoteOK := found && r.Elapsed+remote.Delay <= min(limit, time.Duration(p.CrossingRefuseAt*float64(r.Objective)))
	nearer := !remoteOK || local.Cost <= remote.Cost
	if localOK && local.For > 0 && nearer {
		if r.Elapsed+local.For <= time.Duration(p.MaxWait*float64(r.Objective)) {
			return Decision{Choice: Wait, For: local.For, Delay: local.Delay, Usable: local.Usable}
		}
		nearer = !remoteOK
	}
	switch {
	case localOK && nearer:
		return local
	case remoteOK:
		remote.Usable = local.Usable
		return remote
	}
	best := local.Delay
	if found && (local.Choice == Refuse || remote.Delay < best) {
		best = remote.Delay
	}
	return Decision{Choice: Refuse, Delay: best, Usable: local.Usable}
}

// limit is the latest time after the request's arrival at which an answer
// should begin.
func (p Policy) limit(r *Request) time.Duration {
	return min(time.Duration(p.RefuseAt*float64(r.Objective)), r.Elapsed+r.Left)
}

// queueLimit is the longest wait for a free slot.
func (p Policy) queueLimit(r *Request) time.Duration {
	if r.Urgent {
		return time.Duration(p.UrgentQueueAt * float64(r.Objective))
	}
	return time.Duration(p.QueueAt * float64(r.Objective))
}

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
		delay, forSlot := c.delay(s, tokens)
		cost := delay + time.Duration(c.load()*float64(p.CrowdingCost))
		if s.PrefillRate > 0 {
			cost += time.Duration(p.ReadAgainWeight * float64(tokens) / s.PrefillRate * float64(time.Millisecond))
		}
		if !c.SameDomain {
			cost += p.DomainCost
		}
		wait := c.waitFor(s, tokens)
		cost += wait
		if best.Choice == Refuse || cost < best.Cost {
			best.Choice, best.Index, best.Delay, best.Tokens, best.For, best.Cost, best.ForSlot = Local, i, delay, tokens, wait, cost, forSlot
		}
	}
	return best
}

func (p Policy) bestRemote(r *Request, s Speeds, others []RegionLoad) (Decision, bool) {
	var best Decision
	found := false
	for _, o := range others {
		if o.Free < 1 && r.chance() >= o.Free {
			continue
		}
		delay := o.Delay + o.RoundTrip
		tokens := max(0, r.PromptTokens-o.CachedTokens)
		cost := delay + p.CrossingCost
		if s.PrefillRate > 0 {
			reading := time.Duration(float64(tokens) / s.PrefillRate * float64(time.Millisecond))
			delay += reading
			cost += reading + time.Duration(p.ReadAgainWeight*float64(reading))
		}
		if !found || cost < best.Cost {
			best, found = Decision{Choice: Remote, Region: o.Region, Domain: o.Domain, Delay: delay, Cost: cost, Tokens: tokens}, true
		}
	}
	return best, found
}
