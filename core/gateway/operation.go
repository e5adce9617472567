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
	// operationTimeout is the maximum run time of a non-repeatable call, which continues
	// when its caller disconnects.
	operationTimeout = 2 * time.Minute
	// inquiryTimeout is how long an issuer requests the outcome of an attempt from its
	// executor, and inquiryInterval is the time between two requests.
	inquiryTimeout  = 15 * time.Second
	inquiryInterval = 250 * time.Millisecond
)

// serveOperation runs or joins a non-repeatable call. An idempotency key whose operation
// turns out not to run is bound to a new operation, once.
func (c *call) serveOperation(ctx context.Context) error {
	c.fingerprint = fingerprint(c.req)
	claim, err := c.resolveOperation(ctx)
	if err != nil {
		return c.errorBeforeIssuer(err)
	}
	err = c.runOperation(ctx)
	if !c.mayRebindKey(ctx, claim, err) {
		return err
	}
	next, rebindErr := c.g.deps.Keys.Rebind(ctx, c.access.Customer, c.req.IdempotencyKey, claim)
	if rebindErr != nil {
		return c.errorBeforeIssuer(rebindErr)
	}
	c.recordStep("operation", "operation %s will not run; the key is now bound to operation %s", claim.Operation, next.Operation)
	c.req.OperationID = next.Operation
	return c.runOperation(ctx)
}

// runOperation requests the answer from the issuer of the request's operation.
func (c *call) runOperation(ctx context.Context) error {
	issuer, err := operations.ParseID(c.req.OperationID)
	if err != nil {
		return c.errorBeforeIssuer(err)
	}
	c.recordStep("operation", "%s issued by %s", c.req.OperationID, issuer.Node)
	if c.g.deps.Operations.IsIssuerOf(issuer) {
		return c.beginOperation(ctx)
	}
	return c.joinOperation(ctx, issuer)
}

// mayRebindKey reports whether the idempotency key was already bound to an operation
// that is known not to run. Only the issuer's status proves this; a refusal may come
// from elsewhere.
func (c *call) mayRebindKey(ctx context.Context, claim operations.Claim, err error) bool {
	if err == nil || claim.Operation == "" || claim.Created || c.w.started || errkind.From(err).Verdict() != domain.RunNo {
		return false
	}
	status, err := c.g.OperationStatus(ctx, c.access.Customer, claim.Operation)
	return err == nil && status.Run == domain.RunNo
}

// errorBeforeIssuer returns an error that occurred before the issuer was contacted, with
// the verdict unknown if the caller named the operation: an earlier copy of the request
// may have run.
func (c *call) errorBeforeIssuer(err error) error {
	if !c.namedByCaller {
		return err
	}
	e := *errkind.From(err)
	return e.WithRun(domain.RunUnknown)
}

// fingerprint returns a hash of what a repeated request must have in common with the
// first.
func fingerprint(req *Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Target.Name, req.Method, req.Path, req.Query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Payload)
	return d.Sum64()
}

// resolveOperation determines the request's operation ID: the caller's, the one bound to
// its idempotency key, or a new one. The claim is zero unless there is a key.
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

// joinOperation requests the operation's answer from the issuing process.
func (c *call) joinOperation(ctx context.Context, issuer operations.IDParts) error {
	node, ok := c.g.deps.Nodes.Find(issuer.Node)
	if !ok {
		return errkind.New(errkind.OperationLost, "node %q, which issued the operation, is no longer known", issuer.Node)
	}
	c.forwarded = true
	node.Incarnation = issuer.Incarnation
	fwd := c.newForward()
	fwd.Receiver = node
	s, err := c.g.deps.Peers.Join(ctx, fwd)
	if err != nil {
		return joinError(err)
	}
	defer s.Close()
	_, err = answer.Copy(c.w, s)
	return joinError(err)
}

// joinError converts errors of the connection to the issuer. They don't prove anything
// about the operation, whatever their verdict about the connection.
func joinError(err error) error {
	if err == nil {
		return nil
	}
	e := *errkind.From(err)
	switch e.Kind {
	case errkind.WrongIncarnation:
		return errkind.New(errkind.OperationLost, "the process that issued the operation no longer exists")
	case errkind.PeerUnreachable, errkind.PeerLost:
		return e.WithRun(domain.RunUnknown)
	}
	return &e
}

// Join serves a request that reached another entry node for an operation that this
// process issued.
func (g *Gateway) Join(ctx context.Context, fwd *ForwardedRequest, w answer.Writer) error {
	if fwd.Receiver.Incarnation != g.deps.Self.Incarnation {
		return errkind.New(errkind.WrongIncarnation, "the request is addressed to another process")
	}
	access, err := g.customer(ctx, fwd)
	if err != nil {
		e := *errkind.From(err)
		return e.WithRun(domain.RunUnknown)
	}
	startedAt := g.deps.Now()
	c := &call{
		g: g, access: access, snapshot: g.deps.Lists.Current(), startedAt: startedAt, namedByCaller: true, fingerprint: fwd.Fingerprint,
		w: newTrackedWriter(w, startedAt, g.deps.Now),
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

// beginOperation starts or joins an operation at its issuer, this process, and writes
// its answer. The run continues if the caller disconnects.
func (c *call) beginOperation(ctx context.Context) error {
	now := c.g.deps.Now()
	handle, err := c.g.deps.Operations.Begin(c.req.OperationID, c.access.Customer, c.fingerprint, now)
	if err != nil {
		return err
	}
	reader := c.startOrJoin(ctx, handle)
	defer reader.Close()
	s, err := reader.Open(ctx)
	if err != nil {
		return err
	}
	_, err = answer.Copy(c.w, s)
	return err
}

func (c *call) startOrJoin(ctx context.Context, handle operations.BeginResult) *operations.Reader {
	if handle.Run == nil {
		c.recordStep("operation", "joined in state %s", handle.Joined.State())
		return handle.Joined.Reader()
	}
	reader := handle.Run.Reader()
	run := &operationRun{g: c.g, access: c.access, fwd: c.newForward(), run: handle.Run}
	run.fwd.OperationID = c.req.OperationID
	go run.execute(context.WithoutCancel(ctx))
	return reader
}

// operationRun is the only run of an operation.
type operationRun struct {
	g        *Gateway
	access   *lists.Access
	fwd      *ForwardedRequest
	run      *operations.Run
	excluded Excluded
}

// execute tries executors until one may have run the operation or none is left.
func (o *operationRun) execute(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	defer func() { o.run.Close(o.g.deps.Now()) }()
	o.run = o.run.WithContext(ctx)
	var lastErr error
	for range maxAttempts {
		if err := o.refresh(); err != nil {
			lastErr = preferAttemptError(lastErr, err)
			break
		}
		choice, err := o.g.deps.Router.Route(RouteRequest{
			Access: o.access, Target: o.fwd.Target, Excluded: o.excluded,
		})
		if err != nil {
			lastErr = preferAttemptError(lastErr, err)
			break
		}
		retry, err := o.attempt(ctx, choice)
		if !retry {
			return
		}
		lastErr = err
		if !o.g.allowRetry(err) {
			break
		}
		o.excluded.exclude(choice, err)
	}
	o.closeNotRun(lastErr)
}

// refresh switches to the current lists, which may no longer allow what earlier ones
// did.
func (o *operationRun) refresh() error {
	current := o.g.deps.Lists.Current()
	access, ok := current.Customer(o.access.Customer)
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the customer was removed from the lists")
	}
	if !access.AllowsTarget(o.fwd.Target) {
		return errkind.New(errkind.NotInPlan, "plan %q does not include %s %q", access.Plan.ID, o.fwd.Target.Kind, o.fwd.Target.Name)
	}
	o.access = access
	o.fwd.ListsVersion = current.Version
	return nil
}

// closeNotRun records that the operation was not run, because no executor holds it.
func (o *operationRun) closeNotRun(cause error) {
	e := *errkind.From(cause)
	if err := o.run.EndNotRun(e.WithRun(domain.RunNo), o.g.deps.Now()); err != nil {
		o.g.deps.Log.Log(event.OperationUnknown, event.F("operation", o.fwd.OperationID), event.F("detail", err))
		return
	}
	o.g.deps.Log.Log(event.OperationRefused, event.F("operation", o.fwd.OperationID), event.F("kind", e.Kind), event.F("detail", e.Message))
}

// attempt dispatches the operation once. retry reports whether the attempt is known not
// to run, so that another executor may be tried; err is the refusal then.
func (o *operationRun) attempt(ctx context.Context, choice Choice) (retry bool, err error) {
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
	return o.recordOutcome(ctx, choice, err)
}

func (o *operationRun) executor(choice Choice) domain.NodeRef {
	if choice.Node != nil {
		return *choice.Node
	}
	return o.g.deps.Self
}

// recordOutcome records the outcome of an attempt.
func (o *operationRun) recordOutcome(ctx context.Context, choice Choice, err error) (retry bool, _ error) {
	now := o.g.deps.Now
	if err == nil {
		return false, o.run.Complete(now())
	}
	e := errkind.From(err)
	if e.Verdict() == domain.RunNo && o.run.MarkRefused() == nil {
		return true, err
	}
	if choice.Node == nil {
		o.markUnknown(e)
		return false, err
	}
	switch o.inquire(ctx) {
	case operations.OutcomeNotRun:
		if o.run.MarkRefused() == nil {
			return true, err
		}
		o.markUnknown(e)
	case operations.OutcomeRan:
		_ = o.run.EndRan(now())
	default:
		o.markUnknown(e)
	}
	return false, err
}

func (o *operationRun) markUnknown(cause *errkind.Error) {
	e := *cause
	_ = o.run.EndUnknown(e.WithRun(domain.RunUnknown), o.g.deps.Now())
	o.g.deps.Log.Log(event.OperationUnknown, event.F("operation", o.fwd.OperationID), event.F("detail", cause.Message))
}

// inquire requests the attempt's outcome from its executor until it is other than
// OutcomeRunning or inquiryTimeout has passed.
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

// attemptOf returns the attempt that a forwarded request belongs to.
func attemptOf(fwd *ForwardedRequest) operations.Attempt {
	return operations.Attempt{
		Operation: fwd.OperationID, Issuer: fwd.Sender.ID, IssuerIncarnation: fwd.Sender.Incarnation,
		Executor: operations.ExecutorRef{Node: fwd.Receiver.ID, Incarnation: fwd.Receiver.Incarnation},
		Number:   uint32(fwd.Attempt),
	}
}

// OperationStatus returns the status of a customer's operation. It requests it from the
// issuer if that is another process.
func (g *Gateway) OperationStatus(ctx context.Context, customer domain.CustomerID, id domain.OperationID) (operations.Status, error) {
	parts, err := operations.ParseID(id)
	if err != nil {
		return operations.Status{}, err
	}
	if g.deps.Operations.IsIssuerOf(parts) {
		return g.deps.Operations.Status(id, customer, g.deps.Now())
	}
	node, ok := g.deps.Nodes.Find(parts.Node)
	if !ok {
		return operations.Status{}, errkind.New(errkind.OperationLost, "node %q, which issued the operation, is no longer known", parts.Node)
	}
	node.Incarnation = parts.Incarnation
	status, err := g.deps.Peers.OperationStatus(ctx, node, customer, id)
	return status, joinError(err)
}
