package routing

import (
	"math/rand/v2"
	"time"
)

// Reason is the reason why a filter rejected a candidate; empty if it was retained.
type Reason string

// Reasons for which filters reject candidates.
const (
	Retained           Reason = ""
	ReasonRegion       Reason = "region_forbidden"
	ReasonNotLoaded    Reason = "target_not_loaded"
	ReasonNotLive      Reason = "not_live"
	ReasonLeaving      Reason = "leaving"
	ReasonExcluded     Reason = "excluded"
	ReasonUnreachable  Reason = "unreachable"
	ReasonLinkBudget   Reason = "link_budget"
	ReasonForwardedHop Reason = "already_forwarded"
)

// Filter rejects candidates that must not or cannot run a request.
type Filter interface {
	// Name identifies the filter in explanations.
	Name() string
	// Check returns Retained, or the reason for which c is rejected.
	Check(v *View, c *Candidate) Reason
}

// Scorer scores the candidates that the filters retained.
type Scorer interface {
	// Name identifies the scorer in explanations.
	Name() string
	// Score adds the scorer's contribution, in seconds, to the Score of each
	// element of v.Scored; lower is better.
	Score(v *View)
}

// Picker chooses one of the scored candidates.
type Picker interface {
	// Name identifies the picker in explanations.
	Name() string
	// Pick returns an index into scored, which is not empty.
	Pick(v *View, scored []Scored) int
}

// Scored is a candidate that the filters retained, with its score.
type Scored struct {
	Candidate *Candidate
	// Score is the sum of the scorers' contributions, in seconds; lower is better.
	Score float64
	// FirstToken is the predicted time to first token, in seconds.
	FirstToken float64
	// Load is the ratio of the estimated number of requests to the usable slots.
	Load float64
}

// View is the state of one decision that policies read. Scored lists the local
// upstreams first; Local is their number.
type View struct {
	Snapshot *Snapshot
	Request  *Request
	Now      time.Time
	Scored   []Scored
	Local    int
	home     int32
	random   rand.PCG
}

// Uniform returns a pseudo-random integer in [0, n) that depends on the request's
// seed.
func (v *View) Uniform(n int) int {
	hi := v.random.Uint64() >> 32
	return int(hi * uint64(n) >> 32)
}

// Fraction returns a pseudo-random number in [0, 1) that depends on the request's
// seed.
func (v *View) Fraction() float64 {
	return float64(v.random.Uint64()>>11) / (1 << 53)
}
