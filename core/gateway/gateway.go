package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/explain"
	"github.com/crocusspread/crocusspread/core/lists"
)

const (
	// maxAttempts is the maximum number of choices tried for one request; resumptions
	// are part of their attempt.
	maxAttempts = 6
	// maxResumes is the maximum number of consecutive resumptions without a new event.
	maxResumes = 3
)

// Gateway serves requests at the Entry, Join and Execute stages. It is safe for
// concurrent use.
type Gateway struct {
	deps Deps
}

// New returns a gateway with the given dependencies.
func New(deps Deps) *Gateway { return &Gateway{deps: deps} }

// call is the state of one request at its entry node or, for Join, at its issuer.
type call struct {
	g          *Gateway
	req        *Request
	access     *lists.Access
	snapshot   *lists.Snapshot
	repeatable bool
	// body is nil unless the request's body is streamed.
	body      *streamedBody
	w         *trackedWriter
	record    *explain.Record
	grant     Grant
	startedAt time.Time
	attempts  int
	forwarded bool
	excluded  Excluded
	// mayHaveRun is set once an attempt failed whose work may have run.
	mayHaveRun bool
	// namedByCaller is set if the caller identified the operation by its ID or an
	// idempotency key.
	namedByCaller bool
	fingerprint   uint64
}

// Serve runs a caller's request and writes its answer. A nil error means that the
// complete answer was written. Otherwise the error is an *errkind.Error to be reported
// to the caller; the head may already have been written.
func (g *Gateway) Serve(ctx context.Context, req *Request, w answer.Writer) error {
	startedAt := g.deps.Now()
	c := &call{g: g, req: req, startedAt: startedAt, w: newTrackedWriter(w, startedAt, g.deps.Now)}
	if req.Body != nil {
		c.body = &streamedBody{src: req.Body}
	}
	c.startRecord()
	// If the writer panics, the grant must still be released.
	err := error(errkind.New(errkind.Internal, "the request ended with a panic"))
	defer func() { c.finish(err) }()
	err = c.serve(ctx)
	return err
}

func (c *call) startRecord() {
	c.record = &explain.Record{
		RequestID: c.req.ID, Target: c.req.Target.Kind.String() + "/" + c.req.Target.Name, ArrivedAt: c.startedAt,
	}
	if c.access != nil {
		c.record.Customer, c.record.Plan, c.record.ListsVersion = c.access.Customer, c.access.Plan.ID, c.snapshot.Version
	}
}

func (c *call) serve(ctx context.Context) error {
	c.namedByCaller = c.req.OperationID != "" || c.req.IdempotencyKey != ""
	if err := c.authorize(); err != nil {
		return c.errorBeforeIssuer(err)
	}
	grant, err := c.g.deps.Admission.Admit(ctx, AdmitRequest{
		Access: c.access, Target: c.req.Target, PromptTokens: c.req.PromptTokens,
		OutputTokens: c.req.OutputTokens, Deadline: c.req.Deadline, FirstTokenDeadline: c.req.FirstTokenDeadline,
	})
	if err != nil {
		return c.errorBeforeIssuer(err)
	}
	c.grant = grant
	if !c.repeatable {
		grant.Dispatched()
		return c.serveOperation(ctx)
	}
	return c.attemptAll(ctx)
}

// answerBytesPerToken is the assumed token size for an answer that is a single document.
const answerBytesPerToken = 4

// usedTokens estimates the tokens of the prompt and the answer. It returns 0 if no
// answer began.
func (c *call) usedTokens() int {
	switch {
	case !c.w.started || c.req.Target.Kind != domain.TargetModel:
		return 0
	case c.req.Stream:
		return c.req.PromptTokens + int(c.w.events)
	}
	return c.req.PromptTokens + int(c.w.bytes)/answerBytesPerToken
}

// authorize looks up the plan for the caller's key and checks the target.
func (c *call) authorize() error {
	c.snapshot = c.g.deps.Lists.Current()
	if c.snapshot == nil {
		return errkind.New(errkind.ListsUnavailable, "this node has no lists yet")
	}
	access, err := c.snapshot.Authenticate(c.req.BearerKey)
	if err != nil {
		return err
	}
	c.access = access
	c.record.Customer, c.record.Plan = access.Customer, access.Plan.ID
	c.record.ListsVersion = c.snapshot.Version
	return c.checkTarget()
}

func (c *call) checkTarget() error {
	if !c.access.AllowsTarget(c.req.Target) {
		return errkind.New(errkind.NotInPlan, "plan %q does not include %s %q", c.access.Plan.ID, c.req.Target.Kind, c.req.Target.Name)
	}
	c.repeatable = true
	if c.req.Target.Kind == domain.TargetService {
		svc, ok := c.snapshot.Service(c.req.Target.Name)
		if !ok {
			return errkind.New(errkind.UnknownTarget, "service %q is not in the lists", c.req.Target.Name)
		}
		c.repeatable = svc.Repeatable(c.req.Method, c.req.Path)
	}
	return nil
}

// finish reports the end of the request to the grant, the explanation log and the
// observer.
func (c *call) finish(err error) {
	now := c.g.deps.Now()
	if c.grant != nil {
		c.grant.Release(c.usedTokens())
	}
	c.record.Outcome, c.record.Run = "ok", domain.RunYes
	c.record.TotalDuration = now.Sub(c.startedAt)
	c.record.Upstream, c.record.Place = c.w.head.RanOn, c.w.head.RanIn
	customer := domain.CustomerID("")
	if c.access != nil {
		customer = c.access.Customer
	}
	if err != nil {
		e := errkind.From(err)
		c.record.Outcome, c.record.Run = string(e.Kind), e.Verdict()
		c.record.Add(now, "failed", e.Message)
		c.g.deps.Log.Log(event.RequestFailed, event.F("request", c.req.ID), event.F("customer", customer),
			event.F("kind", e.Kind), event.F("run", e.Verdict()), event.F("detail", e.Message))
	}
	c.g.deps.Explain.Put(c.record)
	c.g.deps.Observer.Finished(Outcome{
		Customer: customer, Target: c.req.Target, Err: err, Forwarded: c.forwarded, RanIn: c.w.head.RanIn,
		TimeToFirstChunk: c.w.timeToFirstChunk, Total: now.Sub(c.startedAt), Bytes: c.w.bytes, Attempts: c.attempts,
	})
}

func (c *call) recordStep(name, format string, args ...any) {
	c.record.Add(c.g.deps.Now(), name, fmt.Sprintf(format, args...))
}
