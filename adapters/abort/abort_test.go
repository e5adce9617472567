package abort

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestAbortedResponseNeverEndsRegularly(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "begin")
		_ = http.NewResponseController(w).Flush()
		Response(w, r)
	})
	plain, secured := httptest.NewServer(handler), httptest.NewTLSServer(handler)
	defer plain.Close()
	defer secured.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, server := range []*httptest.Server{plain, secured} {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if server == secured {
				conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
			}
			fmt.Fprintf(conn, "GET / %s\r\nHost: x\r\n\r\n", proto)
			got, err := io.ReadAll(conn)
			conn.Close()
			if !strings.Contains(string(got), "begin") {
				t.Errorf("%s: got %q, want the beginning of the response", proto, got)
			}
			if delimited := strings.Contains(string(got), "chunked"); err == nil && (!delimited || strings.HasSuffix(string(got), "0\r\n\r\n")) {
				t.Errorf("%s: got %q and a regular end", proto, got)
			}
		}
	}
}
