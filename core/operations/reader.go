package operations

import (
	"context"
	"io"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Reader reads the answer of an operation from the beginning, even while the
// operation is running. It must be used by one goroutine only and released with
// Close.
type Reader struct {
	record   *Record
	ctx      context.Context
	initial  bool // belongs to the caller that started the operation
	attached bool
	next     int
	head     answer.Head
}

// Reader returns a reader for a repeat.
func (r *Record) Reader() *Reader {
	return r.attach(false)
}

func (r *Record) attach(initial bool) *Reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &Reader{record: r, initial: initial}
	if r.retained.dropped && !initial {
		return d
	}
	d.attached = true
	r.retained.readers++
	r.retained.initialAttached = r.retained.initialAttached || initial
	return d
}

// Open waits for the answer's head and returns the answer's stream, which is the
// reader itself. ctx also cancels later waits of the stream.
func (d *Reader) Open(ctx context.Context) (answer.Stream, error) {
	d.ctx = ctx
	for {
		progressed, err := d.pollHead()
		if err != nil {
			return nil, err
		}
		if progressed == nil {
			return d, nil
		}
		if err := d.awaitProgress(progressed); err != nil {
			return nil, err
		}
	}
}

// Head implements answer.Stream.
func (d *Reader) Head() answer.Head { return d.head }

// Next implements answer.Stream.
func (d *Reader) Next() ([]byte, error) {
	for {
		chunk, progressed, err := d.poll()
		if err != nil {
			return nil, err
		}
		if progressed == nil {
			return chunk, nil
		}
		if err := d.awaitProgress(progressed); err != nil {
			return nil, err
		}
	}
}

// Close implements answer.Stream. It never cancels the run.
func (d *Reader) Close() error {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if !d.attached {
		return nil
	}
	d.attached = false
	r.retained.readers--
	if d.initial {
		r.retained.initialAttached = false
		r.retained.notify()
	}
	if r.state.Final() {
		r.releaseUnread()
	}
	return nil
}

func (d *Reader) pollHead() (<-chan struct{}, error) {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !d.attached || (r.retained.overflowed && !d.initial):
		return nil, r.notRetainedError()
	case r.retained.head != nil:
		d.head = *r.retained.head
		return nil, nil
	case r.failure != nil:
		return nil, r.failure
	}
	return r.retained.progressed(), nil
}

func (d *Reader) poll() ([]byte, <-chan struct{}, error) {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	k := &r.retained
	switch {
	case !d.attached || (k.overflowed && !d.initial):
		return nil, nil, r.notRetainedError()
	case d.next < k.base+len(k.chunks):
		return d.nextChunk(k), nil, nil
	case r.failure != nil:
		return nil, nil, r.failure
	case r.state == Done:
		return nil, nil, io.EOF
	}
	return nil, k.progressed(), nil
}

// nextChunk returns the next chunk. Chunks are immutable once they are retained, so
// the slice stays valid after the lock is released.
func (d *Reader) nextChunk(k *retainedAnswer) []byte {
	chunk := k.chunks[d.next-k.base]
	d.next++
	if d.initial {
		k.initialNext = d.next
		if k.overflowed {
			k.notify()
		}
	}
	return chunk
}

func (d *Reader) awaitProgress(progress <-chan struct{}) error {
	select {
	case <-progress:
		return nil
	case <-d.ctx.Done():
		return errkind.New(errkind.Canceled, "operation: the wait for the answer was canceled: %w", d.ctx.Err())
	}
}
