package routing

// PreferredScorer counts own upstreams that other nodes of the domain take first:
// what those nodes sent there lately is not known yet.
type PreferredScorer struct {
	// Seconds is the delay that avoiding them is worth.
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
