package relay

import (
	"bytes"
	"errors"
	"io"
)

// delivery passes an answer on to the caller, over several attempts if the
// stream is resumed.
type delivery struct {
	sink   Sink
	events *eventCutter // nil unless the stream may be resumed
	begun  bool
}

// callerError marks failures of the caller's connection.
type callerError struct{ err error }

func (e callerError) Error() string { return "caller's connection: " + e.err.Error() }
func (e callerError) Unwrap() error { return e.err }

func (d *delivery) begin(h Head) error {
	if d.begun {
		return nil
	}
	d.begun = true
	if err := d.sink.Begin(h); err != nil {
		return callerError{err}
	}
	return nil
}

func (d *delivery) write(b []byte) error {
	if d.events != nil {
		b = d.events.whole(b)
	}
	if d.events != nil && len(d.events.partial) > maxPartialEvent {
		return errEventTooLarge
	}
	if len(b) == 0 {
		return nil
	}
	if err := d.sink.Write(b); err != nil {
		return callerError{err}
	}
	return nil
}

// resumeAfter returns the last event that the caller has.
func (d *delivery) resumeAfter(initial string) string {
	if d.events == nil || d.events.lastID == "" {
		return initial
	}
	return d.events.lastID
}

// complete tells if the answer may end here: a stream must not end within an
// event.
func (d *delivery) complete() error {
	if d.events != nil && len(bytes.TrimSpace(d.events.partial)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// eventCutter passes on whole events only, so that a stream can go on elsewhere
// behind the last one.
type eventCutter struct {
	partial []byte
	out     []byte
	lastID  string
}

// maxPartialEvent bounds an event that is held back until it is whole.
const maxPartialEvent = 1 << 20

var errEventTooLarge = errors.New("event exceeds 1 MiB")

// restart drops the bytes of an event that the last upstream did not finish.
func (c *eventCutter) restart() { c.partial = c.partial[:0] }

// whole returns the bytes up to the end of the last whole event.
func (c *eventCutter) whole(b []byte) []byte {
	c.partial = append(c.partial, b...)
	end := lastEventEnd(c.partial)
	if end == 0 {
		return nil
	}
	c.out = append(c.out[:0], c.partial[:end]...)
	c.partial = append(c.partial[:0], c.partial[end:]...)
	if id := lastEventID(c.out); id != "" {
		c.lastID = id
	}
	return c.out
}

// lastEventEnd returns the offset behind the last blank line.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// lastEventID returns the value of the last id field.
func lastEventID(b []byte) string {
	at := bytes.LastIndex(b, []byte("\nid:"))
	switch {
	case at >= 0:
		at++
	case bytes.HasPrefix(b, []byte("id:")):
		at = 0
	default:
		return ""
	}
	line := b[at+len("id:"):]
	if i := bytes.IndexByte(line, '\n'); i >= 0 {
		line = line[:i]
	}
	return string(bytes.TrimSpace(line))
}
