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

// TestLoadsKeepToTheWeightStoresRate has loads whose orders fail at first,
// before or after they may have arrived.
func TestLoadsKeepToTheWeightStoresRate(t *testing.T) {
	for _, run := range []domain.Run{domain.RunNo, domain.RunUnknown} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderWorld(t, 3, enginesim.Config{}, platformsim.Config{ReservationsPerSecond: 0.05}, nil)
			w.wanted = []string{"a", "b", "c", "d"}
			n := w.newNode(0)
			n.orderErr = errkind.New(errkind.UpstreamFailed, "broken").WithRun(run)
			n.start()
			time.Sleep(settled)
			n.set(func(n *orderNode) { n.orderErr = nil })
			time.Sleep(longAgo)
			if got := w.platform.Count(platformsim.CallReserve); got != 3 {
				t.Errorf("%d reservations for 3 loads", got)
			}
			if got := len(w.received()); got != 3 {
				t.Errorf("%d orders for 3 loads", got)
			}
			have := make(map[string]bool)
			for _, e := range w.engines {
				for _, m := range e.Load().Models {
					have[m] = true
				}
			}
			if len(have) != len(w.wanted) {
				t.Errorf("the engines have %v", have)
			}
		})
	}
}

// TestLoadsWaitForTheirReservation compares orders with the rate.
func TestLoadsWaitForTheirReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 20 * time.Second
		w := newOrderWorld(t, 3, enginesim.Config{}, platformsim.Config{ReservationsPerSecond: 1 / interval.Seconds()}, nil)
		w.wanted = []string{"a", "b", "c", "d"}
		w.newNode(0).start()
		time.Sleep(longAgo)
		var at []time.Time
		for _, r := range w.received() {
			at = append(at, r.At)
		}
		slices.SortFunc(at, time.Time.Compare)
		if len(at) != 3 || at[1].Sub(at[0]) < interval || at[2].Sub(at[0]) < 2*interval {
			t.Errorf("loads were ordered at %v", at)
		}
	})
}

// TestEachLoadIsReserved has an orderer that plans the same load again and again.
func TestEachLoadIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, deaf(false), platformsim.Config{}, insist)
		w.newNode(0).start()
		time.Sleep(longAgo)
		if loads, got := len(w.received()), w.platform.Count(platformsim.CallReserve); uint64(loads) != got || loads < 2 {
			t.Errorf("%d reservations for %d loads", got, loads)
		}
	})
}

// TestEngineChangedUnnoticed has an engine with other models than the node knows;
// an order would unload them.
func TestEngineChangedUnnoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(t, 1, enginesim.Config{}, platformsim.Config{}, nil)
		w.seen = w.look()
		if err := w.client.Order(w.ctx, w.refs[0], ports.EngineOrder{Models: []string{"a", "x"}}); err != nil {
			t.Fatal(err)
		}
		w.newNode(0).start()
		time.Sleep(settled)
		if got := w.engines[0].Load().Models; !slices.Equal(got, []string{"a", "x"}) {
			t.Errorf("the engine has %q", got)
		}
	})
}

// TestCopyThatDiedUnnoticed plans to unload a model whose other engine has lost
// it since it was last heard of.
func TestCopyThatDiedUnnoticed(t *testing.T) {
	for _, died := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newOrderWorld(t, 2, enginesim.Config{}, platformsim.Config{}, func(cfg *orders.Config) {
				cfg.MaxModelsPerEngine, cfg.MinDwell = 1, 0
			})
			w.seen = w.look()
			if died {
				if err := w.client.Order(w.ctx, w.refs[1], ports.EngineOrder{Models: nil}); err != nil {
					t.Fatal(err)
				}
			}
			w.newNode(0).start()
			time.Sleep(settled)
			if got := len(w.engines[0].Orders()); (got > 0) == died {
				t.Errorf("died %v: %d orders", died, got)
			}
		})
	}
}
