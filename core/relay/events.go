package relay

// eventCounter counts the events of a stream across the chunks in which it arrives.
type eventCounter struct {
	// complete is the number of complete events.
	complete int
	// open is set while an event has begun and not ended.
	open bool
	// inLine is set while the current line has a byte, inComment while it is a comment.
	inLine, inComment bool
}

// add processes the next bytes of the stream.
func (c *eventCounter) add(b []byte) {
	for _, x := range b {
		switch {
		case x == '\r':
		case x == '\n':
			if !c.inLine && c.open {
				c.complete++
				c.open = false
			}
			c.inLine, c.inComment = false, false
		default:
			c.inComment = c.inComment || !c.inLine && x == ':'
			c.inLine = true
			c.open = c.open || !c.inComment
		}
	}
}
