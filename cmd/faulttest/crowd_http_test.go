package faulttest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// requestLine begins a request on any of the addresses of a node.
const requestLine = "POST /x HTTP/1.1\r\nHost: " + soakHost + "\r\nX-Request-Id: crowd\r\n"

// transmit writes a text and reports whether the connection took it.
func transmit(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// flood sends a text again and again until the connection is closed.
func flood(first, again string) clientBehaviour {
	again = strings.Repeat(again, 1+32<<10/len(again))
	return func(c net.Conn) {
		for ok := transmit(c, first); ok; ok = transmit(c, again) {
		}
	}
}

// drip sends one text and then another one slowly, until the connection is closed.
func drip(first, again string) clientBehaviour {
	return func(c net.Conn) {
		for ok := transmit(c, first); ok; ok = transmit(c, again) {
			time.Sleep(dripInterval)
		}
	}
}

// once sends a text and nothing more.
func once(text string) clientBehaviour { return func(c net.Conn) { transmit(c, text) } }

// headLines returns lines of a head with a total length of n bytes.
func headLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "X-Line-%d: %s\r\n", i, strings.Repeat("v", 40))
	}
	return b.String()
}

// unfinishedHead is the length of heads whose end is missing: longer than the limit of the
// routing table, shorter than the limit of net/http.
const unfinishedHead = 56 << 10

// httpCrowds are the crowds that can come to any address that serves HTTP/1.
var httpCrowds = []struct {
	name    string
	clients int
	do      clientBehaviour
}{
	{"silent connections", crowdConnections, func(net.Conn) {}},
	{"heads without end, held", crowdConnections, once(requestLine + headLines(unfinishedHead))},
	{"heads without end in one line, held", crowdConnections, once(requestLine + "X-Line: " + strings.Repeat("v", unfinishedHead))},
	{"heads without end, dripped", crowdConnections, drip(requestLine+headLines(crowdMaxHead-1024), "X-A: b\r\n")},
	{"heads without end in one line, dripped", crowdConnections, drip(requestLine+"X-Line: "+strings.Repeat("v", crowdMaxHead-1024), "v")},
	{"heads without end, flooded", crowdFloods, flood(requestLine, "X-A: b\r\n")},
	{"heads without end in one line, flooded", crowdFloods, flood(requestLine+"X-Line: ", "v")},
	{"request lines without end, dripped", crowdConnections, drip("POST /", "x")},
	{"empty lines without end, flooded", crowdFloods, flood("", "\r\n")},
	{"empty lines without end, dripped", crowdConnections, drip("\r\n", "\r\n")},
	{"empty lines without end after a request, flooded", crowdFloods, flood(requestLine+"Content-Length: 0\r\n\r\n", "\r\n")},
	{"chunk extensions without end, flooded", crowdFloods, flood(requestLine+"Transfer-Encoding: chunked\r\n\r\n1;", "a=b;")},
	{"chunk extensions without end, dripped", crowdConnections, drip(requestLine+"Transfer-Encoding: chunked\r\n\r\n1;", "a=b;")},
	{"trailers without end, flooded", crowdFloods, flood(requestLine+"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-A: b\r\n")},
	{"trailers without end, dripped", crowdConnections, drip(requestLine+"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-A: b\r\n")},
	{"requests without end, none read", crowdFloods, flood("", "GET /x HTTP/1.1\r\nHost: "+soakHost+"\r\nX-Request-Id: crowd\r\n\r\n")},
}

// TestCrowdAtEntryAddress guards against clients that end a node, or keep callers from it, through
// the address for callers.
func TestCrowdAtEntryAddress(t *testing.T) {
	for _, c := range httpCrowds {
		t.Run(c.name, func(t *testing.T) {
			n := newCrowdNode(t)
			checkCrowd(t, n.process, []string{n.entry}, c.clients, c.do, n.serves)
		})
	}
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdMaxBody) + strings.Repeat("b", crowdMaxBody-1)
	for _, c := range []struct {
		name    string
		clients int
		do      clientBehaviour
	}{
		{"bodies without their last byte", crowdBodies, once(requestLine + body)},
		{"bodies without their last byte, dripped", crowdBodies, drip(requestLine+body[:len(body)-1024], "b")},
		{"chunked bodies without end", crowdBodies, once(requestLine + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", crowdMaxBody) + strings.Repeat("b", crowdMaxBody-1))},
		{"short bodies without their last byte", crowdConnections, once(requestLine + "Content-Length: 1000\r\n\r\n" + strings.Repeat("b", 999))},
		{"responses that nobody reads", crowdReaders, unread},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newCrowdNode(t)
			checkCrowd(t, n.process, []string{n.entry}, c.clients, c.do, n.serves)
		})
	}
}

// unread requests a long response and reads none of it until the node closes the connection. A
// byte that is written from time to time shows the end of the connection.
func unread(c net.Conn) {
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // the rest stays at the node
	for ok := transmit(c, "GET /unread HTTP/1.1\r\nHost: "+soakHost+"\r\nX-Request-Id: crowd\r\n\r\n"); ok; ok = transmit(c, "G") {
		time.Sleep(dripInterval)
	}
}

// TestCrowdAtOtherAddresses guards against clients that end a node, or keep callers from it,
// through the addresses for the directory, readiness and metrics.
func TestCrowdAtOtherAddresses(t *testing.T) {
	for _, c := range httpCrowds {
		t.Run(c.name, func(t *testing.T) {
			n := newCrowdNode(t)
			checkCrowd(t, n.process, []string{n.directory, n.ready, n.metrics}, c.clients, c.do, n.serves)
		})
	}
}
