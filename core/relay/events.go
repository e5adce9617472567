package relay

// eventCounter counts the events of a stream across the chunks in which it arrives. Lines
// end with CR, LF or both; an event ends with an empty line.
type eventCounter struct {
	// complete is the number of complete events.
	complete int
	// open is set while an event has begun and not ended.
	open bool
	// inLine is set while the current line has a byte, inComment while it is a comment.
	inLine, inComment bool
	// afterCR is set if the last byte was a CR, which a LF may follow as part of the same line
	// end; emptyLine if it ended an empty line.
	afterCR, emptyLine bool
}

// add processes the next bytes of the stream. It returns the offset after the last empty
// line, which is zero if none ends in b.
func (c *eventCounter) add(b []byte) (end int) {
	for i, x := range b {
		switch {
		case x == '\n' && c.afterCR:
			c.afterCR = false
		case x == '\n' || x == '\r':
			c.afterCR = x == '\r'
			c.endLine()
		default:
			c.inComment = c.inComment || !c.inLine && x == ':'
			c.inLine, c.afterCR, c.emptyLine = true, false, false
			c.open = c.open || !c.inComment
		}
		if c.emptyLine {
			end = i + 1
		}
	}
	return end
}

func (c *eventCounter) endLine() {
	c.emptyLine = !c.inLine
	if c.emptyLine && c.open {
		c.complete++
		c.open = false
	}
	c.inLine, c.inComment = false, false
}
