package routing

import "time"

// NearPicker draws two random candidates among those whose score is close to the
// best and picks the less loaded one (power of two choices). Nodes with equally
// old load samples therefore do not all choose the same candidate.
type NearPicker struct {
	// Within is the maximum difference to the best score.
	Within time.Duration
}

// Name implements Picker.
func (NearPicker) Name() string { return "two_near_best" }

// Pick implements Picker.
func (p NearPicker) Pick(v *View, scored []Scored) int {
	best := lowestScore(scored)
	limit := scored[best].Score + p.Within.Seconds()
	near := countNear(scored, limit)
	if near < 2 {
		return best
	}
	first := v.Uniform(near)
	second := v.Uniform(near - 1)
	if second >= first {
		second++
	}
	a, b := nthNear(scored, limit, first), nthNear(scored, limit, second)
	if scored[b].Load < scored[a].Load {
		return b
	}
	return a
}

// lowestScore returns the index of the candidate with the lowest score.
func lowestScore(scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Score < scored[best].Score {
			best = i
		}
	}
	return best
}

// countNear returns the number of candidates with a score of at most limit.
func countNear(scored []Scored, limit float64) int {
	n := 0
	for i := range scored {
		if scored[i].Score <= limit {
			n++
		}
	}
	return n
}

// nthNear returns the index of the n-th candidate, counted from zero, with a score
// of at most limit.
func nthNear(scored []Scored, limit float64, n int) int {
	for i := range scored {
		if scored[i].Score > limit {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}
