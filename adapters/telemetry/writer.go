package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer writes log lines to an output without ever blocking the caller. Lines above
// the limit per second, and lines that the output does not accept in time, are
// dropped and counted; the count is written to the output once a second.
type Writer struct {
	queue   chan []byte
	output  io.Writer
	limit   int64
	dropped atomic.Int64
	// reported is the part of dropped that was written to the output.
	reported int64
	// budget is the number of lines that may still be written in the current second.
	budget  atomic.Int64
	done    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// queueSize is the maximum number of queued lines, of about 400 bytes each. It limits
// the memory in use while the output blocks.
const queueSize = 2048

// NewWriter starts a writer that writes at most linesPerSecond lines per second.
func NewWriter(output io.Writer, linesPerSecond int) *Writer {
	w := &Writer{
		queue: make(chan []byte, queueSize), output: output, limit: int64(linesPerSecond),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	w.budget.Store(w.limit)
	go w.run()
	return w
}

// Write implements io.Writer; it always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	if w.budget.Add(-1) < 0 {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines; it returns after the timeout even if the output
// still blocks.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.done) })
	select {
	case <-w.stopped:
	case <-time.After(timeout):
	}
}

// run writes queued lines until Close is called.
func (w *Writer) run() {
	defer close(w.stopped)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-tick.C:
			w.budget.Store(w.limit)
			w.report()
		case <-w.done:
			w.drain()
			return
		}
	}
}

// writeLine writes a line to the output.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// report writes the number of lines dropped since the last report. If the output fails,
// a later report includes them.
func (w *Writer) report() {
	dropped := w.dropped.Load()
	if dropped == w.reported {
		return
	}
	if _, err := w.output.Write(fmt.Appendf(nil, "log_lines_dropped count=%d\n", dropped-w.reported)); err == nil {
		w.reported = dropped
	}
}

// drain writes all queued lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			w.report()
			return
		}
	}
}
