package relay_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/quarantine"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/routes"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

var localPlace = domain.Place{Region: "west", FailureDomain: "west-a"}

// reply is the behaviour of a fake upstream or node for one attempt.
type reply struct {
	head   relay.Head
	chunks []string
	// end is the error after the chunks; nil means a complete answer.
	end error
	// err is returned instead of an answer. delay is the time until either.
	err   error
	delay time.Duration
	// hang blocks until the attempt is canceled.
	hang bool
	// pause is the delay before each chunk except the first.
	pause   time.Duration
	started bool
	sent    int
}

type fakeAnswer struct {
	ctx context.Context
	r   reply
}

func (a *fakeAnswer) Head() relay.Head                     { return a.r.head }
func (a *fakeAnswer) ReportedLoad() instances.ReportedLoad { return instances.ReportedLoad{} }
func (a *fakeAnswer) SendCount() int                       { return max(1, a.r.sent) }
func (a *fakeAnswer) Close()                               {}

func (a *fakeAnswer) Next() ([]byte, error) {
	if len(a.r.chunks) > 0 {
		if a.r.started {
			select {
			case <-time.After(a.r.pause):
			case <-a.ctx.Done():
				return nil, a.ctx.Err()
			}
		}
		a.r.started = true
		b := []byte(a.r.chunks[0])
		a.r.chunks = a.r.chunks[1:]
		return b, nil
	}
	if a.r.hang {
		<-a.ctx.Done()
		return nil, a.ctx.Err()
	}
	if a.r.end != nil {
		return nil, a.r.end
	}
	return nil, io.EOF
}

// fakeTarget returns the replies in order and records the attempts.
type fakeTarget struct {
	mu      sync.Mutex
	replies []reply
	calls   []relay.Call
	to      []string
}

func (s *fakeTarget) next(ctx context.Context, to string, c *relay.Call) (relay.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, *c)
	s.to = append(s.to, to)
	if len(s.replies) == 0 {
		return nil, errors.New("unexpected attempt")
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	if r.err != nil {
		time.Sleep(r.delay)
		return nil, r.err
	}
	select {
	case <-time.After(r.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if r.head.Status == 0 {
		r.head.Status, r.head.Signed = 200, true
	}
	r.head.ContentLength = -1
	return &fakeAnswer{ctx, r}, nil
}

func (s *fakeTarget) Send(ctx context.Context, to *instances.Instance, c *relay.Call) (relay.Answer, error) {
	return s.next(ctx, string(to.ID), c)
}

func (s *fakeTarget) Connected(*peers.Member) bool { return true }

func (s *fakeTarget) Relay(ctx context.Context, to *peers.Member, c *relay.Call) (relay.Answer, error) {
	return s.next(ctx, string(to.ID), c)
}

// recordingSink records what the caller gets.
type recordingSink struct {
	head relay.Head
	body string
	err  error // returned by writes
}

func (c *recordingSink) Begin(h relay.Head) error { c.head = h; return c.err }
func (c *recordingSink) Write(b []byte) error     { c.body += string(b); return c.err }

type discardMetrics struct{}

func (discardMetrics) Count(string, int64)           {}
func (discardMetrics) Observe(string, time.Duration) {}

// fixture is an engine with fake upstreams in its own region and a fake transport to
// nodes of other regions.
type fixture struct {
	*relay.Engine
	upstreams, nodes *fakeTarget
}

func newFixture(t *testing.T, local int) *fixture {
	t.Helper()
	now := time.Now()
	r := &fixture{upstreams: &fakeTarget{}, nodes: &fakeTarget{}}
	catalog := instances.NewCatalog(instances.Options{Self: localPlace})
	for _, id := range []domain.UpstreamID{"u1", "u2", "u3"}[:local] {
		catalog.Put(now, instances.Instance{ID: id, Service: "app", Address: "x:1", Place: localPlace, Slots: 4})
	}
	members := peers.NewMembers(peers.Member{ID: "n1", Place: localPlace}, 0, nil)
	regions := peers.NewRegions(event.Discard{})
	r.Engine = &relay.Engine{
		Self: localPlace, Catalog: catalog, Members: members, Regions: regions, Upstreams: r.upstreams, Nodes: r.nodes,
		Budget: sharedbounds.NewRetryBudget(1, 100, 10*time.Second), Quarantine: quarantine.New(quarantine.Options{}), Policy: placement.DefaultPolicy(),
		Log: event.Discard{}, Metrics: discardMetrics{}, Now: time.Now,
	}
	return r
}

// addEastNode adds a live node of another region that has capacity.
func (r *fixture) addEastNode() {
	now := time.Now()
	r.Members.Merge(now, &peers.Member{ID: "e1", Place: domain.Place{Region: "east"}, State: domain.NodeServing, HeartbeatCounter: 1}, nil)
	r.Regions.SetLoads(now, "east", []instances.Load{{Service: "app", Usable: 1, Free: 50, Delay: 10 * time.Millisecond}}, nil, 0)
}

func newRequest(kind routes.Kind, attempts int) *relay.Request {
	now := time.Now()
	return &relay.Request{
		Message: relay.Message{ID: "r1", Method: "POST", RequestTarget: "/x/"},
		Route: &routes.Route{Name: "route", Kind: kind, MaxAttempts: attempts, Timeout: 5 * time.Second, Objective: 500 * time.Millisecond,
			Split: []routes.WeightedService{{Service: "app", Weight: 1}}},
		Service: "app", Arrived: now, Deadline: now.Add(5 * time.Second),
	}
}
