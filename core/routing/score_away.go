package routing

// AwayScorer counts sending to another region, unless it is the request's home.
type AwayScorer struct {
	// Seconds is the delay that avoiding it is worth.
	Seconds float64
}

// Name implements Scorer.
func (AwayScorer) Name() string { return "sent_away" }

// Score implements Scorer.
func (a AwayScorer) Score(v *View) {
	own := v.Snapshot.regions.Index(v.Snapshot.own.Region)
	for i := range v.Scored {
		region := v.Scored[i].Candidate.region
		if region != own && region != v.home {
			v.Scored[i].Score += a.Seconds
		}
	}
}
