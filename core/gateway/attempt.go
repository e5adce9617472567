package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
)

// attemptAll tries choices and corrects the verdict of the last one by what
// became of the earlier ones.
func (c *call) attemptAll(ctx context.Context) error {
	err := c.tryChoices(ctx)
	if err == nil || !(c.mayHaveRun || c.w.started) {
		return err
	}
	e := *errkind.From(err)
	if e.Verdict() == domain.RunNo {
		return e.WithRun(domain.RunUnknown)
	}
	return err
}

// tryChoices tries choices until one gives the whole answer, nothing is left to
// try, or a further attempt could run the work twice.
func (c *call) tryChoices(ctx context.Context) error {
	var last error
	for c.attempts = 1; c.attempts <= maxAttempts; c.attempts++ {
		choice, err := c.route()
		if err != nil {
			c.note("route", "attempt %d: %s", c.attempts, choice.Reason)
			return firstError(last, err)
		}
		c.grant.Dispatched()
		err = c.attempt(ctx, choice)
		if err == nil {
			return nil
		}
		last = err
		c.mayHaveRun = c.mayHaveRun || errkind.From(err).Verdict() != domain.RunNo
		if !c.mayRetry(ctx, err) {
			return err
		}
		c.tried.exclude(choice, err)
		c.note("retry", "attempt %d: %s", c.attempts, err)
		c.g.deps.Log.Log(event.RequestRetried, event.F("request", c.req.ID), event.F("detail", err))
	}
	return last
}

// firstError prefers what an attempt saw over the statement that no other
// choice is left.
func firstError(attempt, route error) error {
	if attempt != nil {
		return attempt
	}
	return route
}

// route chooses by the lists in force now, which may have changed since the
// request arrived or was last tried.
func (c *call) route() (Choice, error) {
	if err := c.refresh(); err != nil {
		return Choice{}, err
	}
	return c.g.deps.Router.Route(RouteRequest{
		Access: c.access, Target: c.req.Target, PromptTokens: c.req.PromptTokens, OutputTokens: c.req.OutputTokens,
		Prefix: c.req.Prefix, BodyBytes: len(c.req.Payload), Deadline: c.req.Deadline,
		Tried: c.tried,
	})
}

// refresh takes over the lists in force, which may forbid by now what they
// allowed before.
func (c *call) refresh() error {
	current := c.g.deps.Lists.Current()
	if current.Version == c.snapshot.Version {
		return nil
	}
	access, ok := current.Customer(c.access.Customer)
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the customer was removed from the lists")
	}
	c.snapshot, c.access = current, access
	return c.checkTarget()
}

// attempt runs one choice; a generation whose stream breaks is resumed where it
// runs before the attempt counts as failed.
func (c *call) attempt(ctx context.Context, choice Choice) error {
	c.note("route", "attempt %d: %s", c.attempts, choice.Reason)
	if choice.Node != nil {
		c.forwarded = true
	}
	err := c.send(ctx, choice, "")
	for resumes := 0; err != nil && resumes < maxResumes && c.mayResume(ctx, err); resumes++ {
		if forbidden := c.mayStay(choice); forbidden != nil {
			err = forbidden
			break
		}
		choice = c.otherReceiver(choice, err)
		before := c.w.events
		c.note("resume", "after %d events: %s", before, err)
		c.g.deps.Log.Log(event.AnswerResumed, event.F("request", c.req.ID), event.F("events", before), event.F("detail", err))
		err = c.send(ctx, choice, c.w.head.RanOn)
		if c.w.events > before {
			resumes = 0
		}
	}
	if err != nil && choice.Upstream != nil && c.req.Target.Kind == domain.TargetModel {
		c.g.cancelGeneration(*choice.Upstream, c.req.ID)
	}
	return err
}

// otherReceiver returns choice, over another node of the same failure domain if
// its node failed: the engine that holds the generation may be well.
func (c *call) otherReceiver(choice Choice, err error) Choice {
	if choice.Node == nil || !failedAtNode(err) {
		return choice
	}
	c.tried.Nodes = append(c.tried.Nodes, choice.Node.ID)
	if other, ok := c.g.deps.Router.OtherNode(choice.Node.Place.FailureDomain, c.tried.Nodes); ok {
		choice.Node = &other
	}
	return choice
}

// cancelTimeout bounds the message that frees an engine.
const cancelTimeout = 5 * time.Second

// cancelGeneration frees the engine of a generation that nobody resumes.
func (g *Gateway) cancelGeneration(up domain.UpstreamRef, id domain.RequestID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = g.deps.Engine.Cancel(ctx, up, id)
	}()
}

// mayStay fails if the lists in force by now forbid to go on where choice runs.
func (c *call) mayStay(choice Choice) error {
	if err := c.refresh(); err != nil {
		return err
	}
	if choice.Upstream != nil {
		return checkPlace(c.access, c.req.Target, choice.Upstream.Place.Region)
	}
	return checkPlace(c.access, c.req.Target, choice.Node.Place.Region)
}

// send makes one connection's worth of an attempt.
func (c *call) send(ctx context.Context, choice Choice, pinned domain.UpstreamID) error {
	fwd := c.forward()
	fwd.Pinned = pinned
	fwd.ResumeAfter = c.w.events
	if c.body != nil {
		body := c.body.attempt()
		defer body.end()
		fwd.Body = body
	}
	if choice.Upstream != nil {
		return c.g.dispatch(ctx, *choice.Upstream, fwd, c.w)
	}
	fwd.Receiver = *choice.Node
	return c.g.forward(ctx, fwd, c.w)
}

func (c *call) forward() *Forward {
	fwd := &Forward{
		RequestID: c.req.ID, Customer: c.access.Customer, Target: c.req.Target, Method: c.req.Method,
		Path: c.req.Path, Query: c.req.Query, Header: c.req.Header, ListsVersion: c.snapshot.Version,
		Sender: c.g.deps.Self, Traceparent: c.req.Traceparent, Stream: c.req.Stream, Repeatable: c.repeatable,
		Priority: c.access.Plan.Priority, PromptTokens: c.req.PromptTokens, Prefix: c.req.Prefix,
		Payload: c.req.Payload, OperationID: c.req.OperationID, Fingerprint: c.fingerprint,
	}
	if !c.req.Deadline.IsZero() {
		fwd.Timeout = max(time.Millisecond, c.req.Deadline.Sub(c.g.deps.Now()))
	}
	return fwd
}

// mayResume tells if a generation can go on behind what the caller has.
func (c *call) mayResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil || !c.w.started || !c.req.Stream || c.req.Target.Kind != domain.TargetModel {
		return false
	}
	switch errkind.From(err).Kind {
	case errkind.Truncated, errkind.UpstreamSilent, errkind.UpstreamFailed, errkind.PeerLost, errkind.PeerUnreachable:
		return true
	}
	return false
}

// mayRetry tells if another choice may be tried after err: nothing of the
// answer is out, the work either did not run or may run again, and the body can
// be sent again.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || c.w.started {
		return false
	}
	e := errkind.From(err)
	if !retryable(e.Kind) {
		return false
	}
	if e.Verdict() != domain.RunNo && !c.repeatable {
		return false
	}
	if c.body != nil && !c.body.replayable() {
		return false
	}
	return c.g.allowRetry(err)
}

// allowRetry asks the retry budget, which keeps a fault from multiplying the
// load on upstreams. A failure that reached none needs no budget: the number of
// attempts bounds it.
func (g *Gateway) allowRetry(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.PeerUnreachable, errkind.Draining:
		return true
	}
	return g.deps.Admission.AllowRetry()
}

var retryableKinds = []errkind.Kind{
	errkind.Overloaded, errkind.NoCapacity, errkind.Draining, errkind.ListsOutdated, errkind.ListsUnavailable,
	errkind.UpstreamFailed, errkind.UpstreamSilent, errkind.Truncated, errkind.PeerUnreachable, errkind.PeerLost,
	errkind.WrongIncarnation, errkind.RegionForbidden,
}

// retryable tells if another choice can end better than one that failed with k.
func retryable(k errkind.Kind) bool { return slices.Contains(retryableKinds, k) }
