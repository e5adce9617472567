package routing

// HopFilter drops other failure domains for requests that were forwarded.
type HopFilter struct{}

// Name implements Filter.
func (HopFilter) Name() string { return "one_hop" }

// Check implements Filter.
func (HopFilter) Check(v *View, c *Candidate) Reason {
	if v.Request.LocalOnly && c.away() {
		return ReasonForwardedHop
	}
	return Kept
}
