package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// keptBodyBytes is how much of a streamed body is kept for a further attempt.
const keptBodyBytes = 64 << 10

var (
	errAttemptOver  = errors.New("the attempt that read this body is over")
	errBodyConsumed = errors.New("the start of the body is gone")
)

// streamedBody gives each attempt of a request the same streamed body. It keeps
// the start of the body; once more than that was read there is no other attempt.
type streamedBody struct {
	mu    sync.Mutex
	src   io.Reader
	kept  []byte
	taken int // bytes read from src
	err   error
}

// attempt returns the whole body for one attempt.
func (b *streamedBody) attempt() *attemptBody { return &attemptBody{body: b} }

// replayable tells if a further attempt can have the whole body. It does not
// wait for an earlier attempt that still waits for the caller.
func (b *streamedBody) replayable() bool {
	if !b.mu.TryLock() {
		return true
	}
	defer b.mu.Unlock()
	return b.taken == len(b.kept)
}

// attemptBody is a streamed body as one attempt reads it. It implements
// io.Reader; one goroutine reads it, and another may end it.
type attemptBody struct {
	body   *streamedBody
	offset int
	over   atomic.Bool
}

// end fails later reads, so that they take nothing from the next attempt.
func (a *attemptBody) end() { a.over.Store(true) }

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.over.Load():
		return 0, errAttemptOver
	case a.offset < len(b.kept):
		n := copy(p, b.kept[a.offset:])
		a.offset += n
		return n, nil
	case a.offset < b.taken:
		return 0, errBodyConsumed
	}
	return a.readOn(p)
}

// readOn reads what no attempt has read yet; the body's lock is held.
func (a *attemptBody) readOn(p []byte) (int, error) {
	b := a.body
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if b.taken == len(b.kept) && b.taken+n <= keptBodyBytes {
		b.kept = append(b.kept, p[:n]...)
	}
	b.taken += n
	b.err = err
	a.offset += n
	return n, err
}
