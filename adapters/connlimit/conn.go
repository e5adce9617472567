package connlimit

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// Stages of a connection.
const (
	stageNew  = iota // has sent nothing
	stageHead        // has sent a part of a head, its first or another one
	stageBusy        // has a request in flight, or belongs to another node
	stageIdle        // is kept after a request
)

// maxWritePiece is the number of bytes that are written at a time. The progress of a client that
// reads slowly is seen between two pieces.
const maxWritePiece = 32 << 10

// errHeadTooLarge ends a connection whose head exceeds the limit.
var errHeadTooLarge = errors.New("request head too large")

// headTooLarge is the response to a head that exceeds the limit, as net/http sends it.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// conn is a connection of a client.
type conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr
	stage    atomic.Int32
	// since is the time of the guard's clock at which the stage began.
	since atomic.Int64
	// headBytes is the size of the unfinished head.
	headBytes atomic.Int64
	// writingSince is the time of the guard's clock at which a write began; zero if there is
	// none.
	writingSince atomic.Int64
	closed       atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if stage := c.stage.Load(); stage != stageBusy {
			if !c.readHead(stage, int64(n)) {
				return 0, errHeadTooLarge
			}
		}
	}
	return n, err
}

// readHead counts bytes of an unfinished head. It returns false if the head exceeds the limit.
func (c *conn) readHead(stage int32, n int64) bool {
	if stage != stageHead {
		c.since.Store(c.listener.guard.clock.Load()) // first, as the sweep measures a head by it
		c.stage.CompareAndSwap(stage, stageHead)
	}
	total := c.headBytes.Add(n)
	c.listener.guard.addHead(n)
	if c.closed.Load() {
		c.releaseHead() // it was closed while it was read
		return true
	}
	if c.listener.HeadBytes == nil {
		return true
	}
	if limit := c.listener.HeadBytes(); limit <= 0 || total <= int64(limit) {
		return true
	}
	// The write does not block: nothing was written to the connection since it was last idle.
	_, _ = c.Conn.Write([]byte(headTooLarge)) // the client may have disconnected
	c.listener.guard.Count(c.listener.Name, HeadTooLarge, 1)
	return false
}

// releaseHead takes the head out of the size of all unfinished heads.
func (c *conn) releaseHead() {
	if n := c.headBytes.Swap(0); n != 0 {
		c.listener.guard.headBytes.Add(-n)
	}
}

// enter begins a stage.
func (c *conn) enter(stage int32) {
	c.releaseHead()
	c.since.Store(c.listener.guard.clock.Load())
	c.stage.Store(stage)
}

// class returns the class of the connection at a time of the guard's clock.
func (c *conn) class(now int64) int {
	switch c.stage.Load() {
	case stageNew:
		return classSilent
	case stageHead:
		return classHead
	case stageIdle:
		if idle := limit(c.listener.IdleTime); idle > 0 && time.Duration(now-c.since.Load()) > idle {
			return classIdle
		}
	}
	return classKept
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+maxWritePiece)]
		c.writingSince.Store(c.listener.guard.clock.Load())
		n, err := c.Conn.Write(piece)
		c.writingSince.Store(0)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.remove(c)
		c.releaseHead()
	}
	return c.Conn.Close()
}

// CloseWrite closes the writing side, which net/http does before it closes a connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection is closed, as that of net.TCPConn does. Package abort uses it.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// cut closes the connection and counts why.
func (c *conn) cut(reason Reason) {
	if c.closed.Load() {
		return
	}
	c.listener.guard.Count(c.listener.Name, reason, 1)
	c.reset()
}

// reset closes the connection and drops what was not sent yet, so that neither side keeps it.
func (c *conn) reset() {
	_ = c.SetLinger(0) // it fails only on connections that are closed already
	_ = c.Close()      // it fails only on connections that are closed already
}

// RemoteAddr implements net.Conn. MarkServed finds the connection by the address.
func (c *conn) RemoteAddr() net.Addr { return clientAddr{c.Conn.RemoteAddr(), c} }

// clientAddr is the address of a client, with its connection.
type clientAddr struct {
	net.Addr
	conn *conn
}

// MarkServed records that a client has made a complete call. Its connection is then kept, as
// that of another node.
func MarkServed(client net.Addr) {
	if a, ok := client.(clientAddr); ok && a.conn.stage.Load() != stageBusy {
		a.conn.enter(stageBusy)
	}
}
