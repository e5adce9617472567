package orders

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
)

// Names of counters and gauges.
const (
	// MetricSent counts orders that an engine accepted or may have got.
	MetricSent = "orders.sent"
	// MetricRefused counts orders refused for an older fencing number.
	MetricRefused = "orders.refused"
	// MetricUnsafe counts orders that were held back because too little of the
	// lease was left.
	MetricUnsafe = "orders.held_back"
	// MetricMissing is the number of the plans' models below their floor.
	MetricMissing = "orders.models_missing"
)

// Engines is what an Orderer needs of the engines.
type Engines interface {
	Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error)
	Order(ctx context.Context, up domain.UpstreamRef, o ports.EngineOrder) error
}

// Meter counts.
type Meter interface {
	Count(name string, n int64)
	Gauge(name string, v int64)
}

// Deps are what an Orderer works with.
type Deps struct {
	KV      ports.KV
	Weights ports.WeightStore
	Engines Engines
	Log     event.Logger
	Meter   Meter
	// Now is the clock. It must be monotonic and go on while the process is
	// frozen.
	Now func() time.Time
}

// Situation is what a node knows when a round begins.
type Situation struct {
	// Eligible is set if the node serves and its domain has engines.
	Eligible bool
	// Rank is the node's among the domain's serving nodes; zero looks first.
	Rank int
	// Engines are ordered by id.
	Engines []Engine
	// Wanted are the models that plans may use here, in order; see Wanted.
	Wanted []string
}

// Orderer is one node's part in ordering its domain's engines. Round is called
// by one goroutine; Status by any.
type Orderer struct {
	cfg    Config
	deps   Deps
	tenure *tenure
	demand *demand
	// next is when the next round, or the next look at the key, is due.
	next     time.Time
	eligible bool

	changes map[domain.UpstreamID]*change
	// reservations say from when on a model may be read from the weight store.
	reservations map[string]time.Time
	count        atomic.Int64
}

// New returns the orderer of a node that holds nothing.
func New(cfg Config, deps Deps) *Orderer {
	return &Orderer{
		cfg: cfg, deps: deps, tenure: newTenure(cfg, deps.KV, deps.Now), demand: newDemand(cfg),
		changes: make(map[domain.UpstreamID]*change), reservations: make(map[string]time.Time),
	}
}

// Status is what operators see of an Orderer.
type Status struct {
	State State
	// Holder is the domain's orderer as last seen; empty if unknown.
	Holder domain.NodeID
	// Fencing is the number of the node's own orders; zero if it gives none.
	Fencing uint64
	// Changing counts the engines with a change under way.
	Changing int
}

// Status returns the present state.
func (o *Orderer) Status() Status {
	o.tenure.mu.Lock()
	defer o.tenure.mu.Unlock()
	s := Status{State: State(o.tenure.machine.Current()), Holder: o.tenure.holder, Changing: int(o.count.Load())}
	if s.State != Candidate {
		s.Fencing = o.tenure.fencing
	}
	return s
}

// Round does what is due: a candidate looks at the key, a holder keeps its
// lease and orders, a node that is not eligible gives its lease up.
func (o *Orderer) Round(ctx context.Context, s Situation) {
	before := o.tenure.state()
	o.round(ctx, s)
	o.count.Store(int64(len(o.changes)))
	after := o.tenure.state()
	if before == after {
		return
	}
	o.deps.Log.Log(event.OrdererChanged, event.F("state", after), event.F("fencing", o.tenure.number()))
	if after == Candidate {
		clear(o.changes)
		o.demand = newDemand(o.cfg)
	}
}

func (o *Orderer) round(ctx context.Context, s Situation) {
	now := o.deps.Now()
	switch {
	case !s.Eligible || o.cfg.MaxModelsPerEngine == 0:
		o.eligible = false
		if o.tenure.held() {
			o.tenure.release(ctx)
		}
	case !o.tenure.held():
		o.look(ctx, now, s.Rank)
	case !now.Before(o.next):
		o.next = now.Add(o.cfg.RoundInterval)
		o.hold(ctx, s)
	}
}

// look looks at the key if it is time, the lower the rank the later and the
// less often.
func (o *Orderer) look(ctx context.Context, now time.Time, rank int) {
	if !o.eligible {
		o.eligible = true
		o.next = now.Add(time.Duration(rank) * o.cfg.LookStagger)
	}
	if now.Before(o.next) {
		return
	}
	o.next = now.Add(o.cfg.LookInterval << min(rank, maxLookDoublings))
	if err := o.tenure.look(ctx); err == nil && o.tenure.held() {
		o.next = now.Add(o.cfg.RoundInterval)
	}
}

// hold keeps the lease and orders, if the service has just confirmed it.
func (o *Orderer) hold(ctx context.Context, s Situation) {
	confirmed := o.tenure.keep(ctx)
	now := o.deps.Now()
	o.demand.observe(now, s)
	o.deps.Meter.Gauge(MetricMissing, int64(len(o.demand.missing)))
	if !confirmed || !o.tenure.safe(now) {
		return
	}
	o.settle(now, s.Engines)
	for _, c := range newPlanner(o.cfg, now, o.demand, s, o.changes).plan() {
		o.changes[c.engine.ID] = c
	}
	for _, c := range slices.SortedFunc(maps.Values(o.changes), byEngine) {
		o.advance(ctx, c, s)
	}
}

func byEngine(a, b *change) int { return cmp.Compare(a.engine.ID, b.engine.ID) }

// settle ends the changes that are carried out, void or late. What was not sent
// yet is planned anew each round.
func (o *Orderer) settle(now time.Time, engines []Engine) {
	byID := make(map[domain.UpstreamID]*Engine)
	for i := range engines {
		byID[engines[i].Ref.ID] = &engines[i]
	}
	for id, c := range o.changes {
		e := byID[id]
		late := !c.accepted.IsZero() && now.Sub(c.accepted) >= o.cfg.ChangeTimeout
		if !c.sent || late || e == nil || !e.Live || sameModels(e.Models, c.models) {
			o.drop(c)
		}
	}
}

// drop forgets a change. A reservation that no order used stays for the model's
// next one.
func (o *Orderer) drop(c *change) {
	delete(o.changes, c.engine.ID)
	if c.sent {
		delete(o.reservations, c.load)
	}
}

// advance takes a change one step on: reserve, wait, look at the engine, order.
func (o *Orderer) advance(ctx context.Context, c *change, s Situation) {
	if !c.accepted.IsZero() || !o.reserved(ctx, c.load) || !o.leavesCopies(ctx, c, s) {
		return
	}
	report, err := o.report(ctx, c.engine)
	if err != nil {
		return
	}
	if !sameModels(report.Models, c.base) {
		o.drop(c) // another state than planned for; the next round looks again
		return
	}
	err = o.send(ctx, c)
	switch {
	case err == nil:
		c.accepted = o.deps.Now()
	case errors.Is(err, errkind.Of(errkind.Conflict)):
		o.deps.Meter.Count(MetricRefused, 1)
		o.drop(c)
		o.tenure.reread(ctx)
	}
}

// reserved tells if the model may be read from the weight store now. It reserves
// once, whatever becomes of the orders.
func (o *Orderer) reserved(ctx context.Context, model string) bool {
	from, ok := o.reservations[model]
	if !ok {
		ctx, cancel := context.WithTimeout(ctx, o.cfg.CallTimeout)
		defer cancel()
		wait, err := o.deps.Weights.Reserve(ctx, model)
		if err != nil {
			return false
		}
		from = o.deps.Now().Add(wait)
		o.reservations[model] = from
	}
	return !o.deps.Now().Before(from)
}

// leavesCopies asks the engines if enough of them still have the model that the
// change unloads: what the node knows of them lags.
func (o *Orderer) leavesCopies(ctx context.Context, c *change, s Situation) bool {
	if c.drop == "" || !slices.Contains(s.Wanted, c.drop) {
		return true
	}
	left := 0
	for _, e := range s.Engines {
		if e.Ref.ID == c.engine.ID || !e.Live || !slices.Contains(e.Models, c.drop) || o.drops(e.Ref.ID, c.drop) {
			continue
		}
		report, err := o.report(ctx, e.Ref)
		if err == nil && !report.Leaving && slices.Contains(report.Models, c.drop) {
			left++
		}
		if left >= max(1, o.cfg.Floor) {
			return true
		}
	}
	return false
}

// drops tells if a change under way unloads a model from an engine.
func (o *Orderer) drops(id domain.UpstreamID, model string) bool {
	c, ok := o.changes[id]
	return ok && c.drop == model
}

func (o *Orderer) report(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CallTimeout)
	defer cancel()
	return o.deps.Engines.Load(ctx, up)
}

// send orders once. Nothing may come between the look at the clock and the call.
func (o *Orderer) send(ctx context.Context, c *change) error {
	order := ports.EngineOrder{Models: c.models, Fencing: o.tenure.number()}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.SendDeadline)
	defer cancel()
	if !o.tenure.safe(o.deps.Now()) {
		o.deps.Meter.Count(MetricUnsafe, 1)
		return errkind.New(errkind.Timeout, "too little of the lease is left").WithRun(domain.RunNo)
	}
	err := o.deps.Engines.Order(ctx, c.engine, order)
	if err != nil && errkind.From(err).Verdict() == domain.RunNo {
		return err
	}
	c.sent = true
	o.deps.Meter.Count(MetricSent, 1)
	o.deps.Log.Log(event.OrderSent, event.F("upstream", c.engine.ID), event.F("models", c.models), event.F("fencing", order.Fencing))
	return err
}
