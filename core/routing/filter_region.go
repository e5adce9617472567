package routing

// RegionFilter rejects candidates in regions that the plan does not allow.
type RegionFilter struct{}

// Name implements Filter.
func (RegionFilter) Name() string { return "region" }

// Check implements Filter.
func (RegionFilter) Check(v *View, c *Candidate) Reason {
	if !v.Request.Allowed.has(c.region) {
		return ReasonRegion
	}
	return Retained
}
