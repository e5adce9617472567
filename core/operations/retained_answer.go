package operations

import "github.com/crocusspread/crocusspread/core/answer"

const (
	headOverheadBytes  = 256 // bytes accounted for an answer's head in addition to its fields
	chunkOverheadBytes = 32  // bytes accounted for a chunk in addition to its content
	// maxBackpressureBytes is the maximum number of bytes of an answer too large to
	// retain that are buffered for the initial caller's reader.
	maxBackpressureBytes = 64 << 10
)

// retainedAnswer is the answer of a run. It is guarded by its record's lock.
type retainedAnswer struct {
	head   *answer.Head
	base   int // index of the first chunk in memory
	chunks [][]byte
	// accountedBytes is the answer's part of the shard's retained bytes.
	accountedBytes int64
	// dropped is set if no further reader may attach.
	dropped bool
	// overflowed is set if the answer is too large to retain; then only the initial
	// caller's reader is served.
	overflowed      bool
	readers         int
	initialAttached bool
	initialNext     int // index of the next chunk for the initial caller's reader
	// progress is closed to wake up the waiters; nil if there are none.
	progress chan struct{}
}

func headSize(h answer.Head) int64 {
	n := int64(headOverheadBytes)
	for name, values := range h.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

func (k *retainedAnswer) setHead(h answer.Head, size int64) {
	k.head = &h
	k.accountedBytes += size
	k.notify()
}

func (k *retainedAnswer) add(p []byte, size int64) {
	k.chunks = append(k.chunks, append([]byte(nil), p...))
	k.accountedBytes += size
	k.notify()
}

// stopRetaining stops retaining the answer for repeats.
func (k *retainedAnswer) stopRetaining() {
	if k.overflowed {
		return
	}
	k.overflowed = true
	k.dropped = true
	k.notify()
}

// discardRead frees the chunks of an overflowed answer that no reader will request
// any more, and returns the number of bytes freed.
func (k *retainedAnswer) discardRead() int64 {
	end := k.base + len(k.chunks)
	if k.initialAttached {
		end = k.initialNext
	}
	freed := int64(0)
	for k.base < end {
		freed += int64(len(k.chunks[0])) + chunkOverheadBytes
		k.chunks[0] = nil
		k.chunks = k.chunks[1:]
		k.base++
	}
	k.accountedBytes -= freed
	return freed
}

// release frees the whole answer and returns the number of bytes freed.
func (k *retainedAnswer) release() int64 {
	freed := k.accountedBytes
	k.base += len(k.chunks)
	k.head = nil
	k.chunks = nil
	k.accountedBytes = 0
	k.notify()
	return freed
}

func (k *retainedAnswer) progressed() <-chan struct{} {
	if k.progress == nil {
		k.progress = make(chan struct{})
	}
	return k.progress
}

func (k *retainedAnswer) notify() {
	if k.progress != nil {
		close(k.progress)
		k.progress = nil
	}
}
