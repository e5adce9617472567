package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// ScorePart is one scorer's contribution to the score of a candidate.
type ScorePart struct {
	Scorer  string
	Seconds float64
}

// CandidateExplanation explains how one candidate was rated or why it was rejected.
type CandidateExplanation struct {
	// Upstream is empty for a remote failure domain.
	Upstream domain.UpstreamID
	Place    domain.Place
	// Filter and Reason are the filter that rejected the candidate and its reason;
	// empty if the candidate was retained.
	Filter string
	Reason Reason
	// Score is the sum of Parts, FirstToken the predicted time to first token and
	// Load the ratio of requests to usable slots.
	Score      float64
	Parts      []ScorePart
	FirstToken time.Duration
	Load       float64
	Chosen     bool
}

// Explanation is a decision with the details of every candidate.
type Explanation struct {
	Decision   Decision
	Picker     string
	Candidates []CandidateExplanation
}

// Explain makes the same decision as Decide and records every candidate. Unlike
// Decide it allocates.
func (r *Router) Explain(s *Snapshot, req *Request, now time.Time) Explanation {
	v := new(View)
	n := &explainRecorder{snapshot: s, byCandidate: make(map[*Candidate]*CandidateExplanation)}
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

// explainRecorder collects the candidate notes of an Explanation.
type explainRecorder struct {
	snapshot    *Snapshot
	byCandidate map[*Candidate]*CandidateExplanation
	notes       []*CandidateExplanation
}

// noteFor returns the note of a candidate and creates it if it is missing.
func (n *explainRecorder) noteFor(c *Candidate) *CandidateExplanation {
	if note, ok := n.byCandidate[c]; ok {
		return note
	}
	note := &CandidateExplanation{Place: n.snapshot.place}
	if c.isRemote() {
		note.Place = n.snapshot.domains[c.Domain].Place
	} else {
		note.Upstream = n.snapshot.upstreams[c.Upstream].Ref.ID
	}
	n.byCandidate[c] = note
	n.notes = append(n.notes, note)
	return note
}

// recordRejected implements recorder.
func (n *explainRecorder) recordRejected(c *Candidate, filter string, reason Reason) {
	note := n.noteFor(c)
	note.Filter = filter
	note.Reason = reason
}

// recordScores implements recorder. The contribution of a scorer is the score's
// increase since the previous scorer.
func (n *explainRecorder) recordScores(scorer string, all []Scored) {
	for i := range all {
		note := n.noteFor(all[i].Candidate)
		note.Parts = append(note.Parts, ScorePart{Scorer: scorer, Seconds: all[i].Score - note.Score})
		note.Score = all[i].Score
	}
}

// finish fills in the prediction, and whether the candidate was chosen.
func (n *explainRecorder) finish(s *Scored, d Decision) {
	note := n.noteFor(s.Candidate)
	note.FirstToken = time.Duration(s.FirstToken * float64(time.Second))
	note.Load = s.Load
	note.Chosen = d.Action != ActionRefuse && s.Candidate.Upstream == d.Upstream && s.Candidate.Domain == d.Domain
}

// withoutTarget returns notes on the local upstreams that do not serve t.
func (s *Snapshot) withoutTarget(t domain.Target) []CandidateExplanation {
	serving := make(map[int32]bool)
	if i, ok := s.targets[t]; ok {
		for j := range s.lists[i].candidates {
			serving[s.lists[i].candidates[j].Upstream] = true
		}
	}
	var notes []CandidateExplanation
	for i := range s.upstreams {
		if !serving[int32(i)] {
			notes = append(notes, CandidateExplanation{Upstream: s.upstreams[i].Ref.ID, Place: s.place, Filter: "target", Reason: ReasonNotLoaded})
		}
	}
	return notes
}
