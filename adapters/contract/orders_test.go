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

// slowLoadingEngine returns the configuration of an engine that accepts orders but
// completes none of them within a test, so that its orderer continues to send orders.
func slowLoadingEngine(checksFencing bool) enginesim.Config {
	return enginesim.Config{CheckFencing: checksFencing, OrderDelay: 24 * time.Hour}
}

// withFrequentOrders makes an orderer send orders in each round, and candidates read
// the key often.
func withFrequentOrders(cfg *orders.Config) {
	cfg.ChangeTimeout = time.Second
	cfg.AcquireInterval, cfg.AcquireStagger = time.Second, 100*time.Millisecond
}

const (
	firstHolderOrders  = 40*time.Second + 500*time.Millisecond // by then the first holder sends orders
	secondHolderOrders = 90 * time.Second                      // by then the next holder sends orders
	longFreeze         = 2 * time.Minute
	leaseTTL           = 15 * time.Second
	sendDeadline       = 2 * time.Second
)

func storeUnavailable() error {
	return errkind.New(errkind.StoreUnavailable, "down").WithRun(domain.RunNo)
}

// orderFaults are faults of a holder. Each of them makes another node acquire the
// lease.
var orderFaults = []struct {
	name  string
	fault func(w *orderCluster, holder *orderNode)
}{
	{"holder killed", func(_ *orderCluster, h *orderNode) { h.stop() }},
	{"holder draining", func(_ *orderCluster, h *orderNode) { h.set(func(n *orderNode) { n.draining = true }) }},
	{"holder frozen beyond its lease before its send", func(_ *orderCluster, h *orderNode) {
		h.set(func(n *orderNode) { n.beforeLoad = func() { time.Sleep(longFreeze) } })
	}},
	{"holder frozen during its send, late in its lease", func(_ *orderCluster, h *orderNode) {
		h.set(func(n *orderNode) {
			n.beforeLoad = func() { time.Sleep(leaseTTL - sendDeadline - time.Second) }
			n.beforeOrder = func() { time.Sleep(leaseTTL) }
		})
	}},
	{"holder disconnected from the key-value service", func(_ *orderCluster, h *orderNode) {
		h.set(func(n *orderNode) { n.kvErr = storeUnavailable() })
	}},
	{"service unavailable", func(w *orderCluster, _ *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Down})
		time.Sleep(longFreeze)
		w.platform.SetFaults()
	}},
	{"service silent", func(w *orderCluster, _ *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Unresponsive})
		time.Sleep(longFreeze)
		w.platform.SetFaults()
	}},
	{"keep-alive responses lost", func(w *orderCluster, _ *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.LostResponse, Calls: []platformsim.Call{platformsim.CallKeepAlive}, MaxCalls: 3})
	}},
	{"stale reads, response to the next creation lost", func(w *orderCluster, h *orderNode) {
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Stale, MaxCalls: 20},
			platformsim.Fault{Mode: platformsim.LostResponse, Calls: []platformsim.Call{platformsim.CallCompareAndSwap}, MaxCalls: 2})
		h.stop()
	}},
}

// TestOrdersOfTwoHoldersDoNotOverlap runs three nodes through each fault. For engines
// that ignore the fencing number, safety depends on the timing alone.
func TestOrdersOfTwoHoldersDoNotOverlap(t *testing.T) {
	for _, f := range orderFaults {
		for _, checks := range []bool{false, true} {
			name := f.name + ", engines ignore the number"
			if checks {
				name = f.name + ", engines check the number"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newOrderCluster(t, 2, slowLoadingEngine(checks), platformsim.Config{}, withFrequentOrders)
					for rank := range 3 {
						w.newNode(rank).start()
					}
					time.Sleep(firstHolderOrders)
					if len(w.received()) == 0 {
						t.Fatal("got no order before the fault")
					}
					f.fault(w, w.holder())
					time.Sleep(secondHolderOrders)
					if w.countReceived(time.Now().Add(-10*time.Second), time.Now()) == 0 {
						t.Error("got no order after the fault")
					}
					time.Sleep(longFreeze)
					if holders := w.checkOrdersDisjoint(); holders < 2 {
						t.Errorf("got orders of %d holders, want at least 2", holders)
					}
					w.checkNoneRefused()
				})
			})
		}
	}
}

// checkNoneRefused reports orders that engines refused. None may be refused, because
// no order has an older fencing number.
func (w *orderCluster) checkNoneRefused() {
	for _, r := range w.received() {
		if !r.Accepted {
			w.t.Errorf("the order with fencing number %d was refused", r.Order.Fencing)
		}
	}
}

// TestFencingStopsHolderFrozenDuringSend freezes a holder during its send for longer
// than its send deadline and the lease. Then only the fencing number prevents an
// outdated order.
func TestFencingStopsHolderFrozenDuringSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(true), platformsim.Config{}, withFrequentOrders)
		for rank := range 2 {
			w.newNode(rank).start()
		}
		time.Sleep(firstHolderOrders)
		h := w.holder()
		h.set(func(n *orderNode) { n.beforeOrder = func() { time.Sleep(longFreeze) } })
		time.Sleep(2 * longFreeze)
		refused := 0
		for _, r := range w.received() {
			if !r.Accepted {
				refused++
			}
		}
		if refused != 1 || h.orderer.Status().State != orders.Candidate {
			t.Errorf("got %d refused orders and frozen holder in state %s, want 1 and candidate", refused, h.orderer.Status().State)
		}
		if n := h.metrics.Registry.Get(orders.MetricRefused); n == nil {
			t.Error("the refusal is missing in the metrics")
		}
	})
}

func TestNoOrdersWhileServiceUnavailable(t *testing.T) {
	for _, mode := range []platformsim.Mode{platformsim.Down, platformsim.Unresponsive, platformsim.LostResponse} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newOrderCluster(t, 2, slowLoadingEngine(false), platformsim.Config{}, withFrequentOrders)
				w.newNode(0).start()
				time.Sleep(firstHolderOrders)
				// The weight store responds, so only the lease is not confirmed.
				w.platform.SetFaults(platformsim.Fault{Mode: mode, Calls: []platformsim.Call{
					platformsim.CallGet, platformsim.CallGrant, platformsim.CallCompareAndSwap, platformsim.CallKeepAlive,
				}})
				unavailableSince := time.Now()
				time.Sleep(longFreeze)
				if n := w.countReceived(unavailableSince, time.Now()); n > 0 {
					t.Errorf("got %d orders while the service was unavailable, want 0", n)
				}
				if s := w.nodes[0].orderer.Status(); s.State != orders.Candidate {
					t.Errorf("the node is in state %s after the end of its lease, want candidate", s.State)
				}
				for i, e := range w.engines {
					if got := e.Load().Models; !slices.Equal(got, []string{"a"}) {
						t.Errorf("engine %d has models %q, want only a", i, got)
					}
				}
			})
		})
	}
}

// TestLostResponseToKeyCreation loses the response to the creation of the key. The
// node holds the key and must recognize that.
func TestLostResponseToKeyCreation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(true), platformsim.Config{}, withFrequentOrders)
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.LostResponse, Calls: []platformsim.Call{platformsim.CallCompareAndSwap}, MaxCalls: 1})
		n := w.newNode(0)
		n.round(w.ctx)
		entry := must[ports.KVEntry](t)(w.platform.KV().Get(w.ctx, orders.Key(orderDomain)))
		if s := n.orderer.Status(); s.State != orders.Waiting || s.Fencing != entry.Revision || entry.Revision == 0 {
			t.Errorf("got status %+v, key entry %+v; want state waiting with the revision of the entry as fencing number", s, entry)
		}
	})
}

// TestFencingNumberNeverDecreases makes the holder of an older lease create the key
// after the holder of a newer lease has created and released it.
func TestFencingNumberNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(true), platformsim.Config{}, withFrequentOrders)
		slow, fast := w.newNode(0), w.newNode(0)
		var first uint64
		slow.beforeSwap = func() {
			fast.round(w.ctx)
			first = fast.orderer.Status().Fencing
			fast.draining = true
			fast.round(w.ctx)
		}
		slow.round(w.ctx)
		if second := slow.orderer.Status().Fencing; first == 0 || second <= first {
			t.Errorf("got fencing number %d, then %d, want an increase", first, second)
		}
	})
}

// TestRefusedOrderVerifiesLease uses an engine that has received a higher fencing
// number, so that it refuses the next order.
func TestRefusedOrderVerifiesLease(t *testing.T) {
	for _, lost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderCluster(t, 1, slowLoadingEngine(true), platformsim.Config{}, withFrequentOrders)
			n := w.newNode(0)
			n.start()
			time.Sleep(leaseTTL)
			if err := w.client.Order(w.ctx, w.refs[0], ports.EngineOrder{Models: []string{"a"}, Fencing: 1 << 40}); err != nil {
				t.Fatal(err)
			}
			want := orders.Ordering
			if lost {
				want = orders.Candidate
				n.set(func(n *orderNode) { n.beforeLoad = w.transferLease })
			}
			for range 10 {
				time.Sleep(time.Second)
				synctest.Wait()
				if n.metrics.Registry.Get(orders.MetricRefused) != nil {
					break
				}
			}
			if s := n.orderer.Status(); s.State != want {
				t.Errorf("lease lost %v: the node is in state %s after the refusal, want %s", lost, s.State, want)
			}
		})
	}
}

// transferLease revokes the holder's lease and creates the key for another node.
func (w *orderCluster) transferLease() {
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

// TestNoOrderWithTooLittleLeaseLeft freezes a holder so that, counted from its last
// keep-alive, the remaining lease time is too short when it is about to send.
func TestNoOrderWithTooLittleLeaseLeft(t *testing.T) {
	for _, c := range []struct{ keepAliveDelay, loadDelay time.Duration }{
		{0, leaseTTL - sendDeadline},
		{0, leaseTTL - time.Second},
		{10 * time.Second, leaseTTL - 10*time.Second - sendDeadline},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderCluster(t, 1, slowLoadingEngine(false), platformsim.Config{}, withFrequentOrders)
			n := w.newNode(0)
			n.start()
			time.Sleep(firstHolderOrders)
			before := len(w.received())
			n.set(func(n *orderNode) {
				n.afterKeepAlive = func() { time.Sleep(c.keepAliveDelay) }
				n.beforeLoad = func() { time.Sleep(c.loadDelay) }
			})
			for n.metrics.Registry.Get(orders.MetricHeldBack) == nil && len(w.received()) == before {
				time.Sleep(time.Second)
			}
			if got := len(w.received()) - before; got != 0 {
				t.Errorf("%+v: got %d orders, want 0", c, got)
			}
		})
	}
}

func TestDrainingNodeReleasesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(false), platformsim.Config{}, withFrequentOrders)
		n := w.newNode(0)
		n.round(w.ctx)
		n.draining = true
		n.round(w.ctx)
		entry := must[ports.KVEntry](t)(w.platform.KV().Get(w.ctx, orders.Key(orderDomain)))
		if s := n.orderer.Status(); entry.Revision != 0 || s.State != orders.Candidate {
			t.Errorf("got status %+v, key entry %+v; want state candidate and no entry", s, entry)
		}
	})
}

func TestOrdersDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(false), platformsim.Config{}, func(cfg *orders.Config) { cfg.MaxModelsPerEngine = 0 })
		w.newNode(0).start()
		time.Sleep(longFreeze)
		if got := len(w.received()); got != 0 || len(w.platform.Counts()) != 0 {
			t.Errorf("got %d orders and calls %v, want none", got, w.platform.Counts())
		}
	})
}

// TestCandidatesDoNotAllCompete starts many nodes simultaneously with a slow service.
func TestCandidatesDoNotAllCompete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(false), platformsim.Config{}, nil)
		w.platform.SetFaults(platformsim.Fault{Mode: platformsim.Slow, Delay: 500 * time.Millisecond})
		for rank := range 13 {
			w.newNode(rank).start()
		}
		time.Sleep(firstHolderOrders)
		if got := w.platform.Count(platformsim.CallGrant); got != 1 {
			t.Errorf("got %d lease requests, want 1", got)
		}
	})
}

// TestCallsToTheKeyValueService counts the calls of a failure domain in one hour, and
// logs how long the domain has no orderer after one is killed.
func TestCallsToTheKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, hour = 13, time.Hour
		w := newOrderCluster(t, 1, enginesim.Config{Models: []string{"a", "b"}}, platformsim.Config{}, nil)
		for rank := range nodes {
			w.newNode(rank).start()
		}
		time.Sleep(firstHolderOrders)
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
			t.Logf("%s: %d calls per hour", c.Call, calls)
		}
		if perSecond := float64(total) / hour.Seconds(); perSecond > 0.5 {
			t.Errorf("got %.2f calls per second for one failure domain, want at most 0.5", perSecond)
		}
		w.holder().stop()
		w.nodes = w.nodes[1:]
		killed := time.Now()
		for !slices.ContainsFunc(w.nodes, func(n *orderNode) bool { return n.orderer.Status().State == orders.Ordering }) {
			time.Sleep(time.Second)
		}
		t.Logf("the next node is ordering %v after the first was killed", time.Since(killed))
	})
}
