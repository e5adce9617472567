package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestRefusalWithUnreadBodyClosesConnection makes a repeatable call that is refused
// before its body is read.
func TestRefusalWithUnreadBodyClosesConnection(t *testing.T) {
	f := startBooking(t)
	conn, err := net.Dial("tcp", f.Nodes[0].CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := "POST /services/booking/echo HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer wrong\r\nContent-Length: 5\r\n\r\nvat 7"
	if _, err := io.Copy(conn, strings.NewReader(request)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusUnauthorized || !resp.Close {
		t.Errorf("got status %d and Connection: close %t, want 401 and true", resp.StatusCode, resp.Close)
	}
}
