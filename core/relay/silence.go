package relay

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/routes"
)

const (
	// soundSilence is how long a sound upstream may send nothing to this node, on any connection, before it goes on.
	soundSilence = 1500 * time.Millisecond
	// gainfulSilence replaces soundSilence for an idempotent request without a prompt that can still be answered
	// in time elsewhere.
	gainfulSilence = 700 * time.Millisecond
	// silenceFactor replaces these times until the first byte of an answer if it is longer, as a multiple of the
	// expected time. Most upstreams run one request of this node, and prefill a long prompt, at the speed of the
	// moment, without sending anything.
	silenceFactor = 3
	// streamSilence is the same for an answer that has begun: engines pause a stream for over a second when they
	// run out of memory, and callers disconnect after two seconds at the earliest.
	streamSilence = 1700 * time.Millisecond
	// stallGapFactor is the time without a new event, as a multiple of the longest pause that meets the objective,
	// after which a resumable stream continues elsewhere. Callers disconnect after eight times that pause at the
	// earliest.
	stallGapFactor = 6
	// firstByteTimeoutFactor and minFirstByteTimeout set the timeout for the first byte of a repeatable request at
	// an upstream that is not silent; the factor is a multiple of the expected time.
	firstByteTimeoutFactor = 6
	minFirstByteTimeout    = 900 * time.Millisecond
	// watchInterval is the time between two checks of an attempt.
	watchInterval = 200 * time.Millisecond
)

// errSilent is the cancellation cause of an attempt whose upstream stopped sending.
var errSilent = errors.New("upstream sent no data within the timeout")

// watchSilence cancels the attempt of a repeatable request when its upstream stops sending and another upstream can
// take the request. Without one, nothing is gained by giving up an answer that may still arrive.
func (a *attempts) watchSilence(t *instances.Ticket, cancel context.CancelCauseFunc) (stop func()) {
	if !a.r.Route.Repeatable() || a.r.SendCount+1 >= a.r.Route.MaxAttempts {
		return func() {}
	}
	start, software := a.Now(), a.streamSoftware
	a.lastEventAt.Store(start.UnixNano())
	a.unrepeatable.Store(false)
	w := &watch{attempts: a, ticket: t, start: start, checkedAt: start, software: software}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(math.MaxInt64, func() { w.check(cancel) })
	w.timer.Reset(watchInterval)
	return w.stop
}

// watch watches one attempt.
type watch struct {
	*attempts
	ticket *instances.Ticket
	start  time.Time
	// software is the version of the software that wrote the events that the caller had before the attempt.
	software string

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// checkedAt is when the attempt was last checked, heardFor the time in which the upstream was not silent.
	checkedAt time.Time
	heardFor  time.Duration
}

// stop ends the watch. No check runs after it returns.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watch) check(cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := w.Now()
	if w.ticket.ReceivedWithin(now, now.Sub(w.checkedAt)) {
		w.heardFor += now.Sub(w.checkedAt)
	}
	w.checkedAt = now
	if w.overdue(now) && !w.unrepeatable.Load() && w.Budget.Available(now, w.r.Service, w.budgetNodes()) && w.canMove(now) {
		w.stopped = true
		cancel(errSilent)
		return
	}
	w.timer.Reset(watchInterval)
}

// overdue reports whether the answer takes longer than at a sound upstream.
func (w *watch) overdue(now time.Time) bool {
	if !w.ticket.ReceivedWithin(now, w.silenceLimit(now)) || w.stalled(now) {
		return true
	}
	return !w.ticket.AnswerStarted() && w.heardFor > max(minFirstByteTimeout, firstByteTimeoutFactor*w.ticket.Expected)
}

// silenceLimit returns how long the upstream may send nothing.
func (w *watch) silenceLimit(now time.Time) time.Duration {
	if w.ticket.AnswerStarted() {
		return streamSilence
	}
	limit := soundSilence
	if w.r.Route.Kind == routes.Idempotent && w.r.Prompt.InputTokens == 0 {
		if now.Sub(w.objectiveFrom) < w.r.Route.Objective {
			limit = gainfulSilence
		}
		limit = min(limit, max(gainfulSilence, w.r.Deadline.Sub(w.start)/2))
	}
	return max(limit, silenceFactor*w.ticket.Expected)
}

// stalled reports whether a resumable stream has begun and brings no new event, although its upstream may be sending
// something: comments, a part of an event, or the events of other requests.
func (w *watch) stalled(now time.Time) bool {
	limit := max(streamSilence, stallGapFactor*w.r.Route.MaxEventGap)
	return w.r.Route.Resumable && w.ticket.AnswerStarted() && now.Sub(time.Unix(0, w.lastEventAt.Load())) > limit
}

// canMove reports whether another upstream could take the request now.
func (w *watch) canMove(now time.Time) bool {
	software := w.software
	if w.r.Route.Resumable && w.ticket.AnswerStarted() {
		software = w.ticket.Software
	}
	if w.pathsLost() && w.mayForward(now) {
		return true
	}
	q := w.query(now, 0, software, false)
	return w.Catalog.Pool(w.r.Service).MayPlace(now, w.Policy, &q)
}
