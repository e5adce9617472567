package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"

	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/adapters/settings"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/orders"
	"github.com/crocusspread/crocusspread/core/routing"
)

// FromSettings returns the configuration for the given settings. It fails if a key
// or certificate cannot be read.
func FromSettings(s *settings.Settings) (Config, error) {
	cfg := Config{
		ID: s.Node.ID, Place: s.Node.Place(),
		CallerAddress: s.Listen.Caller, PeerAddress: s.Listen.Peer, AdminAddress: s.Listen.Admin,
		AdvertisedPeer: s.Listen.AdvertisedPeer,
		Profile:        routing.Profile(s.Profile),
		HeaderTimeout:  s.TimeLimits.Header, RequestTimeout: s.TimeLimits.Request,
		MaxBodyBytes: int64(s.Sizes.MaxBody), MaxHeaderBytes: int(s.Sizes.MaxHeader),
		MemoryBytes: int64(s.Limits.Memory), MaxOpenFiles: s.Limits.OpenFiles,
		EntryTTL: s.Drain.EntryTTL, DrainTimeout: s.Drain.Max,
		RetainedResponseBytes: int(s.KeptAnswers.MaxBytes), ResponseRetention: s.KeptAnswers.Retention,
		HeartbeatInterval: s.Heartbeat,
		LinkMbps:          make(map[domain.Region]int),
		Upstream:          upstream.Options{ProgressTimeout: s.TimeLimits.Progress},
		Log:               telemetry.NewLog(s.Node.ID),
	}
	order := orders.DefaultConfig(s.Node.ID, 0, s.Node.FailureDomain)
	order.MaxModelsPerEngine = s.Orders.MaxModelsPerEngine
	cfg.Orders = &order
	for _, l := range s.Links {
		cfg.LinkMbps[l.Region] = l.MegabitsPerSec
	}
	client := platform.New(s.Platform.URL, platform.Options{})
	cfg.Platform = Platform{KV: client.KV(), VMList: client.VMList(), Directory: client.Directory(), Weights: client.WeightStore()}
	if err := loadKeys(&cfg, s.TLS); err != nil {
		return Config{}, err
	}
	return cfg, nil
}

// loadKeys reads the keys and certificates for connections with callers and with
// other nodes.
func loadKeys(cfg *Config, t settings.TLS) error {
	if t.Callers.Enabled() {
		cert, err := tls.LoadX509KeyPair(t.Callers.Cert, t.Callers.Key)
		if err != nil {
			return oops.In("settings").With("key", "tls.callers").Wrapf(err, "load the callers' certificate")
		}
		cfg.CallerTLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	if !t.Nodes.Enabled() {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(t.Nodes.Cert, t.Nodes.Key)
	if err != nil {
		return oops.In("settings").With("key", "tls.nodes").Wrapf(err, "load the node's certificate")
	}
	pem, err := os.ReadFile(t.Nodes.CA)
	if err != nil {
		return oops.In("settings").With("key", "tls.nodes.ca").Wrapf(err, "read the nodes' certificate authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return oops.In("settings").With("key", "tls.nodes.ca").Errorf("%s contains no certificate", t.Nodes.CA)
	}
	cfg.PeerServerTLS = &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities, MinVersion: tls.VersionTLS13,
	}
	cfg.PeerClientTLS = &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: authorities, MinVersion: tls.VersionTLS13}
	return nil
}
