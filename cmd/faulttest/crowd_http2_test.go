package faulttest

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameData, frameHeaders, frameReset, frameSettings, framePing, frameContinuation = 0, 1, 3, 4, 6, 9

	flagEndStream, flagEndHeaders = 0x1, 0x4

	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// maxFrame is the default maximum size of a frame.
	maxFrame = 16 << 10
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	head := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags, 0, 0, 0, 0}
	binary.BigEndian.PutUint32(head[5:], stream)
	return string(head) + payload
}

// field returns a header field as a literal without indexing (RFC 7541, section 6.2.2).
func field(name, value string) string {
	return "\x00" + prefixedInt(len(name)) + name + prefixedInt(len(value)) + value
}

// prefixedInt encodes an integer with a prefix of seven bits (RFC 7541, section 5.1).
func prefixedInt(n int) string {
	if n < 127 {
		return string([]byte{byte(n)})
	}
	encoded := []byte{127}
	for n -= 127; n >= 128; n >>= 7 {
		encoded = append(encoded, byte(n&127|128))
	}
	return string(append(encoded, byte(n)))
}

// callHeaders returns the header fields of a gRPC call.
func callHeaders(method string) string {
	return field(":method", "POST") + field(":scheme", "http") + field(":path", "/crocusspread.mesh.v1.Mesh/"+method) +
		field(":authority", "n") + field("content-type", "application/grpc") + field("te", "trailers")
}

// message returns the payload of a DATA frame for a gRPC message whose length is given; content
// may be shorter.
func message(length int, content string) string {
	return "\x00" + string(binary.BigEndian.AppendUint32(nil, uint32(length))) + content
}

// http2Start opens a connection; initialWindow is the flow-control window of the client's streams.
func http2Start(initialWindow uint32) string {
	return preface + frame(frameSettings, 0, 0, "\x00\x04"+string(binary.BigEndian.AppendUint32(nil, initialWindow)))
}

const defaultWindow = 65535

// discard reads and drops what the node sends.
func discard(c net.Conn) { go func() { _, _ = io.Copy(io.Discard, c) }() }

// headerFlood sends a header list without end.
func headerFlood(c net.Conn) {
	if !transmit(c, http2Start(defaultWindow)+frame(frameHeaders, 0, 1, callHeaders("Relay"))) {
		return
	}
	piece := frame(frameContinuation, 0, 1, strings.Repeat(field("x-line", strings.Repeat("v", 100)), maxFrame/120))
	for transmit(c, piece) {
	}
}

// headerHold sends a header list of 15 MB whose end is missing.
func headerHold(c net.Conn) {
	if !transmit(c, http2Start(defaultWindow)+frame(frameHeaders, 0, 1, callHeaders("Relay"))) {
		return
	}
	piece := frame(frameContinuation, 0, 1, strings.Repeat(field("x-line", strings.Repeat("v", 100)), maxFrame/120))
	for sent := 0; sent < 15<<20 && transmit(c, piece); sent += len(piece) {
	}
}

// resetFlood opens streams and resets each at once.
func resetFlood(c net.Conn) {
	discard(c)
	if !transmit(c, http2Start(defaultWindow)) {
		return
	}
	for stream := uint32(1); stream < 1<<31-64; {
		var b strings.Builder
		for range 32 {
			b.WriteString(frame(frameHeaders, flagEndHeaders, stream, callHeaders("Relay")))
			b.WriteString(frame(frameReset, 0, stream, "\x00\x00\x00\x08"))
			stream += 2
		}
		if !transmit(c, b.String()) {
			return
		}
	}
}

// streamFlood opens streams and leaves them open.
func streamFlood(c net.Conn) {
	discard(c)
	if !transmit(c, http2Start(defaultWindow)) {
		return
	}
	const streams = 20000
	for stream := uint32(1); stream < 2*streams; {
		var b strings.Builder
		for range 32 {
			b.WriteString(frame(frameHeaders, flagEndHeaders, stream, callHeaders("Relay")))
			stream += 2
		}
		if !transmit(c, b.String()) {
			return
		}
	}
}

// tinyWindows requests documents over many streams and never lets the node send them.
func tinyWindows(c net.Conn) {
	discard(c)
	if !transmit(c, http2Start(0)) {
		return
	}
	const fetchEntries = "\x10\x01" // FetchRequest.instances
	for i := range uint32(100) {
		stream := 2*i + 1
		call := frame(frameHeaders, flagEndHeaders, stream, callHeaders("Fetch")) +
			frame(frameData, flagEndStream, stream, message(len(fetchEntries), fetchEntries))
		if !transmit(c, call) {
			return
		}
	}
}

// relayedBodies sends most of a relayed request with a body of the maximum length on each of a
// number of streams.
func relayedBodies(c net.Conn) {
	discard(c)
	const streams = 8
	ok := transmit(c, http2Start(defaultWindow))
	for i := range uint32(streams) {
		ok = ok && transmit(c, frame(frameHeaders, flagEndHeaders, 2*i+1, callHeaders("Relay")))
	}
	for i := range uint32(streams) {
		ok = ok && transmit(c, frame(frameData, 0, 2*i+1, message(crowdMaxBody, "")))
	}
	time.Sleep(dripInterval) // the node enlarges the windows once it knows the length of the messages
	piece := strings.Repeat("b", maxFrame)
	for sent := 0; ok && sent < crowdMaxBody-maxFrame; sent += maxFrame {
		for i := range uint32(streams) {
			ok = ok && transmit(c, frame(frameData, 0, 2*i+1, piece))
		}
	}
}

// TestCrowdAtPeerAddress guards against clients that end a node, or keep callers from it, through
// the address for other nodes.
func TestCrowdAtPeerAddress(t *testing.T) {
	settingsFrame := frame(frameSettings, 0, 0, "\x00\x04\x00\x00\xff\xff")
	for _, c := range []struct {
		name    string
		clients int
		do      clientBehaviour
	}{
		{"silent connections", crowdConnections, func(net.Conn) {}},
		{"connections without calls", crowdConnections, once(http2Start(defaultWindow))},
		{"prefaces without end", crowdConnections, drip("PRI * ", "H")},
		{"header lists without end, flooded", crowdFloods, headerFlood},
		{"header lists without end, held", crowdFloods, headerHold},
		{"streams opened and reset", crowdFloods, resetFlood},
		{"streams opened and left", crowdFloods, streamFlood},
		{"settings without end", crowdFloods, flood(http2Start(defaultWindow), settingsFrame)},
		{"pings without end", crowdFloods, flood(http2Start(defaultWindow), frame(framePing, 0, 0, "12345678"))},
		{"tiny windows", crowdFloods, tinyWindows},
		{"relayed bodies without their end", crowdBodies, relayedBodies},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newCrowdNode(t)
			n.addEntries(t)
			checkCrowd(t, n.process, []string{n.peer}, c.clients, c.do, n.serves)
		})
	}
}

// addEntries writes entries of further upstreams, so that the documents for other nodes have the
// size of a large deployment's, and waits until the node can be expected to have read them.
func (n *crowdNode) addEntries(t *testing.T) {
	for i := range 600 {
		entry, err := json.Marshal(map[string]any{"service": "other", "address": "127.0.0.1:9", "zone": "west-a", "version": "v1",
			"slots": 8, "state": "ready", "seq": 1, "born": 1, "models": []map[string]string{{"name": strings.Repeat("m", 64)}}})
		if err != nil {
			t.Fatal(err)
		}
		n.store.Put(fmt.Sprintf("servers/other-%d", i), entry)
	}
	time.Sleep(2 * time.Second) // the node reads entries at most once a second
}
