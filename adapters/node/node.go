package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/peer"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/admission"
	"github.com/crocusspread/crocusspread/core/adoption"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/explain"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/operations"
	"github.com/crocusspread/crocusspread/core/orders"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

// Node is an entry node. New creates it and Run runs it.
type Node struct {
	cfg     Config
	self    domain.NodeRef
	started time.Time
	log     event.Logger
	metrics *telemetry.Metrics
	explain *explain.Log

	holder             *adoption.Holder
	follower           *adoption.Follower
	group              *membership.Group
	lifecycle          *membership.Lifecycle
	registry           *registry
	tracker            *upstreams.Tracker
	domains            *upstreams.Domains
	snapshot           atomic.Pointer[routing.Snapshot]
	router             *routing.Router
	receivers          receivers
	explanationLimiter *rate.Limiter
	admission          *admission.Controller

	issuer     *operations.Issuer
	executions *operations.Executor
	claims     *operations.Claims
	orderer    *orders.Orderer
	peers      *peer.Client
	engine     *upstream.Engine
	service    *upstream.Service
	gateway    *gateway.Gateway
	callers    *callerapi.Server

	listsAdoptedAt atomic.Int64 // Unix nanoseconds
	lastRejection  atomic.Pointer[string]
	// kvRespondedAt and vmsRespondedAt are the Unix nanoseconds at which the key-value
	// service and the VM list last responded.
	kvRespondedAt  atomic.Int64
	vmsRespondedAt atomic.Int64
	vms            atomic.Pointer[[]ports.VM]
	work           workCounter
	catchUpCalls   singleflight.Group
	background     sync.WaitGroup
	sources        sourceHealth
	upstreamStates upstreamStates
	linkBudgets    map[domain.Region]*routing.LinkBudget
	linkMu         sync.Mutex
	// guard enforces limits on clients, which limits, bodies and receives hold.
	guard    *connlimit.Guard
	limits   connlimit.Shares
	bodies   *connlimit.Bodies
	receives *connlimit.Receives
	killed   chan struct{}
	killOnce sync.Once
}

// New returns a node; Run opens its sockets.
func New(cfg Config) (*Node, error) {
	now := time.Now()
	n := &Node{
		cfg: cfg, started: now, log: cfg.Log,
		self: domain.NodeRef{
			ID: cfg.ID, Incarnation: newIncarnation(), Place: cfg.Place, PeerAddress: cfg.advertisedPeer(),
			CallerAddress: cfg.CallerAddress, State: domain.NodeStarting,
		},
		metrics:            telemetry.NewMetrics(cfg.Place),
		explain:            explain.NewLog(explainCapacity),
		registry:           newRegistry(),
		linkBudgets:        make(map[domain.Region]*routing.LinkBudget),
		killed:             make(chan struct{}),
		explanationLimiter: newExplanationLimiter(),
	}
	n.buildLists(now)
	n.buildMembership(now)
	if err := n.buildRouting(); err != nil {
		return nil, err
	}
	if err := n.buildOperations(now); err != nil {
		return nil, err
	}
	n.buildAdmission()
	n.buildClientLimits()
	n.buildGateway()
	n.buildOrderer()
	return n, nil
}

// Metrics returns the node's metrics, which its admin address serves.
func (n *Node) Metrics() *telemetry.Metrics { return n.metrics }

// newIncarnation returns a random incarnation other than zero.
func newIncarnation() domain.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return domain.Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

func (n *Node) buildLists(now time.Time) {
	n.holder = adoption.NewHolder(n.onAdopted, n.onRejected)
	n.follower = adoption.NewFollower(adoption.DefaultConfig(), n.holder, uint64(n.self.Incarnation), now)
}

func (n *Node) buildMembership(now time.Time) {
	cfg := membership.DefaultConfig(n.self)
	cfg.Round = n.cfg.HeartbeatInterval
	n.group = membership.New(cfg, now)
	n.lifecycle = membership.NewLifecycle(membership.DrainWait(n.cfg.EntryTTL), n.onState)
}

func (n *Node) buildRouting() error {
	tuning, err := n.cfg.Profile.Tuning()
	if err != nil {
		return err
	}
	policy := tuning.Policy()
	if n.cfg.Policy != nil {
		policy = *n.cfg.Policy
	}
	n.router = routing.New(policy)
	n.tracker = upstreams.New(upstreams.Options{Node: n.self.ID, Place: n.cfg.Place})
	n.domains = upstreams.NewDomains(upstreams.Options{Place: n.cfg.Place})
	return n.rebuildSnapshot(time.Now())
}

func (n *Node) buildOperations(now time.Time) error {
	cfg := operations.DefaultIssuerConfig()
	cfg.MaxTotalBytes = n.cfg.RetainedResponseBytes
	cfg.Retention = max(n.cfg.ResponseRetention, cfg.FirstUse+time.Second)
	issuer, err := operations.NewIssuer(n.self.ID, n.self.Incarnation, now, cfg)
	if err != nil {
		return err
	}
	executor := operations.ExecutorRef{Node: n.self.ID, Incarnation: n.self.Incarnation}
	n.issuer = issuer
	if n.executions, err = operations.NewExecutor(executor, operations.DefaultExecutorConfig()); err != nil {
		return err
	}
	lifetime := cfg.FirstUse + cfg.MaxRun + cfg.Retention
	n.claims, err = operations.NewClaims(n.cfg.Platform.KV, issuer, lifetime, claimLeasePeriod, time.Now)
	return err
}

// claimLeasePeriod is the period during which callers' idempotency keys share one lease.
const claimLeasePeriod = time.Minute

func (n *Node) buildGateway() {
	n.peers = peer.NewClient(peer.ClientConfig{
		Credentials: transportCredentials(n.cfg.PeerClientTLS), Dial: n.cfg.PeerDial, Log: n.log,
	})
	n.engine = upstream.NewEngine(n.cfg.Upstream)
	n.service = upstream.NewService(n.cfg.Upstream)
	n.gateway = gateway.New(gateway.Deps{
		Self: n.self, Lists: n, Router: n, Tracker: n, Peers: n.peers, Nodes: n.registry,
		Operations: n.issuer, Keys: n.claims, Executions: n.executions, Admission: n.admission,
		Engine: n.engine, Service: n.service, Observer: n.metrics, Explain: n.explain, Log: n.log,
		Accepting: n.lifecycle.AcceptsRequests, Now: time.Now,
	})
	n.callers = callerapi.New(
		callerapi.Config{MaxBodyBytes: n.cfg.MaxBodyBytes, RequestTimeout: n.cfg.RequestTimeout, Bodies: n.bodies, Receives: n.receives},
		callerapi.Deps{
			Gateway: n.gateway, Operations: n, Entries: n, Lists: n.holder.Current, Accepting: n.lifecycle.AcceptsRequests,
		},
	)
}

// listen returns the configured listeners, or opens them.
func (n *Node) listen() (Listeners, error) {
	if n.cfg.Listeners != nil {
		return *n.cfg.Listeners, nil
	}
	var l Listeners
	var err error
	if l.Caller, err = net.Listen("tcp", n.cfg.CallerAddress); err != nil {
		return l, err
	}
	if l.Peer, err = net.Listen("tcp", n.cfg.PeerAddress); err != nil {
		return l, errors.Join(err, l.Caller.Close())
	}
	if l.Admin, err = net.Listen("tcp", n.cfg.AdminAddress); err != nil {
		return l, errors.Join(err, l.Caller.Close(), l.Peer.Close())
	}
	return l, nil
}

// Run serves until a graceful shutdown has completed. Canceling ctx starts the
// shutdown. Run returns nil if the shutdown aborted no request.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Log(event.NodeStarted, event.F("caller", l.Caller.Addr()), event.F("peer", l.Peer.Addr()), event.F("admin", l.Admin.Addr()))
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	servers := n.serve(l)
	loops := n.startLoops(loopCtx)
	select {
	case <-ctx.Done():
	case <-n.killed:
	case err = <-servers.failed:
	}
	aborted := n.drain(loopCtx)
	servers.stop(aborted > 0)
	stopLoops()
	loops()
	n.close()
	n.log.Log(event.NodeStopped, event.F("cut_off", aborted))
	if err == nil && aborted > 0 {
		err = errors.New("the graceful shutdown reached its time limit and aborted requests")
	}
	return err
}

// close waits for background calls and closes all connections.
func (n *Node) close() {
	n.background.Wait()
	n.peers.Close()
	n.engine.Close()
	n.service.Close()
}

// Kill makes Run return immediately, as if the process had crashed: nothing is
// drained.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }

// InFlight returns the number of requests that the node is serving.
func (n *Node) InFlight() int { return int(n.work.requests.Load()) }

// KnowsFleet reports whether the node serves, knows at least the given number of
// nodes, itself included, and has the load of at least the given number of failure
// domains.
func (n *Node) KnowsFleet(nodes, failureDomains int) bool {
	if n.lifecycle.State() != domain.NodeServing {
		return false
	}
	view := n.group.View()
	known, loaded := len(view.LocalNodes), n.loadedDomains()
	for i := range view.OtherDomains {
		known += len(view.OtherDomains[i].Nodes)
	}
	if n.knowsOwnLoad() {
		loaded++
	}
	return known >= nodes && loaded >= failureDomains
}

// servers holds the running servers.
type servers struct {
	caller, admin *http.Server
	peer          *grpc.Server
	failed        chan error
}

const (
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 5 * time.Second
	listenerCount   = 3
)

// serve starts the servers on the listeners.
func (n *Node) serve(opened Listeners) *servers {
	l := n.guardListeners(opened)
	s := &servers{
		caller: &http.Server{
			Handler: n.limitRequests(n.work.countHTTP(n.callers)), ReadHeaderTimeout: n.cfg.HeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: n.cfg.MaxHeaderBytes, TLSConfig: n.cfg.CallerTLS, Protocols: callerProtocols(), ConnState: l.caller.ConnState,
			HTTP2: &http.HTTP2Config{MaxConcurrentStreams: n.callerStreams(), MaxReceiveBufferPerConnection: callerReceiveBuffer},
		},
		admin: &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: n.cfg.HeaderTimeout, IdleTimeout: idleTimeout, ConnState: l.admin.ConnState},
		peer: peer.NewLimitedServer(&countedHandler{gateway: n.gateway, work: &n.work, metrics: n.metrics}, n, n.peerLimits(),
			transportCredentials(n.cfg.PeerServerTLS)),
		failed: make(chan error, listenerCount),
	}
	go func() { s.failed <- serveCallers(s.caller, l.caller) }()
	go func() { s.failed <- s.admin.Serve(l.admin) }()
	go func() { s.failed <- s.peer.Serve(l.peer) }()
	return s
}

// callerProtocols returns HTTP/1.1 and HTTP/2, over TLS and without.
func callerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func serveCallers(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// stop stops the servers; abort closes connections with requests in flight.
func (s *servers) stop(abort bool) {
	if abort {
		s.caller.Close()
		s.peer.Stop()
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.caller.Shutdown(ctx)
		s.peer.Stop()
	}
	_ = s.admin.Close()
}

// startLoops runs the loops until ctx ends; the returned function waits for their
// end.
func (n *Node) startLoops(ctx context.Context) (wait func()) {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){
		n.heartbeatLoop, n.listsLoop, n.vmListLoop, n.loadLoop, n.snapshotLoop, n.upkeepLoop, n.directoryLoop,
		n.orderLoop, n.guard.Run,
	} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return func() { _ = g.Wait() }
}

// every calls f immediately and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	f(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(time.Now())
		}
	}
}

// Current implements gateway.Lists.
func (n *Node) Current() *lists.Snapshot { return n.holder.Current() }
