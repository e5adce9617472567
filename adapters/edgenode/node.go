package edgenode

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// Node is one entry node.
type Node struct {
	settings *Settings
	outside  Outside
	log      event.Logger
	metrics  *telemetry.Metrics

	catalog   *instances.Catalog
	members   *peers.Members
	regions   *peers.Regions
	state     *state
	link      *storeLink
	engine    *relay.Engine
	handler   *edge.Handler
	mesh      *mesh.Client
	upstreams *upstream.Routed

	startedAt time.Time
	notices   chan instances.Notice
	// relayed counts the requests being carried for other nodes.
	relayed atomic.Int64
	// One fetch of each kind at a time; entries do not wait for a large table.
	fetchingEntries, fetchingOperator atomic.Bool
	closing                           atomic.Bool // answers close their connections
	refusing                          atomic.Bool // new requests are refused
	ready                             atomic.Bool
	seeds                             atomic.Pointer[[]string]
}

const (
	// upstreamDialTimeout is several times a handshake within a region.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamUserTimeout bounds how long sent bytes stay without an
	// acknowledgement.
	upstreamUserTimeout = 2 * time.Second
	// upstreamIdleTimeout keeps connections shorter than upstreams do.
	upstreamIdleTimeout = 1500 * time.Millisecond
	// maxIdlePerUpstream covers a node's share of an engine's slots.
	maxIdlePerUpstream = 16
	// memoryShare is the part of the memory limit that the runtime may use, and
	// bodyShare that of bodies in flight.
	memoryShare = 0.8
	bodyShare   = 0.2
	// bytesPerRequest is what a request in flight takes: goroutines, buffers
	// and two connections.
	bytesPerRequest = 96 << 10
	// garbageTarget lets the heap grow by half between collections.
	garbageTarget = 50
)

// New returns a node that is not running yet.
func New(s *Settings, o Outside, log event.Logger, m *telemetry.Metrics) *Node {
	n := &Node{settings: s, outside: o, log: log, metrics: m, startedAt: time.Now(), notices: make(chan instances.Notice, queuedNotices)}
	n.seeds.Store(&s.Seeds)
	n.members = peers.NewMembers(peers.Member{
		ID: s.Node, Place: s.Place, EntryAddress: s.EntryAddress, PeerAddress: s.PeerAddress,
		Incarnation: domain.Incarnation(time.Now().UnixMilli()), State: domain.NodeStarting, Capacity: s.ProcessorShare,
	}, 0, log)
	n.regions = peers.NewRegions(log)
	n.catalog = instances.NewCatalog(instances.Options{Self: s.Place, Log: log, ColdShare: n.coldShare, ConnectionShare: n.connectionShare, Announce: n.announce})
	n.state = newState(o.Documents, n.catalog, log)
	n.link = &storeLink{log: log, catalog: n.catalog, drop: o.DropStoreConnections}
	n.upstreams = upstream.NewRouted(upstream.Options{
		DialTimeout: upstreamDialTimeout, UserTimeout: upstreamUserTimeout,
		IdleTimeout: upstreamIdleTimeout, MaxIdlePerUpstream: maxIdlePerUpstream,
	}, o.Upstream)
	n.mesh = mesh.NewClient(s.Node, insecure.NewCredentials(), upstream.Dialer(peerDialTimeout, upstreamUserTimeout), time.Now)
	n.engine = &relay.Engine{
		Self: s.Place, Catalog: n.catalog, Members: n.members, Regions: n.regions,
		Upstreams: n.upstreams, Nodes: n.mesh,
		Budget: sharedbounds.NewRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		Policy: placement.DefaultPolicy(), Log: log, Metrics: m, Now: time.Now,
	}
	n.handler = edge.New(edge.Config{
		Dialect: o.Edge, Engine: n.engine, Table: n.state.table.Load, Accepting: n.accepting, Closing: n.closing.Load,
		Log: log, Metrics: m,
		MaxRequests:   s.MemoryBytes / 2 / bytesPerRequest,
		MaxBodyMemory: int64(bodyShare * float64(s.MemoryBytes)),
	})
	return n
}

// Reload adopts what may change while the node runs: the seeds.
func (n *Node) Reload(s *Settings) {
	n.seeds.Store(&s.Seeds)
	n.log.Log(event.SettingsReloaded, event.F("node", n.settings.Node), event.F("seeds", s.Seeds))
}

func (n *Node) coldShare(id domain.UpstreamID, rate float64) float64 {
	return sharedbounds.ColdRate(n.settings.Node, n.members.InRegion(time.Now()), id, rate)
}

const (
	// connectionReserve is the part of an upstream's connections that is left
	// unused, for idle ones and for nodes that see other members than this one.
	connectionReserve = 0.2
	// minConnections lets every node of a large region use each upstream.
	minConnections = 2
)

// connectionShare divides an upstream's connections among the nodes that reach it.
func (n *Node) connectionShare(all int) int {
	nodes := n.members.RegionSize(time.Now())
	return max(minConnections, int((1-connectionReserve)*float64(all)/float64(nodes)))
}

// inFlight returns the requests being carried, for callers and other nodes.
func (n *Node) inFlight() int64 { return n.handler.InFlight() + n.relayed.Load() }

// startHold is how long a request that arrives while the node starts is held for
// what the node has to know; the store answers within milliseconds.
const startHold = 400 * time.Millisecond

// accepting returns nil while the node takes requests.
func (n *Node) accepting(ctx context.Context) *errkind.Error {
	if !n.state.complete() {
		ctx, cancel := context.WithTimeout(ctx, startHold)
		defer cancel()
		select {
		case <-n.state.completed:
		case <-ctx.Done():
			return errkind.New(errkind.ListsUnavailable, "the node starts and does not know enough yet")
		}
	}
	if n.refusing.Load() {
		return errkind.New(errkind.Draining, "node %s stops", n.settings.Node)
	}
	return nil
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryBytes)))
	debug.SetGCPercent(garbageTarget)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Log(event.NodeStarted, event.F("node", n.settings.Node), event.F("region", n.settings.Place.Region),
		event.F("failure_domain", n.settings.Place.FailureDomain), event.F("entry", n.settings.EntryAddress))
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	servers := n.serve(group, listeners)
	n.follow(work, group)
	select {
	case <-ctx.Done():
	case <-work.Done(): // a server failed
	}
	n.stop(work, servers)
	stopWork()
	n.mesh.Close()
	n.upstreams.Close()
	err = group.Wait()
	n.log.Log(event.NodeStopped, event.F("node", n.settings.Node), event.F("requests_cut", n.inFlight()))
	return err
}

// follow starts the loops that keep the node's knowledge.
func (n *Node) follow(ctx context.Context, group *errgroup.Group) {
	loop := func(f func(context.Context)) {
		group.Go(func() error { f(ctx); return nil })
	}
	operator := &feed{store: n.outside.Store, prefix: n.outside.Documents.OperatorPrefix(), wait: operatorWait, pace: operatorPace,
		replace: n.state.replaceOperator, change: n.state.changeOperator, reached: n.state.operatorReached, link: n.link, due: n.operatorDue}
	entries := &feed{store: n.outside.Store, prefix: n.outside.Documents.InstancePrefix(), wait: entriesWait, pace: entriesPace,
		replace: n.state.replaceEntries, change: n.state.changeEntries, reached: n.state.entriesReached, link: n.link, due: n.entriesDue}
	nodes := &feed{store: n.outside.Store, prefix: n.outside.Documents.NodePrefix(), wait: nodesWait, pace: nodesPace,
		replace: n.nodesReplaced, change: n.nodesChanged, link: n.link, due: n.reader}
	loop(operator.run)
	loop(entries.run)
	loop(nodes.run)
	loop(n.register)
	loop(n.exchangeNear)
	loop(n.exchangeFar)
	loop(n.bootstrap)
	loop(n.awaitReady)
	loop(n.spreadOperator)
	loop(n.spreadEntries)
	loop(n.tellNotices)
}

const (
	// operatorWait bounds how long a watch that lost its changes goes unnoticed:
	// an evacuation must be in force within five seconds. operatorPace bounds the
	// calls while changes come in quick succession.
	operatorWait = 3 * time.Second
	operatorPace = 150 * time.Millisecond
	// entriesPace is the time between two reads of the upstreams' entries,
	// which change about once a second each; a leaving upstream must be known
	// within three seconds.
	entriesWait = 1500 * time.Millisecond
	entriesPace = time.Second
	nodesWait   = 15 * time.Second
	nodesPace   = 500 * time.Millisecond
	// peerDialTimeout bounds the set-up of a connection to another region.
	peerDialTimeout = 1500 * time.Millisecond
)

type listeners struct {
	entry, ready, directory, peer, metrics net.Listener
}

func (n *Node) listen() (*listeners, error) {
	var l listeners
	for _, want := range []struct {
		address string
		to      *net.Listener
	}{
		{n.settings.EntryAddress, &l.entry}, {n.settings.ReadyAddress, &l.ready},
		{n.settings.DirectoryAddress, &l.directory}, {n.settings.PeerAddress, &l.peer}, {n.settings.MetricsAddress, &l.metrics},
	} {
		if want.address == "" {
			continue
		}
		made, err := net.Listen("tcp", want.address)
		if err != nil {
			return nil, err
		}
		*want.to = made
	}
	return &l, nil
}

type servers struct {
	entry, ready, directory, metrics *http.Server
	peer                             *grpc.Server
}

const (
	// headerTimeout and idleTimeout are above the limits that routing tables
	// set for callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is net/http's bound for the header of one request.
	maxHeaderBytes = 64 << 10
)

func (n *Node) serve(group *errgroup.Group, l *listeners) *servers {
	directory := &edge.Directory{Dialect: n.outside.Edge, Entries: n.entries, TTL: n.directoryTTL(), Log: n.log}
	s := &servers{
		entry:     newHTTPServer(n.handler),
		ready:     newHTTPServer(edge.ReadyHandler(n.outside.Edge, n.ready.Load)),
		directory: newHTTPServer(directory.Handler()),
		peer:      mesh.NewServer(insecure.NewCredentials(), n, time.Now),
	}
	start := func(server *http.Server, on net.Listener) {
		group.Go(func() error { return ignoreClosed(server.Serve(on)) })
	}
	start(s.entry, l.entry)
	start(s.ready, l.ready)
	start(s.directory, l.directory)
	group.Go(func() error { return s.peer.Serve(l.peer) })
	if l.metrics != nil {
		s.metrics = newHTTPServer(telemetry.Handler(n.metrics.Registry))
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

func (n *Node) entries(host string, region domain.Region) []string {
	var preferred []domain.Region
	if t := n.state.table.Load(); t != nil {
		preferred = t.HostRegions(host)
	}
	return n.members.Entries(time.Now(), region, preferred)
}

// directoryTTL is short, so that callers soon leave a node that stops.
const directoryTTL = time.Second

func (n *Node) directoryTTL() time.Duration {
	if n.settings.MaxDirectoryTTL > 0 {
		return min(directoryTTL, n.settings.MaxDirectoryTTL)
	}
	return directoryTTL
}
