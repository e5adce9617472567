package routing

// LatencyScorer adds the predicted time to first token, multiplied by Weight.
type LatencyScorer struct{ Weight float64 }

// Name implements Scorer.
func (LatencyScorer) Name() string { return "first_token" }

// Score implements Scorer.
func (l LatencyScorer) Score(v *View) {
	for i := range v.Scored {
		v.Scored[i].Score += l.Weight * v.Scored[i].FirstToken
	}
}
