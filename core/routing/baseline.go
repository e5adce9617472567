package routing

import "sync/atomic"

// Baselines returns the simple pickers that other policies are compared with.
func Baselines() []Picker {
	return []Picker{RandomPicker{}, new(RoundRobinPicker), LeastInFlightPicker{}, NearestPicker{}, FastestPicker{}}
}

// BaselinePolicy returns a policy that applies the filters and p, without
// scorers or a gate.
func BaselinePolicy(p Picker) Policy { return Policy{Filters: Filters(), Picker: p} }

// RandomPicker picks an upstream uniformly at random.
type RandomPicker struct{}

// Name implements Picker.
func (RandomPicker) Name() string { return "random" }

// Pick implements Picker.
func (RandomPicker) Pick(v *View, scored []Scored) int {
	return atWeight(scored, v.Fraction()*totalWeight(scored))
}

// RoundRobinPicker cycles through the upstreams.
type RoundRobinPicker struct{ counter atomic.Uint64 }

// Name implements Picker.
func (*RoundRobinPicker) Name() string { return "round_robin" }

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *View, scored []Scored) int {
	position := p.counter.Add(1) % uint64(totalWeight(scored))
	return atWeight(scored, float64(position))
}

// LeastInFlightPicker picks the candidate with the fewest requests per slot.
type LeastInFlightPicker struct{}

// Name implements Picker.
func (LeastInFlightPicker) Name() string { return "least_in_flight" }

// Pick implements Picker.
func (LeastInFlightPicker) Pick(_ *View, scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Load < scored[best].Load {
			best = i
		}
	}
	return best
}

// NearestPicker picks the candidate with the shortest round trip; ties go to the
// lowest load.
type NearestPicker struct{}

// Name implements Picker.
func (NearestPicker) Name() string { return "nearest" }

// Pick implements Picker.
func (NearestPicker) Pick(_ *View, scored []Scored) int {
	best := 0
	for i := range scored {
		a, b := &scored[i], &scored[best]
		roundTripDiff := a.Candidate.roundTrip - b.Candidate.roundTrip
		if roundTripDiff < 0 || (roundTripDiff == 0 && a.Load < b.Load) {
			best = i
		}
	}
	return best
}

// FastestPicker picks the candidate with the shortest predicted time to first
// token.
type FastestPicker struct{}

// Name implements Picker.
func (FastestPicker) Name() string { return "fastest" }

// Pick implements Picker.
func (FastestPicker) Pick(_ *View, scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].FirstToken < scored[best].FirstToken {
			best = i
		}
	}
	return best
}

// totalWeight returns the number of upstreams behind the candidates.
func totalWeight(scored []Scored) float64 {
	total := 0.0
	for i := range scored {
		total += scored[i].Candidate.weight
	}
	return total
}

// atWeight returns the index of the candidate at the given offset into the
// cumulative weights.
func atWeight(scored []Scored, offset float64) int {
	for i := range scored {
		offset -= scored[i].Candidate.weight
		if offset < 0 {
			return i
		}
	}
	return len(scored) - 1
}
