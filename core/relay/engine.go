package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// Engine carries requests. Its fields are set before the first request.
type Engine struct {
	Self      domain.Place
	Catalog   *instances.Catalog
	Members   *peers.Members
	Regions   *peers.Regions
	Upstreams Upstreams
	Nodes     Nodes
	Budget    *sharedbounds.RetryBudget
	Policy    placement.Policy
	Log       event.Logger
	Metrics   Metrics
	Now       func() time.Time
}

// Metrics counts what the engine does.
type Metrics interface {
	Count(name string, n int64)
	Observe(name string, d time.Duration)
}

// maxPlacings bounds how often one request looks for a place, unreachable and
// misdirected upstreams included.
const maxPlacings = 5

// minBudgetNodes is the least number of nodes among which the budget's slack is
// divided: a node that has just started does not know the others yet.
const minBudgetNodes = 8

// Serve carries a request until its answer is delivered. An error before the
// head was sent is for the caller; one with Broken true means that the answer
// must be cut off.
func (e *Engine) Serve(ctx context.Context, r *Request, sink Sink) *Failure {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	a := &attempts{Engine: e, r: r, delivery: &delivery{sink: sink}}
	if r.Route.Resumable {
		a.delivery.events = &eventCutter{}
	}
	f := a.run(ctx)
	a.finish(f)
	return f
}

// Failure is why a request has no whole answer.
type Failure struct {
	*errkind.Error
	// Broken is set if the answer had begun.
	Broken bool
	// CallerLeft is set if nobody waits for the answer.
	CallerLeft bool
}

// attempts is the state of one request.
type attempts struct {
	*Engine
	r        *Request
	delivery *delivery
	tried    []domain.UpstreamID
	last     result
	placings int
	// counted is set once the request is in the retry budget's base.
	counted bool
	// maybeRan is set once an attempt left open whether it ran.
	maybeRan bool
	decision placement.Decision
	// headAt, firstAt and lastAt are when the answer's head, its first and its
	// last bytes so far arrived; maxGap is the longest pause between bytes.
	headAt, firstAt, lastAt time.Time
	maxGap                  time.Duration
}

// arrived notes bytes of the answer.
func (a *attempts) arrived(now time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = now
	} else {
		a.maxGap = max(a.maxGap, now.Sub(a.lastAt))
	}
	a.lastAt = now
}

func (a *attempts) run(ctx context.Context) *Failure {
	for {
		a.placings++
		decision, ticket := a.place()
		a.decision = decision
		var res result
		switch decision.Choice {
		case placement.Refuse:
			return a.noPlace(ctx)
		case placement.Wait:
			a.placings--
			if !a.wait(ctx, decision.For) {
				a.last = result{err: errkind.New(errkind.DeadlineUnreachable, "held for a place"), ran: domain.RunNo}
				return a.giveUp(ctx)
			}
			continue
		case placement.Local:
			a.tried = append(a.tried, ticket.ID)
			res = a.local(ctx, ticket)
		case placement.Remote:
			res = a.remote(ctx, decision.Region)
		}
		a.last = res
		if res.delivered {
			return nil
		}
		if res.ran != domain.RunNo {
			a.maybeRan = true
		}
		if res.callerLeft || ctx.Err() != nil || !a.mayRepeat(res) {
			return a.giveUp(ctx)
		}
		a.Metrics.Count("relay.repeated", 1)
	}
}

// minWait bounds how often a held request looks for a place.
const minWait = 5 * time.Millisecond

// wait holds the request; it returns false if nobody waits for it any more.
func (a *attempts) wait(ctx context.Context, d time.Duration) bool {
	a.Metrics.Count("relay.held", 1)
	timer := time.NewTimer(max(minWait, d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// mayRepeat decides if another attempt follows, and takes it from the budget.
func (a *attempts) mayRepeat(res result) bool {
	if a.placings >= maxPlacings {
		return false
	}
	if !res.reached {
		return true // nothing arrived, so nothing is repeated
	}
	if !a.r.Route.Repeatable() && a.maybeRan {
		return false
	}
	misdirected := res.judged == instances.Misdirected
	if !misdirected && a.r.Sent >= a.r.Route.MaxAttempts {
		return false
	}
	if a.delivery.begun && a.delivery.events == nil {
		return false
	}
	granted := a.Budget.Take(a.Now(), a.r.Service, a.budgetNodes())
	if !granted {
		a.Metrics.Count("relay.budget_exhausted", 1)
	}
	return granted
}

// budgetNodes is the number of nodes that share the budget's slack.
func (a *attempts) budgetNodes() int { return max(minBudgetNodes, a.Members.Count()) }

// place looks for a place; see package placement.
func (a *attempts) place() (placement.Decision, *instances.Ticket) {
	now := a.Now()
	r := a.r
	q := instances.Query{
		Request: placement.Request{
			Prompt: r.Prompt.Parts, PromptTokens: r.Prompt.Input, OutputTokens: r.Prompt.Output,
			Objective: r.Route.Objective, Elapsed: now.Sub(r.Arrived), Left: r.Deadline.Sub(now),
			Urgent: r.Route.Priority == 0, Exclude: a.tried, Spread: rand.Uint32(),
		},
		Model:        r.Prompt.Model,
		LocalAllowed: r.Route.Allows(a.Self.Region),
	}
	if !r.Relayed {
		senders := a.Members.RegionSize(now)
		q.Others = a.Regions.Loads(now, r.Service, senders, func(region domain.Region) bool {
			return region != a.Self.Region && r.Route.Allows(region) && a.Members.HasTarget(now, region)
		})
	}
	return a.Catalog.Pool(r.Service).Place(now, a.Policy, &q)
}

// noPlace answers a request that no upstream can take now.
func (a *attempts) noPlace(ctx context.Context) *Failure {
	if a.placings > 1 {
		return a.giveUp(ctx)
	}
	kind := errkind.Overloaded
	if a.decision.Delay == 0 {
		kind = errkind.NoCapacity
	}
	err := errkind.New(kind, "no upstream of service %q would answer in time; expected %v", a.r.Service, a.decision.Delay)
	a.last = result{err: a.advise(err), ran: domain.RunNo}
	return a.giveUp(ctx)
}

// advise sets when the caller should come back.
func (a *attempts) advise(err *errkind.Error) *errkind.Error {
	return err.WithRetryAfter(placement.ReturnAfter(a.decision.Delay, a.r.Route.Objective, rand.Float64()))
}

// giveUp settles what the caller gets.
func (a *attempts) giveUp(ctx context.Context) *Failure {
	res := a.last
	if res.callerLeft || errors.Is(ctx.Err(), context.Canceled) {
		return &Failure{Error: errkind.New(errkind.Canceled, "the caller left"), Broken: a.delivery.begun, CallerLeft: true}
	}
	if res.kept != nil && !a.delivery.begun {
		return a.deliverKept(res.kept)
	}
	err := res.err
	switch {
	case ctx.Err() != nil && a.maybeRan:
		err = errkind.New(errkind.Timeout, "no whole answer within %v", a.r.Deadline.Sub(a.r.Arrived))
	case ctx.Err() != nil:
		err = a.advise(errkind.New(errkind.DeadlineUnreachable, "not sent within %v", a.r.Deadline.Sub(a.r.Arrived)))
	case a.maybeRan && err.Verdict() == domain.RunNo:
		err = errkind.New(errkind.UpstreamFailed, "an earlier attempt may have run; the last: %w", err)
	case !a.maybeRan && err.Verdict() == domain.RunNo && err.RetryAfter == 0:
		err = a.advise(err)
	}
	return &Failure{Error: err, Broken: a.delivery.begun}
}

// deliverKept hands out the upstream's own failure answer.
func (a *attempts) deliverKept(k *keptAnswer) *Failure {
	if err := a.delivery.begin(k.head); err != nil {
		return &Failure{Error: errkind.New(errkind.Canceled, "%w", err), Broken: true, CallerLeft: true}
	}
	if len(k.body) > 0 {
		if err := a.delivery.sink.Write(k.body); err != nil {
			return &Failure{Error: errkind.New(errkind.Canceled, "%w", err), Broken: true, CallerLeft: true}
		}
	}
	return nil
}
