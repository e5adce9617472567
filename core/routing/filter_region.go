package routing

// RegionFilter drops candidates in regions that the plan forbids.
type RegionFilter struct{}

// Name implements Filter.
func (RegionFilter) Name() string { return "region" }

// Check implements Filter.
func (RegionFilter) Check(v *View, c *Candidate) Reason {
	if !v.Request.Allowed.has(c.region) {
		return ReasonRegion
	}
	return Kept
}
