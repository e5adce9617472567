// Package abort ends responses that cannot be completed.
package abort

import (
	"crypto/tls"
	"net"
	"net/http"
)

// Response ends the response so that the caller detects that it is not complete; it does
// not return. A caller of HTTP/1.0 gets neither a length nor chunks, so that the end of the
// connection would be the end of the response; its connection is reset.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler) // net/http closes the connection without the last chunk
}

func reset(conn net.Conn) {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn() // closing conn itself would announce a regular end
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only on connections that are closed already
	}
	_ = conn.Close() // its bytes are not needed any more
}
