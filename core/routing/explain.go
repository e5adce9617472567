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

// CandidateExplanation explains how one candidate was scored or why it was rejected.
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
	rec := &explainRecorder{snapshot: s, byCandidate: make(map[*Candidate]*CandidateExplanation)}
	d := r.decide(v, s, req, now, rec)
	e := Explanation{Decision: d, Picker: r.policy.Picker.Name()}
	for i := range v.Scored {
		rec.finish(&v.Scored[i], d)
	}
	for _, explanation := range rec.explanations {
		e.Candidates = append(e.Candidates, *explanation)
	}
	e.Candidates = append(e.Candidates, s.withoutTarget(req.Target)...)
	return e
}

// explainRecorder collects the candidates of an Explanation.
type explainRecorder struct {
	snapshot     *Snapshot
	byCandidate  map[*Candidate]*CandidateExplanation
	explanations []*CandidateExplanation
}

// explanationFor returns the explanation of a candidate and creates it if it is missing.
func (rec *explainRecorder) explanationFor(c *Candidate) *CandidateExplanation {
	if explanation, ok := rec.byCandidate[c]; ok {
		return explanation
	}
	explanation := &CandidateExplanation{Place: rec.snapshot.place}
	if c.isRemote() {
		explanation.Place = rec.snapshot.domains[c.Domain].Place
	} else {
		explanation.Upstream = rec.snapshot.upstreams[c.Upstream].Ref.ID
	}
	rec.byCandidate[c] = explanation
	rec.explanations = append(rec.explanations, explanation)
	return explanation
}

// recordRejected implements recorder.
func (rec *explainRecorder) recordRejected(c *Candidate, filter string, reason Reason) {
	explanation := rec.explanationFor(c)
	explanation.Filter = filter
	explanation.Reason = reason
}

// recordScores implements recorder. The contribution of a scorer is the score's
// increase since the previous scorer.
func (rec *explainRecorder) recordScores(scorer string, all []Scored) {
	for i := range all {
		explanation := rec.explanationFor(all[i].Candidate)
		explanation.Parts = append(explanation.Parts, ScorePart{Scorer: scorer, Seconds: all[i].Score - explanation.Score})
		explanation.Score = all[i].Score
	}
}

// finish sets the predictions and whether the candidate was chosen.
func (rec *explainRecorder) finish(s *Scored, d Decision) {
	explanation := rec.explanationFor(s.Candidate)
	explanation.FirstToken = time.Duration(s.FirstToken * float64(time.Second))
	explanation.Load = s.Load
	explanation.Chosen = d.Action != ActionRefuse && s.Candidate.Upstream == d.Upstream && s.Candidate.Domain == d.Domain
}

// withoutTarget returns explanations for the local upstreams that do not serve t.
func (s *Snapshot) withoutTarget(t domain.Target) []CandidateExplanation {
	serving := make(map[int32]bool)
	if i, ok := s.targets[t]; ok {
		for j := range s.lists[i].candidates {
			serving[s.lists[i].candidates[j].Upstream] = true
		}
	}
	var explanations []CandidateExplanation
	for i := range s.upstreams {
		if !serving[int32(i)] {
			explanations = append(explanations, CandidateExplanation{Upstream: s.upstreams[i].Ref.ID, Place: s.place, Filter: "target", Reason: ReasonNotLoaded})
		}
	}
	return explanations
}
