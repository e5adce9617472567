package faulttest

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newOwnCrowdNode starts a node of the product's own interface whose descriptors are limited,
// with a service. Callers are served over TLS if secure is set.
func newOwnCrowdNode(t *testing.T, secure bool) (n *nodeProc, peer string, serves func() bool) {
	options := nodeOptions{heartbeat: "100ms", wrapper: []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, crowdMaxFDs)}}
	options.extra = fmt.Sprintf("limits: {memory: %dMiB}\n", crowdMemoryMB)
	scheme := "http"
	if secure {
		scheme = "https"
		cert, key := writeCertificate(t)
		options.extra += fmt.Sprintf("tls: {callers: {cert: %q, key: %q}}\n", cert, key)
	}
	d := deployWith(t, options, site{region: "north", nodes: 1, services: 1})
	n = d.nodes["north-1"]
	serves = func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+n.callerAddress+"/services/"+serviceName+"/validate/1", strings.NewReader("body"))
		if err != nil {
			return false
		}
		req.Header.Set("Authorization", "Bearer key-all")
		transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	waitFor(t, "the node to serve a request", serves)
	return n, n.peerProxy.target, serves
}

// writeCertificate writes a certificate for the loopback address and its key.
func writeCertificate(t *testing.T) (certPath, keyPath string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "n"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER)
}

// helloStart is the beginning of a TLS record with a handshake message that announces more.
const helloStart = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"

// TestCrowdAtOwnInterface guards against clients that end a node, or keep callers from it, through
// the listeners of the product's own interface.
func TestCrowdAtOwnInterface(t *testing.T) {
	const callers, admin, peer = "callers", "admin", "peer"
	body := fmt.Sprintf("Authorization: Bearer key-all\r\nContent-Length: %d\r\n\r\n", crowdMaxBody) + strings.Repeat("b", crowdMaxBody-1)
	const ownHead = "POST /services/" + serviceName + "/apply HTTP/1.1\r\nHost: n\r\n"
	none := func(net.Conn) {}
	for _, c := range []struct {
		at, name string
		secure   bool
		clients  int
		do       clientBehaviour
	}{
		{callers, "silent connections", false, crowdConnections, none},
		{callers, "heads without end, held", false, crowdConnections, once(ownHead + headLines(24<<10))},
		{callers, "heads without end, dripped", false, crowdConnections, drip(ownHead+headLines(crowdMaxHead), "X-A: b\r\n")},
		{callers, "heads without end, flooded", false, crowdFloods, flood(ownHead, "X-A: b\r\n")},
		{callers, "empty lines without end, flooded", false, crowdFloods, flood("", "\r\n")},
		{callers, "chunk extensions without end, dripped", false, crowdConnections, drip(ownHead+"Authorization: Bearer key-all\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a=b;")},
		{callers, "bodies without their last byte", false, crowdBodies, once(ownHead + body)},
		{callers, "HTTP/2 connections without requests", false, crowdConnections, once(http2Start(defaultWindow))},
		{callers, "HTTP/2 header lists without end", false, crowdFloods, headerFlood},
		{callers, "HTTP/2 streams opened and left", false, crowdFloods, streamFlood},
		{callers, "HTTP/2 streams opened and reset", false, crowdFloods, resetFlood},
		{callers, "silent connections instead of TLS handshakes", true, crowdConnections, none},
		{callers, "TLS handshakes that stop", true, crowdConnections, once(helloStart)},
		{callers, "TLS handshakes, dripped", true, crowdConnections, drip(helloStart, "x")},
		{callers, "TLS connections without requests", true, crowdConnections, handshakeOnly},
		{admin, "silent connections", false, crowdConnections, none},
		{admin, "heads without end, held", false, crowdConnections, once(ownHead + headLines(unfinishedHead))},
		{admin, "heads without end, flooded", false, crowdFloods, flood(ownHead, "X-A: b\r\n")},
		{peer, "silent connections", false, crowdConnections, none},
		{peer, "connections without calls", false, crowdConnections, once(http2Start(defaultWindow))},
		{peer, "header lists without end", false, crowdFloods, headerFlood},
		{peer, "streams opened and left", false, crowdFloods, streamFlood},
		{peer, "streams opened and reset", false, crowdFloods, resetFlood},
	} {
		t.Run(c.at+"/"+c.name, func(t *testing.T) {
			n, peerAddress, serves := newOwnCrowdNode(t, c.secure)
			address := map[string]string{callers: n.callerAddress, admin: *n.adminAddress.Load(), peer: peerAddress}[c.at]
			checkCrowd(t, n.process, []string{address}, c.clients, c.do, serves)
		})
	}
}

// handshakeOnly makes a TLS handshake and nothing more.
func handshakeOnly(c net.Conn) {
	_ = tls.Client(c, &tls.Config{InsecureSkipVerify: true}).Handshake() // the node may refuse the connection
}
