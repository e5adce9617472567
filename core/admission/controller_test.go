package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
)

// places is a Capacity with a number of slots.
type places struct {
	mu          sync.Mutex
	slots, busy float64
	first       time.Duration
	service     time.Duration
	unknown     bool
}

func (p *places) Headroom(*gateway.AdmitRequest) Headroom {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Headroom{Known: !p.unknown, Slots: p.slots, Free: p.slots - p.busy, FirstToken: p.first, Service: p.service}
}

func (p *places) add(n float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy += n
}

// run holds an admitted request's slot for d.
func (p *places) run(g gateway.Grant, d time.Duration) {
	p.add(1)
	g.Dispatched()
	time.Sleep(d)
	p.add(-1)
	g.Done(1)
}

type refusals struct {
	mu    sync.Mutex
	kinds map[errkind.Kind]int
}

func (r *refusals) Waited(Class, time.Duration) {}

func (r *refusals) Refused(_ Class, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = make(map[errkind.Kind]int)
	}
	r.kinds[errkind.From(err).Kind]++
}

func newTestController(cfg Config, p Capacity) *Controller {
	return New(cfg, NewShares("n", "d"), p, &refusals{}, time.Now)
}

func request(l lists.Limits, tokens int) gateway.AdmitRequest {
	return gateway.AdmitRequest{
		Access: &lists.Access{Customer: "c", Plan: &lists.Plan{ID: "p", Regions: []domain.Region{"r"}, Limits: l}},
		Target: domain.Target{Kind: domain.TargetModel, Name: "m"}, PromptTokens: 10, OutputTokens: tokens,
	}
}

// refused checks that err is of kind k, proves that nothing ran and, unless
// waiting is of no use, advises to wait.
func refused(t *testing.T, err error, k errkind.Kind) {
	t.Helper()
	e := errkind.From(err)
	if e == nil || e.Kind != k || e.Verdict() != domain.RunNo {
		t.Fatalf("got %v, want kind %s and the verdict no", err, k)
	}
	if advice := e.Advice(); k != errkind.BadRequest && k != errkind.Canceled && advice < time.Second {
		t.Errorf("the advice is to wait %s", advice)
	}
}

func TestRequestWaitsForAFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 1, service: time.Second}
		c := newTestController(Config{}, p)
		first, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		if err != nil {
			t.Fatal(err)
		}
		go p.run(first, time.Second)
		synctest.Wait()
		begun := time.Now()
		g, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		if waited := time.Since(begun); err != nil || waited != time.Second {
			t.Fatalf("after %s: %v", waited, err)
		}
		g.Done(0)
	})
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name string
			p    *places
		}{
			{"slots taken", &places{slots: 2, busy: 2, service: time.Minute}},
			{"prompt too long", &places{slots: 2, first: 2 * time.Second}},
		} {
			req := request(lists.Limits{}, 10)
			req.Deadline = time.Now().Add(time.Second)
			begun := time.Now()
			_, err := newTestController(Config{}, c.p).Admit(t.Context(), req)
			refused(t, err, errkind.DeadlineUnreachable)
			if waited := time.Since(begun); waited != 0 {
				t.Errorf("%s: refused after %s", c.name, waited)
			}
		}
	})
}

func TestDeadlineThatPassesInTheQueueIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 1, busy: 1}
		req := request(lists.Limits{}, 10)
		req.Deadline = time.Now().Add(time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
		defer cancel()
		_, err := newTestController(Config{}, p).Admit(ctx, req)
		refused(t, err, errkind.DeadlineUnreachable)
	})
}

func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 1, busy: 1}
		c := newTestController(Config{MaxQueued: 3}, p)
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				_, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
				refused(t, err, errkind.Overloaded)
			})
		}
		synctest.Wait()
		begun := time.Now()
		_, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		refused(t, err, errkind.Overloaded)
		if waited := time.Since(begun); waited != 0 {
			t.Errorf("refused after %s", waited)
		}
		wg.Wait()
	})
}

func TestCallerThatLeavesTheQueueFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 1, busy: 1}
		c := newTestController(Config{}, p)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan error)
		go func() {
			_, err := c.Admit(ctx, request(lists.Limits{Concurrency: 1}, 10))
			left <- err
		}()
		synctest.Wait()
		cancel()
		refused(t, <-left, errkind.Canceled)
		p.add(-1)
		g, err := c.Admit(t.Context(), request(lists.Limits{Concurrency: 1}, 10))
		if err != nil {
			t.Fatalf("the limit is still taken: %v", err)
		}
		g.Done(0)
	})
}

func TestFreeSlotIsNotHandedOutTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 1, service: time.Second}
		c := newTestController(Config{}, p)
		first, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		if err != nil {
			t.Fatal(err)
		}
		admitted := make(chan gateway.Grant)
		go func() {
			g, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
			if err != nil {
				t.Error(err)
			}
			admitted <- g
		}()
		synctest.Wait()
		select {
		case <-admitted:
			t.Fatal("the slot of a request that was not dispatched yet was handed out again")
		default:
		}
		// The first one finds no way and ends without having been dispatched.
		first.Done(0)
		(<-admitted).Done(0)
	})
}

func TestUnknownPlacesAreLeftToRouting(t *testing.T) {
	g, err := newTestController(Config{}, &places{unknown: true}).Admit(t.Context(), request(lists.Limits{}, 10))
	if err != nil {
		t.Fatal(err)
	}
	g.Done(0)
}

func TestLimitOfConcurrencyHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 100}
		c := newTestController(Config{}, p)
		most, running := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				g, err := c.Admit(t.Context(), request(lists.Limits{Concurrency: 3}, 10))
				if err != nil {
					refused(t, err, errkind.LimitExceeded)
					return
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(900 * time.Millisecond)
				mu.Lock()
				running--
				mu.Unlock()
				g.Done(1)
			})
		}
		wg.Wait()
		if most != 3 {
			t.Errorf("%d requests were in flight, the limit is 3", most)
		}
	})
}

func TestTokensAreChargedAndCorrectedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(Config{}, &places{slots: 100})
		limits := lists.Limits{TokensPerSecond: 100}
		g, err := c.Admit(t.Context(), request(limits, 990))
		if err != nil {
			t.Fatal(err)
		}
		// 1000 of 200 tokens are charged: 8 s of debt are more than a question waits.
		_, err = c.Admit(t.Context(), request(limits, 10))
		refused(t, err, errkind.LimitExceeded)
		if advice := errkind.From(err).Advice(); advice < 7*time.Second || advice > 9*time.Second {
			t.Errorf("the advice is to wait %s, want about 8 s", advice)
		}
		g.Done(20)
		if g, err = c.Admit(t.Context(), request(limits, 10)); err != nil {
			t.Fatalf("tokens that were not used stay charged: %v", err)
		}
		g.Done(20)
	})
}

func TestLongerGenerationThanThePlanAllowsIsRefused(t *testing.T) {
	c := newTestController(Config{}, &places{slots: 1})
	_, err := c.Admit(t.Context(), request(lists.Limits{MaxOutputTokens: 100}, 101))
	refused(t, err, errkind.BadRequest)
}

func TestQueueIsServedWhenCapacityComesBackByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places{slots: 1, busy: 1}
		c := newTestController(Config{}, p)
		admitted := make(chan error)
		go func() {
			g, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
			if err == nil {
				g.Done(0)
			}
			admitted <- err
		}()
		synctest.Wait()
		p.add(-1)
		c.Pump(time.Now())
		if err := <-admitted; err != nil {
			t.Fatal(err)
		}
	})
}

// TestOverloadKeepsGoodput sends three times what the places can do and counts
// the requests whose first token comes in time.
func TestOverloadKeepsGoodput(t *testing.T) {
	const slots, service, span = 10, 500 * time.Millisecond, 60 * time.Second
	goodput := func(load float64) (good int) {
		synctest.Test(t, func(t *testing.T) {
			p := &places{slots: slots, service: service}
			c := newTestController(Config{}, p)
			var mu sync.Mutex
			var wg sync.WaitGroup
			gap := time.Duration(float64(service) / slots / load)
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(gap) {
				wg.Go(func() {
					req := request(lists.Limits{}, 10)
					req.Deadline = time.Now().Add(time.Second)
					g, err := c.Admit(t.Context(), req)
					if err != nil {
						refused(t, err, errkind.DeadlineUnreachable)
						return
					}
					if time.Now().Before(req.Deadline) {
						mu.Lock()
						good++
						mu.Unlock()
					}
					p.run(g, service)
				})
			}
			wg.Wait()
		})
		return good
	}
	atCapacity, overloaded := goodput(1), goodput(3)
	if float64(overloaded) < 0.95*float64(atCapacity) {
		t.Errorf("goodput is %d at three times the load and %d at capacity", overloaded, atCapacity)
	}
}
