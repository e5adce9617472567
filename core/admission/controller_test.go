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

// fakeCapacity is a Capacity with a fixed number of slots.
type fakeCapacity struct {
	mu          sync.Mutex
	slots, busy float64
	firstToken  time.Duration
	service     time.Duration
	unknown     bool
}

func (p *fakeCapacity) Headroom(*gateway.AdmitRequest) Headroom {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Headroom{Known: !p.unknown, Slots: p.slots, FreeSlots: p.slots - p.busy, TimeToFirstToken: p.firstToken, ServiceTime: p.service}
}

func (p *fakeCapacity) add(n float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy += n
}

// serve occupies a slot for an admitted request for d.
func (p *fakeCapacity) serve(g gateway.Grant, d time.Duration) {
	p.add(1)
	g.Dispatched()
	time.Sleep(d)
	p.add(-1)
	g.Release(1)
}

type refusalCounter struct {
	mu    sync.Mutex
	kinds map[errkind.Kind]int
}

func (r *refusalCounter) Admitted(Class, time.Duration) {}

func (r *refusalCounter) Refused(_ Class, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = make(map[errkind.Kind]int)
	}
	r.kinds[errkind.From(err).Kind]++
}

func newTestController(cfg Config, p Capacity) *Controller {
	return New(cfg, NewShares("n", "d"), p, &refusalCounter{}, time.Now)
}

func request(l lists.Limits, tokens int) gateway.AdmitRequest {
	return gateway.AdmitRequest{
		Access: &lists.Access{Customer: "c", Plan: &lists.Plan{ID: "p", Regions: []domain.Region{"r"}, Limits: l}},
		Target: domain.Target{Kind: domain.TargetModel, Name: "m"}, PromptTokens: 10, OutputTokens: tokens,
	}
}

// checkRefused checks that err has kind k and the verdict domain.RunNo and, unless
// retrying is pointless, advises a retry delay.
func checkRefused(t *testing.T, err error, k errkind.Kind) {
	t.Helper()
	e := errkind.From(err)
	if e == nil || e.Kind != k || e.Verdict() != domain.RunNo {
		t.Fatalf("got %v, want kind %s and the verdict no", err, k)
	}
	if retryAfter := e.RetryDelay(); k != errkind.BadRequest && k != errkind.Canceled && retryAfter < time.Second {
		t.Errorf("got a retry delay of %s, want at least 1 s", retryAfter)
	}
}

func TestRequestWaitsForAFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 1, service: time.Second}
		c := newTestController(Config{}, p)
		first, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		if err != nil {
			t.Fatal(err)
		}
		go p.serve(first, time.Second)
		synctest.Wait()
		start := time.Now()
		g, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		if waited := time.Since(start); err != nil || waited != time.Second {
			t.Fatalf("got admitted after %s with error %v, want 1 s and no error", waited, err)
		}
		g.Release(0)
	})
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name string
			p    *fakeCapacity
		}{
			{"no free slot", &fakeCapacity{slots: 2, busy: 2, service: time.Minute}},
			{"first token too late", &fakeCapacity{slots: 2, firstToken: 2 * time.Second}},
		} {
			req := request(lists.Limits{}, 10)
			req.Deadline = time.Now().Add(time.Second)
			start := time.Now()
			_, err := newTestController(Config{}, c.p).Admit(t.Context(), req)
			checkRefused(t, err, errkind.DeadlineUnreachable)
			if waited := time.Since(start); waited != 0 {
				t.Errorf("%s: refused after %s, want at once", c.name, waited)
			}
		}
	})
}

func TestRequestWhoseDeadlinePassesInQueueIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 1, busy: 1}
		req := request(lists.Limits{}, 10)
		req.Deadline = time.Now().Add(time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
		defer cancel()
		_, err := newTestController(Config{}, p).Admit(ctx, req)
		checkRefused(t, err, errkind.DeadlineUnreachable)
	})
}

func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 1, busy: 1}
		c := newTestController(Config{MaxQueued: 3}, p)
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				_, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
				checkRefused(t, err, errkind.Overloaded)
			})
		}
		synctest.Wait()
		start := time.Now()
		_, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
		checkRefused(t, err, errkind.Overloaded)
		if waited := time.Since(start); waited != 0 {
			t.Errorf("refused after %s, want at once", waited)
		}
		wg.Wait()
	})
}

func TestCanceledQueuedRequestReleasesItsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 1, busy: 1}
		c := newTestController(Config{}, p)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			_, err := c.Admit(ctx, request(lists.Limits{Concurrency: 1}, 10))
			result <- err
		}()
		synctest.Wait()
		cancel()
		checkRefused(t, <-result, errkind.Canceled)
		p.add(-1)
		g, err := c.Admit(t.Context(), request(lists.Limits{Concurrency: 1}, 10))
		if err != nil {
			t.Fatalf("the canceled request still counts toward the limit: %v", err)
		}
		g.Release(0)
	})
}

func TestUndispatchedRequestReservesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 1, service: time.Second}
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
			t.Fatal("the slot of an admitted request that was not dispatched yet was assigned again")
		default:
		}
		// The first request ends without having been dispatched.
		first.Release(0)
		(<-admitted).Release(0)
	})
}

func TestRequestIsAdmittedWhenCapacityIsUnknown(t *testing.T) {
	g, err := newTestController(Config{}, &fakeCapacity{unknown: true}).Admit(t.Context(), request(lists.Limits{}, 10))
	if err != nil {
		t.Fatal(err)
	}
	g.Release(0)
}

func TestConcurrencyLimitIsNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 100}
		c := newTestController(Config{}, p)
		maxInFlight, running := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				g, err := c.Admit(t.Context(), request(lists.Limits{Concurrency: 3}, 10))
				if err != nil {
					checkRefused(t, err, errkind.LimitExceeded)
					return
				}
				mu.Lock()
				running++
				maxInFlight = max(maxInFlight, running)
				mu.Unlock()
				time.Sleep(900 * time.Millisecond)
				mu.Lock()
				running--
				mu.Unlock()
				g.Release(1)
			})
		}
		wg.Wait()
		if maxInFlight != 3 {
			t.Errorf("got %d requests in flight, want a maximum of 3", maxInFlight)
		}
	})
}

func TestUnusedTokensAreRefundedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(Config{}, &fakeCapacity{slots: 100})
		limits := lists.Limits{TokensPerSecond: 100}
		g, err := c.Admit(t.Context(), request(limits, 990))
		if err != nil {
			t.Fatal(err)
		}
		// 1000 tokens are charged to a bucket of 200: refilling the missing 800 takes 8
		// s, longer than the maximum wait of a short request.
		_, err = c.Admit(t.Context(), request(limits, 10))
		checkRefused(t, err, errkind.LimitExceeded)
		if retryAfter := errkind.From(err).RetryDelay(); retryAfter < 7*time.Second || retryAfter > 9*time.Second {
			t.Errorf("got a retry delay of %s, want about 8 s", retryAfter)
		}
		g.Release(20)
		if g, err = c.Admit(t.Context(), request(limits, 10)); err != nil {
			t.Fatalf("unused tokens were not refunded: %v", err)
		}
		g.Release(20)
	})
}

func TestOutputTokensAbovePlanLimitAreRefused(t *testing.T) {
	c := newTestController(Config{}, &fakeCapacity{slots: 1})
	_, err := c.Admit(t.Context(), request(lists.Limits{MaxOutputTokens: 100}, 101))
	checkRefused(t, err, errkind.BadRequest)
}

func TestAdmitQueuedAdmitsRequestWhenCapacityIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeCapacity{slots: 1, busy: 1}
		c := newTestController(Config{}, p)
		admitted := make(chan error)
		go func() {
			g, err := c.Admit(t.Context(), request(lists.Limits{}, 10))
			if err == nil {
				g.Release(0)
			}
			admitted <- err
		}()
		synctest.Wait()
		p.add(-1)
		c.AdmitQueued(time.Now())
		if err := <-admitted; err != nil {
			t.Fatal(err)
		}
	})
}

// TestOverloadKeepsGoodput sends three times the load that the slots can serve and
// counts the requests whose first token arrives before the deadline.
func TestOverloadKeepsGoodput(t *testing.T) {
	const slots, service, span = 10, 500 * time.Millisecond, 60 * time.Second
	goodput := func(load float64) (good int) {
		synctest.Test(t, func(t *testing.T) {
			p := &fakeCapacity{slots: slots, service: service}
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
						checkRefused(t, err, errkind.DeadlineUnreachable)
						return
					}
					if time.Now().Before(req.Deadline) {
						mu.Lock()
						good++
						mu.Unlock()
					}
					p.serve(g, service)
				})
			}
			wg.Wait()
		})
		return good
	}
	atCapacity, overloaded := goodput(1), goodput(3)
	if float64(overloaded) < 0.95*float64(atCapacity) {
		t.Errorf("got a goodput of %d requests at three times the load, want at least 95%% of the %d at capacity", overloaded, atCapacity)
	}
}
