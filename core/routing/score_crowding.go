package routing

// CrowdingScorer penalizes requests that would occupy the slots reserved at a
// candidate. The counts of other nodes' requests are outdated and arrivals are
// bursty, so a candidate whose slots are nearly all occupied may already be full.
type CrowdingScorer struct {
	// FreeSlots is the number of slots reserved at each candidate, at most half of
	// those beyond the first; zero disables the scorer.
	FreeSlots float64
	// MinServiceSeconds is the minimum time for which a request is assumed to
	// occupy a slot: requests ahead of it may be longer than the request itself.
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
		reserved := max(min(s.FreeSlots, (c.slots-1)/2), 0) / c.slots
		occupied := v.Scored[i].Load + 1/c.slots
		holdSeconds := max(c.serviceSeconds(v.Request), s.MinServiceSeconds)
		v.Scored[i].Score += max(occupied+reserved-1, 0) * holdSeconds
	}
}
