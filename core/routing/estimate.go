package routing

// estimate fills FirstToken and Load of every kept candidate: the round trip,
// the wait for a slot, the prompts ahead and the uncached part of the own prompt.
func (v *View) estimate() {
	prompt := float64(v.Request.PromptTokens)
	output := float64(v.Request.OutputTokens)
	for i := range v.Scored {
		s := &v.Scored[i]
		c := s.Candidate
		requests, tokens := c.load()
		uncached := prompt
		if c.cached(v.Request.PrefixHash) {
			uncached = max(prompt-float64(v.Request.PrefixTokens), 0)
		}
		service := prompt/c.prefill + output/c.decode
		excess := max(requests+1-c.slots, 0)
		s.Load = requests / c.slots
		s.FirstToken = c.roundTrip + c.wait + excess*service/c.slots + (tokens/c.weight+uncached)/c.prefill
	}
}
