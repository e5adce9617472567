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

// authority signs itself and serves as a node's certificate too.
func authority(t *testing.T) (tls.Certificate, *x509.CertPool) {
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

// TestOnlyNodesOfTheFleetAreServed connects with certificates of the fleet, of a
// stranger, and with none.
func TestOnlyNodesOfTheFleetAreServed(t *testing.T) {
	own, ownPool := authority(t)
	strange, strangePool := authority(t)
	ran := false
	address := listen(t, peer.NewServer(handler(func(ctx context.Context, fwd *gateway.Forward, w answer.Writer) error {
		ran = true
		return echo(ctx, fwd, w)
	}), nil, credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{own}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: ownPool})))
	for name, row := range map[string]struct {
		cfg    *tls.Config
		served bool
	}{
		"own certificate":          {&tls.Config{Certificates: []tls.Certificate{own}, RootCAs: ownPool}, true},
		"strange certificate":      {&tls.Config{Certificates: []tls.Certificate{strange}, RootCAs: ownPool}, false},
		"no certificate":           {&tls.Config{RootCAs: ownPool}, false},
		"server is not trusted":    {&tls.Config{Certificates: []tls.Certificate{own}, RootCAs: strangePool}, false},
		"strange on both sides":    {&tls.Config{Certificates: []tls.Certificate{strange}, RootCAs: strangePool}, false},
		"another name is expected": {&tls.Config{Certificates: []tls.Certificate{own}, RootCAs: ownPool, ServerName: "elsewhere"}, false},
	} {
		ran = false
		_, _, err := execute(bounded(t), newClientWith(t, credentials.NewTLS(row.cfg), hangBound, nil), request(address))
		if row.served != (err == nil) || row.served != ran {
			t.Errorf("%s: ran %t, %v", name, ran, err)
		}
		if !row.served && !errors.Is(err, errkind.Of(errkind.PeerUnreachable)) && !errors.Is(err, errkind.Of(errkind.PeerLost)) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	if _, _, err := execute(bounded(t), newClient(t, hangBound), request(address)); err == nil {
		t.Error("clear text is served")
	}
}
