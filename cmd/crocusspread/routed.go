package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/crocusspread/crocusspread/adapters/edgenode"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/platform"
)

const (
	// flushTimeout limits the final writes of the log.
	flushTimeout = 100 * time.Millisecond
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
	logWriter, err := setUpLog(opts)
	if err != nil {
		return err
	}
	defer logWriter.Close(flushTimeout)
	log := telemetry.NewLog(s.Node)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n := edgenode.New(s, dependencies(s), log, telemetry.NewMetrics(s.Place))
	go reload(ctx, n, path, log)
	return n.Run(ctx)
}

// setUpLog directs the log to standard output without ever blocking on it.
func setUpLog(opts options) (*telemetry.Writer, error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "v": strconv.Itoa(opts.Verbosity)} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	w := telemetry.NewWriter(os.Stdout, opts.LogLines)
	klog.SetOutput(w)
	return w, nil
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

// reload reloads the settings on SIGHUP; invalid settings are not applied.
func reload(ctx context.Context, n *edgenode.Node, path string, log event.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Log(event.SettingsRefused, event.F("path", path), event.F("error", err))
			continue
		}
		n.Reload(s)
	}
}
