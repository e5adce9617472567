package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// wan delays connections between nodes by the distance of their places.
type wan struct {
	// betweenRegions and betweenDomains are one way.
	betweenRegions time.Duration
	betweenDomains time.Duration
	mu             sync.RWMutex
	places         map[string]domain.Place // by peer address
}

func (w *wan) add(address string, p domain.Place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.places[address] = p
}

// delay returns the one-way delay from a place to a peer address.
func (w *wan) delay(from domain.Place, address string) time.Duration {
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

// dialer returns the dialer of a node at a place.
func (w *wan) dialer(from domain.Place) func(context.Context, string) (net.Conn, error) {
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

// segment is bytes on their way.
type segment struct {
	due  time.Time
	data []byte
	err  error
}

// segmentsInFlight bounds what is on its way in one direction.
const segmentsInFlight = 4096

// delayedConn passes bytes on after a delay in each direction.
type delayedConn struct {
	net.Conn
	delay time.Duration
	out   chan segment
	in    chan segment
	rest  []byte
	// failed ends reading once the other side's end was read.
	failed error
	done   chan struct{}
	close  sync.Once
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	d := &delayedConn{
		Conn: conn, delay: delay, out: make(chan segment, segmentsInFlight), in: make(chan segment, segmentsInFlight), done: make(chan struct{}),
	}
	go d.deliver()
	go d.receive()
	return d
}

// Write implements net.Conn.
func (d *delayedConn) Write(p []byte) (int, error) {
	select {
	case <-d.done:
		return 0, net.ErrClosed
	case d.out <- segment{due: time.Now().Add(d.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	}
}

func (d *delayedConn) deliver() {
	for {
		select {
		case <-d.done:
			return
		case s := <-d.out:
			time.Sleep(time.Until(s.due))
			if _, err := d.Conn.Write(s.data); err != nil {
				d.Close()
				return
			}
		}
	}
}

func (d *delayedConn) receive() {
	for {
		buf := make([]byte, 16<<10)
		n, err := d.Conn.Read(buf)
		s := segment{due: time.Now().Add(d.delay), data: buf[:n], err: err}
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
	if len(d.rest) == 0 && d.failed != nil {
		return 0, d.failed
	}
	if len(d.rest) == 0 {
		select {
		case <-d.done:
			return 0, net.ErrClosed
		case s := <-d.in:
			time.Sleep(time.Until(s.due))
			d.rest, d.failed = s.data, s.err
		}
	}
	if len(d.rest) == 0 {
		return 0, d.failed
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	d.close.Do(func() { close(d.done) })
	return d.Conn.Close()
}
