package routing

import "slices"

// ExcludedFilter rejects the upstreams and failure domains that the request was
// already sent to.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Check implements Filter.
func (ExcludedFilter) Check(v *View, c *Candidate) Reason {
	if c.isRemote() {
		if len(v.Request.ExcludedDomains) > 0 && slices.Contains(v.Request.ExcludedDomains, v.Snapshot.domains[c.Domain].Place.FailureDomain) {
			return ReasonExcluded
		}
		return Retained
	}
	if len(v.Request.ExcludedUpstreams) > 0 && slices.Contains(v.Request.ExcludedUpstreams, v.Snapshot.upstreams[c.Upstream].Ref.ID) {
		return ReasonExcluded
	}
	return Retained
}
