package contract

import (
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

// TestFailedOrdersDoNotRepeatReservations uses loads whose orders fail at first, with
// errors that say "not run" or "unknown". Each load must be reserved and ordered only
// once.
func TestFailedOrdersDoNotRepeatReservations(t *testing.T) {
	for _, run := range []domain.Run{domain.RunNo, domain.RunUnknown} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderCluster(t, 3, enginesim.Config{}, platformsim.Config{ReservationsPerSecond: 0.05}, nil)
			w.wanted = []string{"a", "b", "c", "d"}
			n := w.newNode(0)
			n.orderErr = errkind.New(errkind.UpstreamFailed, "broken").WithRun(run)
			n.start()
			time.Sleep(firstHolderOrders)
			n.set(func(n *orderNode) { n.orderErr = nil })
			time.Sleep(longFreeze)
			if got := w.platform.Count(platformsim.CallReserve); got != 3 {
				t.Errorf("got %d reservations for 3 loads, want 3", got)
			}
			if got := len(w.received()); got != 3 {
				t.Errorf("got %d orders for 3 loads, want 3", got)
			}
			loadedModels := make(map[string]bool)
			for _, e := range w.engines {
				for _, m := range e.Load().Models {
					loadedModels[m] = true
				}
			}
			if len(loadedModels) != len(w.wanted) {
				t.Errorf("the engines have models %v, want all wanted ones", loadedModels)
			}
		})
	}
}

// TestLoadsWaitForTheirReservation checks that orders respect the rate of the weight
// store.
func TestLoadsWaitForTheirReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 20 * time.Second
		w := newOrderCluster(t, 3, enginesim.Config{}, platformsim.Config{ReservationsPerSecond: 1 / interval.Seconds()}, nil)
		w.wanted = []string{"a", "b", "c", "d"}
		w.newNode(0).start()
		time.Sleep(longFreeze)
		var at []time.Time
		for _, r := range w.received() {
			at = append(at, r.ReceivedAt)
		}
		slices.SortFunc(at, time.Time.Compare)
		if len(at) != 3 || at[1].Sub(at[0]) < interval || at[2].Sub(at[0]) < 2*interval {
			t.Errorf("got orders at %v, want 3 that are at least the interval apart", at)
		}
	})
}

// TestEachLoadIsReserved uses an orderer that plans the same load repeatedly.
func TestEachLoadIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, slowLoadingEngine(false), platformsim.Config{}, withFrequentOrders)
		w.newNode(0).start()
		time.Sleep(longFreeze)
		if loads, got := len(w.received()), w.platform.Count(platformsim.CallReserve); uint64(loads) != got || loads < 2 {
			t.Errorf("got %d reservations for %d loads, want one for each of at least 2", got, loads)
		}
	})
}

// TestOutdatedEngineModelsPreventOrder uses an engine whose models differ from the
// node's outdated view. An order would unload them.
func TestOutdatedEngineModelsPreventOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderCluster(t, 1, enginesim.Config{}, platformsim.Config{}, nil)
		w.observed = w.observe()
		if err := w.client.Order(w.ctx, w.refs[0], ports.EngineOrder{Models: []string{"a", "x"}}); err != nil {
			t.Fatal(err)
		}
		w.newNode(0).start()
		time.Sleep(firstHolderOrders)
		if got := w.engines[0].Load().Models; !slices.Equal(got, []string{"a", "x"}) {
			t.Errorf("the engine has models %q, want a and x", got)
		}
	})
}

// TestLostReplicaPreventsUnload plans to unload a model from an engine, while the other
// engine has lost the model since its last known report.
func TestLostReplicaPreventsUnload(t *testing.T) {
	for _, replicaLost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderCluster(t, 2, enginesim.Config{}, platformsim.Config{}, func(cfg *orders.Config) {
				cfg.MaxModelsPerEngine, cfg.MinLoadedTime = 1, 0
			})
			w.observed = w.observe()
			if replicaLost {
				if err := w.client.Order(w.ctx, w.refs[1], ports.EngineOrder{Models: nil}); err != nil {
					t.Fatal(err)
				}
			}
			w.newNode(0).start()
			time.Sleep(firstHolderOrders)
			if got := len(w.engines[0].Orders()); (got > 0) == replicaLost {
				t.Errorf("replica lost %v: got %d orders, want none if it is lost and at least one otherwise", replicaLost, got)
			}
		})
	}
}
