package routing

import "github.com/crocusspread/crocusspread/core/domain"

// LiveFilter rejects upstreams that are suspect after recent failures or are gone.
type LiveFilter struct{}

// Name implements Filter.
func (LiveFilter) Name() string { return "live" }

// Check implements Filter.
func (LiveFilter) Check(_ *View, c *Candidate) Reason {
	if c.state == domain.UpstreamSuspect || c.state == domain.UpstreamGone {
		return ReasonNotLive
	}
	return Retained
}
