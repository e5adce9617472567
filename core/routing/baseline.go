package routing

import "sync/atomic"

// Baselines returns the plain pickers that policies are measured against.
func Baselines() []Picker {
	return []Picker{RandomPicker{}, new(RoundRobinPicker), LeastInFlightPicker{}, NearestPicker{}, FastestPicker{}}
}

// BaselinePolicy returns a policy of the filters and one plain picker.
func BaselinePolicy(p Picker) Policy { return Policy{Filters: Filters(), Picker: p} }

// RandomPicker picks among all upstreams alike.
type RandomPicker struct{}

// Name implements Picker.
func (RandomPicker) Name() string { return "random" }

// Pick implements Picker.
func (RandomPicker) Pick(v *View, scored []Scored) int {
	return atWeight(scored, v.Fraction()*totalWeight(scored))
}

// RoundRobinPicker picks each upstream in turn.
type RoundRobinPicker struct{ turn atomic.Uint64 }

// Name implements Picker.
func (*RoundRobinPicker) Name() string { return "round_robin" }

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *View, scored []Scored) int {
	turn := p.turn.Add(1) % uint64(totalWeight(scored))
	return atWeight(scored, float64(turn))
}

// LeastInFlightPicker picks the lowest load relative to the slots.
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

// NearestPicker picks the shortest round trip, then the lowest load.
type NearestPicker struct{}

// Name implements Picker.
func (NearestPicker) Name() string { return "nearest" }

// Pick implements Picker.
func (NearestPicker) Pick(_ *View, scored []Scored) int {
	best := 0
	for i := range scored {
		a, b := &scored[i], &scored[best]
		near := a.Candidate.roundTrip - b.Candidate.roundTrip
		if near < 0 || (near == 0 && a.Load < b.Load) {
			best = i
		}
	}
	return best
}

// FastestPicker picks the lowest predicted time to the first token.
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

func totalWeight(scored []Scored) float64 {
	total := 0.0
	for i := range scored {
		total += scored[i].Candidate.weight
	}
	return total
}

func atWeight(scored []Scored, at float64) int {
	for i := range scored {
		at -= scored[i].Candidate.weight
		if at < 0 {
			return i
		}
	}
	return len(scored) - 1
}
