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

// The names of the counters and gauges.
const (
	// MetricSent counts orders that an engine accepted or may have received.
	MetricSent = "orders.sent"
	// MetricRefused counts orders refused because of an older fencing number.
	MetricRefused = "orders.refused"
	// MetricHeldBack counts orders that were not sent because the remaining lease time
	// was too short.
	MetricHeldBack = "orders.held_back"
	// MetricMissing is the number of models of the plans that are loaded on fewer
	// engines than Config.MinReplicas.
	MetricMissing = "orders.models_missing"
)

// Engines is the interface through which an Orderer calls the engines.
type Engines interface {
	Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error)
	Order(ctx context.Context, up domain.UpstreamRef, o ports.EngineOrder) error
}

// Meter records metrics.
type Meter interface {
	Count(name string, n int64)
	Gauge(name string, v int64)
}

// Deps holds the dependencies of an Orderer.
type Deps struct {
	KV      ports.KV
	Weights ports.WeightStore
	Engines Engines
	Log     event.Logger
	Meter   Meter
	// Now returns the time. The clock must be monotonic and must advance while the
	// process is frozen.
	Now func() time.Time
}

// DomainView is a node's view of its failure domain at the beginning of a round.
type DomainView struct {
	// Eligible is set if the node is serving and its domain has engines.
	Eligible bool
	// Rank is the node's rank among the domain's serving nodes. The node of rank
	// zero reads the key first.
	Rank int
	// Engines are ordered by id.
	Engines []Engine
	// DesiredModels are the sorted names of the models that plans may use in the
	// node's region, as returned by the function DesiredModels.
	DesiredModels []string
}

// Orderer sends orders to the engines of its failure domain while its node holds
// the lease. Round must be called by one goroutine; Status may be called by any.
type Orderer struct {
	cfg        Config
	deps       Deps
	leadership *leadership
	demand     *demandTracker
	// next is when the holder's next round or the candidate's next read of the key
	// is due.
	next     time.Time
	eligible bool

	changes map[domain.UpstreamID]*change
	// reservations maps a model to the time from which it may be read from the
	// weight store.
	reservations map[string]time.Time
	count        atomic.Int64
}

// New returns an Orderer in state Candidate.
func New(cfg Config, deps Deps) *Orderer {
	return &Orderer{
		cfg: cfg, deps: deps, leadership: newLeadership(cfg, deps.KV, deps.Now), demand: newDemandTracker(cfg),
		changes: make(map[domain.UpstreamID]*change), reservations: make(map[string]time.Time),
	}
}

// Status is an Orderer's status for operators.
type Status struct {
	State State
	// Holder is the last known orderer of the domain; empty if unknown.
	Holder domain.NodeID
	// Fencing is the fencing number of the node's orders; zero if it is a
	// candidate.
	Fencing uint64
	// Changing is the number of engines with a pending change.
	Changing int
}

// Status returns the current status.
func (o *Orderer) Status() Status {
	o.leadership.mu.Lock()
	defer o.leadership.mu.Unlock()
	s := Status{State: State(o.leadership.lifecycle.Current()), Holder: o.leadership.holder, Changing: int(o.count.Load())}
	if s.State != Candidate {
		s.Fencing = o.leadership.fencing
	}
	return s
}

// Round performs the work that is due: a candidate reads the key, a holder renews
// its lease and sends orders, and a node that is not eligible revokes its lease.
func (o *Orderer) Round(ctx context.Context, s DomainView) {
	before := o.leadership.state()
	o.round(ctx, s)
	o.count.Store(int64(len(o.changes)))
	after := o.leadership.state()
	if before == after {
		return
	}
	o.deps.Log.Log(event.OrdererChanged, event.F("state", after), event.F("fencing", o.leadership.fencingNumber()))
	if after == Candidate {
		clear(o.changes)
		o.demand = newDemandTracker(o.cfg)
	}
}

func (o *Orderer) round(ctx context.Context, s DomainView) {
	now := o.deps.Now()
	switch {
	case !s.Eligible || o.cfg.MaxModelsPerEngine == 0:
		o.eligible = false
		if o.leadership.isHeld() {
			o.leadership.release(ctx)
		}
	case !o.leadership.isHeld():
		o.candidateRound(ctx, now, s.Rank)
	case !now.Before(o.next):
		o.next = now.Add(o.cfg.RoundInterval)
		o.holderRound(ctx, s)
	}
}

// candidateRound tries to acquire the key if that is due. Nodes of lower priority,
// which have a higher rank number, do so later and less often.
func (o *Orderer) candidateRound(ctx context.Context, now time.Time, rank int) {
	if !o.eligible {
		o.eligible = true
		o.next = now.Add(time.Duration(rank) * o.cfg.AcquireStagger)
	}
	if now.Before(o.next) {
		return
	}
	o.next = now.Add(o.cfg.AcquireInterval << min(rank, maxIntervalDoublings))
	if err := o.leadership.tryAcquire(ctx); err == nil && o.leadership.isHeld() {
		o.next = now.Add(o.cfg.RoundInterval)
	}
}

// holderRound renews the lease, and sends orders if the service has just confirmed
// the renewal.
func (o *Orderer) holderRound(ctx context.Context, s DomainView) {
	confirmed := o.leadership.renew(ctx)
	now := o.deps.Now()
	o.demand.observe(now, s)
	o.deps.Meter.Gauge(MetricMissing, int64(len(o.demand.missing)))
	if !confirmed || !o.leadership.canSend(now) {
		return
	}
	o.discardFinished(now, s.Engines)
	for _, c := range newPlanner(o.cfg, now, o.demand, s, o.changes).plan() {
		o.changes[c.engine.ID] = c
	}
	for _, c := range slices.SortedFunc(maps.Values(o.changes), byEngine) {
		o.advance(ctx, c, s)
	}
}

func byEngine(a, b *change) int { return cmp.Compare(a.engine.ID, b.engine.ID) }

// discardFinished discards the changes that are complete, obsolete or timed out.
// Changes that have not been sent yet are planned again in each round.
func (o *Orderer) discardFinished(now time.Time, engines []Engine) {
	byID := make(map[domain.UpstreamID]*Engine)
	for i := range engines {
		byID[engines[i].Ref.ID] = &engines[i]
	}
	for id, c := range o.changes {
		e := byID[id]
		timedOut := !c.accepted.IsZero() && now.Sub(c.accepted) >= o.cfg.ChangeTimeout
		if !c.sent || timedOut || e == nil || !e.Live || sameModels(e.Models, c.models) {
			o.discard(c)
		}
	}
}

// discard removes a change. A reservation that no order has used remains for the
// model's next change.
func (o *Orderer) discard(c *change) {
	delete(o.changes, c.engine.ID)
	if c.sent {
		delete(o.reservations, c.load)
	}
}

// advance performs the next step of a change: reserve the weights, wait, check the
// engine's models, send the order.
func (o *Orderer) advance(ctx context.Context, c *change, s DomainView) {
	if !c.accepted.IsZero() || !o.reserved(ctx, c.load) || !o.enoughReplicasRemain(ctx, c, s) {
		return
	}
	report, err := o.report(ctx, c.engine)
	if err != nil {
		return
	}
	if !sameModels(report.Models, c.baseModels) {
		o.discard(c) // the engine's models changed since the planning; the next round plans again
		return
	}
	err = o.send(ctx, c)
	switch {
	case err == nil:
		c.accepted = o.deps.Now()
	case errors.Is(err, errkind.Of(errkind.Conflict)):
		o.deps.Meter.Count(MetricRefused, 1)
		o.discard(c)
		o.leadership.verifyHolder(ctx)
	}
}

// reserved reports whether the model may be read from the weight store now. It makes
// one reservation per model, regardless of the outcome of the orders.
func (o *Orderer) reserved(ctx context.Context, model string) bool {
	readableFrom, ok := o.reservations[model]
	if !ok {
		ctx, cancel := context.WithTimeout(ctx, o.cfg.CallTimeout)
		defer cancel()
		wait, err := o.deps.Weights.Reserve(ctx, model)
		if err != nil {
			return false
		}
		readableFrom = o.deps.Now().Add(wait)
		o.reservations[model] = readableFrom
	}
	return !o.deps.Now().Before(readableFrom)
}

// enoughReplicasRemain queries the engines to check that enough of them still have
// the model that the change unloads, because the node's view of them lags.
func (o *Orderer) enoughReplicasRemain(ctx context.Context, c *change, s DomainView) bool {
	if c.unload == "" || !slices.Contains(s.DesiredModels, c.unload) {
		return true
	}
	remaining := 0
	for _, e := range s.Engines {
		if e.Ref.ID == c.engine.ID || !e.Live || !slices.Contains(e.Models, c.unload) || o.unloads(e.Ref.ID, c.unload) {
			continue
		}
		report, err := o.report(ctx, e.Ref)
		if err == nil && !report.Leaving && slices.Contains(report.Models, c.unload) {
			remaining++
		}
		if remaining >= max(1, o.cfg.MinReplicas) {
			return true
		}
	}
	return false
}

// unloads reports whether a pending change unloads the model from the engine.
func (o *Orderer) unloads(id domain.UpstreamID, model string) bool {
	c, ok := o.changes[id]
	return ok && c.unload == model
}

func (o *Orderer) report(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CallTimeout)
	defer cancel()
	return o.deps.Engines.Load(ctx, up)
}

// send sends the order once. No other work may be done between the check of the
// lease against the clock and the call.
func (o *Orderer) send(ctx context.Context, c *change) error {
	order := ports.EngineOrder{Models: c.models, Fencing: o.leadership.fencingNumber()}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.SendDeadline)
	defer cancel()
	if !o.leadership.canSend(o.deps.Now()) {
		o.deps.Meter.Count(MetricHeldBack, 1)
		return errkind.New(errkind.Timeout, "the remaining lease time is shorter than the send deadline").WithRun(domain.RunNo)
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
