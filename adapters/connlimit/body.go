package connlimit

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrNoRoom means that the bodies of all requests in flight would take more than they may.
var ErrNoRoom = errors.New("request bodies in flight exceed the limit")

// Bodies is the memory for the bodies of requests in flight.
type Bodies struct {
	max  int64
	used atomic.Int64
}

// NewBodies returns memory of the given size in bytes.
func NewBodies(maximum int64) *Bodies { return &Bodies{max: maximum} }

// Reserve reserves a number of bytes; it returns false if there is no room for them.
func (b *Bodies) Reserve(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release releases what was reserved.
func (b *Bodies) Release(n int64) { b.used.Add(-n) }

// Short reports whether more than a part of the memory is reserved.
func (b *Bodies) Short(part float64) bool { return float64(b.used.Load()) > part*float64(b.max) }

// Body reads the body of a request. It is canceled if it arrives too slowly.
type Body struct {
	io.Reader
	// Set holds the bodies that are arriving, nil if none is canceled; Cancel makes a pending read
	// fail.
	Set    *Receives
	Cancel func()
	// Memory is where the bytes that were read are reserved, unless it is nil, and Factor how
	// much memory a byte takes.
	Memory *Bodies
	Factor int64

	receive  *Receive
	reserved int64
}

// Read implements io.Reader. It fails with ErrNoRoom if there is no memory for what it has read.
func (b *Body) Read(p []byte) (int, error) {
	if b.receive == nil && b.Set != nil {
		b.receive = b.Set.Begin(b.Cancel)
	}
	n, err := b.Reader.Read(p)
	if b.receive != nil {
		b.receive.Add(n)
	}
	if b.Memory != nil {
		if !b.Memory.Reserve(int64(n) * b.Factor) {
			return n, ErrNoRoom
		}
		b.reserved += int64(n) * b.Factor
	}
	return n, err
}

// End ends the reading and reports whether it was canceled. It drops what only reading needs, since
// the memory of the body may be held as long as a stream is open.
func (b *Body) End() (canceled bool) {
	canceled = b.receive != nil && b.receive.End()
	b.Reader, b.Set, b.Cancel, b.receive = nil, nil, nil, nil
	return canceled
}

// Release releases the memory of the body.
func (b *Body) Release() {
	if b.Memory != nil {
		b.Memory.Release(b.reserved)
		b.reserved = 0
	}
}
