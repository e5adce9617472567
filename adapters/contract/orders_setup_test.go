package contract

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/orders"
	"github.com/crocusspread/crocusspread/core/ports"
)

const orderDomain = domain.FailureDomain("d")

// orderCluster is a failure domain in virtual time: a platform, engines and the
// orderers of its nodes.
type orderCluster struct {
	t         *testing.T
	ctx       context.Context
	platform  *platformsim.Sim
	engines   []*enginesim.Sim
	refs      []domain.UpstreamRef
	client    *upstream.Engine
	nodes     []*orderNode
	wanted    []string
	running   sync.WaitGroup
	configure func(*orders.Config)
	// observed replaces the nodes' view of the engines; nil means the actual state.
	observed []orders.Engine
}

// orderNode is one node. It implements the node's access to platform and engines, so
// that faults can be injected for this node only.
type orderNode struct {
	ports.KV
	cluster        *orderCluster
	orderer        *orders.Orderer
	metrics        *telemetry.Metrics
	stop           context.CancelFunc
	rank           int
	mu             sync.Mutex
	draining       bool
	beforeLoad     func() // called before a load request, which precedes an order
	beforeOrder    func() // called after the check of the clock, before an order is sent
	beforeSwap     func()
	afterKeepAlive func() // called after a keep-alive took effect, before its response
	orderErr       error
	kvErr          error
}

// newOrderCluster returns a cluster whose engines have model "a" loaded, unless the
// configuration lists other models, and have room for another one.
func newOrderCluster(t *testing.T, engines int, engine enginesim.Config, platform platformsim.Config, configure func(*orders.Config)) *orderCluster {
	w := &orderCluster{t: t, platform: platformsim.New(platform), wanted: []string{"a", "b"}, configure: configure}
	ctx, cancel := context.WithCancel(context.Background())
	w.ctx = ctx
	dials := make(map[string]func(context.Context, string, string) (net.Conn, error))
	for i := range engines {
		c := engine
		c.ID, c.TimeScale = domain.UpstreamID(fmt.Sprintf("e%d", i)), 1
		if c.Models == nil {
			c.Models = []string{"a"}
		}
		sim := enginesim.New(c)
		ref := domain.UpstreamRef{ID: c.ID, Address: string(c.ID) + ":80"}
		dials[ref.Address] = serveInMemory(t, sim)
		w.engines, w.refs = append(w.engines, sim), append(w.refs, ref)
	}
	w.client = upstream.NewEngine(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		return dials[address](ctx, network, address)
	}})
	t.Cleanup(w.client.Close)
	t.Cleanup(func() {
		cancel()
		w.running.Wait()
	})
	return w
}

func (w *orderCluster) newNode(rank int) *orderNode {
	cfg := orders.DefaultConfig(domain.NodeID(fmt.Sprintf("n%d", rank)), domain.Incarnation(rank+1), orderDomain)
	cfg.MaxModelsPerEngine, cfg.MaxChangingFraction, cfg.MissingDuration = 2, 1, 0
	if w.configure != nil {
		w.configure(&cfg)
	}
	n := &orderNode{cluster: w, KV: w.platform.KV(), rank: rank, metrics: telemetry.NewMetrics(domain.Place{})}
	n.orderer = orders.New(cfg, orders.Deps{
		KV: n, Weights: w.platform.WeightStore(), Engines: n, Log: event.Discard{}, Meter: n.metrics, Now: time.Now,
	})
	w.nodes = append(w.nodes, n)
	return n
}

// start runs the node's rounds until it is stopped.
func (n *orderNode) start() {
	ctx, cancel := context.WithCancel(n.cluster.ctx)
	n.stop = cancel
	n.cluster.running.Go(func() {
		for ctx.Err() == nil {
			n.round(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	})
}

func (n *orderNode) round(ctx context.Context) {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	n.orderer.Round(ctx, orders.DomainView{
		Eligible: !draining, Rank: n.rank, Engines: n.cluster.observe(), DesiredModels: n.cluster.wanted,
	})
}

func (w *orderCluster) observe() []orders.Engine {
	if w.observed != nil {
		return w.observed
	}
	var all []orders.Engine
	for i, e := range w.engines {
		r := e.Load()
		all = append(all, orders.Engine{Ref: w.refs[i], Models: r.Models, Live: true, Reported: true, Slots: float64(r.Slots)})
	}
	return all
}

func (n *orderNode) set(change func(*orderNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// runHook calls a hook, if it is set, and removes it. A process frozen in the hook
// continues afterwards regardless of its deadline, so the returned context has none.
func (n *orderNode) runHook(ctx context.Context, hook *func()) context.Context {
	n.mu.Lock()
	f := *hook
	*hook = nil
	n.mu.Unlock()
	if f == nil {
		return ctx
	}
	f()
	return n.cluster.ctx
}

// Load implements orders.Engines.
func (n *orderNode) Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	return n.cluster.client.Load(n.runHook(ctx, &n.beforeLoad), up)
}

// Order implements orders.Engines.
func (n *orderNode) Order(ctx context.Context, up domain.UpstreamRef, o ports.EngineOrder) error {
	n.mu.Lock()
	err := n.orderErr
	n.mu.Unlock()
	if err != nil {
		return err
	}
	return n.cluster.client.Order(n.runHook(ctx, &n.beforeOrder), up, o)
}

// KeepAlive implements ports.KV.
func (n *orderNode) KeepAlive(ctx context.Context, id ports.LeaseID) error {
	n.mu.Lock()
	err := n.kvErr
	n.mu.Unlock()
	if err != nil {
		return err
	}
	err = n.KV.KeepAlive(ctx, id)
	n.runHook(ctx, &n.afterKeepAlive)
	return err
}

// CompareAndSwap implements ports.KV.
func (n *orderNode) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	return n.KV.CompareAndSwap(n.runHook(ctx, &n.beforeSwap), key, prev, value, id)
}

// holder returns the node that is ordering, or waiting to do so.
func (w *orderCluster) holder() *orderNode {
	w.t.Helper()
	for _, n := range w.nodes {
		if n.orderer.Status().State != orders.Candidate {
			return n
		}
	}
	w.t.Fatal("no node holds the lease")
	return nil
}

// received returns the orders received by all engines.
func (w *orderCluster) received() []enginesim.OrderRecord {
	synctest.Wait()
	var all []enginesim.OrderRecord
	for _, e := range w.engines {
		all = append(all, e.Orders()...)
	}
	return all
}

// countReceived returns the number of orders received in a time interval.
func (w *orderCluster) countReceived(from, to time.Time) int {
	count := 0
	for _, r := range w.received() {
		if !r.ReceivedAt.Before(from) && r.ReceivedAt.Before(to) {
			count++
		}
	}
	return count
}

// checkOrdersDisjoint reports orders that arrived at any engine after an order with a
// higher fencing number. It returns the number of holders that sent orders.
func (w *orderCluster) checkOrdersDisjoint() (holders int) {
	w.t.Helper()
	type span struct{ first, last time.Time }
	spans := make(map[uint64]span)
	for _, r := range w.received() {
		s, ok := spans[r.Order.Fencing]
		if !ok || r.ReceivedAt.Before(s.first) {
			s.first = r.ReceivedAt
		}
		if r.ReceivedAt.After(s.last) {
			s.last = r.ReceivedAt
		}
		spans[r.Order.Fencing] = s
	}
	for old, a := range spans {
		for newer, b := range spans {
			if old < newer && !a.last.Before(b.first) {
				w.t.Errorf("an order with fencing number %d arrived %v after the first with number %d", old, a.last.Sub(b.first), newer)
			}
		}
	}
	return len(spans)
}
