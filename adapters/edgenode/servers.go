package edgenode

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
)

// listeners holds the listeners of a node; metrics may be nil.
type listeners struct {
	entry, ready, directory, peer, metrics net.Listener
}

// listen opens the listeners for all configured addresses.
func (n *Node) listen() (*listeners, error) {
	var l listeners
	for _, entry := range []struct {
		address  string
		listener *net.Listener
	}{
		{n.settings.EntryAddress, &l.entry}, {n.settings.ReadyAddress, &l.ready},
		{n.settings.DirectoryAddress, &l.directory}, {n.settings.PeerAddress, &l.peer}, {n.settings.MetricsAddress, &l.metrics},
	} {
		if entry.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", entry.address)
		if err != nil {
			return nil, err
		}
		*entry.listener = opened
	}
	return &l, nil
}

// servers holds the servers of a node; metrics may be nil.
type servers struct {
	entry, ready, directory, metrics *http.Server
	peer                             *grpc.Server
}

const (
	// headerTimeout and idleTimeout are greater than the limits that routing tables
	// set for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is the maximum size of a request's header in net/http.
	maxHeaderBytes = 64 << 10
)

// serve starts the servers in group.
func (n *Node) serve(group *errgroup.Group, opened *listeners) *servers {
	l := n.guardListeners(opened)
	directory := &edge.Directory{Dialect: n.deps.Edge, Entries: n.entries, TTL: n.directoryTTL(), Log: n.log}
	s := &servers{
		entry:     newHTTPServer(n.handler),
		ready:     newHTTPServer(edge.ReadyHandler(n.deps.Edge, n.ready.Load)),
		directory: newHTTPServer(directory.Handler()),
		peer:      mesh.NewServer(insecure.NewCredentials(), n, n.meshLimits(), time.Now),
	}
	s.entry.BaseContext = func(net.Listener) context.Context { return n.requests }
	start := func(server *http.Server, listener *connlimit.Listener) {
		server.ConnState = listener.ConnState
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	}
	start(s.entry, l.entry)
	start(s.ready, l.ready)
	start(s.directory, l.directory)
	group.Go(func() error { return s.peer.Serve(l.peer) })
	if l.metrics != nil {
		s.metrics = newHTTPServer(n.metricsHandler())
		start(s.metrics, l.metrics)
	}
	return s
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: telemetry.DiscardLog()}
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}
