package routing

// answerBytesPerToken is the size of one token as a server-sent event.
const answerBytesPerToken = 220

// LinkFilter drops failure domains whose link has no budget left for the request
// and its answer.
type LinkFilter struct{}

// Name implements Filter.
func (LinkFilter) Name() string { return "link_budget" }

// Check implements Filter.
func (LinkFilter) Check(v *View, c *Candidate) Reason {
	if c.link == nil || c.link.Left(v.Now) >= int64(LinkBytes(v.Request)) {
		return Kept
	}
	return ReasonLinkBudget
}

// LinkBytes estimates what forwarding the request costs its link, in bytes.
func LinkBytes(r *Request) int { return r.BodyBytes + r.OutputTokens*answerBytesPerToken }
