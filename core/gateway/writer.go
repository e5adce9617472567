package gateway

import (
	"bytes"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// trackedWriter tracks which part of an answer has been written to the caller, so that a
// further attempt continues after it and never repeats it.
type trackedWriter struct {
	w                answer.Writer
	head             answer.Head
	started          bool
	startedAt        time.Time
	now              func() time.Time
	timeToFirstChunk time.Duration
	chunks           uint64
	events           uint64
	bytes            int64
}

func newTrackedWriter(w answer.Writer, startedAt time.Time, now func() time.Time) *trackedWriter {
	return &trackedWriter{w: w, startedAt: startedAt, now: now}
}

// WriteHead implements answer.Writer. It drops the head of a resumed answer, and fails if what follows
// is not the rest of the answer that has begun.
func (t *trackedWriter) WriteHead(h answer.Head) error {
	if t.started && h.Status != t.head.Status {
		return errkind.New(errkind.UpstreamFailed, "answered %d instead of the rest of the answer", h.Status)
	}
	if t.started {
		return nil
	}
	t.started = true
	t.head = h
	return t.w.WriteHead(h)
}

// WriteChunk implements answer.Writer.
func (t *trackedWriter) WriteChunk(p []byte) error {
	if t.chunks == 0 {
		t.timeToFirstChunk = t.now().Sub(t.startedAt)
	}
	if err := t.w.WriteChunk(p); err != nil {
		return err
	}
	t.chunks++
	t.events += countEvents(p)
	t.bytes += int64(len(p))
	return nil
}

var eventEnd = []byte("\n\n")

// countEvents returns the number of server-sent events that end in p.
func countEvents(p []byte) uint64 { return uint64(bytes.Count(p, eventEnd)) }
