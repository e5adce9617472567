package routing

// CrowdingScorer counts the slots that a request would take beyond those that are
// kept free. Counts of other nodes' requests are old and arrivals are uneven, so
// that a place whose slots are nearly all taken may be full by now.
type CrowdingScorer struct {
	// FreeSlots is the number of slots that are kept free at each place, at most
	// half of those beyond the first; zero switches the scorer off.
	FreeSlots float64
	// MinServiceSeconds is the least time for which a request counts as holding a
	// slot: those ahead may be longer than the one at hand.
	MinServiceSeconds float64
}

// Name implements Scorer.
func (CrowdingScorer) Name() string { return "crowding" }

// Score implements Scorer.
func (s CrowdingScorer) Score(v *View) {
	if s.FreeSlots == 0 {
		return
	}
	for i := range v.Scored {
		c := v.Scored[i].Candidate
		free := max(min(s.FreeSlots, (c.slots-1)/2), 0) / c.slots
		taken := v.Scored[i].Load + 1/c.slots
		held := max(c.service(v.Request), s.MinServiceSeconds)
		v.Scored[i].Score += max(taken+free-1, 0) * held
	}
}
