package routing

// estimate fills FirstToken and Load of every kept candidate: the round trip,
// the wait for a slot, the prompts ahead and the uncached part of the own prompt.
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
		s.FirstToken = c.roundTrip + c.wait + excess*c.service(v.Request)/c.slots + (tokens/c.weight+uncached)/c.prefill
	}
}

// service is the time, in seconds, for which a request holds a slot there.
func (c *Candidate) service(r *Request) float64 {
	return float64(r.PromptTokens)/c.prefill + float64(r.OutputTokens)/c.decode
}
