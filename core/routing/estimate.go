package routing

// estimate sets FirstToken and Load of every retained candidate. FirstToken sums
// the round trip, the wait for a slot, the prefill of queued prompts and the
// prefill of the uncached part of the request's prompt.
func (v *View) estimate() {
	prompt := float64(v.Request.PromptTokens)
	for i := range v.Scored {
		s := &v.Scored[i]
		c := s.Candidate
		requests, tokens := c.load()
		uncached := prompt
		if c.cached(v.Request.PrefixHash) {
			uncached = max(prompt-float64(v.Request.PrefixTokens), 0)
		}
		excess := max(requests+1-c.slots, 0)
		s.Load = requests / c.slots
		s.FirstToken = c.roundTrip + c.queueWait + excess*c.serviceSeconds(v.Request)/c.slots + (tokens/c.weight+uncached)/c.prefillRate
	}
}

// serviceSeconds returns the time for which the request occupies a slot at the
// candidate, in seconds.
func (c *Candidate) serviceSeconds(r *Request) float64 {
	return float64(r.PromptTokens)/c.prefillRate + float64(r.OutputTokens)/c.decodeRate
}
