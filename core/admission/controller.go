package admission

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
)

const shardCount = 16

// Controller implements gateway.Admission. It is safe for concurrent use; its
// owner calls Update about once a second and Pump some times a second.
type Controller struct {
	cfg      Config
	shares   *Shares
	capacity Capacity
	observer Observer
	now      func() time.Time
	retries  *retryBudget
	shards   [shardCount]shard
	rooms    sync.Map // domain.Target to *stage
}

type shard struct {
	mu        sync.Mutex
	customers map[domain.CustomerID]*customer
}

// New returns a controller.
func New(cfg Config, shares *Shares, capacity Capacity, observer Observer, now func() time.Time) *Controller {
	c := &Controller{cfg: cfg.withDefaults(), shares: shares, capacity: capacity, observer: observer, now: now}
	c.retries = newRetryBudget(&c.cfg, now())
	for i := range c.shards {
		c.shards[i].customers = make(map[domain.CustomerID]*customer)
	}
	return c
}

// Admit implements gateway.Admission. Errors have the verdict "no": bad_request
// for a generation that is longer than the plan allows, limit_exceeded,
// deadline_unreachable, overloaded, and canceled.
func (c *Controller) Admit(ctx context.Context, req gateway.AdmitRequest) (gateway.Grant, error) {
	if c.cfg.Off {
		return openGrant{}, nil
	}
	begun := c.now()
	e := c.entry(begun, &req)
	g, err := c.admit(ctx, begun, &req, e)
	if err != nil {
		c.observer.Refused(e.class, err)
		return nil, err
	}
	c.retries.request()
	c.observer.Waited(e.class, c.now().Sub(begun))
	return g, nil
}

func (c *Controller) entry(now time.Time, req *gateway.AdmitRequest) *entry {
	e := &entry{
		class: c.cfg.classOf(req), priority: req.Access.Plan.Priority,
		placesOf: func() string { return placesOf(req.Access.Plan) }, headroom: func() Headroom { return c.capacity.Headroom(req) },
		tokens: float64(req.PromptTokens + req.OutputTokens),
	}
	bound := c.cfg.ShortWait
	if e.class == Long {
		bound = c.cfg.LongWait
	}
	h := e.headroom()
	e.cost = max(h.Service.Seconds(), minCost)
	e.due = now.Add(bound + h.FirstToken)
	if !req.FirstTokenBy.IsZero() {
		e.due, e.stated = req.FirstTokenBy, true
	}
	if !req.Deadline.IsZero() && req.Deadline.Before(e.due) {
		e.due, e.stated = req.Deadline, true
	}
	return e
}

// placesOf names the places that a plan allows; plans that allow the same have
// the same name.
func placesOf(p *lists.Plan) string {
	if p.HomeOnly {
		return string(p.Home)
	}
	regions := make([]string, len(p.Regions))
	for i, r := range p.Regions {
		regions[i] = string(r)
	}
	slices.Sort(regions)
	return strings.Join(regions, " ")
}

func (c *Controller) admit(ctx context.Context, now time.Time, req *gateway.AdmitRequest, e *entry) (*grant, error) {
	limits := req.Access.Plan.Limits
	if limits.MaxOutputTokens > 0 && req.OutputTokens > limits.MaxOutputTokens {
		return nil, errkind.New(errkind.BadRequest, "the plan allows %d generated tokens, the request may take %d; state max_tokens", limits.MaxOutputTokens, req.OutputTokens)
	}
	g := &grant{c: c, e: e}
	if limits.Concurrency > 0 || limits.TokensPerSecond > 0 {
		g.customer = c.customer(now, req.Access.Customer, limits)
		g.customer.note(now, e)
		if err := g.customer.enter(ctx, now, c.now, e); err != nil {
			return nil, err
		}
	}
	g.room = c.room(req.Target)
	if err := g.room.enter(ctx, c.now(), c.now, e); err != nil {
		if g.customer != nil {
			g.customer.release(c.now(), e)
		}
		return nil, err
	}
	return g, nil
}

// minCost is the least slot time, in seconds, that a request counts for.
const minCost = 0.001

// customer returns the state of a customer's limits at this node.
func (c *Controller) customer(now time.Time, id domain.CustomerID, limits lists.Limits) *customer {
	s := &c.shards[xxhash.Sum64String(string(id))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	cu := s.customers[id]
	if cu != nil {
		return cu
	}
	cu = &customer{id: id, collected: now, used: now, tokens: bucket{burst: c.cfg.Burst}}
	cu.stage = stage{queue: newQueue(c.cfg.ShortWeight, c.cfg.AgingStep), resource: cu, max: c.cfg.MaxQueuedPerCustomer}
	cu.setShare(now, limits, c.shares.Share(id, limits, now))
	s.customers[id] = cu
	return cu
}

func (c *Controller) room(t domain.Target) *stage {
	if s, ok := c.rooms.Load(t); ok {
		return s.(*stage)
	}
	s := &stage{
		queue: newQueue(c.cfg.ShortWeight, c.cfg.AgingStep), resource: &room{target: t.Kind.String() + " " + t.Name}, max: c.cfg.MaxQueued,
	}
	known, _ := c.rooms.LoadOrStore(t, s)
	return known.(*stage)
}

// AllowRetry implements gateway.Admission.
func (c *Controller) AllowRetry() bool { return c.cfg.Off || c.retries.take(c.now()) }

// Pump lets through who may go on by now.
func (c *Controller) Pump(now time.Time) {
	c.rooms.Range(func(_, s any) bool {
		s.(*stage).pump(now)
		return true
	})
	for _, cu := range c.all() {
		cu.pump(now)
	}
}

// all returns the customers with state at this node.
func (c *Controller) all() []*customer {
	var out []*customer
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, cu := range s.customers {
			out = append(out, cu)
		}
		s.mu.Unlock()
	}
	return out
}

// Update divides the limits anew. It returns the demands to publish. limits tells
// a customer's limits by the lists in force.
func (c *Controller) Update(now time.Time, fleet Fleet, limits func(domain.CustomerID) lists.Limits) []membership.LimitDemand {
	customers := c.all()
	usage := make([]Usage, len(customers))
	for i, cu := range customers {
		usage[i] = cu.collect(now)
		usage[i].Limits = limits(cu.id)
	}
	publish := c.shares.Update(now, fleet, usage)
	for i, cu := range customers {
		share := c.shares.Share(cu.id, usage[i].Limits, now)
		cu.mu.Lock()
		cu.setShare(now, usage[i].Limits, share)
		cu.pumpLocked(now)
		cu.mu.Unlock()
	}
	c.forget(now)
	return publish
}

// forget drops customers that have not asked for a while.
func (c *Controller) forget(now time.Time) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, cu := range s.customers {
			if cu.idleSince(now.Add(-forgetAfter)) {
				delete(s.customers, id)
			}
		}
		s.mu.Unlock()
	}
}

// CustomerShare is a customer's share at this node.
type CustomerShare struct {
	Customer domain.CustomerID
	Share    Share
}

// Customers returns the shares of the customers that ask at this node.
func (c *Controller) Customers() []CustomerShare {
	var out []CustomerShare
	for _, cu := range c.all() {
		cu.mu.Lock()
		out = append(out, CustomerShare{Customer: cu.id, Share: cu.share})
		cu.mu.Unlock()
	}
	return out
}

// Waiting returns the number of requests in the queues.
func (c *Controller) Waiting() int {
	n := 0
	c.rooms.Range(func(_, s any) bool {
		n += s.(*stage).waiting()
		return true
	})
	for _, cu := range c.all() {
		n += cu.waiting()
	}
	return n
}
