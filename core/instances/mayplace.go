package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/placement"
)

// MayPlace reports whether Place would find an upstream or a region for a request, except an upstream that is silent
// itself. It reserves nothing.
func (p *Pool) MayPlace(now time.Time, policy placement.Policy, q *Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, sharedTokens, shared := q.SharedPrompt()
	var candidates []placement.Candidate
	if q.LocalAllowed {
		candidates = p.listCandidates(now, q)
		for i, u := range p.upstreams {
			candidates[i].Usable = candidates[i].Usable && !u.silent(now)
		}
	}
	if p.tracksMemory() {
		p.markHeld(now, q, candidates)
	}
	if shared {
		p.markCached(now, q, candidates, key, sharedTokens)
	}
	d := policy.Choose(&q.Request, p.performance(), candidates, q.OtherRegions)
	return d.Choice == placement.Local || d.Choice == placement.Remote
}
