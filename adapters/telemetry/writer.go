package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer passes log lines on to an output without ever blocking those who log.
// Lines that come faster than LinesPerSecond, or that the output does not take in
// time, are dropped and counted; the count goes into the output once a second.
type Writer struct {
	queue   chan []byte
	output  io.Writer
	limit   int64
	dropped atomic.Int64
	// budget is what is left of the current second's lines.
	budget  atomic.Int64
	done    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// queuedLines bounds the memory that an output which takes nothing can hold: about
// 400 bytes a line.
const queuedLines = 2048

// NewWriter starts a writer; linesPerSecond bounds the volume.
func NewWriter(output io.Writer, linesPerSecond int) *Writer {
	w := &Writer{
		queue: make(chan []byte, queuedLines), output: output, limit: int64(linesPerSecond),
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

// Dropped returns the number of lines that were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, as far as the output takes it within the time.
func (w *Writer) Close(within time.Duration) {
	w.once.Do(func() { close(w.done) })
	select {
	case <-w.stopped:
	case <-time.After(within):
	}
}

func (w *Writer) run() {
	defer close(w.stopped)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		case <-tick.C:
			w.budget.Store(w.limit)
			w.report()
		case <-w.done:
			w.drain()
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.put(fmt.Appendf(nil, "log_lines_dropped count=%d\n", n))
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		default:
			w.report()
			return
		}
	}
}
