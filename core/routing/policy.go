package routing

import (
	"math/rand/v2"
	"time"
)

// Reason says why a candidate was dropped; empty if it was kept.
type Reason string

// The reasons for which filters drop candidates.
const (
	Kept               Reason = ""
	ReasonRegion       Reason = "region_forbidden"
	ReasonNotLoaded    Reason = "target_not_loaded"
	ReasonNotLive      Reason = "not_live"
	ReasonLeaving      Reason = "leaving"
	ReasonExcluded     Reason = "excluded"
	ReasonUnreachable  Reason = "unreachable"
	ReasonLinkBudget   Reason = "link_budget"
	ReasonForwardedHop Reason = "already_forwarded"
)

// Filter drops candidates that must not or cannot run a request.
type Filter interface {
	// Name identifies the filter in explanations.
	Name() string
	// Check returns Kept, or why c is dropped.
	Check(v *View, c *Candidate) Reason
}

// Scorer rates the candidates that the filters kept.
type Scorer interface {
	// Name identifies the scorer in explanations.
	Name() string
	// Score adds the scorer's part to the Score of each of v.Scored, in seconds;
	// less is better.
	Score(v *View)
}

// Picker chooses one of the rated candidates.
type Picker interface {
	// Name identifies the picker in explanations.
	Name() string
	// Pick returns an index into scored, which is not empty.
	Pick(v *View, scored []Scored) int
}

// Scored is a rated candidate.
type Scored struct {
	Candidate *Candidate
	// Score is the sum of the scorers' parts, in seconds; less is better.
	Score float64
	// FirstToken is the predicted time to the first token, in seconds.
	FirstToken float64
	// Load is the estimated requests there, over the usable slots.
	Load float64
}

// View is what policies see of one decision. Scored lists own upstreams first;
// Local is their number.
type View struct {
	Snapshot *Snapshot
	Request  *Request
	Now      time.Time
	Scored   []Scored
	Local    int
	home     int32
	random   rand.PCG
}

// Uniform returns a number in [0, n) drawn from the request's seed.
func (v *View) Uniform(n int) int {
	hi := v.random.Uint64() >> 32
	return int(hi * uint64(n) >> 32)
}

// Fraction returns a number in [0, 1) drawn from the request's seed.
func (v *View) Fraction() float64 {
	return float64(v.random.Uint64()>>11) / (1 << 53)
}
