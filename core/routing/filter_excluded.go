package routing

import "slices"

// ExcludedFilter drops what the request was already tried on.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Check implements Filter.
func (ExcludedFilter) Check(v *View, c *Candidate) Reason {
	if c.away() {
		if len(v.Request.ExcludedDomains) > 0 && slices.Contains(v.Request.ExcludedDomains, v.Snapshot.domains[c.Domain].Place.FailureDomain) {
			return ReasonExcluded
		}
		return Kept
	}
	if len(v.Request.ExcludedUpstreams) > 0 && slices.Contains(v.Request.ExcludedUpstreams, v.Snapshot.upstreams[c.Upstream].Ref.ID) {
		return ReasonExcluded
	}
	return Kept
}
