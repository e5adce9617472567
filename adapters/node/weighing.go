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
	// weighingsPerSecond bounds the decisions that are explained in full, and
	// weighingBurst how many of them may come at once.
	weighingsPerSecond = 50
	weighingBurst      = 100
	// maxWeighed is the number of candidates that an explanation names.
	maxWeighed = 6
)

func newWeighingBudget() *rate.Limiter { return rate.NewLimiter(weighingsPerSecond, weighingBurst) }

// weighing explains a decision: the best candidates with their scores, and how
// many others were dropped for which reason. It is empty when the budget for
// explanations is used up.
func (n *Node) weighing(s *routing.Snapshot, r *routing.Request, now time.Time) string {
	if !n.weighings.AllowN(now, 1) {
		return ""
	}
	e := n.router.Explain(s, r, now)
	var kept []routing.CandidateNote
	dropped := make(map[routing.Reason]int)
	for _, c := range e.Candidates {
		if c.Filter != "" {
			dropped[c.Reason]++
			continue
		}
		kept = append(kept, c)
	}
	slices.SortStableFunc(kept, func(a, b routing.CandidateNote) int { return cmp.Compare(a.Score, b.Score) })
	parts := make([]string, 0, maxWeighed+len(dropped))
	for _, c := range kept[:min(len(kept), maxWeighed)] {
		parts = append(parts, candidateText(c))
	}
	if len(kept) > maxWeighed {
		parts = append(parts, fmt.Sprintf("%d more", len(kept)-maxWeighed))
	}
	for _, reason := range slices.Sorted(maps.Keys(dropped)) {
		parts = append(parts, fmt.Sprintf("%d %s", dropped[reason], reason))
	}
	return "; weighed: " + strings.Join(parts, ", ")
}

func candidateText(c routing.CandidateNote) string {
	name := string(c.Upstream)
	if name == "" {
		name = string(c.Place.FailureDomain)
	}
	return fmt.Sprintf("%s score %.3f s load %.2f", name, c.Score, c.Load)
}
