package routedsim

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// direct reports whether responses are written to the connection directly, because
// net/http cannot send them.
func (b Behaviour) direct() bool { return b.Undelimited || b.EndAfterBytes > 0 || b.EndInBody != nil }

// writeDirect sends a response whose body consists of the given parts, with EventGap
// between them.
func (s *Server) writeDirect(w http.ResponseWriter, b Behaviour, parts []string) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // connections of HTTP/1 can always be taken over
	}
	if !s.track(conn) {
		_ = conn.Close() // the server has crashed
		return
	}
	defer s.closeTracked(conn)
	head := head(header, b, parts)
	out := &limitedConn{conn: conn, left: b.EndAfterBytes, unlimited: b.EndAfterBytes == 0}
	if b.EndInBody != nil {
		size := b.EndInBody(parts)
		out.left, out.unlimited = len(head)+size, size < 0
	}
	out.write(head)
	for i, part := range parts {
		if i > 0 {
			time.Sleep(b.EventGap)
		}
		if b.framing(parts) == "chunked" {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		out.write(part)
	}
	if b.framing(parts) == "chunked" {
		out.write("0\r\n\r\n")
	}
	if out.ended() && b.CrashAtEnd {
		s.crash(b)
	}
}

// framing returns the framing of a response: "chunked" for streams, "length" for plain
// bodies, or "close".
func (b Behaviour) framing(parts []string) string {
	switch {
	case b.Undelimited:
		return "close"
	case len(parts) == 1:
		return "length"
	}
	return "chunked"
}

func head(header http.Header, b Behaviour, parts []string) string {
	header.Set("Connection", "close")
	switch b.framing(parts) {
	case "chunked":
		header.Set("Transfer-Encoding", "chunked")
	case "length":
		header.Set("Content-Length", strconv.Itoa(len(parts[0])))
	}
	status := max(http.StatusOK, b.Status)
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&text) // writing to a builder never fails
	text.WriteString("\r\n")
	return text.String()
}

// limitedConn writes to a connection until the limit is reached.
type limitedConn struct {
	conn      net.Conn
	left      int
	unlimited bool
}

func (c *limitedConn) write(text string) {
	if !c.unlimited {
		text = text[:min(len(text), c.left)]
		c.left -= len(text)
	}
	if text != "" {
		_, _ = c.conn.Write([]byte(text)) // the client may have disconnected
	}
}

// ended reports whether the limit was reached.
func (c *limitedConn) ended() bool { return !c.unlimited && c.left == 0 }

// track records an open connection; it returns false if the server has crashed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return false
	}
	s.connections[conn] = true
	return true
}

func (s *Server) closeTracked(conn net.Conn) {
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	_ = conn.Close() // it may be closed already
}

// closeDirect closes all connections to which responses are written directly.
func (s *Server) closeDirect() {
	s.mu.Lock()
	open := s.connections
	s.connections = make(map[net.Conn]bool)
	s.mu.Unlock()
	for conn := range open {
		_ = conn.Close() // it may be closed already
	}
}
