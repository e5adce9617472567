package routing

// PreferredScorer penalizes local upstreams that another node of the failure
// domain prefers, because requests recently sent by that node are not yet visible.
type PreferredScorer struct {
	// Seconds is the penalty, in seconds of delay.
	Seconds float64
}

// Name implements Scorer.
func (PreferredScorer) Name() string { return "preferred" }

// Score implements Scorer.
func (p PreferredScorer) Score(v *View) {
	for i := range v.Scored[:v.Local] {
		if !v.Scored[i].Candidate.preferred {
			v.Scored[i].Score += p.Seconds
		}
	}
}
