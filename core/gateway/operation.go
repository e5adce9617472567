package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/operations"
)

const (
	// operationTimeout bounds the run of a non-repeatable call, which goes on
	// when its caller leaves.
	operationTimeout = 2 * time.Minute
	// inquiryTimeout bounds how long an issuer asks an executor what became of
	// an attempt, and inquiryInterval is the time between two questions.
	inquiryTimeout  = 15 * time.Second
	inquiryInterval = 250 * time.Millisecond
)

// serveOperation runs or joins a non-repeatable call. A caller-made key whose
// operation turns out to be burned is bound to a new operation, once.
func (c *call) serveOperation(ctx context.Context) error {
	c.fingerprint = fingerprint(c.req)
	claim, err := c.resolveOperation(ctx)
	if err != nil {
		return c.beforeIssuer(err)
	}
	err = c.runOperation(ctx)
	if !c.mayTakeOver(ctx, claim, err) {
		return err
	}
	next, takeErr := c.g.deps.Keys.TakeOver(ctx, c.access.Customer, c.req.IdempotencyKey, claim)
	if takeErr != nil {
		return c.beforeIssuer(takeErr)
	}
	c.note("operation", "%s was burned; the key now stands for %s", claim.Operation, next.Operation)
	c.req.OperationID = next.Operation
	return c.runOperation(ctx)
}

// runOperation asks the issuer of the request's operation for its answer.
func (c *call) runOperation(ctx context.Context) error {
	issuer, err := operations.ParseID(c.req.OperationID)
	if err != nil {
		return c.beforeIssuer(err)
	}
	c.note("operation", "%s issued by %s", c.req.OperationID, issuer.Node)
	if c.g.deps.Operations.Issues(issuer) {
		return c.beginOperation(ctx)
	}
	return c.joinOperation(ctx, issuer)
}

// mayTakeOver tells if the operation that a caller-made key stood for already is
// burned. Only the issuer's status proves it; a refusal may come from elsewhere.
func (c *call) mayTakeOver(ctx context.Context, claim operations.Claim, err error) bool {
	if err == nil || claim.Operation == "" || claim.Fresh || c.w.started || errkind.From(err).Verdict() != domain.RunNo {
		return false
	}
	status, err := c.g.OperationStatus(ctx, c.access.Customer, claim.Operation)
	return err == nil && status.Run == domain.RunNo
}

// beforeIssuer weakens the verdict of an error that came about before the
// issuer was asked: an earlier copy of the request may have run.
func (c *call) beforeIssuer(err error) error {
	if !c.named {
		return err
	}
	e := *errkind.From(err)
	return e.WithRun(domain.RunUnknown)
}

// fingerprint digests what a repeat must have in common with the first request.
func fingerprint(req *Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Target.Name, req.Method, req.Path, req.Query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Payload)
	return d.Sum64()
}

// resolveOperation finds the request's operation id: the caller's, the one that
// its key stands for, or a fresh one. The claim is zero unless there is a key.
func (c *call) resolveOperation(ctx context.Context) (claim operations.Claim, err error) {
	switch {
	case c.req.OperationID != "":
	case c.req.IdempotencyKey != "":
		claim, err = c.g.deps.Keys.Claim(ctx, c.access.Customer, c.req.IdempotencyKey, c.fingerprint)
		c.req.OperationID = claim.Operation
	default:
		c.req.OperationID = c.g.deps.Operations.Issue(c.access.Customer, c.g.deps.Now())
	}
	return claim, err
}

// joinOperation asks the issuing process for the operation's answer.
func (c *call) joinOperation(ctx context.Context, issuer operations.IDParts) error {
	node, ok := c.g.deps.Nodes.Find(issuer.Node)
	if !ok {
		return errkind.New(errkind.OperationLost, "node %q, which issued the operation, is not known any more", issuer.Node)
	}
	c.forwarded = true
	node.Incarnation = issuer.Incarnation
	fwd := c.forward()
	fwd.Receiver = node
	s, err := c.g.deps.Peers.Join(ctx, fwd)
	if err != nil {
		return joinError(err)
	}
	defer s.Close()
	_, err = answer.Copy(c.w, s)
	return joinError(err)
}

// joinError restates errors of the connection to the issuer. They say nothing
// about the operation, whatever they say about the connection.
func joinError(err error) error {
	if err == nil {
		return nil
	}
	e := *errkind.From(err)
	switch e.Kind {
	case errkind.WrongIncarnation:
		return errkind.New(errkind.OperationLost, "the process that issued the operation is gone")
	case errkind.PeerUnreachable, errkind.PeerLost:
		return e.WithRun(domain.RunUnknown)
	}
	return &e
}

// Join serves an operation that this process issued to a request that reached
// another entry.
func (g *Gateway) Join(ctx context.Context, fwd *Forward, w answer.Writer) error {
	if fwd.Receiver.Incarnation != g.deps.Self.Incarnation {
		return errkind.New(errkind.WrongIncarnation, "this process is not the receiver that was meant")
	}
	access, err := g.customer(ctx, fwd)
	if err != nil {
		e := *errkind.From(err)
		return e.WithRun(domain.RunUnknown)
	}
	begun := g.deps.Now()
	c := &call{
		g: g, access: access, snapshot: g.deps.Lists.Current(), begun: begun, named: true, fingerprint: fwd.Fingerprint,
		w: newTrackedWriter(w, begun, g.deps.Now),
		req: &Request{
			ID: fwd.RequestID, Target: fwd.Target, Method: fwd.Method, Path: fwd.Path, Query: fwd.Query, Header: fwd.Header,
			Payload: fwd.Payload, OperationID: fwd.OperationID, Traceparent: fwd.Traceparent,
		},
	}
	c.startRecord()
	err = c.beginOperation(ctx)
	c.finish(err)
	return err
}

// beginOperation starts or joins an operation at its issuer, this process, and
// writes its answer. The run does not end with the caller.
func (c *call) beginOperation(ctx context.Context) error {
	now := c.g.deps.Now()
	began, err := c.g.deps.Operations.Begin(c.req.OperationID, c.access.Customer, c.fingerprint, now)
	if err != nil {
		return err
	}
	reader := c.startOrJoin(ctx, began)
	defer reader.Close()
	s, err := reader.Open(ctx)
	if err != nil {
		return err
	}
	_, err = answer.Copy(c.w, s)
	return err
}

func (c *call) startOrJoin(ctx context.Context, began operations.Began) *operations.Reader {
	if began.Run == nil {
		c.note("operation", "joined in state %s", began.Join.State())
		return began.Join.Reader()
	}
	reader := began.Run.Reader()
	owner := &operationRun{g: c.g, access: c.access, fwd: c.forward(), run: began.Run}
	owner.fwd.OperationID = c.req.OperationID
	go owner.execute(context.WithoutCancel(ctx))
	return reader
}

// operationRun owns the only run of an operation.
type operationRun struct {
	g      *Gateway
	access *lists.Access
	fwd    *Forward
	run    *operations.Run
	tried  Tried
}

// execute tries executors until one may have run the operation or none is left.
func (o *operationRun) execute(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	defer func() { o.run.Close(o.g.deps.Now()) }()
	o.run = o.run.WithContext(ctx)
	var last error
	for range maxAttempts {
		if err := o.refresh(); err != nil {
			last = firstError(last, err)
			break
		}
		choice, err := o.g.deps.Router.Route(RouteRequest{
			Access: o.access, Target: o.fwd.Target, Tried: o.tried,
		})
		if err != nil {
			last = firstError(last, err)
			break
		}
		again, err := o.attempt(ctx, choice)
		if !again {
			return
		}
		last = err
		if !o.g.allowRetry(err) {
			break
		}
		o.tried.exclude(choice, err)
	}
	o.giveUp(last)
}

// refresh takes over the lists in force, which may forbid by now what they
// allowed before.
func (o *operationRun) refresh() error {
	current := o.g.deps.Lists.Current()
	access, ok := current.Customer(o.access.Customer)
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the customer was removed from the lists")
	}
	if !access.AllowsTarget(o.fwd.Target) {
		return errkind.New(errkind.NotInPlan, "plan %q does not hold %s %q", access.Plan.ID, o.fwd.Target.Kind, o.fwd.Target.Name)
	}
	o.access = access
	o.fwd.ListsVersion = current.Version
	return nil
}

// giveUp burns the operation: it is at no executor.
func (o *operationRun) giveUp(cause error) {
	e := *errkind.From(cause)
	if err := o.run.NotRun(e.WithRun(domain.RunNo), o.g.deps.Now()); err != nil {
		o.g.deps.Log.Log(event.OperationUnknown, event.F("operation", o.fwd.OperationID), event.F("detail", err))
		return
	}
	o.g.deps.Log.Log(event.OperationRefused, event.F("operation", o.fwd.OperationID), event.F("kind", e.Kind), event.F("detail", e.Message))
}

// attempt dispatches once. again tells if the attempt was refused for good, so
// that another executor may be tried; err is the refusal then.
func (o *operationRun) attempt(ctx context.Context, choice Choice) (again bool, err error) {
	executor := o.executor(choice)
	number, err := o.run.Dispatch(operations.ExecutorRef{Node: executor.ID, Incarnation: executor.Incarnation}, o.g.deps.Now())
	if err != nil {
		return false, err
	}
	o.fwd.Attempt = int(number)
	o.fwd.Receiver = executor
	if choice.Upstream != nil {
		err = o.g.dispatch(ctx, *choice.Upstream, o.fwd, o.run)
	} else {
		err = o.g.forward(ctx, o.fwd, o.run)
	}
	return o.settle(ctx, choice, err)
}

func (o *operationRun) executor(choice Choice) domain.NodeRef {
	if choice.Node != nil {
		return *choice.Node
	}
	return o.g.deps.Self
}

// settle records what became of an attempt.
func (o *operationRun) settle(ctx context.Context, choice Choice, err error) (again bool, _ error) {
	now := o.g.deps.Now
	if err == nil {
		return false, o.run.Complete(now())
	}
	e := errkind.From(err)
	if e.Verdict() == domain.RunNo && o.run.Refused() == nil {
		return true, err
	}
	if choice.Node == nil {
		o.lost(e)
		return false, err
	}
	switch o.inquire(ctx) {
	case operations.OutcomeNotRun:
		if o.run.Refused() == nil {
			return true, err
		}
		o.lost(e)
	case operations.OutcomeRan:
		_ = o.run.Ran(now())
	default:
		o.lost(e)
	}
	return false, err
}

func (o *operationRun) lost(cause *errkind.Error) {
	e := *cause
	_ = o.run.Lost(e.WithRun(domain.RunUnknown), o.g.deps.Now())
	o.g.deps.Log.Log(event.OperationUnknown, event.F("operation", o.fwd.OperationID), event.F("detail", cause.Message))
}

// inquire asks the executor what became of the attempt until it says more than
// "running" or the time for it is over.
func (o *operationRun) inquire(ctx context.Context) operations.Outcome {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	attempt := attemptOf(o.fwd)
	for {
		outcome, err := o.g.deps.Peers.Inquire(ctx, o.fwd.Receiver, attempt)
		if err == nil && outcome != operations.OutcomeRunning {
			return outcome
		}
		select {
		case <-ctx.Done():
			return operations.OutcomeUnknown
		case <-time.After(inquiryInterval):
		}
	}
}

// attemptOf names the attempt that a message carries.
func attemptOf(fwd *Forward) operations.Attempt {
	return operations.Attempt{
		Operation: fwd.OperationID, Issuer: fwd.Sender.ID, IssuerIncarnation: fwd.Sender.Incarnation,
		Executor: operations.ExecutorRef{Node: fwd.Receiver.ID, Incarnation: fwd.Receiver.Incarnation},
		Number:   uint32(fwd.Attempt),
	}
}

// OperationStatus tells where an operation of the customer stands, asking its
// issuer if that is another process.
func (g *Gateway) OperationStatus(ctx context.Context, customer domain.CustomerID, id domain.OperationID) (operations.Status, error) {
	parts, err := operations.ParseID(id)
	if err != nil {
		return operations.Status{}, err
	}
	if g.deps.Operations.Issues(parts) {
		return g.deps.Operations.Status(id, customer, g.deps.Now())
	}
	node, ok := g.deps.Nodes.Find(parts.Node)
	if !ok {
		return operations.Status{}, errkind.New(errkind.OperationLost, "node %q, which issued the operation, is not known any more", parts.Node)
	}
	node.Incarnation = parts.Incarnation
	status, err := g.deps.Peers.OperationStatus(ctx, node, customer, id)
	return status, joinError(err)
}
