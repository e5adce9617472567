package relay

import (
	"bytes"
	"fmt"
)

// delivery forwards an answer to the caller, over several attempts if the stream is
// resumed.
type delivery struct {
	sink    Sink
	events  *eventSplitter // nil unless the stream may be resumed
	started bool
	// written is set once the caller was sent a part of the body.
	written bool
}

// callerError marks a failure of the caller's connection.
type callerError struct{ err error }

func (e callerError) Error() string { return "caller's connection: " + e.err.Error() }
func (e callerError) Unwrap() error { return e.err }

func (d *delivery) begin(h Head) error {
	if d.started {
		return nil
	}
	d.started = true
	if err := d.sink.Begin(h); err != nil {
		return callerError{err}
	}
	return nil
}

func (d *delivery) write(b []byte) error {
	if d.events != nil {
		b = d.events.completeEvents(b)
	}
	if d.events != nil && len(d.events.partial) > maxPartialEventBytes {
		return errEventTooLarge
	}
	if len(b) == 0 {
		return nil
	}
	d.written = true
	if err := d.sink.Write(b); err != nil {
		return callerError{err}
	}
	return nil
}

// resumeAfter returns the ID of the last event delivered to the caller, or initial if
// none was delivered yet.
func (d *delivery) resumeAfter(initial string) string {
	if d.events == nil || d.events.lastID == "" {
		return initial
	}
	return d.events.lastID
}

// complete reports whether a stream that may be resumed may end here, which is not within
// an event.
func (d *delivery) complete() bool {
	return d.events == nil || len(bytes.TrimSpace(d.events.partial)) == 0
}

// eventSplitter passes on complete events only, so that a stream can be resumed at
// another upstream after the last one.
type eventSplitter struct {
	lines   eventCounter
	partial []byte
	out     []byte
	lastID  string
}

// maxPartialEventBytes is the maximum size of an event that is buffered until it is
// complete.
const maxPartialEventBytes = 128 << 10

var errEventTooLarge = fmt.Errorf("event exceeds %d bytes", maxPartialEventBytes)

// discardPartial discards the bytes of an event that the last upstream did not finish.
func (c *eventSplitter) discardPartial() { c.partial, c.lines = c.partial[:0], eventCounter{} }

// completeEvents appends b and returns the bytes up to the end of the last complete
// event.
func (c *eventSplitter) completeEvents(b []byte) []byte {
	end := c.lines.add(b)
	if end == 0 {
		c.partial = append(c.partial, b...)
		return nil
	}
	c.out = append(append(c.out[:0], c.partial...), b[:end]...)
	c.partial = append(c.partial[:0], b[end:]...)
	if id := lastEventID(c.out); id != "" {
		c.lastID = id
	}
	return c.out
}

// lastEventID returns the value of the last id field.
func lastEventID(b []byte) string {
	start := max(bytes.LastIndex(b, []byte("\nid:")), bytes.LastIndex(b, []byte("\rid:")))
	switch {
	case start >= 0:
		start++
	case bytes.HasPrefix(b, []byte("id:")):
		start = 0
	default:
		return ""
	}
	line := b[start+len("id:"):]
	if i := bytes.IndexAny(line, "\r\n"); i >= 0 {
		line = line[:i]
	}
	return string(bytes.TrimSpace(line))
}
