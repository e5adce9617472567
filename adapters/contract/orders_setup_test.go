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

// orderWorld is a failure domain in virtual time: a platform, engines and the
// orderers of its nodes.
type orderWorld struct {
	t        *testing.T
	ctx      context.Context
	platform *platformsim.Sim
	engines  []*enginesim.Sim
	refs     []domain.UpstreamRef
	client   *upstream.Engine
	nodes    []*orderNode
	wanted   []string
	running  sync.WaitGroup
	adjust   func(*orders.Config)
	// seen replaces what the nodes know of the engines; nil for the truth.
	seen []orders.Engine
}

// orderNode is one node; it is its own view of platform and engines, so that
// faults can hit it alone.
type orderNode struct {
	ports.KV
	world    *orderWorld
	orderer  *orders.Orderer
	metrics  *telemetry.Metrics
	stop     context.CancelFunc
	rank     int
	mu       sync.Mutex
	draining bool
	onLoad   func() // runs before a load is read, that is, before an order
	onOrder  func() // runs after the look at the clock, before an order leaves
	onSwap   func()
	onKept   func() // runs after a keep-alive's effect, before its answer
	orderErr error
	kvErr    error
}

// newOrderWorld has engines with model "a" and room for one more.
func newOrderWorld(t *testing.T, engines int, engine enginesim.Config, platform platformsim.Config, adjust func(*orders.Config)) *orderWorld {
	w := &orderWorld{t: t, platform: platformsim.New(platform), wanted: []string{"a", "b"}, adjust: adjust}
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
		dials[ref.Address] = serve(t, sim)
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

func (w *orderWorld) newNode(rank int) *orderNode {
	cfg := orders.DefaultConfig(domain.NodeID(fmt.Sprintf("n%d", rank)), domain.Incarnation(rank+1), orderDomain)
	cfg.MaxModelsPerEngine, cfg.MaxChangingShare, cfg.MissingFor = 2, 1, 0
	if w.adjust != nil {
		w.adjust(&cfg)
	}
	n := &orderNode{world: w, KV: w.platform.KV(), rank: rank, metrics: telemetry.NewMetrics(domain.Place{})}
	n.orderer = orders.New(cfg, orders.Deps{
		KV: n, Weights: w.platform.WeightStore(), Engines: n, Log: event.Discard{}, Meter: n.metrics, Now: time.Now,
	})
	w.nodes = append(w.nodes, n)
	return n
}

// start runs a node's rounds until it is killed.
func (n *orderNode) start() {
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.stop = cancel
	n.world.running.Go(func() {
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
	n.orderer.Round(ctx, orders.Situation{
		Eligible: !draining, Rank: n.rank, Engines: n.world.look(), Wanted: n.world.wanted,
	})
}

func (w *orderWorld) look() []orders.Engine {
	if w.seen != nil {
		return w.seen
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

// once runs a hook, if it is set, and takes it. A process frozen in there goes
// on when it thaws, whatever its time limit was: the context returned is without.
func (n *orderNode) once(ctx context.Context, hook *func()) context.Context {
	n.mu.Lock()
	f := *hook
	*hook = nil
	n.mu.Unlock()
	if f == nil {
		return ctx
	}
	f()
	return n.world.ctx
}

// Load implements orders.Engines.
func (n *orderNode) Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	return n.world.client.Load(n.once(ctx, &n.onLoad), up)
}

// Order implements orders.Engines.
func (n *orderNode) Order(ctx context.Context, up domain.UpstreamRef, o ports.EngineOrder) error {
	n.mu.Lock()
	err := n.orderErr
	n.mu.Unlock()
	if err != nil {
		return err
	}
	return n.world.client.Order(n.once(ctx, &n.onOrder), up, o)
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
	n.once(ctx, &n.onKept)
	return err
}

// CompareAndSwap implements ports.KV.
func (n *orderNode) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	return n.KV.CompareAndSwap(n.once(ctx, &n.onSwap), key, prev, value, id)
}

// holder returns the node that orders, or waits to.
func (w *orderWorld) holder() *orderNode {
	w.t.Helper()
	for _, n := range w.nodes {
		if n.orderer.Status().State != orders.Candidate {
			return n
		}
	}
	w.t.Fatal("no node holds the lease")
	return nil
}

// received returns the engine's orders, all engines' in one.
func (w *orderWorld) received() []enginesim.OrderRecord {
	synctest.Wait()
	var all []enginesim.OrderRecord
	for _, e := range w.engines {
		all = append(all, e.Orders()...)
	}
	return all
}

// between counts the orders that arrived in a span of time.
func (w *orderWorld) between(from, to time.Time) int {
	count := 0
	for _, r := range w.received() {
		if !r.At.Before(from) && r.At.Before(to) {
			count++
		}
	}
	return count
}

// checkApart fails if an order arrived at any engine after one with a higher
// fencing number, or if an engine executed an order with an older number.
func (w *orderWorld) checkApart() (holders int) {
	w.t.Helper()
	type span struct{ first, last time.Time }
	spans := make(map[uint64]span)
	for _, r := range w.received() {
		s, ok := spans[r.Order.Fencing]
		if !ok || r.At.Before(s.first) {
			s.first = r.At
		}
		if r.At.After(s.last) {
			s.last = r.At
		}
		spans[r.Order.Fencing] = s
	}
	for old, a := range spans {
		for newer, b := range spans {
			if old < newer && !a.last.Before(b.first) {
				w.t.Errorf("an order with number %d arrived %v after the first with %d", old, a.last.Sub(b.first), newer)
			}
		}
	}
	return len(spans)
}
