package routing

// AffinityScorer draws requests with one prompt prefix to one own upstream, the
// highest by rendezvous hashing whose load is within Bound times the mean. It
// rests while an upstream within that bound has the prefix cached: the predicted
// time draws there already.
type AffinityScorer struct {
	// Bound is the largest load relative to the mean, at least 1.
	Bound float64
	// Share of the prefix's prefill time that the draw is worth, 0 to 1.
	Share float64
}

// loadSlack is the load, over slots, that an owner may always have.
const loadSlack = 0.25

// Name implements Scorer.
func (AffinityScorer) Name() string { return "prefix_affinity" }

// Score implements Scorer.
func (a AffinityScorer) Score(v *View) {
	if v.Request.PrefixHash == 0 || v.Local == 0 {
		return
	}
	owner := a.owner(v.Scored[:v.Local], v.Request.PrefixHash)
	if owner < 0 {
		return
	}
	s := &v.Scored[owner]
	s.Score -= a.Share * float64(v.Request.PrefixTokens) / s.Candidate.prefill
}

func (a AffinityScorer) owner(scored []Scored, prefix uint64) int {
	total := 0.0
	for i := range scored {
		total += scored[i].Load
	}
	bound := a.Bound*total/float64(len(scored)) + loadSlack
	owner, best := -1, uint64(0)
	for i := range scored {
		if scored[i].Cached && scored[i].Load <= bound {
			return -1
		}
		if h := Rendezvous(prefix, scored[i].Candidate.key); scored[i].Load <= bound && h >= best {
			owner, best = i, h
		}
	}
	return owner
}
