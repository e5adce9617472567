package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/routes"
)

// maxBufferedBytes is the maximum size of an answer that is buffered until it is
// complete; larger ones are passed on as they arrive. Hundreds of answers without an
// end must fit a node's memory.
const maxBufferedBytes = 64 << 10

// sendLocal sends the request to an upstream of this node's region.
func (a *attempts) sendLocal(ctx context.Context, t *instances.Ticket) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if a.r.SendCount == 0 && !a.counted {
		a.counted = true
		a.Budget.RecordFirstSend(a.Now(), a.r.Service)
	}
	call := a.newCall()
	call.PlacedAt, call.SingleUse, call.Leaving = t.SentAt, t.BeyondShare, t.LeavesAsPlanned
	sentAt := a.Now()
	stop := a.watchSilence(t, cancel)
	answer, err := a.Upstreams.Send(ctx, &t.Instance, call)
	var res result
	if err != nil {
		res = a.sendError(ctx, err)
	} else {
		now := a.Now()
		a.headAt = now
		h := answer.Head()
		a.framing = h.Framing
		t.ConnectedAt(h.ConnectedAt)
		a.reported = answer.ReportedLoad()
		t.FirstByte(now, answer.ReportedLoad(), !h.NotRun && !h.Misdirected && h.answers(a.r.ID))
		if !h.Misdirected && h.answers(a.r.ID) { // otherwise another instance answered, or another request
			t.RecordReport(now, answer.ReportedLoad())
		}
		a.Metrics.Observe("relay.first_byte_us", now.Sub(sentAt))
		res = a.receive(ctx, answer, t)
		answer.Close()
	}
	stop()
	if res.reached {
		a.r.SendCount++
	}
	a.recordProcess(t, res)
	if res.connectionLost() {
		t.ConnectionLost(a.Now(), res.loss())
	}
	if res.upstreamOutcome == instances.Broken && errors.Is(res.err, errSilent) {
		t.GiveUp(a.Now())
	}
	t.Done(a.Now(), res.upstreamOutcome)
	a.logAttempt(string(t.ID), sentAt, t.Expected, res)
	return res
}

func (a *attempts) newCall() *Call {
	left := a.r.Deadline.Sub(a.Now()) - a.r.Reserve
	return &Call{Request: a.r, ResumeAfter: a.delivery.resumeAfter(a.r.ResumeAfter), Software: a.streamSoftware, TimeLeft: max(time.Millisecond, left), Priority: a.r.Priority()}
}

// sendError classifies an attempt without an answer.
func (a *attempts) sendError(ctx context.Context, err error) result {
	kind := errkind.From(err)
	switch {
	case errors.Is(err, ErrOutdated):
		return result{err: errkind.New(errkind.NoCapacity, "not sent: %w", err), ran: domain.RunNo, upstreamOutcome: instances.Canceled}
	case kind.Kind == errkind.PeerUnreachable && ctx.Err() != nil: // the connection may have been established later
		canceled := errors.Is(context.Cause(ctx), context.Canceled)
		return result{err: errkind.New(errkind.NoCapacity, "upstream not reached in time: %w", err), ran: domain.RunNo, upstreamOutcome: instances.Canceled, callerDisconnected: canceled}
	case kind.Kind == errkind.PeerUnreachable:
		return failedResult(errkind.NoCapacity, domain.RunNo, instances.Unreachable, "upstream not reached: %w", err)
	case errors.Is(context.Cause(ctx), errSilent):
		return failedResult(errkind.UpstreamSilent, domain.RunUnknown, instances.Broken, "no answer: %w", errSilent)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failedResult(errkind.Timeout, domain.RunUnknown, instances.Broken, "no answer before the deadline")
	case stopping(ctx):
		return failedResult(errkind.Timeout, domain.RunUnknown, instances.Canceled, "no answer before the %w", ErrStopping)
	case ctx.Err() != nil:
		res := failedResult(errkind.Canceled, domain.RunUnknown, instances.Canceled, "the caller disconnected")
		res.callerDisconnected = true
		return res
	}
	return failedResult(errkind.UpstreamFailed, domain.RunUnknown, instances.Broken, "no answer: %w", err)
}

// receive checks the head of an answer and passes the body on.
func (a *attempts) receive(ctx context.Context, answer Answer, t *instances.Ticket) result {
	h := answer.Head()
	switch {
	case !h.answers(a.r.ID):
		a.Log.Log(event.AnswerCrossed, event.F("request", a.r.ID), event.F("answered", h.RequestID), event.F("instance", t.ID))
		return failedResult(errkind.UpstreamFailed, domain.RunUnknown, instances.Broken, "upstream returned the answer of request %q", h.RequestID)
	case h.Misdirected:
		return failedResult(errkind.NoCapacity, domain.RunNo, instances.Misdirected, "another instance now has this address")
	case h.NotRun:
		return failedResult(errkind.Overloaded, domain.RunNo, instances.Shed, "upstream refused with status %d", h.Status)
	case h.Status < 300 && !h.Signed:
		return failedResult(errkind.UpstreamFailed, domain.RunUnknown, instances.Broken, "success without a signature")
	}
	h.RanAt, h.Software = t.ID, t.Software
	return a.receiveBody(ctx, answer, h, t.Progress)
}

// receiveBody passes the body of an answer on. Only the rest of a stream may follow what the caller has
// of it already.
func (a *attempts) receiveBody(ctx context.Context, answer Answer, h Head, progress func(time.Time)) result {
	a.software = h.Software
	if a.delivery.started && (h.Status != statusOK || !h.isEventStream(a.r.Route.Kind)) {
		outcome := instances.Answered
		if h.Status >= 500 {
			outcome = instances.ServerError
		}
		return failedResult(errkind.UpstreamFailed, domain.RunYes, outcome, "upstream answered %d instead of the rest of the stream", h.Status)
	}
	if a.r.Route.Kind == routes.Streaming && h.Status < 300 {
		return a.receiveStream(ctx, answer, h, progress)
	}
	return a.receiveBuffered(ctx, answer, h)
}

// receiveBuffered buffers an answer of limited size before it is passed on, so that a
// truncated answer never looks complete to the caller.
func (a *attempts) receiveBuffered(ctx context.Context, answer Answer, h Head) result {
	var body []byte
	for {
		b, err := answer.Next()
		a.bodyBytes += len(b)
		body = append(body, b...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.interrupted(ctx, err)
		}
		if len(body) > maxBufferedBytes {
			return a.streamRest(ctx, answer, h, body)
		}
	}
	if h.Status >= 500 {
		return result{
			errorAnswer: &errorAnswer{head: h, body: body}, reached: true, ran: domain.RunYes, upstreamOutcome: instances.ServerError, status: h.Status,
			err: errkind.New(errkind.UpstreamFailed, "upstream answered %d", h.Status),
		}
	}
	h.ContentLength = int64(len(body))
	if err := a.deliver(h, body); err != nil {
		return a.interrupted(ctx, err)
	}
	return result{delivered: true, reached: true, ran: domain.RunYes, upstreamOutcome: instances.Answered, status: h.Status}
}

func (a *attempts) deliver(h Head, body []byte) error {
	a.recordBytes(a.Now(), 0)
	if err := a.delivery.begin(h); err != nil {
		return err
	}
	return a.delivery.write(body)
}

// streamRest delivers a large answer whose beginning is buffered.
func (a *attempts) streamRest(ctx context.Context, answer Answer, h Head, body []byte) result {
	a.unrepeatable.Store(true)
	if err := a.deliver(h, body); err != nil {
		return a.interrupted(ctx, err)
	}
	return a.receiveStream(ctx, answer, h, func(time.Time) {})
}

// receiveStream passes an answer on as it arrives. The head is sent with the first
// bytes, so that until then another attempt can follow.
func (a *attempts) receiveStream(ctx context.Context, answer Answer, h Head, progress func(time.Time)) result {
	if a.delivery.events != nil {
		a.delivery.events.discardPartial()
	}
	for {
		b, err := answer.Next()
		if len(b) > 0 {
			now := a.Now()
			progress(now)
			a.recordBytes(now, len(b))
			a.recordEvents(b)
			if e := a.delivery.begin(h); e != nil {
				return a.interrupted(ctx, e)
			}
			lastID := a.delivery.resumeAfter("")
			if e := a.delivery.write(b); e != nil {
				return a.interrupted(ctx, e)
			}
			if a.delivery.written {
				a.recordStreamSoftware(h.Software)
			}
			if a.delivery.resumeAfter("") != lastID {
				a.lastEventAt.Store(now.UnixNano())
			}
		}
		if errors.Is(err, io.EOF) {
			return a.finishStream(ctx, h)
		}
		if err != nil {
			return a.interrupted(ctx, err)
		}
	}
}

// recordStreamSoftware records that the caller has events that a version of the software wrote.
func (a *attempts) recordStreamSoftware(software string) {
	if !a.r.Route.Resumable || a.streamSoftware != "" {
		return
	}
	a.streamSoftware = software
	if a.Streams != nil && !a.r.Relayed && a.r.ResumeAfter == "" {
		a.Streams.Began(a.r.Service, a.r.ID, software)
	}
}

// Reasons why a stream whose end was received is not complete.
var (
	errInsideEvent = errors.New("the stream ended inside an event")
	errNoEvent     = errors.New("the stream ended without an event")
)

func (a *attempts) finishStream(ctx context.Context, h Head) result {
	if a.events.open && h.isEventStream(a.r.Route.Kind) || !a.delivery.complete() {
		return a.interrupted(ctx, ConnectionClosed(errInsideEvent))
	}
	if a.events.complete == 0 && a.expectsEvent(h) {
		return a.interrupted(ctx, errNoEvent)
	}
	if err := a.delivery.begin(h); err != nil { // an empty answer
		return a.interrupted(ctx, err)
	}
	return result{delivered: true, reached: true, ran: domain.RunYes, upstreamOutcome: instances.Answered, status: h.Status}
}

// expectsEvent reports whether the body must have an event. The rest of a stream that is
// resumed after its last event has none.
func (a *attempts) expectsEvent(h Head) bool {
	return h.isEventStream(a.r.Route.Kind) && h.Status == statusOK && a.delivery.resumeAfter(a.r.ResumeAfter) == ""
}

// interrupted classifies an answer that ended early.
func (a *attempts) interrupted(ctx context.Context, err error) result {
	var caller callerError
	switch {
	case !errors.As(err, &caller) && stopping(ctx):
		return failedResult(errkind.Timeout, domain.RunUnknown, instances.Canceled, "answer incomplete at the %w", ErrStopping)
	case errors.As(err, &caller), ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		res := failedResult(errkind.Canceled, domain.RunUnknown, instances.Canceled, "the caller disconnected")
		res.callerDisconnected = true
		return res
	case errors.Is(context.Cause(ctx), errSilent):
		return failedResult(errkind.UpstreamSilent, domain.RunUnknown, instances.Broken, "answer stopped: %w", errSilent)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failedResult(errkind.Timeout, domain.RunUnknown, instances.Canceled, "answer incomplete at the deadline")
	}
	return failedResult(errkind.Truncated, domain.RunUnknown, instances.Broken, "answer truncated: %w", err)
}
