package placement

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Part is one part of a prompt. Requests whose first parts are equal share the
// cached tokens of these parts.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Prompt is empty for plain services. Its last part is the request's own.
	Prompt []Part
	// PromptTokens and OutputTokens are zero for plain services.
	PromptTokens int
	OutputTokens int
	// Objective is the latency within which the answer should begin.
	Objective time.Duration
	// Elapsed is how much of it is used up.
	Elapsed time.Duration
	// Left is the time to the deadline.
	Left time.Duration
	// Urgent requests are refused later than others; see Policy.
	Urgent bool
	// Spread is uniform; it decides between places that are equally good, so
	// that nodes do not all send to the same one.
	Spread uint32
	// Exclude lists upstreams that were tried already.
	Exclude []domain.UpstreamID
}

// chance returns Spread as a number in [0, 1).
func (r *Request) chance() float64 { return float64(r.Spread) / (1 << 32) }

// minAffinityTokens is the size of a shared prompt from which it pays to send
// equal prompts to the same upstream: below it, reading the prompt again takes
// less than ten milliseconds at defaultPrefillRate.
const minAffinityTokens = 1000

// SharedPrompt returns the identity and size of the prompt's shared parts; ok is
// false if they are too small to look for.
func (r *Request) SharedPrompt() (key uint64, tokens int, ok bool) {
	for _, p := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		tokens += p.Tokens
		key = p.ID
	}
	return key, tokens, tokens >= minAffinityTokens
}
