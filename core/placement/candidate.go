package placement

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Candidate is a copy of the state of an upstream in the local region.
type Candidate struct {
	ID    domain.UpstreamID
	Place domain.Place
	Slots int
	// InFlight is the number of this node's requests at the upstream.
	InFlight int
	// OthersInFlight is the estimated number of requests of other nodes at the upstream.
	OthersInFlight float64
	// LessUrgent is the estimated number of requests at the upstream, own and others', that
	// it interrupts or lets wait in favour of this one.
	LessUrgent float64
	// PendingTokens is the estimated number of prompt tokens that were sent to the
	// upstream and are not yet prefilled.
	PendingTokens float64
	// CachedTokens is the number of tokens of the request's prompt that are cached
	// and need no prefill.
	CachedTokens int
	// PreferredTokens is the number of shared tokens that the upstream, which all nodes prefer for
	// the prompt, does not hold yet.
	PreferredTokens int
	// LatencyRatio is the ratio of the upstream's response time to that of its peers;
	// 1 is normal.
	LatencyRatio float64
	// Slowdown is the expected duration of work relative to the usual one, from what the
	// upstream stated; 1 is normal, zero counts as 1.
	Slowdown float64
	// MaxPendingTokens replaces ServicePerformance.MaxPendingTokens if it is not zero.
	MaxPendingTokens float64
	// MemoryTokens is the memory of the engine, shared by running requests and cached parts;
	// zero if it is not known. ReservedTokens is the part of it that running requests may
	// need until their end, NeedTokens what the request would need.
	MemoryTokens, ReservedTokens, NeedTokens float64
	// SpareTokens is the memory that the request leaves to larger ones of its kind.
	SpareTokens float64
	// ReleaseRate is the rate at which running requests release memory, in tokens per
	// millisecond.
	ReleaseRate float64
	// SameDomain is set if the upstream is in the node's failure domain.
	SameDomain bool
	// Usable is false for upstreams that are leaving, suspect, evacuated or
	// cold without a permit.
	Usable bool

	// option is the result of the evaluation of the candidate in a decision.
	option option
}

// ServicePerformance holds the learned performance estimates of a service.
type ServicePerformance struct {
	// PrefillRate is in prompt tokens per millisecond; zero for services without
	// model engines.
	PrefillRate float64
	// MeanSlotTime is the mean time for which a request occupies a slot.
	MeanSlotTime time.Duration
	// MaxPendingTokens is the prefill backlog above which the streams that the
	// engine serves at the same time pause for too long; zero means no limit.
	MaxPendingTokens float64
	// IdleTTFB is the time to first byte at an idle upstream, without prefill.
	IdleTTFB time.Duration
	// PreemptionCost is the expected loss of a running request that a more urgent one
	// preempts; zero if requests of the service have the same urgency.
	PreemptionCost time.Duration
	// LessUrgentShare is the fraction of requests that more urgent ones may preempt; zero if
	// requests of the service have the same urgency.
	LessUrgentShare float64
	// MeanNeedTokens is the mean memory that a request needs beside shared parts.
	MeanNeedTokens float64
	// SpeedsVary is set if upstreams state their slowdown. Requests are then spread over
	// upstreams of similar cost; see Policy.SpreadCost.
	SpeedsVary bool
}

// load returns the expected number of requests at the upstream.
func (c *Candidate) load() float64 { return float64(c.InFlight) + c.OthersInFlight }

// slowdown returns Slowdown, or 1 if it is not set.
func (c *Candidate) slowdown() float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// delay estimates the time to first byte of a request with the given number of
// tokens to prefill, and the part of it that is spent waiting for a free slot.
func (c *Candidate) delay(s *ServicePerformance, tokens int) (total, slotWait time.Duration) {
	d := s.IdleTTFB
	if s.PrefillRate > 0 {
		d += time.Duration((c.PendingTokens + float64(tokens)) / s.PrefillRate * float64(time.Millisecond))
	}
	slots := max(1, c.Slots)
	if excess := c.load() - c.LessUrgent + 1 - float64(slots); excess > 0 {
		slotWait = time.Duration(excess / float64(slots) * float64(s.MeanSlotTime) * max(1, c.LatencyRatio) * c.slowdown())
	}
	scaled := time.Duration(float64(d) * max(1, c.LatencyRatio) * c.slowdown())
	if c.MemoryTokens > 0 {
		// Short questions hardly gain by leaving a slow engine, but they fill the others, on
		// which requests are then preempted.
		scaled -= time.Duration(float64(s.IdleTTFB) * max(1, c.LatencyRatio) * (c.slowdown() - 1))
	}
	return scaled + slotWait, slotWait
}

// slotMargin is the number of slots below the last one from which an engine may be full when the request
// arrives or while it runs: the number of other nodes' requests is an estimate.
const slotMargin = 2

// preemptionRisk returns the probability that the request preempts another one or is preempted.
func (c *Candidate) preemptionRisk() float64 {
	return min(1, max(0, (c.load()+1+slotMargin-float64(max(1, c.Slots)))/slotMargin))
}

// fits reports whether the engine has the memory that the request needs until its end. Without it, a
// running request would be preempted.
func (c *Candidate) fits() bool {
	return c.MemoryTokens <= 0 || c.ReservedTokens+c.NeedTokens+c.SpareTokens <= c.MemoryTokens
}

// everFits reports whether the engine could run the request if it had no others.
func (c *Candidate) everFits() bool { return c.MemoryTokens <= 0 || c.NeedTokens <= c.MemoryTokens }

// minReleaseRate bounds the expected wait for memory, in tokens per millisecond.
const minReleaseRate = 0.1

// memoryWait returns the expected time until the engine has the memory that the request needs.
func (c *Candidate) memoryWait() time.Duration {
	if c.fits() {
		return 0
	}
	excess := c.ReservedTokens + c.NeedTokens + c.SpareTokens - c.MemoryTokens
	return time.Duration(excess / max(minReleaseRate, c.ReleaseRate) * float64(time.Millisecond) * c.slowdown())
}

// minPrefillToDelay is the number of tokens to prefill below which a request is
// never delayed, because it hardly increases the backlog.
const minPrefillToDelay = 2000 // tokens

// backlogWait returns how long a request with the given number of tokens to
// prefill should wait so that the backlog stays within MaxPendingTokens. A prompt
// that exceeds the limit by itself waits until the backlog is empty.
func (c *Candidate) backlogWait(s *ServicePerformance, tokens int) time.Duration {
	limit := s.MaxPendingTokens
	if c.MaxPendingTokens > 0 {
		limit = c.MaxPendingTokens
	}
	if limit <= 0 || tokens < minPrefillToDelay {
		return 0
	}
	excess := c.PendingTokens + min(float64(tokens), limit) - limit
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / s.PrefillRate * float64(time.Millisecond) * c.slowdown())
}

// maxBacklogForRemote is the prefill backlog, in milliseconds, from which an
// engine has no spare capacity for requests of another region.
const maxBacklogForRemote = 200.0

// FreeCapacity returns the number of requests that can start without waiting, negative if
// requests are already waiting, and the expected time to first byte of a request
// without a prompt.
func (c *Candidate) FreeCapacity(s ServicePerformance) (float64, time.Duration) {
	capacity := float64(c.Slots) - c.load()
	if s.PrefillRate > 0 && capacity > 0 {
		pending := c.PendingTokens / s.PrefillRate * c.slowdown()
		capacity *= max(0, 1-pending/maxBacklogForRemote)
	}
	if c.MemoryTokens > 0 && s.MeanNeedTokens > 0 {
		capacity = min(capacity, (c.MemoryTokens-c.ReservedTokens)/s.MeanNeedTokens)
	}
	delay, _ := c.delay(&s, 0)
	return capacity / max(1, c.LatencyRatio) / c.slowdown(), delay
}
