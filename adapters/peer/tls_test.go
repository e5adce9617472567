package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/crocusspread/crocusspread/adapters/peer"
	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// newAuthority returns a self-signed CA certificate, which is also a node certificate,
// and a pool that contains it.
func newAuthority(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// TestOnlyTrustedCertificatesAreAccepted connects with a certificate of the fleet, with
// one of another authority, and with none.
func TestOnlyTrustedCertificatesAreAccepted(t *testing.T) {
	trusted, trustedPool := newAuthority(t)
	foreign, foreignPool := newAuthority(t)
	ran := false
	address := listen(t, peer.NewServer(handlerFunc(func(ctx context.Context, fwd *gateway.ForwardedRequest, w answer.Writer) error {
		ran = true
		return echo(ctx, fwd, w)
	}), nil, credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{trusted}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: trustedPool})))
	for name, tc := range map[string]struct {
		cfg    *tls.Config
		served bool
	}{
		"trusted certificate":   {&tls.Config{Certificates: []tls.Certificate{trusted}, RootCAs: trustedPool}, true},
		"foreign certificate":   {&tls.Config{Certificates: []tls.Certificate{foreign}, RootCAs: trustedPool}, false},
		"no certificate":        {&tls.Config{RootCAs: trustedPool}, false},
		"untrusted server":      {&tls.Config{Certificates: []tls.Certificate{trusted}, RootCAs: foreignPool}, false},
		"foreign on both sides": {&tls.Config{Certificates: []tls.Certificate{foreign}, RootCAs: foreignPool}, false},
		"wrong server name":     {&tls.Config{Certificates: []tls.Certificate{trusted}, RootCAs: trustedPool, ServerName: "elsewhere"}, false},
	} {
		ran = false
		_, _, err := execute(testContext(t), newClientWith(t, credentials.NewTLS(tc.cfg), testTimeout, nil), newRequest(address))
		if tc.served != (err == nil) || tc.served != ran {
			t.Errorf("%s: got execution %t, error %v", name, ran, err)
		}
		if !tc.served && !errors.Is(err, errkind.Of(errkind.PeerUnreachable)) && !errors.Is(err, errkind.Of(errkind.PeerLost)) {
			t.Errorf("%s: got %v, want peer_unreachable or peer_lost", name, err)
		}
	}
	if _, _, err := execute(testContext(t), newClient(t, testTimeout), newRequest(address)); err == nil {
		t.Error("a connection without TLS was accepted")
	}
}
