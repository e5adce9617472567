package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Profile names a deployment's weighing of tail latency, cost and share sent
// away.
type Profile string

const (
	// ProfileLatency weighs the tail of the time to the first token most.
	ProfileLatency Profile = "latency"
	// ProfileCost weighs cost and the share sent away most.
	ProfileCost Profile = "cost"
)

// Tuning holds the weights of a Policy.
type Tuning struct {
	CostSecondsPerUnit float64
	NearWithin         time.Duration
	HomeSeconds        float64
	FreeSlots          float64
	MinServiceSeconds  float64
	PreferredSeconds   float64
	GateThreshold      time.Duration
}

// Tuning returns the weights of the profile; kind bad_request if unknown.
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
		return Tuning{}, errkind.New(errkind.BadRequest, "routing profile %q is neither %q nor %q", p, ProfileLatency, ProfileCost)
	}
	return t, nil
}

// Filters returns the filters that every policy has.
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
