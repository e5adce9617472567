package routing

// responseBytesPerToken is the size of a server-sent event that carries one token.
const responseBytesPerToken = 220

// LinkFilter rejects failure domains whose link does not have enough budget left
// for the request and its response.
type LinkFilter struct{}

// Name implements Filter.
func (LinkFilter) Name() string { return "link_budget" }

// Check implements Filter.
func (LinkFilter) Check(v *View, c *Candidate) Reason {
	if c.link == nil || c.link.Remaining(v.Now) >= int64(EstimateLinkBytes(v.Request)) {
		return Retained
	}
	return ReasonLinkBudget
}

// EstimateLinkBytes estimates how many bytes forwarding the request sends over the
// link, response included.
func EstimateLinkBytes(r *Request) int { return r.BodyBytes + r.OutputTokens*responseBytesPerToken }
