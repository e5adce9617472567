package routing

// HopFilter rejects remote failure domains for requests that were already
// forwarded, which limits forwarding to one hop.
type HopFilter struct{}

// Name implements Filter.
func (HopFilter) Name() string { return "one_hop" }

// Check implements Filter.
func (HopFilter) Check(v *View, c *Candidate) Reason {
	if v.Request.LocalOnly && c.isRemote() {
		return ReasonForwardedHop
	}
	return Retained
}
