package routing

import "time"

// NearPicker takes the candidates whose score is close to the best, draws two of
// them and picks the less loaded, so that nodes with equally old readings do not
// all choose the same.
type NearPicker struct {
	// Within is how far from the best a score may be.
	Within time.Duration
}

// Name implements Picker.
func (NearPicker) Name() string { return "two_near_best" }

// Pick implements Picker.
func (p NearPicker) Pick(v *View, scored []Scored) int {
	best := lowest(scored)
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

func lowest(scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Score < scored[best].Score {
			best = i
		}
	}
	return best
}

func countNear(scored []Scored, limit float64) int {
	n := 0
	for i := range scored {
		if scored[i].Score <= limit {
			n++
		}
	}
	return n
}

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
