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

const (
	// maxBuffered bounds an answer that is held back until it is whole; larger
	// ones are passed on as they arrive.
	maxBuffered = 256 << 10
	// silencePeriod is how long an upstream may send nothing to this node, on
	// any connection, before a repeatable request goes elsewhere.
	silencePeriod = 700 * time.Millisecond
	// streamSilence is the same for an answer that has begun: engines pause a
	// stream for over a second when they run out of memory, and callers leave
	// after two seconds at the earliest.
	streamSilence = 1700 * time.Millisecond
	// patienceFactor and minPatience bound the wait for the first byte of a
	// repeatable request with attempts left, as a multiple of what was expected.
	patienceFactor = 6
	minPatience    = 900 * time.Millisecond
)

// local sends the request to an upstream of the own region.
func (a *attempts) local(ctx context.Context, t *instances.Ticket) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if a.r.Sent == 0 && !a.counted {
		a.counted = true
		a.Budget.First(a.Now(), a.r.Service)
	}
	call := a.call()
	sentAt := a.Now()
	stop := a.watchSilence(t, cancel)
	answer, err := a.Upstreams.Send(ctx, &t.Instance, call)
	var res result
	if err != nil {
		res = a.sendFailed(ctx, err)
	} else {
		now := a.Now()
		a.headAt = now
		h := answer.Head()
		t.FirstByte(now, answer.Reading(), !h.NotRun && !h.Misdirected)
		a.Metrics.Observe("relay.first_byte_us", now.Sub(sentAt))
		res = a.receive(ctx, answer, t)
		answer.Close()
	}
	stop()
	if res.reached {
		a.r.Sent++
	}
	t.Done(a.Now(), res.judged)
	a.logAttempt(string(t.ID), sentAt, t.Expected, res)
	return res
}

func (a *attempts) call() *Call {
	left := a.r.Deadline.Sub(a.Now())
	return &Call{Request: a.r, ResumeAfter: a.delivery.resumeAfter(a.r.ResumeAfter), Left: max(time.Millisecond, left), Priority: min(9, max(0, a.r.Route.Priority))}
}

// errSilent cancels an attempt whose upstream fell silent.
var errSilent = errors.New("upstream sent nothing for too long")

// watchSilence cancels the attempt of a repeatable request when its upstream
// falls silent and another attempt may follow.
func (a *attempts) watchSilence(t *instances.Ticket, cancel context.CancelCauseFunc) (stop func()) {
	if !a.r.Route.Repeatable() || a.r.Sent+1 >= a.r.Route.MaxAttempts {
		return func() {}
	}
	began := a.Now()
	patience := max(minPatience, patienceFactor*t.Expected)
	var timer *time.Timer
	timer = time.AfterFunc(silencePeriod, func() {
		now := a.Now()
		waited := now.Sub(began)
		limit := silencePeriod
		if t.Begun() {
			limit = streamSilence
		}
		dark := !t.HeardWithin(now, limit)
		if (dark || !t.Begun() && waited > patience) && a.Budget.Available(now, a.r.Service, a.budgetNodes()) {
			cancel(errSilent)
			return
		}
		timer.Reset(silencePeriod / 3)
	})
	return func() { timer.Stop() }
}

// sendFailed judges an attempt without an answer.
func (a *attempts) sendFailed(ctx context.Context, err error) result {
	kind := errkind.From(err)
	switch {
	case kind.Kind == errkind.PeerUnreachable:
		return failed(errkind.NoCapacity, domain.RunNo, instances.Unreachable, "upstream not reached: %w", err)
	case errors.Is(context.Cause(ctx), errSilent):
		return failed(errkind.UpstreamSilent, domain.RunUnknown, instances.Broken, "no answer: %w", errSilent)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(errkind.Timeout, domain.RunUnknown, instances.Broken, "no answer before the deadline")
	case ctx.Err() != nil:
		res := failed(errkind.Canceled, domain.RunUnknown, instances.Abandoned, "the caller left")
		res.callerLeft = true
		return res
	}
	return failed(errkind.UpstreamFailed, domain.RunUnknown, instances.Broken, "no answer: %w", err)
}

// receive judges the head of an answer and passes the body on.
func (a *attempts) receive(ctx context.Context, answer Answer, t *instances.Ticket) result {
	h := answer.Head()
	switch {
	case h.Misdirected:
		return failed(errkind.NoCapacity, domain.RunNo, instances.Misdirected, "another instance has the address")
	case h.NotRun:
		return failed(errkind.Overloaded, domain.RunNo, instances.Shed, "upstream refused with status %d", h.Status)
	case h.RequestID != "" && h.RequestID != a.r.ID:
		a.Log.Log(event.AnswerCrossed, event.F("request", a.r.ID), event.F("answered", h.RequestID), event.F("instance", t.ID))
		return failed(errkind.UpstreamFailed, domain.RunUnknown, instances.Broken, "answer of request %q", h.RequestID)
	case h.Status < 300 && !h.Sealed:
		return failed(errkind.UpstreamFailed, domain.RunUnknown, instances.Broken, "success without a signature")
	}
	h.RanAt = t.ID
	if a.r.Route.Kind == routes.Streaming && h.Status < 300 {
		return a.stream(ctx, answer, h, t.Progress)
	}
	return a.whole(ctx, answer, h)
}

// whole buffers an answer of limited size before it passes it on, so that one
// that is cut off can be told from a success.
func (a *attempts) whole(ctx context.Context, answer Answer, h Head) result {
	var body []byte
	for {
		b, err := answer.Next()
		body = append(body, b...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.cutOff(ctx, err)
		}
		if len(body) > maxBuffered {
			return a.passOn(ctx, answer, h, body)
		}
	}
	if h.Status >= 500 {
		return result{
			kept: &keptAnswer{head: h, body: body}, reached: true, ran: domain.RunYes, judged: instances.ServerError, status: h.Status,
			err: errkind.New(errkind.UpstreamFailed, "upstream answered %d", h.Status),
		}
	}
	h.ContentLength = int64(len(body))
	if err := a.deliver(h, body); err != nil {
		return a.cutOff(ctx, err)
	}
	return result{delivered: true, reached: true, ran: domain.RunYes, judged: instances.Answered, status: h.Status}
}

func (a *attempts) deliver(h Head, body []byte) error {
	a.arrived(a.Now())
	if err := a.delivery.begin(h); err != nil {
		return err
	}
	return a.delivery.write(body)
}

// passOn hands out a large answer whose beginning is buffered.
func (a *attempts) passOn(ctx context.Context, answer Answer, h Head, body []byte) result {
	if err := a.deliver(h, body); err != nil {
		return a.cutOff(ctx, err)
	}
	return a.stream(ctx, answer, h, func(time.Time) {})
}

// stream passes an answer on as it arrives. The head goes out with the first
// bytes, so that until then another attempt can follow.
func (a *attempts) stream(ctx context.Context, answer Answer, h Head, progress func(time.Time)) result {
	if a.delivery.events != nil {
		a.delivery.events.restart()
	}
	for {
		b, err := answer.Next()
		if len(b) > 0 {
			now := a.Now()
			progress(now)
			a.arrived(now)
			if e := a.delivery.begin(h); e != nil {
				return a.cutOff(ctx, e)
			}
			if e := a.delivery.write(b); e != nil {
				return a.cutOff(ctx, e)
			}
		}
		if errors.Is(err, io.EOF) {
			return a.streamEnded(ctx, h)
		}
		if err != nil {
			return a.cutOff(ctx, err)
		}
	}
}

func (a *attempts) streamEnded(ctx context.Context, h Head) result {
	if err := a.delivery.complete(); err != nil {
		return a.cutOff(ctx, err)
	}
	if err := a.delivery.begin(h); err != nil { // an empty answer
		return a.cutOff(ctx, err)
	}
	return result{delivered: true, reached: true, ran: domain.RunYes, judged: instances.Answered, status: h.Status}
}

// cutOff judges an answer that ended before its time.
func (a *attempts) cutOff(ctx context.Context, err error) result {
	var caller callerError
	switch {
	case errors.As(err, &caller), ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		res := failed(errkind.Canceled, domain.RunUnknown, instances.Abandoned, "the caller left")
		res.callerLeft = true
		return res
	case errors.Is(context.Cause(ctx), errSilent):
		return failed(errkind.UpstreamSilent, domain.RunUnknown, instances.Broken, "answer stopped: %w", errSilent)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(errkind.Timeout, domain.RunUnknown, instances.Abandoned, "answer not whole at the deadline")
	}
	return failed(errkind.Truncated, domain.RunUnknown, instances.Broken, "answer cut off: %w", err)
}
