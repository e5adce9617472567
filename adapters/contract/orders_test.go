package contract

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/enginesim"
	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/orders"
	"github.com/crocusspread/crocusspread/core/ports"
)

// deaf is an engine that accepts orders and is not done with any within a test,
// so that its orderer goes on ordering.
func deaf(checksFencing bool) enginesim.Config {
	return enginesim.Config{ChecksFencing: checksFencing, OrderDelay: 24 * time.Hour}
}

// insist makes an orderer order in each round, and candidates look often.
func insist(cfg *orders.Config) {
	cfg.ChangeTimeout = time.Second
	cfg.LookInterval, cfg.LookStagger = time.Second, 100*time.Millisecond
}

const (
	settled   = 40*time.Second + 500*time.Millisecond // a first holder orders
	tookOver  = 90 * time.Second                      // another one does
	longAgo   = 2 * time.Minute
	leaseTTL  = 15 * time.Second
	sendLimit = 2 * time.Second
)

func storeDown() error {
	return errkind.New(errkind.StoreUnavailable, "down").WithRun(domain.RunNo)
}

// orderFaults are what happens to a holder; each makes another node take over.
var orderFaults = []struct {
	name  string
	fault func(w *orderWorld, holder *orderNode)
}{
	{"holder killed", func(_ *orderWorld, h *orderNode) { h.stop() }},
	{"holder drains", func(_ *orderWorld, h *orderNode) { h.set(func(n *orderNode) { n.draining = true }) }},
	{"holder frozen past its lease before its send", func(_ *orderWorld, h *orderNode) {
		h.set(func(n *orderNode) { n.onLoad = func() { time.Sleep(longAgo) } })
	}},
	{"holder frozen in its send, late in its lease", func(_ *orderWorld, h *orderNode) {
		h.set(func(n *orderNode) {
			n.onLoad = func() { time.Sleep(leaseTTL - sendLimit - time.Second) }
			n.onOrder = func() { time.Sleep(leaseTTL) }
		})
	}},
	{"holder cut off from the service", func(_ *orderWorld, h *orderNode) {
		h.set(func(n *orderNode) { n.kvErr = storeDown() })
	}},
	{"service away", func(w *orderWorld, _ *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Down})
		time.Sleep(longAgo)
		w.platform.SetFaults()
	}},
	{"service silent", func(w *orderWorld, _ *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Silent})
		time.Sleep(longAgo)
		w.platform.SetFaults()
	}},
	{"answers of keep-alives lost", func(w *orderWorld, _ *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.LostAnswer, Calls: []platformsim.Call{platformsim.CallKeepAlive}, Times: 3})
	}},
	{"stale reads, the next creation's answer lost", func(w *orderWorld, h *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Stale, Times: 20},
			platformsim.Fault{Mode: platformsim.LostAnswer, Calls: []platformsim.Call{platformsim.CallSwap}, Times: 2})
		h.stop()
	}},
}

// TestOrdersOfTwoHoldersStayApart runs three nodes through each fault. Engines
// that ignore the fencing number depend on the times alone.
func TestOrdersOfTwoHoldersStayApart(t *testing.T) {
	for _, f := range orderFaults {
		for _, checks := range []bool{false, true} {
			name := f.name + ", engines ignore the number"
			if checks {
				name = f.name + ", engines check the number"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newOrderWorld(t, 2, deaf(checks), platformsim.Config{}, insist)
					for rank := range 3 {
						w.newNode(rank).start()
					}
					time.Sleep(settled)
					if len(w.received()) == 0 {
						t.Fatal("no order before the fault")
					}
					f.fault(w, w.holder())
					time.Sleep(tookOver)
					if w.between(time.Now().Add(-10*time.Second), time.Now()) == 0 {
						t.Error("nobody orders after the fault")
					}
					time.Sleep(longAgo)
					if holders := w.checkApart(); holders < 2 {
						t.Errorf("%d holders ordered", holders)
					}
					w.checkAccepted()
				})
			})
		}
	}
}

// checkAccepted counts the orders that engines refused: none was older.
func (w *orderWorld) checkAccepted() {
	for _, r := range w.received() {
		if !r.Accepted {
			w.t.Errorf("an order with number %d was refused", r.Order.Fencing)
		}
	}
}

// TestFencingStopsAHolderFrozenForTooLong freezes a holder in its send for
// longer than the times allow for; only the number helps then.
func TestFencingStopsAHolderFrozenForTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(true), platformsim.Config{}, insist)
		for rank := range 2 {
			w.newNode(rank).start()
		}
		time.Sleep(settled)
		h := w.holder()
		h.set(func(n *orderNode) { n.onOrder = func() { time.Sleep(longAgo) } })
		time.Sleep(2 * longAgo)
		refused := 0
		for _, r := range w.received() {
			if !r.Accepted {
				refused++
			}
		}
		if refused != 1 || h.orderer.Status().State != orders.Candidate {
			t.Errorf("%d orders refused, the frozen holder is %s", refused, h.orderer.Status().State)
		}
		if n := h.metrics.Registry.Get(orders.MetricRefused); n == nil {
			t.Error("the refusal was not counted")
		}
	})
}

func TestServiceAwayMeansNoNewOrders(t *testing.T) {
	for _, mode := range []platformsim.Mode{platformsim.Down, platformsim.Silent, platformsim.LostAnswer} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newOrderWorld(t, 2, deaf(false), platformsim.Config{}, insist)
				w.newNode(0).start()
				time.Sleep(settled)
				// The weight store answers: only the lease is not confirmed.
				w.platform.SetFaults(platformsim.Fault{Mode: mode, Calls: []platformsim.Call{
					platformsim.CallGet, platformsim.CallGrant, platformsim.CallSwap, platformsim.CallKeepAlive,
				}})
				away := time.Now()
				time.Sleep(longAgo)
				if n := w.between(away, time.Now()); n > 0 {
					t.Errorf("%d orders without the service", n)
				}
				if s := w.nodes[0].orderer.Status(); s.State != orders.Candidate {
					t.Errorf("the node is %s with its lease long over", s.State)
				}
				for i, e := range w.engines {
					if got := e.Load().Models; !slices.Equal(got, []string{"a"}) {
						t.Errorf("engine %d has %q", i, got)
					}
				}
			})
		})
	}
}

// TestLostAnswerAtTakingTheLease loses the answer of the key's creation: the
// node holds the key and must know.
func TestLostAnswerAtTakingTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(true), platformsim.Config{}, insist)
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.LostAnswer, Calls: []platformsim.Call{platformsim.CallSwap}, Times: 1})
		n := w.newNode(0)
		n.round(w.ctx)
		entry := must[ports.KVEntry](t)(w.platform.KV().Get(w.ctx, orders.Key(orderDomain)))
		if s := n.orderer.Status(); s.State != orders.Waiting || s.Fencing != entry.Revision || entry.Revision == 0 {
			t.Errorf("status %+v, key %+v", s, entry)
		}
	})
}

// TestFencingNumberNeverGoesBack lets the holder of an older lease create the
// key after the holder of a newer lease has come and gone.
func TestFencingNumberNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(true), platformsim.Config{}, insist)
		slow, quick := w.newNode(0), w.newNode(0)
		var first uint64
		slow.onSwap = func() {
			quick.round(w.ctx)
			first = quick.orderer.Status().Fencing
			quick.draining = true
			quick.round(w.ctx)
		}
		slow.round(w.ctx)
		if second := slow.orderer.Status().Fencing; first == 0 || second <= first {
			t.Errorf("numbers %d, then %d", first, second)
		}
	})
}

// TestRefusedOrderRereadsTheLease has an engine that knows a higher number.
func TestRefusedOrderRereadsTheLease(t *testing.T) {
	for _, lost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderWorld(t, 1, deaf(true), platformsim.Config{}, insist)
			n := w.newNode(0)
			n.start()
			time.Sleep(leaseTTL)
			if err := w.client.Order(w.ctx, w.refs[0], ports.EngineOrder{Models: []string{"a"}, Fencing: 1 << 40}); err != nil {
				t.Fatal(err)
			}
			want := orders.Ordering
			if lost {
				want = orders.Candidate
				n.set(func(n *orderNode) { n.onLoad = w.stealLease })
			}
			for range 10 {
				time.Sleep(time.Second)
				synctest.Wait()
				if n.metrics.Registry.Get(orders.MetricRefused) != nil {
					break
				}
			}
			if s := n.orderer.Status(); s.State != want {
				t.Errorf("lost %v: the node is %s after the refusal, want %s", lost, s.State, want)
			}
		})
	}
}

// stealLease ends the holder's lease and gives the key to another node.
func (w *orderWorld) stealLease() {
	kv := w.platform.KV()
	entry := must[ports.KVEntry](w.t)(kv.Get(w.ctx, orders.Key(orderDomain)))
	var held struct {
		Lease ports.LeaseID `json:"lease"`
	}
	if err := json.Unmarshal(entry.Value, &held); err != nil {
		w.t.Error(err)
	}
	if err := kv.Revoke(w.ctx, held.Lease); err != nil {
		w.t.Error(err)
	}
	must[ports.KVEntry](w.t)(kv.CompareAndSwap(w.ctx, orders.Key(orderDomain), 0, []byte(`{"node":"other"}`), 0))
}

// TestOrderNeedsASafePartOfTheLease freezes a holder so that, counted from its
// last keep-alive, too little of the lease is left when it wants to send.
func TestOrderNeedsASafePartOfTheLease(t *testing.T) {
	for _, c := range []struct{ answer, look time.Duration }{
		{0, leaseTTL - sendLimit},
		{0, leaseTTL - time.Second},
		{10 * time.Second, leaseTTL - 10*time.Second - sendLimit},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderWorld(t, 1, deaf(false), platformsim.Config{}, insist)
			n := w.newNode(0)
			n.start()
			time.Sleep(settled)
			before := len(w.received())
			n.set(func(n *orderNode) {
				n.onKept = func() { time.Sleep(c.answer) }
				n.onLoad = func() { time.Sleep(c.look) }
			})
			for n.metrics.Registry.Get(orders.MetricUnsafe) == nil && len(w.received()) == before {
				time.Sleep(time.Second)
			}
			if got := len(w.received()) - before; got != 0 {
				t.Errorf("%+v: %d orders", c, got)
			}
		})
	}
}

func TestDrainingNodeGivesTheLeaseUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(false), platformsim.Config{}, insist)
		n := w.newNode(0)
		n.round(w.ctx)
		n.draining = true
		n.round(w.ctx)
		entry := must[ports.KVEntry](t)(w.platform.KV().Get(w.ctx, orders.Key(orderDomain)))
		if s := n.orderer.Status(); entry.Revision != 0 || s.State != orders.Candidate {
			t.Errorf("status %+v, key %+v", s, entry)
		}
	})
}

func TestOrdersAreSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(false), platformsim.Config{}, func(cfg *orders.Config) { cfg.MaxModelsPerEngine = 0 })
		w.newNode(0).start()
		time.Sleep(longAgo)
		if got := len(w.received()); got != 0 || len(w.platform.Counts()) != 0 {
			t.Errorf("%d orders, calls %v", got, w.platform.Counts())
		}
	})
}

// TestCandidatesDoNotAllCompete starts many nodes at once at a slow service.
func TestCandidatesDoNotAllCompete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(false), platformsim.Config{}, nil)
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Slow, Delay: 500 * time.Millisecond})
		for rank := range 13 {
			w.newNode(rank).start()
		}
		time.Sleep(settled)
		if got := w.platform.Count(platformsim.CallGrant); got != 1 {
			t.Errorf("%d leases were asked for", got)
		}
	})
}

// TestCallsToTheKeyValueService counts what a domain costs in an hour, and logs
// how long the domain is without an orderer after one is killed.
func TestCallsToTheKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, hour = 13, time.Hour
		w := newOrderWorld(t, 1, enginesim.Config{Models: []string{"a", "b"}}, platformsim.Config{}, nil)
		for rank := range nodes {
			w.newNode(rank).start()
		}
		time.Sleep(settled)
		before := w.platform.Counts()
		time.Sleep(hour)
		total := uint64(0)
		for _, c := range w.platform.Counts() {
			calls := c.Count
			for _, b := range before {
				if b.Call == c.Call {
					calls -= b.Count
				}
			}
			total += calls
			t.Logf("%s: %d calls an hour", c.Call, calls)
		}
		if perSecond := float64(total) / hour.Seconds(); perSecond > 0.5 {
			t.Errorf("%.2f calls a second for one failure domain", perSecond)
		}
		w.holder().stop()
		w.nodes = w.nodes[1:]
		killed := time.Now()
		for !slices.ContainsFunc(w.nodes, func(n *orderNode) bool { return n.orderer.Status().State == orders.Ordering }) {
			time.Sleep(time.Second)
		}
		t.Logf("the next node orders %v after the first was killed", time.Since(killed))
	})
}
