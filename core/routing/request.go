package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Request is what routing needs to know about one request.
type Request struct {
	Target domain.Target
	// Allowed are the regions that the plan allows, by the snapshot's table.
	Allowed RegionSet
	// LocalOnly forbids other failure domains; set for forwarded requests.
	LocalOnly bool
	// PromptTokens and OutputTokens are the prompt and the expected answer.
	PromptTokens, OutputTokens int
	// PrefixHash identifies the leading PrefixTokens tokens; zero for none.
	PrefixHash   uint64
	PrefixTokens int
	// BodyBytes is the size that forwarding sends over the link.
	BodyBytes int
	Priority  int
	// Deadline is when the first token is due; zero for none.
	Deadline time.Time
	// Home is the preferred region; empty for none.
	Home domain.Region
	// ExcludedUpstreams and ExcludedDomains were tried already.
	ExcludedUpstreams []domain.UpstreamID
	ExcludedDomains   []domain.FailureDomain
	// Seed drives the decision's random choices.
	Seed uint64
}
