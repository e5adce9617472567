package operations

import "github.com/crocusspread/crocusspread/core/answer"

const (
	headBytes  = 256 // bytes charged for an answer's head besides its fields
	chunkBytes = 32  // bytes charged for a chunk besides its content
	// holdBackBytes bounds what an answer too large to keep holds for its first
	// caller's reader.
	holdBackBytes = 64 << 10
)

// keptAnswer is the answer of a run. It is guarded by its record's lock.
type keptAnswer struct {
	head   *answer.Head
	base   int // index of the first chunk held
	chunks [][]byte
	// charged is what the answer takes of the shard's bytes.
	charged int64
	// dropped: no further reader may attach.
	dropped bool
	// cut: too large to keep, only the first caller's reader is served.
	cut           bool
	readers       int
	firstAttached bool
	firstNext     int // index of the next chunk for the first caller's reader
	// progress is closed when waiters may go on; nil while nobody waits.
	progress chan struct{}
}

func headCharge(h answer.Head) int64 {
	n := int64(headBytes)
	for name, values := range h.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

func (k *keptAnswer) setHead(h answer.Head, charge int64) {
	k.head = &h
	k.charged += charge
	k.wake()
}

func (k *keptAnswer) add(p []byte, charge int64) {
	k.chunks = append(k.chunks, append([]byte(nil), p...))
	k.charged += charge
	k.wake()
}

// overflow stops keeping the answer for repeats.
func (k *keptAnswer) overflow() {
	if k.cut {
		return
	}
	k.cut = true
	k.dropped = true
	k.wake()
}

// trim frees what no reader will get of a cut answer and returns its bytes.
func (k *keptAnswer) trim() int64 {
	end := k.base + len(k.chunks)
	if k.firstAttached {
		end = k.firstNext
	}
	freed := int64(0)
	for k.base < end {
		freed += int64(len(k.chunks[0])) + chunkBytes
		k.chunks[0] = nil
		k.chunks = k.chunks[1:]
		k.base++
	}
	k.charged -= freed
	return freed
}

// free frees the whole answer and returns its bytes.
func (k *keptAnswer) free() int64 {
	freed := k.charged
	k.base += len(k.chunks)
	k.head = nil
	k.chunks = nil
	k.charged = 0
	k.wake()
	return freed
}

func (k *keptAnswer) wait() <-chan struct{} {
	if k.progress == nil {
		k.progress = make(chan struct{})
	}
	return k.progress
}

func (k *keptAnswer) wake() {
	if k.progress != nil {
		close(k.progress)
		k.progress = nil
	}
}
