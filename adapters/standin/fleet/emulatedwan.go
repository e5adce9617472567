package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// emulatedWAN delays the traffic between nodes according to their regions and
// failure domains.
type emulatedWAN struct {
	// betweenRegions and betweenDomains are one-way delays.
	betweenRegions time.Duration
	betweenDomains time.Duration
	mu             sync.RWMutex
	places         map[string]domain.Place // keyed by peer address
}

func (w *emulatedWAN) setPlace(address string, p domain.Place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.places[address] = p
}

// delay returns the one-way delay from a node in the given place to a peer
// address.
func (w *emulatedWAN) delay(from domain.Place, address string) time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	to := w.places[address]
	switch {
	case to.Region != from.Region:
		return w.betweenRegions
	case to.FailureDomain != from.FailureDomain:
		return w.betweenDomains
	}
	return 0
}

// dialer returns the dial function of a node in the given place.
func (w *emulatedWAN) dialer(from domain.Place) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		delay := w.delay(from, address)
		if delay == 0 {
			return conn, nil
		}
		return newDelayedConn(conn, delay), nil
	}
}

// segment is a chunk of bytes, or a read error, that is delivered after the delay.
type segment struct {
	deliverAt time.Time
	data      []byte
	err       error
}

// maxSegmentsInFlight bounds the segments queued in each direction of a connection.
const maxSegmentsInFlight = 4096

// delayedConn is a net.Conn that delays the bytes of each direction.
type delayedConn struct {
	net.Conn
	delay  time.Duration
	out    chan segment
	in     chan segment
	unread []byte
	// readErr is the error of the underlying read, such as io.EOF. Read returns it
	// once the unread bytes are consumed.
	readErr error
	done    chan struct{}
	close   sync.Once
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	d := &delayedConn{
		Conn: conn, delay: delay, out: make(chan segment, maxSegmentsInFlight), in: make(chan segment, maxSegmentsInFlight), done: make(chan struct{}),
	}
	go d.writeLoop()
	go d.readLoop()
	return d
}

// Write implements net.Conn.
func (d *delayedConn) Write(p []byte) (int, error) {
	select {
	case <-d.done:
		return 0, net.ErrClosed
	case d.out <- segment{deliverAt: time.Now().Add(d.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	}
}

func (d *delayedConn) writeLoop() {
	for {
		select {
		case <-d.done:
			return
		case s := <-d.out:
			time.Sleep(time.Until(s.deliverAt))
			if _, err := d.Conn.Write(s.data); err != nil {
				d.Close()
				return
			}
		}
	}
}

func (d *delayedConn) readLoop() {
	for {
		buf := make([]byte, 16<<10)
		n, err := d.Conn.Read(buf)
		s := segment{deliverAt: time.Now().Add(d.delay), data: buf[:n], err: err}
		select {
		case <-d.done:
			return
		case d.in <- s:
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(p []byte) (int, error) {
	if len(d.unread) == 0 && d.readErr != nil {
		return 0, d.readErr
	}
	if len(d.unread) == 0 {
		select {
		case <-d.done:
			return 0, net.ErrClosed
		case s := <-d.in:
			time.Sleep(time.Until(s.deliverAt))
			d.unread, d.readErr = s.data, s.err
		}
	}
	if len(d.unread) == 0 {
		return 0, d.readErr
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	d.close.Do(func() { close(d.done) })
	return d.Conn.Close()
}
