package routedsim

import (
	"net"
	"time"
)

// Pause makes the server fall silent for a time: it neither accepts, reads nor writes, and then goes on. The kernel
// still establishes connections and acknowledges what arrives.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// waitWhilePaused returns once the server goes on.
func (s *Server) waitWhilePaused() {
	for {
		s.mu.Lock()
		left := time.Until(s.pausedUntil)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// pausingListener makes connections wait while the server pauses.
type pausingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.waitWhilePaused()
	return pausingConn{conn, l.server}, nil
}

type pausingConn struct {
	net.Conn
	server *Server
}

// Read implements net.Conn. What arrives during a pause, the end of the connection included, is read after it.
func (c pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.server.waitWhilePaused()
	return n, err
}

// Write implements net.Conn.
func (c pausingConn) Write(b []byte) (int, error) {
	c.server.waitWhilePaused()
	return c.Conn.Write(b)
}
