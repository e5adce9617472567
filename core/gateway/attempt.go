package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
)

// attemptAll runs the attempts and adjusts the verdict of the last error to the outcome
// of the earlier ones.
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

// tryChoices tries choices until one delivers the complete answer, none is left, or a
// further attempt could run the work twice.
func (c *call) tryChoices(ctx context.Context) error {
	var lastErr error
	for c.attempts = 1; c.attempts <= maxAttempts; c.attempts++ {
		choice, err := c.route()
		if err != nil {
			c.recordStep("route", "attempt %d: %s", c.attempts, choice.Reason)
			return preferAttemptError(lastErr, err)
		}
		c.grant.Dispatched()
		err = c.attempt(ctx, choice)
		if err == nil {
			return nil
		}
		lastErr = err
		c.mayHaveRun = c.mayHaveRun || errkind.From(err).Verdict() != domain.RunNo
		if !c.mayRetry(ctx, err) {
			return err
		}
		c.excluded.exclude(choice, err)
		c.recordStep("retry", "attempt %d: %s", c.attempts, err)
		c.g.deps.Log.Log(event.RequestRetried, event.F("request", c.req.ID), event.F("detail", err))
	}
	return lastErr
}

// preferAttemptError returns the error of an attempt, if there was one, rather than the
// error that no choice is left.
func preferAttemptError(attempt, route error) error {
	if attempt != nil {
		return attempt
	}
	return route
}

// route chooses by the current lists, which may have changed since the request arrived
// or was last attempted.
func (c *call) route() (Choice, error) {
	if err := c.refresh(); err != nil {
		return Choice{}, err
	}
	return c.g.deps.Router.Route(RouteRequest{
		Access: c.access, Target: c.req.Target, PromptTokens: c.req.PromptTokens, OutputTokens: c.req.OutputTokens,
		Prefix: c.req.Prefix, BodyBytes: len(c.req.Payload), Deadline: c.req.Deadline,
		Excluded: c.excluded,
	})
}

// refresh switches to the current lists, which may no longer allow what earlier ones
// did.
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

// attempt runs one choice. A generation whose stream breaks is resumed at the engine
// that runs it before the attempt counts as failed.
func (c *call) attempt(ctx context.Context, choice Choice) error {
	c.recordStep("route", "attempt %d: %s", c.attempts, choice.Reason)
	if choice.Node != nil {
		c.forwarded = true
	}
	err := c.send(ctx, choice, "")
	for resumes := 0; err != nil && resumes < maxResumes && c.mayResume(ctx, err); resumes++ {
		if notAllowedErr := c.checkStillAllowed(choice); notAllowedErr != nil {
			err = notAllowedErr
			break
		}
		choice = c.replaceFailedNode(choice, err)
		eventsBefore := c.w.events
		c.recordStep("resume", "after %d events: %s", eventsBefore, err)
		c.g.deps.Log.Log(event.AnswerResumed, event.F("request", c.req.ID), event.F("events", eventsBefore), event.F("detail", err))
		err = c.send(ctx, choice, c.w.head.RanOn)
		if c.w.events > eventsBefore {
			resumes = 0
		}
	}
	if err != nil && choice.Upstream != nil && c.req.Target.Kind == domain.TargetModel {
		c.g.cancelGeneration(*choice.Upstream, c.req.ID)
	}
	return err
}

// replaceFailedNode returns choice, sent through another node of the same failure domain
// if its node failed: the engine that holds the generation may still work.
func (c *call) replaceFailedNode(choice Choice, err error) Choice {
	if choice.Node == nil || !failedAtNode(err) {
		return choice
	}
	c.excluded.Nodes = append(c.excluded.Nodes, choice.Node.ID)
	if other, ok := c.g.deps.Router.OtherNode(choice.Node.Place.FailureDomain, c.excluded.Nodes); ok {
		choice.Node = &other
	}
	return choice
}

// cancelTimeout is the timeout of the request that cancels a generation.
const cancelTimeout = 5 * time.Second

// cancelGeneration frees the engine's capacity for a generation that will not be
// resumed.
func (g *Gateway) cancelGeneration(up domain.UpstreamRef, id domain.RequestID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = g.deps.Engine.Cancel(ctx, up, id)
	}()
}

// checkStillAllowed returns an error if the current lists no longer allow the request to
// run at choice.
func (c *call) checkStillAllowed(choice Choice) error {
	if err := c.refresh(); err != nil {
		return err
	}
	if choice.Upstream != nil {
		return checkTargetAndRegion(c.access, c.req.Target, choice.Upstream.Place.Region)
	}
	return checkTargetAndRegion(c.access, c.req.Target, choice.Node.Place.Region)
}

// send sends the request to choice and copies the answer, once for the attempt and once
// for each resumption. pinned is the upstream to resume at, if any.
func (c *call) send(ctx context.Context, choice Choice, pinned domain.UpstreamID) error {
	fwd := c.newForward()
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

func (c *call) newForward() *ForwardedRequest {
	fwd := &ForwardedRequest{
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

// mayResume reports whether a generation can continue after the events that the caller
// has received.
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

// mayRetry reports whether another choice may be tried after err: no part of the answer
// was sent, the work either did not run or is repeatable, and the body can be sent
// again.
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

// allowRetry uses the retry budget, which prevents a failure from multiplying the load
// on upstreams. A failure that did not reach an upstream uses no budget: the number of
// attempts limits it.
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

// retryable reports whether another choice may succeed after a failure of kind k.
func retryable(k errkind.Kind) bool { return slices.Contains(retryableKinds, k) }
