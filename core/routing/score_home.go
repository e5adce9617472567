package routing

// HomeScorer penalizes candidates outside the plan's preferred region.
type HomeScorer struct {
	// Seconds is the penalty, in seconds of delay.
	Seconds float64
}

// Name implements Scorer.
func (HomeScorer) Name() string { return "home" }

// Score implements Scorer.
func (h HomeScorer) Score(v *View) {
	if v.home == noRegion {
		return
	}
	for i := range v.Scored {
		if v.Scored[i].Candidate.region != v.home {
			v.Scored[i].Score += h.Seconds
		}
	}
}
