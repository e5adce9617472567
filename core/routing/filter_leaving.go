package routing

import "github.com/crocusspread/crocusspread/core/domain"

// LeavingFilter rejects upstreams that are leaving and accept no new requests.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Check implements Filter.
func (LeavingFilter) Check(_ *View, c *Candidate) Reason {
	if c.state == domain.UpstreamLeaving {
		return ReasonLeaving
	}
	return Retained
}
