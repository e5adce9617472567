package operations

import (
	"context"
	"io"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Reader reads the answer of an operation from its start, also while it is
// running. It is used by one goroutine; Close releases it.
type Reader struct {
	record   *Record
	ctx      context.Context
	first    bool // of the caller that started the operation
	attached bool
	next     int
	head     answer.Head
}

// Reader returns a reader for a repeat.
func (r *Record) Reader() *Reader {
	return r.attach(false)
}

func (r *Record) attach(first bool) *Reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &Reader{record: r, first: first}
	if r.kept.dropped && !first {
		return d
	}
	d.attached = true
	r.kept.readers++
	r.kept.firstAttached = r.kept.firstAttached || first
	return d
}

// Open waits for the answer's head and returns the answer's stream, which is the
// reader itself. ctx also bounds the waits of the stream.
func (d *Reader) Open(ctx context.Context) (answer.Stream, error) {
	d.ctx = ctx
	for {
		wait, err := d.pollHead()
		if err != nil {
			return nil, err
		}
		if wait == nil {
			return d, nil
		}
		if err := d.await(wait); err != nil {
			return nil, err
		}
	}
}

// Head implements answer.Stream.
func (d *Reader) Head() answer.Head { return d.head }

// Next implements answer.Stream.
func (d *Reader) Next() ([]byte, error) {
	for {
		chunk, wait, err := d.poll()
		if err != nil {
			return nil, err
		}
		if wait == nil {
			return chunk, nil
		}
		if err := d.await(wait); err != nil {
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
	r.kept.readers--
	if d.first {
		r.kept.firstAttached = false
		r.kept.wake()
	}
	if r.state.Final() {
		r.freeUnread()
	}
	return nil
}

func (d *Reader) pollHead() (<-chan struct{}, error) {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !d.attached || (r.kept.cut && !d.first):
		return nil, r.notKept()
	case r.kept.head != nil:
		d.head = *r.kept.head
		return nil, nil
	case r.failure != nil:
		return nil, r.failure
	}
	return r.kept.wait(), nil
}

func (d *Reader) poll() ([]byte, <-chan struct{}, error) {
	r := d.record
	r.mu.Lock()
	defer r.mu.Unlock()
	k := &r.kept
	switch {
	case !d.attached || (k.cut && !d.first):
		return nil, nil, r.notKept()
	case d.next < k.base+len(k.chunks):
		return d.take(k), nil, nil
	case r.failure != nil:
		return nil, nil, r.failure
	case r.state == Done:
		return nil, nil, io.EOF
	}
	return nil, k.wait(), nil
}

// take returns the next chunk. Chunks are never written to once they are kept,
// so the slice stays valid after the lock is released.
func (d *Reader) take(k *keptAnswer) []byte {
	chunk := k.chunks[d.next-k.base]
	d.next++
	if d.first {
		k.firstNext = d.next
		if k.cut {
			k.wake()
		}
	}
	return chunk
}

func (d *Reader) await(progress <-chan struct{}) error {
	select {
	case <-progress:
		return nil
	case <-d.ctx.Done():
		return errkind.New(errkind.Canceled, "operation: the answer was not awaited: %w", d.ctx.Err())
	}
}
