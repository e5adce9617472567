package placement

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Part is one part of a prompt. Requests whose leading parts are equal share the
// cached tokens of these parts.
type Part struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// Prompt is empty for services without model engines. Its last part is not
	// shared with other requests.
	Prompt []Part
	// PromptTokens and OutputTokens are zero for services without model engines.
	PromptTokens int
	OutputTokens int
	// UnheldTokens is the number of shared prompt tokens that no engine of the region is expected
	// to hold. The time of reading them does not count against the objective: refused, a large
	// prompt would never be held.
	UnheldTokens int
	// Objective is the latency within which the response should begin.
	Objective time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Priority is the request's priority at model engines; 0 is the highest.
	Priority int
	// Urgent is set for requests that tolerate a longer wait for a slot; see
	// Policy.UrgentMaxSlotWaitRatio.
	Urgent bool
	// Random is a uniformly distributed random number that selects among equally
	// good options, so that nodes do not all choose the same one.
	Random uint32
	// Excluded lists the upstreams that the request was already sent to.
	Excluded []domain.UpstreamID
}

// randomFraction returns Random as a number in [0, 1).
func (r *Request) randomFraction() float64 { return float64(r.Random) / (1 << 32) }

// SharedParts returns the parts that other prompts may have too: all but the last.
func (r *Request) SharedParts() []Part { return r.Prompt[:max(0, len(r.Prompt)-1)] }

// minAffinityTokens is the minimum size of a shared prompt for which requests are
// sent to the same upstream. The prefill of a shorter one takes less than 14
// milliseconds at the default prefill rate of package instances.
const minAffinityTokens = 1000

// SharedPrompt returns the key and size of the prompt's shared parts; ok is false
// if they are smaller than minAffinityTokens.
func (r *Request) SharedPrompt() (key uint64, tokens int, ok bool) {
	for _, p := range r.SharedParts() {
		tokens += p.Tokens
		key = p.ID
	}
	return key, tokens, tokens >= minAffinityTokens
}
