package upstream

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const (
	initialEventBytes = 2 << 10
	maxEventBytes     = 4 << 20
	drainTimeout      = 50 * time.Millisecond
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// sseReader splits a byte stream into complete server-sent events without an
// allocation for each. It skips blocks without data, such as keep-alive comments.
type sseReader struct {
	src io.Reader
	buf []byte
	// start, line and end are offsets into buf: the beginning of the next chunk, the
	// beginning of the next line to scan and the end of the received bytes.
	start, line, end int
	hasData, isDone  bool // state of the event being read
	done             bool // the terminal event was read
	failed           error
	events           uint64
}

// next returns one or more complete events. It returns io.EOF only after the
// terminal event, and io.ErrUnexpectedEOF if src ends before it.
func (r *sseReader) next() ([]byte, error) {
	for {
		if chunk := r.scan(); len(chunk) > 0 {
			return chunk, nil
		}
		if r.done {
			return nil, io.EOF
		}
		if r.failed != nil {
			return nil, r.failed
		}
		r.fill()
	}
}

// scan returns the complete events in the buffer, up to the next block to skip.
func (r *sseReader) scan() []byte {
	begin := r.start
	for !r.done {
		i := bytes.IndexByte(r.buf[r.line:r.end], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(r.buf[r.line:r.line+i], []byte{'\r'})
		r.line += i + 1
		if len(line) > 0 {
			r.classify(line)
			continue
		}
		if !r.hasData && r.start > begin {
			chunk := r.buf[begin:r.start]
			r.start = r.line
			return chunk
		}
		if !r.hasData {
			begin = r.line
		}
		r.endEvent()
	}
	return r.buf[begin:r.start]
}

// classify updates the state of the current event from one of its lines.
func (r *sseReader) classify(line []byte) {
	value, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return
	}
	r.isDone = !r.hasData && bytes.Equal(bytes.TrimSpace(value), doneMarker)
	r.hasData = true
}

// endEvent completes the current event at its blank line.
func (r *sseReader) endEvent() {
	r.start = r.line
	if r.isDone {
		r.done = true
	} else if r.hasData {
		r.events++
	}
	r.hasData, r.isDone = false, false
}

// fill reads more bytes into the buffer after those of an incomplete event.
func (r *sseReader) fill() {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.line -= r.start
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) && !r.grow() {
		return
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	r.failed = err
}

func (r *sseReader) grow() bool {
	size := max(initialEventBytes, 2*len(r.buf))
	if size > maxEventBytes {
		r.failed = errkind.New(errkind.UpstreamFailed, "server-sent event exceeds %d bytes", maxEventBytes)
		return false
	}
	buf := make([]byte, size)
	copy(buf, r.buf[:r.end])
	r.buf = buf
	return true
}

// EventStream is a streamed generation.
type EventStream struct {
	x         *exchange
	up        domain.UpstreamRef
	r         sseReader
	failed    error
	abandoned func() // called if the stream is closed before its end
}

// Head implements answer.Stream.
func (s *EventStream) Head() answer.Head { return s.x.head(s.up) }

// Next implements answer.Stream. A chunk is one or more complete events.
func (s *EventStream) Next() ([]byte, error) {
	if s.failed != nil {
		return nil, s.failed
	}
	chunk, err := s.r.next()
	if err == nil {
		return chunk, nil
	}
	s.failed = s.classify(err)
	return nil, s.failed
}

func (s *EventStream) classify(err error) error {
	if err == io.EOF {
		return io.EOF
	}
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return typed
	}
	return s.x.bodyError(err)
}

// Events returns the number of events returned so far, without the terminal event.
// It is the value of ResumeAfter with which to resume the stream.
func (s *EventStream) Events() uint64 { return s.r.events }

// Close implements answer.Stream. Closing a stream that has neither ended nor failed
// also cancels the generation on the engine. After a failure the generation is not
// canceled, because it may be resumed.
func (s *EventStream) Close() error {
	if s.r.done {
		s.drain()
	}
	s.x.close()
	if s.failed == nil && !s.r.done && s.abandoned != nil {
		s.abandoned()
	}
	if s.failed == nil {
		s.failed = errClosed
	}
	return nil
}

// drain reads the body to its end after the terminal event, so that the connection
// can be reused.
func (s *EventStream) drain() {
	if s.r.failed != nil {
		return // the end was already read with the terminal event
	}
	s.x.progress = drainTimeout
	var rest [64]byte
	_, _ = s.x.Read(rest[:]) // the read only needs to reach the end of the body
}
