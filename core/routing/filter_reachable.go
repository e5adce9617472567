package routing

// ReachableFilter rejects failure domains that are unreachable or have no slots.
type ReachableFilter struct{}

// Name implements Filter.
func (ReachableFilter) Name() string { return "reachable" }

// Check implements Filter.
func (ReachableFilter) Check(_ *View, c *Candidate) Reason {
	if !c.reachable {
		return ReasonUnreachable
	}
	return Retained
}
