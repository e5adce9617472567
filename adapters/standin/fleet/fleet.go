// Package fleet runs a small but complete deployment in one process on loopback:
// a simulated platform, simulated model engines and plain services, and real
// nodes in several failure domains. The demo, tests and benchmarks share it.
package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/node"
	"github.com/crocusspread/crocusspread/adapters/platform"
	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/adapters/standin/servicesim"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routing"
)

// Domain configures one failure domain of the deployment.
type Domain struct {
	Place domain.Place
	// Nodes, Engines and Services are the numbers of instances to start.
	Nodes    int
	Engines  int
	Services int
	// Engine is the configuration of each engine; Start sets its ID.
	Engine enginesim.Config
	// Service is the name of the plain service.
	Service string
	// ServiceConfig is the configuration of each plain service; Start sets its ID.
	ServiceConfig servicesim.Config
}

// Config configures a deployment.
type Config struct {
	Domains []Domain
	// Document holds the lists that are applied before the nodes start.
	Document lists.Document
	Platform platformsim.Config
	Profile  routing.Profile
	// FirstCallerPort, if not zero, is the caller port of the first node; the
	// following nodes use FirstCallerPort+1, FirstCallerPort+2 and so on. Peer and
	// admin listeners always use ephemeral ports.
	FirstCallerPort int
	// InterRegionDelay and InterDomainDelay are the emulated one-way network delays
	// between nodes of different regions and of different failure domains.
	InterRegionDelay time.Duration
	InterDomainDelay time.Duration
	// PlatformTransport is the HTTP transport that nodes use to reach the platform;
	// nil selects the default.
	PlatformTransport http.RoundTripper
	// Adjust, if not nil, modifies each node's configuration before the node is
	// created.
	Adjust func(*node.Config)
	// Log, if not nil, returns the event logger of a node.
	Log func(domain.NodeID) event.Logger
}

// Node is a running node.
type Node struct {
	ID            domain.NodeID
	Place         domain.Place
	CallerAddress string // host:port
	PeerAddress   string
	AdminAddress  string
	Process       *node.Node
	stop          context.CancelFunc
	done          chan struct{}
	err           error
}

// Stop starts a planned stop of the node and returns at once.
func (n *Node) Stop() { n.stop() }

// Wait blocks until the node has terminated and returns the error of its Run.
func (n *Node) Wait() error {
	<-n.done
	return n.err
}

// Fleet is a running deployment.
type Fleet struct {
	Platform    *platformsim.Sim
	PlatformURL string
	Engines     []*Engine
	Services    []*Service
	Nodes       []*Node
	servers     []*http.Server
	client      *platform.Client
	wan         *emulatedWAN
	background  sync.WaitGroup
}

// Engine is a running simulated model engine.
type Engine struct {
	*enginesim.Sim
	ID      domain.UpstreamID
	Place   domain.Place
	Address string
}

// Service is a running simulated plain service.
type Service struct {
	*servicesim.Sim
	ID      domain.UpstreamID
	Name    string
	Place   domain.Place
	Address string
}

const loopback = "127.0.0.1"

// Start starts a deployment. The caller must Close it.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{
		Platform: platformsim.New(cfg.Platform),
		wan:      &emulatedWAN{betweenRegions: cfg.InterRegionDelay, betweenDomains: cfg.InterDomainDelay, places: make(map[string]domain.Place)},
	}
	address, err := f.serve(f.Platform)
	if err != nil {
		return nil, err
	}
	f.PlatformURL = "http://" + address
	f.client = platform.New(f.PlatformURL, platform.Options{Transport: cfg.PlatformTransport})
	if err := f.startUpstreams(cfg); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.Apply(context.Background(), cfg.Document, "fleet", "first lists"); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startNodes(cfg); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// StartReady starts a deployment and waits until it is ready. If ctx ends first,
// it closes the deployment and returns an error.
func StartReady(ctx context.Context, cfg Config) (*Fleet, error) {
	f, err := Start(cfg)
	if err != nil {
		return nil, err
	}
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Apply publishes a document as the current lists in the key-value service.
func (f *Fleet) Apply(ctx context.Context, d lists.Document, author, reason string) error {
	applier := lists.Applier{KV: f.Platform.KV()}
	_, err := applier.Apply(ctx, lists.Proposal{
		ChangeID: rand.Text(), Author: author, Reason: reason, Time: time.Now(), Document: d,
	})
	return err
}

// serve starts an HTTP server for a handler on an ephemeral loopback port.
func (f *Fleet) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	f.background.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

func (f *Fleet) startUpstreams(cfg Config) error {
	for _, d := range cfg.Domains {
		for i := range d.Engines {
			if err := f.startEngine(d, i); err != nil {
				return err
			}
		}
		for i := range d.Services {
			if err := f.AddService(d, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(d Domain, i int) error {
	c := d.Engine
	c.ID = domain.UpstreamID(fmt.Sprintf("engine-%s-%d", d.Place.FailureDomain, i))
	sim := enginesim.New(c)
	address, err := f.serve(sim)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, &Engine{Sim: sim, ID: c.ID, Place: d.Place, Address: address})
	f.Platform.UpdateVM(ports.VM{ID: string(c.ID), Role: ports.RoleEngine, Place: d.Place, Address: address})
	return nil
}

// AddService starts the i-th plain service of a failure domain.
func (f *Fleet) AddService(d Domain, i int) error {
	c := d.ServiceConfig
	c.ID = domain.UpstreamID(fmt.Sprintf("%s-%s-%d", d.Service, d.Place.FailureDomain, i))
	sim := servicesim.New(c)
	address, err := f.serve(sim)
	if err != nil {
		return err
	}
	f.Services = append(f.Services, &Service{Sim: sim, ID: c.ID, Name: d.Service, Place: d.Place, Address: address})
	f.Platform.UpdateVM(ports.VM{ID: string(c.ID), Role: ports.RoleService, Place: d.Place, Target: d.Service, Address: address})
	return nil
}

func (f *Fleet) startNodes(cfg Config) error {
	var prepared []node.Config
	for _, d := range cfg.Domains {
		for i := range d.Nodes {
			c, err := f.prepareNode(cfg, d, i, len(prepared))
			if err != nil {
				return err
			}
			prepared = append(prepared, c)
			f.Platform.UpdateVM(ports.VM{ID: string(c.ID), Role: ports.RoleEntry, Place: c.Place, Address: c.PeerAddress})
		}
	}
	for _, c := range prepared {
		if err := f.startNode(c); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) prepareNode(cfg Config, d Domain, i, index int) (node.Config, error) {
	callerPort := 0
	if cfg.FirstCallerPort != 0 {
		callerPort = cfg.FirstCallerPort + index
	}
	l, err := openListeners(callerPort)
	if err != nil {
		return node.Config{}, err
	}
	c := node.Config{
		ID: domain.NodeID(fmt.Sprintf("node-%s-%d", d.Place.FailureDomain, i)), Place: d.Place, Listeners: l,
		CallerAddress: l.Caller.Addr().String(), PeerAddress: l.Peer.Addr().String(), AdminAddress: l.Admin.Addr().String(),
		Profile: cfg.Profile, HeaderTimeout: 5 * time.Second, RequestTimeout: 10 * time.Minute,
		MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, EntryTTL: 2 * time.Second, DrainTimeout: time.Minute,
		RetainedResponseBytes: 32 << 20, ResponseRetention: 10 * time.Minute, HeartbeatInterval: 500 * time.Millisecond,
		Upstream: upstream.Options{}, Log: event.Discard{},
		Platform: node.Platform{
			KV: f.client.KV(), VMList: f.client.VMList(), Directory: f.client.Directory(), Weights: f.client.WeightStore(),
		},
	}
	f.wan.setPlace(c.PeerAddress, c.Place)
	if cfg.InterRegionDelay+cfg.InterDomainDelay > 0 {
		c.PeerDial = f.wan.dialer(c.Place)
	}
	if c.Profile == "" {
		c.Profile = routing.ProfileLatency
	}
	if cfg.Log != nil {
		c.Log = cfg.Log(c.ID)
	}
	if cfg.Adjust != nil {
		cfg.Adjust(&c)
	}
	return c, nil
}

func openListeners(callerPort int) (*node.Listeners, error) {
	caller, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, callerPort))
	if err != nil {
		return nil, err
	}
	peer, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	admin, err := net.Listen("tcp", loopback+":0")
	return &node.Listeners{Caller: caller, Peer: peer, Admin: admin}, err
}

func (f *Fleet) startNode(c node.Config) error {
	process, err := node.New(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		ID: c.ID, Place: c.Place, CallerAddress: c.CallerAddress, PeerAddress: c.PeerAddress, AdminAddress: c.AdminAddress,
		Process: process, stop: cancel, done: make(chan struct{}),
	}
	f.Nodes = append(f.Nodes, n)
	go func() {
		defer close(n.done)
		n.err = process.Run(ctx)
	}()
	return nil
}

// VM returns the VM list row of an upstream, or the zero VM if the fleet does
// not run it.
func (f *Fleet) VM(id domain.UpstreamID) ports.VM {
	for _, e := range f.Engines {
		if e.ID == id {
			return ports.VM{ID: string(id), Role: ports.RoleEngine, Place: e.Place, Address: e.Address}
		}
	}
	for _, s := range f.Services {
		if s.ID == id {
			return ports.VM{ID: string(id), Role: ports.RoleService, Place: s.Place, Target: s.Name, Address: s.Address}
		}
	}
	return ports.VM{}
}

// NodeIn returns the first node of a failure domain, or nil if it has none.
func (f *Fleet) NodeIn(fd domain.FailureDomain) *Node {
	for _, n := range f.Nodes {
		if n.Place.FailureDomain == fd {
			return n
		}
	}
	return nil
}

// readyPollInterval is the interval at which WaitReady polls each node.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every node is serving, has discovered every other node
// and has received load reports from every failure domain. It returns an error
// if ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		for !n.Process.KnowsFleet(len(f.Nodes), f.countFailureDomains()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("node %s is not ready: %w", n.ID, ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// countFailureDomains returns the number of failure domains that have upstreams.
func (f *Fleet) countFailureDomains() int {
	seen := make(map[domain.FailureDomain]bool)
	for _, e := range f.Engines {
		seen[e.Place.FailureDomain] = true
	}
	for _, s := range f.Services {
		seen[s.Place.FailureDomain] = true
	}
	return len(seen)
}

// Close stops all nodes and servers immediately, without a planned stop.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Process.Kill()
		n.stop()
	}
	for _, n := range f.Nodes {
		<-n.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.background.Wait()
	if f.client != nil {
		f.client.Close()
	}
}
