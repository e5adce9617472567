package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Part is what one scorer added for a candidate, in seconds.
type Part struct {
	Scorer  string
	Seconds float64
}

// CandidateNote says what became of one candidate.
type CandidateNote struct {
	// Upstream is empty for another failure domain.
	Upstream domain.UpstreamID
	Place    domain.Place
	// Filter and Reason are empty if the candidate was kept.
	Filter string
	Reason Reason
	// Score sums Parts; FirstToken is the prediction; Load is over usable slots.
	Score      float64
	Parts      []Part
	FirstToken time.Duration
	Load       float64
	Chosen     bool
}

// Explanation is a decision with its reasons.
type Explanation struct {
	Decision   Decision
	Picker     string
	Candidates []CandidateNote
}

// Explain decides like Decide and notes every candidate. It allocates.
func (r *Router) Explain(s *Snapshot, req *Request, now time.Time) Explanation {
	v := new(View)
	n := &noter{snapshot: s, byCandidate: make(map[*Candidate]*CandidateNote)}
	d := r.decide(v, s, req, now, n)
	e := Explanation{Decision: d, Picker: r.policy.Picker.Name()}
	for i := range v.Scored {
		n.finish(&v.Scored[i], d)
	}
	for _, note := range n.notes {
		e.Candidates = append(e.Candidates, *note)
	}
	e.Candidates = append(e.Candidates, s.withoutTarget(req.Target)...)
	return e
}

type noter struct {
	snapshot    *Snapshot
	byCandidate map[*Candidate]*CandidateNote
	notes       []*CandidateNote
}

func (n *noter) note(c *Candidate) *CandidateNote {
	if note, ok := n.byCandidate[c]; ok {
		return note
	}
	note := &CandidateNote{Place: n.snapshot.own}
	if c.away() {
		note.Place = n.snapshot.domains[c.Domain].Place
	} else {
		note.Upstream = n.snapshot.upstreams[c.Upstream].Ref.ID
	}
	n.byCandidate[c] = note
	n.notes = append(n.notes, note)
	return note
}

func (n *noter) dropped(c *Candidate, filter string, why Reason) {
	note := n.note(c)
	note.Filter = filter
	note.Reason = why
}

func (n *noter) scored(scorer string, all []Scored) {
	for i := range all {
		note := n.note(all[i].Candidate)
		note.Parts = append(note.Parts, Part{Scorer: scorer, Seconds: all[i].Score - note.Score})
		note.Score = all[i].Score
	}
}

func (n *noter) finish(s *Scored, d Decision) {
	note := n.note(s.Candidate)
	note.FirstToken = time.Duration(s.FirstToken * float64(time.Second))
	note.Load = s.Load
	note.Chosen = d.Action != ActionRefuse && s.Candidate.Upstream == d.Upstream && s.Candidate.Domain == d.Domain
}

func (s *Snapshot) withoutTarget(t domain.Target) []CandidateNote {
	serving := make(map[int32]bool)
	if i, ok := s.targets[t]; ok {
		for j := range s.lists[i].candidates {
			serving[s.lists[i].candidates[j].Upstream] = true
		}
	}
	var notes []CandidateNote
	for i := range s.upstreams {
		if !serving[int32(i)] {
			notes = append(notes, CandidateNote{Upstream: s.upstreams[i].Ref.ID, Place: s.own, Filter: "target", Reason: ReasonNotLoaded})
		}
	}
	return notes
}
