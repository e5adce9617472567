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

// Controller implements gateway.Admission. It is safe for concurrent use. Its owner must
// call Update about once per second and AdmitQueued several times per second.
type Controller struct {
	cfg          Config
	shares       *Shares
	capacity     Capacity
	observer     Observer
	now          func() time.Time
	retries      *retryBudget
	shards       [shardCount]shard
	targetStages sync.Map // domain.Target to *stage
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

// Admit implements gateway.Admission. Its errors have the verdict domain.RunNo. Their
// kinds are bad_request for a generation longer than the plan allows, limit_exceeded,
// deadline_unreachable, overloaded and canceled.
func (c *Controller) Admit(ctx context.Context, req gateway.AdmitRequest) (gateway.Grant, error) {
	if c.cfg.Disabled {
		return noopGrant{}, nil
	}
	start := c.now()
	e := c.newEntry(start, &req)
	g, err := c.admit(ctx, start, &req, e)
	if err != nil {
		c.observer.Refused(e.class, err)
		return nil, err
	}
	c.retries.recordRequest()
	c.observer.Admitted(e.class, c.now().Sub(start))
	return g, nil
}

func (c *Controller) newEntry(now time.Time, req *gateway.AdmitRequest) *entry {
	e := &entry{
		class: c.cfg.classOf(req), priority: req.Access.Plan.Priority,
		regionsKeyOf: func() string { return allowedRegionsKey(req.Access.Plan) }, headroom: func() Headroom { return c.capacity.Headroom(req) },
		tokens: float64(req.PromptTokens + req.OutputTokens),
	}
	maxWait := c.cfg.ShortWait
	if e.class == Long {
		maxWait = c.cfg.LongWait
	}
	h := e.headroom()
	e.cost = max(h.ServiceTime.Seconds(), minCost)
	e.deadline = now.Add(maxWait + h.TimeToFirstToken)
	if !req.FirstTokenDeadline.IsZero() {
		e.deadline, e.callerDeadline = req.FirstTokenDeadline, true
	}
	if !req.Deadline.IsZero() && req.Deadline.Before(e.deadline) {
		e.deadline, e.callerDeadline = req.Deadline, true
	}
	return e
}

// allowedRegionsKey returns a key for the regions that a plan allows. Plans that allow
// the same regions have the same key.
func allowedRegionsKey(p *lists.Plan) string {
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
		return nil, errkind.New(errkind.BadRequest, "the plan allows at most %d output tokens, the request may generate %d; set max_tokens", limits.MaxOutputTokens, req.OutputTokens)
	}
	g := &grant{c: c, e: e}
	if limits.Concurrency > 0 || limits.TokensPerSecond > 0 {
		g.customer = c.customer(now, req.Access.Customer, limits)
		g.customer.recordRequest(now, e)
		if err := g.customer.acquire(ctx, now, c.now, e); err != nil {
			return nil, err
		}
	}
	g.target = c.targetStage(req.Target)
	if err := g.target.acquire(ctx, c.now(), c.now, e); err != nil {
		if g.customer != nil {
			g.customer.releaseAndAdmit(c.now(), e)
		}
		return nil, err
	}
	return g, nil
}

// minCost is the minimum slot time, in seconds, that a request is charged.
const minCost = 0.001

// customer returns the state of a customer's limits at this node and creates it if
// necessary.
func (c *Controller) customer(now time.Time, id domain.CustomerID, limits lists.Limits) *customer {
	s := &c.shards[xxhash.Sum64String(string(id))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	cust := s.customers[id]
	if cust != nil {
		return cust
	}
	cust = &customer{id: id, collectedAt: now, lastRequestAt: now, tokens: tokenBucket{burst: c.cfg.Burst}}
	cust.stage = stage{queue: newQueue(c.cfg.ShortWeight, c.cfg.AgingStep), resource: cust, maxQueued: c.cfg.MaxQueuedPerCustomer}
	cust.setShare(now, limits, c.shares.Share(id, limits, now))
	s.customers[id] = cust
	return cust
}

func (c *Controller) targetStage(t domain.Target) *stage {
	if s, ok := c.targetStages.Load(t); ok {
		return s.(*stage)
	}
	s := &stage{
		queue: newQueue(c.cfg.ShortWeight, c.cfg.AgingStep), resource: &targetSlots{target: t.Kind.String() + " " + t.Name}, maxQueued: c.cfg.MaxQueued,
	}
	stored, _ := c.targetStages.LoadOrStore(t, s)
	return stored.(*stage)
}

// AllowRetry implements gateway.Admission.
func (c *Controller) AllowRetry() bool { return c.cfg.Disabled || c.retries.tryTake(c.now()) }

// AdmitQueued admits queued requests for which capacity has become available.
func (c *Controller) AdmitQueued(now time.Time) {
	c.targetStages.Range(func(_, s any) bool {
		s.(*stage).admitQueued(now)
		return true
	})
	for _, cust := range c.allCustomers() {
		cust.admitQueued(now)
	}
}

// allCustomers returns the customers with state at this node.
func (c *Controller) allCustomers() []*customer {
	var out []*customer
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, cust := range s.customers {
			out = append(out, cust)
		}
		s.mu.Unlock()
	}
	return out
}

// Update recomputes this node's shares of the limits and returns the demands to publish.
// limits returns a customer's limits in the current lists.
func (c *Controller) Update(now time.Time, fleet Fleet, limits func(domain.CustomerID) lists.Limits) []membership.LimitDemand {
	customers := c.allCustomers()
	usage := make([]Usage, len(customers))
	for i, cust := range customers {
		usage[i] = cust.collect(now)
		usage[i].Limits = limits(cust.id)
	}
	publish := c.shares.Update(now, fleet, usage)
	for i, cust := range customers {
		share := c.shares.Share(cust.id, usage[i].Limits, now)
		cust.mu.Lock()
		cust.setShare(now, usage[i].Limits, share)
		cust.admitQueuedLocked(now)
		cust.mu.Unlock()
	}
	c.evictIdle(now)
	return publish
}

// evictIdle removes customers without requests for at least idleCustomerTTL.
func (c *Controller) evictIdle(now time.Time) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, cust := range s.customers {
			if cust.idleSince(now.Add(-idleCustomerTTL)) {
				delete(s.customers, id)
			}
		}
		s.mu.Unlock()
	}
}

// CustomerShare is a customer's share of its limits at this node.
type CustomerShare struct {
	Customer domain.CustomerID
	Share    Share
}

// Customers returns the shares of the customers with state at this node.
func (c *Controller) Customers() []CustomerShare {
	var out []CustomerShare
	for _, cust := range c.allCustomers() {
		cust.mu.Lock()
		out = append(out, CustomerShare{Customer: cust.id, Share: cust.share})
		cust.mu.Unlock()
	}
	return out
}

// QueueLength returns the number of queued requests.
func (c *Controller) QueueLength() int {
	n := 0
	c.targetStages.Range(func(_, s any) bool {
		n += s.(*stage).queueLength()
		return true
	})
	for _, cust := range c.allCustomers() {
		n += cust.queueLength()
	}
	return n
}
