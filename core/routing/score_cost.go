package routing

const tokensPerMillion = 1e6

// CostScorer adds the price of the request's tokens.
type CostScorer struct {
	// SecondsPerUnit converts one unit of currency to seconds of delay.
	SecondsPerUnit float64
}

// Name implements Scorer.
func (CostScorer) Name() string { return "cost" }

// Score implements Scorer.
func (s CostScorer) Score(v *View) {
	millions := float64(v.Request.PromptTokens+v.Request.OutputTokens) / tokensPerMillion
	for i := range v.Scored {
		v.Scored[i].Score += s.SecondsPerUnit * millions * v.Scored[i].Candidate.cost
	}
}
