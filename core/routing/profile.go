package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Profile names a preset of weights for tail latency, cost and the fraction of
// forwarded requests.
type Profile string

const (
	// ProfileLatency prioritizes the tail of the time to first token.
	ProfileLatency Profile = "latency"
	// ProfileCost prioritizes cost and a low fraction of forwarded requests.
	ProfileCost Profile = "cost"
)

// Tuning holds the weights of a Policy. Each field configures the scorer, picker
// or gate named in its comment.
type Tuning struct {
	CostSecondsPerUnit float64       // CostScorer.SecondsPerUnit
	NearWithin         time.Duration // NearPicker.Within
	HomeSeconds        float64       // HomeScorer.Seconds
	FreeSlots          float64       // CrowdingScorer.FreeSlots
	MinServiceSeconds  float64       // CrowdingScorer.MinServiceSeconds
	PreferredSeconds   float64       // PreferredScorer.Seconds
	GateThreshold      time.Duration // Gate.Threshold
}

// Tuning returns the weights of the profile. It fails with kind bad_request if the
// profile is unknown.
func (p Profile) Tuning() (Tuning, error) {
	t := Tuning{
		NearWithin:       time.Millisecond,
		PreferredSeconds: 0.1,
	}
	switch p {
	case ProfileLatency:
		t.CostSecondsPerUnit = 1
		t.HomeSeconds = 0.25
		t.FreeSlots = 3
		t.MinServiceSeconds = 1
		t.GateThreshold = 100 * time.Millisecond
	case ProfileCost:
		t.CostSecondsPerUnit = 20
		t.HomeSeconds = 0.75
		t.GateThreshold = 500 * time.Millisecond
	default:
		return Tuning{}, errkind.New(errkind.BadRequest, "unknown routing profile %q, want %q or %q", p, ProfileLatency, ProfileCost)
	}
	return t, nil
}

// Filters returns the filters that every policy applies.
func Filters() []Filter {
	return []Filter{
		RegionFilter{},
		HopFilter{},
		LeavingFilter{},
		LiveFilter{},
		ReachableFilter{},
		ExcludedFilter{},
		LinkFilter{},
	}
}

// Policy returns the policy with these weights.
func (t Tuning) Policy() Policy {
	return Policy{
		Filters: Filters(),
		Scorers: []Scorer{
			LatencyScorer{Weight: 1},
			PreferredScorer{Seconds: t.PreferredSeconds},
			CostScorer{SecondsPerUnit: t.CostSecondsPerUnit},
			HomeScorer{Seconds: t.HomeSeconds},
			CrowdingScorer{FreeSlots: t.FreeSlots, MinServiceSeconds: t.MinServiceSeconds},
		},
		Picker: NearPicker{Within: t.NearWithin},
		Gate:   &Gate{Threshold: t.GateThreshold},
	}
}
