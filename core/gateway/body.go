package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedBodyBytes is the size of the start of a streamed body that is buffered for
// a further attempt.
const maxBufferedBodyBytes = 64 << 10

var (
	errAttemptEnded = errors.New("the attempt that reads this body has ended")
	errBodyConsumed = errors.New("the start of the body is no longer buffered")
)

// streamedBody provides the same streamed body to each attempt of a request. It buffers
// the start of the body; once more than that was read, no further attempt is possible.
type streamedBody struct {
	mu       sync.Mutex
	src      io.Reader
	buffered []byte
	consumed int // bytes read from src
	err      error
}

// attempt returns a reader of the whole body for one attempt.
func (b *streamedBody) attempt() *attemptBody { return &attemptBody{body: b} }

// replayable reports whether a further attempt can read the whole body. It does not
// block while an earlier attempt waits for data from the caller.
func (b *streamedBody) replayable() bool {
	if !b.mu.TryLock() {
		return true
	}
	defer b.mu.Unlock()
	return b.consumed == len(b.buffered)
}

// attemptBody is one attempt's reader of a streamed body. It implements io.Reader. One
// goroutine reads it; another may call end.
type attemptBody struct {
	body   *streamedBody
	offset int
	ended  atomic.Bool
}

// end makes later reads fail, so that they consume no data of the next attempt.
func (a *attemptBody) end() { a.ended.Store(true) }

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.ended.Load():
		return 0, errAttemptEnded
	case a.offset < len(b.buffered):
		n := copy(p, b.buffered[a.offset:])
		a.offset += n
		return n, nil
	case a.offset < b.consumed:
		return 0, errBodyConsumed
	}
	return a.readSource(p)
}

// readSource reads data that no attempt has read yet. The caller must hold the body's
// lock.
func (a *attemptBody) readSource(p []byte) (int, error) {
	b := a.body
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if b.consumed == len(b.buffered) && b.consumed+n <= maxBufferedBodyBytes {
		b.buffered = append(b.buffered, p[:n]...)
	}
	b.consumed += n
	b.err = err
	a.offset += n
	return n, err
}
