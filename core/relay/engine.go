package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/quarantine"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// Engine relays requests. Its fields must be set before the first request.
type Engine struct {
	Self      domain.Place
	Catalog   *instances.Catalog
	Members   *peers.Members
	Regions   *peers.Regions
	Upstreams Upstreams
	Nodes     Nodes
	Budget    *sharedbounds.RetryBudget
	// Quarantine holds back requests that crash upstreams.
	Quarantine *quarantine.Table
	// Streams tells which version of the software began a stream; nil if streams may go on at any.
	Streams Streams
	// Places grants the places of services with few of them; nil if there are none.
	Places  Places
	Policy  placement.Policy
	Log     event.Logger
	Metrics Metrics
	Now     func() time.Time
}

// Metrics receives the engine's counters and durations.
type Metrics interface {
	Count(name string, n int64)
	Observe(name string, d time.Duration)
}

// maxPlacements is the maximum number of placement decisions for one request, including
// those whose upstream was unreachable or misdirected.
const maxPlacements = 5

// minBudgetNodes is the minimum number of nodes among which the budget's slack is
// divided: a node that has just started does not know the others yet.
const minBudgetNodes = 8

// Serve relays a request until its answer is delivered. A failure before the head was
// sent is to be reported to the caller; one with Broken set means that the answer must
// be aborted.
func (e *Engine) Serve(ctx context.Context, r *Request, sink Sink) *Failure {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	a := &attempts{Engine: e, r: r, delivery: &delivery{sink: sink}, objectiveFrom: r.Arrived, streamSoftware: r.Software}
	for _, p := range r.Prompt.SharedParts() {
		a.subjects = append(a.subjects, quarantine.Subject{ID: p.ID})
	}
	if r.Route.Resumable {
		a.delivery.events = &eventSplitter{}
	}
	f := a.takeUp(ctx)
	if f == nil {
		f = a.run(ctx)
	}
	a.finish(f)
	return f
}

// ErrStopping is the cancellation cause of the context of a request that is still in
// flight when the node stops. The request gets an answer, unless its answer has begun.
var ErrStopping = errors.New("end of the node")

func stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Failure is the reason why a request has no complete answer.
type Failure struct {
	*errkind.Error
	// Broken is set if the answer had already begun.
	Broken bool
	// CallerDisconnected is set if the caller has disconnected.
	CallerDisconnected bool
}

// attempts is the state of one request over all its attempts.
type attempts struct {
	*Engine
	r          *Request
	delivery   *delivery
	tried      []domain.UpstreamID
	last       result
	placements int
	// forwarded are the nodes of this region to which the request was sent.
	forwarded []domain.NodeID
	// counted is set once the request counts as a first send in the retry budget.
	counted bool
	// mayHaveRun is set once it is uncertain whether an attempt ran.
	mayHaveRun bool
	decision   placement.Decision
	// objectiveFrom is when the time that counts against the objective begins: the
	// request's arrival or, if later, the end of an attempt that may have run. After such
	// an attempt the caller cannot send the request elsewhere by itself, so that a late
	// answer, or the rest of a stream that has begun, is better than none.
	objectiveFrom time.Time
	// headAt, firstAt and lastAt are when the answer's head, its first and its latest
	// bytes arrived; maxGap is the longest gap between bytes.
	headAt, firstAt, lastAt time.Time
	maxGap                  time.Duration
	// subjects are what may crash upstreams: the parts that other prompts may have too and, once
	// identified is set, the request itself.
	subjects   []quarantine.Subject
	identified bool
	// trial is set if the request is sent although one of these is held.
	trial bool
	// crashes is the number of upstreams that may have crashed on the request.
	crashes int
	// ticket is the slot of the current attempt in this region; nil if it is in another.
	ticket *instances.Ticket
	// permit is the granted place of the current attempt; nil if the node placed it by itself.
	permit Permit
	// granted is set if the current attempt has or had such a place.
	granted bool
	// refusal is the reason why a broker refused the request.
	refusal *errkind.Error
	// reported is the load that the upstream of the current attempt reported.
	reported instances.ReportedLoad
	// events counts the events of the current attempt's answer.
	events eventCounter
	// bodyBytes is the number of bytes of the body that the current attempt received, and
	// framing how their end is indicated.
	bodyBytes int
	framing   Framing
	// software is the version of the software of the upstream that answered the current attempt; empty if none did or
	// it is not known. streamSoftware is the version that wrote the events that the caller has, as Request.Software.
	software, streamSoftware string
	// lastEventAt is when the attempt was sent or, if later, when the caller was sent a new
	// event of a resumable stream, in Unix nanoseconds.
	lastEventAt atomic.Int64
	// unrepeatable is set once the caller gets a part of an answer that is not a resumable stream.
	unrepeatable atomic.Bool
}

// recordBytes records the arrival of n bytes of the answer.
func (a *attempts) recordBytes(now time.Time, n int) {
	a.bodyBytes += n
	if a.firstAt.IsZero() {
		a.firstAt = now
	} else {
		a.maxGap = max(a.maxGap, now.Sub(a.lastAt))
	}
	a.lastAt = now
}

func (a *attempts) run(ctx context.Context) *Failure {
	for {
		if res, held := a.refuseHeld(); held {
			a.last = res
			return a.fail(ctx)
		}
		a.placements++
		a.bodyBytes, a.framing, a.software, a.events = 0, "", "", eventCounter{}
		decision, ticket := a.choose(ctx)
		a.decision, a.ticket = decision, ticket
		chosenAt := a.Now()
		var res result
		switch decision.Choice {
		case placement.Refuse:
			return a.refuse(ctx)
		case placement.Wait:
			a.placements--
			if decision.OutOfMemory {
				a.Metrics.Count("relay.held_for_memory", 1)
			}
			if !a.wait(ctx, decision.BacklogWait) {
				a.last = result{err: errkind.New(errkind.DeadlineUnreachable, "the request was held until its deadline"), ran: domain.RunNo}
				return a.fail(ctx)
			}
			continue
		case placement.Local:
			a.tried = append(a.tried, ticket.ID)
			res = a.sendLocal(ctx, ticket)
		case placement.Remote:
			res = a.sendRemote(ctx, decision.Region)
		}
		a.last = res
		a.releasePlace(chosenAt, res)
		if res.delivered {
			return nil
		}
		if res.ran != domain.RunNo {
			a.mayHaveRun, a.objectiveFrom = true, a.Now()
		}
		if res.callerDisconnected || ctx.Err() != nil || !a.mayRetry(res) {
			return a.fail(ctx)
		}
		a.Metrics.Count("relay.repeated", 1)
	}
}

// minWait is the minimum time between two placement decisions for a delayed request.
const minWait = 5 * time.Millisecond

// wait delays the request by d. It returns false if the context ended first.
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

// mayRetry decides whether another attempt follows and charges it to the budget.
func (a *attempts) mayRetry(res result) bool {
	if a.placements >= maxPlacements || refusedAsHeld(res.err) || a.mayCrashAnother(res) {
		return false
	}
	if !res.reached {
		return true // not sent to an upstream, so it cannot run twice
	}
	if !a.r.Route.Repeatable() && a.mayHaveRun {
		return false
	}
	misdirected := res.upstreamOutcome == instances.Misdirected
	if !misdirected && a.r.SendCount >= a.r.Route.MaxAttempts {
		return false
	}
	if a.delivery.started && a.delivery.events == nil {
		return false
	}
	if res.upstreamOutcome == instances.Shed && a.ticket != nil && a.Catalog.Pool(a.r.Service).Brittle(a.Now()) {
		return false // the others are full as well, and fail if they reject too many
	}
	granted := a.Budget.Take(a.Now(), a.r.Service, a.budgetNodes())
	if !granted {
		a.Metrics.Count("relay.budget_exhausted", 1)
	}
	return granted
}

// budgetNodes returns the number of nodes that share the budget's slack.
func (a *attempts) budgetNodes() int { return max(minBudgetNodes, a.Members.Count()) }

// place chooses where to send the request; see package placement. pacedOnly restricts the choice to
// upstreams of this region whose rate of requests is bounded.
func (a *attempts) place(pacedOnly bool) (placement.Decision, *instances.Ticket) {
	now := a.Now()
	if a.pathsLost() && a.mayForward(now) {
		return a.forwardDecision(), nil
	}
	q := a.query(now, now.Sub(a.objectiveFrom), a.streamSoftware, pacedOnly)
	return a.Catalog.Pool(a.r.Service).Place(now, a.Policy, &q)
}

// query describes the request for a placement; elapsed counts against the objective, and software, unless it is
// empty, is the version that must run the request.
func (a *attempts) query(now time.Time, elapsed time.Duration, software string, pacedOnly bool) instances.Query {
	r := a.r
	q := instances.Query{
		Request: placement.Request{
			Prompt: r.Prompt.Parts, PromptTokens: r.Prompt.InputTokens, OutputTokens: r.Prompt.OutputTokens,
			Objective: r.Route.Objective, Elapsed: elapsed, Remaining: r.Deadline.Sub(now) - r.Reserve,
			Priority: r.Priority(), Urgent: r.urgent(), Excluded: a.tried, Random: rand.Uint32(),
		},
		Model:        r.Prompt.Model,
		LocalAllowed: r.Allows(a.Self.Region) && !a.pathsLost(),
		PacedOnly:    pacedOnly, Software: software,
	}
	if !r.Relayed && !pacedOnly {
		senders := a.Members.RegionSize(now)
		q.OtherRegions = a.Regions.Loads(now, r.Service, senders, func(region domain.Region) bool {
			return region != a.Self.Region && r.Allows(region) && a.Members.HasTarget(now, region, r.Service) && a.regionMayRun(region, software)
		})
	}
	return q
}

// regionMayRun reports whether a region has an upstream with a version of the software; any version if it is empty.
func (a *attempts) regionMayRun(region domain.Region, software string) bool {
	return software == "" || a.Catalog.Pool(a.r.Service).HasSoftware(region, software)
}

// refuse ends a request that no upstream can serve now.
func (a *attempts) refuse(ctx context.Context) *Failure {
	if a.placements > 1 {
		return a.fail(ctx)
	}
	if a.refusal != nil {
		a.last = result{err: a.refusal, ran: domain.RunNo}
		return a.fail(ctx)
	}
	if a.decision.Silence > 0 {
		err := errkind.New(errkind.NoCapacity, "all upstreams of service %q want no requests for at least %v", a.r.Service, a.decision.Silence)
		a.last = result{err: err.WithRetryAfter(placement.AfterSilence(a.decision.Silence, rand.Float64())), ran: domain.RunNo}
		return a.fail(ctx)
	}
	if a.r.Relayed && a.pathsLost() { // other nodes of the region may reach them
		a.last = result{err: errkind.New(errkind.PeerUnreachable, "this node reaches no upstream of service %q", a.r.Service), ran: domain.RunNo}
		return a.fail(ctx)
	}
	kind := errkind.Overloaded
	if a.decision.Delay == 0 {
		kind = errkind.NoCapacity
	}
	err := errkind.New(kind, "no upstream of service %q can answer in time; expected delay %v", a.r.Service, a.decision.Delay)
	a.last = result{err: a.withRetryAfter(err), ran: domain.RunNo}
	return a.fail(ctx)
}

// withRetryAfter sets the retry delay advised to the caller.
func (a *attempts) withRetryAfter(err *errkind.Error) *errkind.Error {
	return err.WithRetryAfter(placement.RetryAfter(a.decision.Delay, a.r.Route.Objective, rand.Float64()))
}

// fail determines the failure or upstream error that the caller receives.
func (a *attempts) fail(ctx context.Context) *Failure {
	res := a.last
	if res.callerDisconnected || errors.Is(ctx.Err(), context.Canceled) && !stopping(ctx) {
		return &Failure{Error: errkind.New(errkind.Canceled, "the caller disconnected"), Broken: a.delivery.started, CallerDisconnected: true}
	}
	if res.errorAnswer != nil && !a.delivery.started {
		return a.deliverErrorAnswer(res.errorAnswer)
	}
	err := res.err
	switch {
	case stopping(ctx) && a.mayHaveRun:
		err = errkind.New(errkind.Timeout, "no complete answer before the %w", ErrStopping)
	case stopping(ctx):
		err = errkind.New(errkind.Draining, "not sent before the %w", ErrStopping)
	case ctx.Err() != nil && a.mayHaveRun:
		err = errkind.New(errkind.Timeout, "no complete answer within %v", a.r.Deadline.Sub(a.r.Arrived))
	case ctx.Err() != nil:
		err = a.withRetryAfter(errkind.New(errkind.DeadlineUnreachable, "not sent within %v", a.r.Deadline.Sub(a.r.Arrived)))
	case a.mayHaveRun && err.Verdict() == domain.RunNo:
		err = errkind.New(errkind.UpstreamFailed, "an earlier attempt may have run; last attempt: %w", err)
	case !a.mayHaveRun && err.Verdict() == domain.RunNo && err.RetryAfter == 0 && !refusedAsHeld(err):
		err = a.withRetryAfter(err)
	}
	return &Failure{Error: notRunError(err), Broken: a.delivery.started}
}

// notRunError returns an error of a kind whose status promises that the request has not run, if that is
// certain.
func notRunError(err *errkind.Error) *errkind.Error {
	if err.Verdict() == domain.RunNo && errkind.Lookup(err.Kind).Run != domain.RunNo {
		return errkind.New(errkind.NoCapacity, "not run: %w", err).WithRetryAfter(err.RetryDelay())
	}
	return err
}

// deliverErrorAnswer delivers the upstream's own error answer.
func (a *attempts) deliverErrorAnswer(k *errorAnswer) *Failure {
	if err := a.delivery.begin(k.head); err != nil {
		return &Failure{Error: errkind.New(errkind.Canceled, "%w", err), Broken: true, CallerDisconnected: true}
	}
	if len(k.body) > 0 {
		if err := a.delivery.sink.Write(k.body); err != nil {
			return &Failure{Error: errkind.New(errkind.Canceled, "%w", err), Broken: true, CallerDisconnected: true}
		}
	}
	return nil
}
