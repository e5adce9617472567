package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	Target domain.Target
	// Allowed is the set of regions that the plan allows, from the snapshot's
	// region table.
	Allowed RegionSet
	// LocalOnly excludes remote failure domains; it is set for forwarded requests.
	LocalOnly bool
	// PromptTokens and OutputTokens are the sizes of the prompt and the expected
	// output.
	PromptTokens, OutputTokens int
	// PrefixHash identifies the first PrefixTokens tokens of the prompt; zero for
	// none.
	PrefixHash   uint64
	PrefixTokens int
	// BodyBytes is the number of request bytes that forwarding sends over the link.
	BodyBytes int
	Priority  int
	// Deadline is the time by which the first token is due; zero for none.
	Deadline time.Time
	// Home is the preferred region; empty for none.
	Home domain.Region
	// ExcludedUpstreams and ExcludedDomains are those that the request was already
	// sent to.
	ExcludedUpstreams []domain.UpstreamID
	ExcludedDomains   []domain.FailureDomain
	// Seed seeds the random choices of the decision.
	Seed uint64
}
