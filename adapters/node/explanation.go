package node

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocusspread/crocusspread/core/routing"
)

const (
	// explanationRate is the maximum rate per second of decisions explained in full,
	// explanationBurst their number in a burst.
	explanationRate  = 50
	explanationBurst = 100
	// maxExplained is the maximum number of candidates listed in an explanation.
	maxExplained = 6
)

// newExplanationLimiter returns the rate limiter for explanations.
func newExplanationLimiter() *rate.Limiter { return rate.NewLimiter(explanationRate, explanationBurst) }

// explanation explains a decision: it lists the best candidates with their scores, and
// the number of rejected candidates for each reason. It is empty while the rate limit
// for explanations is exceeded.
func (n *Node) explanation(s *routing.Snapshot, r *routing.Request, now time.Time) string {
	if !n.explanationLimiter.AllowN(now, 1) {
		return ""
	}
	e := n.router.Explain(s, r, now)
	var accepted []routing.CandidateExplanation
	rejected := make(map[routing.Reason]int)
	for _, c := range e.Candidates {
		if c.Filter != "" {
			rejected[c.Reason]++
			continue
		}
		accepted = append(accepted, c)
	}
	slices.SortStableFunc(accepted, func(a, b routing.CandidateExplanation) int { return cmp.Compare(a.Score, b.Score) })
	parts := make([]string, 0, maxExplained+len(rejected))
	for _, c := range accepted[:min(len(accepted), maxExplained)] {
		parts = append(parts, candidateText(c))
	}
	if len(accepted) > maxExplained {
		parts = append(parts, fmt.Sprintf("%d more", len(accepted)-maxExplained))
	}
	for _, reason := range slices.Sorted(maps.Keys(rejected)) {
		parts = append(parts, fmt.Sprintf("%d %s", rejected[reason], reason))
	}
	return "; candidates: " + strings.Join(parts, ", ")
}

// candidateText formats a candidate with its score and load.
func candidateText(c routing.CandidateExplanation) string {
	name := string(c.Upstream)
	if name == "" {
		name = string(c.Place.FailureDomain)
	}
	return fmt.Sprintf("%s score %.3f s load %.2f", name, c.Score, c.Load)
}
