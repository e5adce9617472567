package routing

const tokensPerMillion = 1e6

// CostScorer counts the price of the request's tokens.
type CostScorer struct {
	// SecondsPerUnit is the delay that one unit of currency is worth.
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
