package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/crocusspread/crocusspread/adapters/edgenode"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/platform"
)

const (
	// storeDialTimeout allows for the round-trip time between regions and a lost
	// packet.
	storeDialTimeout = 1500 * time.Millisecond
	storeUserTimeout = 2 * time.Second
	storeIdleTimeout = 30 * time.Second
)

// serveRouted runs a node that routes by routing table, on the users' platform, until
// it receives a termination signal.
func serveRouted(opts options) error {
	path := opts.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsEnvVar)
	}
	if path == "" {
		return errors.New("neither --settings nor " + platform.SettingsEnvVar + " is set to the path of the settings file")
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if opts.CheckSettings {
		return nil
	}
	if opts.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(s.EntryAddress)
		if err != nil {
			return err
		}
		s.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(opts.MetricsPort))
	}
	logWriter, err := setUpLog(opts, os.Stdout)
	if err != nil {
		return err
	}
	defer logWriter.Close(flushTimeout)
	log, metrics := telemetry.NewLog(s.Node), telemetry.NewMetrics(s.Place)
	metrics.ObserveGauge(telemetry.LogLinesDropped, logWriter.Dropped)
	n := edgenode.New(s, dependencies(s), log, metrics)
	ctx := handleSignals(log, logWriter, func() { reload(n, path, log) })
	if ctx.Err() != nil {
		return nil // a stop was requested before the node listened
	}
	return n.Run(ctx)
}

// dependencies returns the platform-specific dependencies of the node.
func dependencies(s *edgenode.Settings) edgenode.Dependencies {
	dial := upstream.Dialer(storeDialTimeout, storeUserTimeout)
	transport := &http.Transport{
		DialContext:     func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
	}
	store := platform.NewStore(s.StoreAddress, transport)
	return edgenode.Dependencies{
		Store: store, Documents: platform.Documents{RegionByFailureDomain: s.RegionByFailureDomain},
		Edge: platform.Dialect{}, Upstream: platform.Dialect{}, DropStoreConnections: store.DropConnections,
	}
}

// reload reloads the settings; invalid settings are not applied.
func reload(n *edgenode.Node, path string, log event.Logger) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Log(event.SettingsRefused, event.F("path", path), event.F("error", err))
		return
	}
	n.Reload(s)
}
