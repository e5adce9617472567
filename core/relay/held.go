package relay

import (
	"errors"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/quarantine"
)

// identify returns the subjects of the request that may crash upstreams: the shared parts of its
// prompt and, last, the request itself.
func (a *attempts) identify() []quarantine.Subject {
	if !a.identified {
		a.identified = true
		a.subjects = append(a.subjects, quarantine.Subject{ID: a.r.Fingerprint(), Request: true})
	}
	return a.subjects
}

// suspects returns the subjects of the request of which something may be known.
func (a *attempts) suspects() []quarantine.Subject {
	if a.Quarantine.HasRequests() {
		return a.identify()
	}
	return a.subjects
}

// refuseHeld ends a request with a held subject; ok is false if it has none.
func (a *attempts) refuseHeld() (res result, ok bool) {
	suspects := a.suspects()
	if len(suspects) == 0 || a.trial {
		return result{}, false
	}
	decision, subject := a.Quarantine.Check(a.Now(), suspects)
	a.trial = decision == quarantine.Try
	id := strconv.FormatUint(subject.ID, 16)
	switch {
	case decision == quarantine.Wait && a.r.Relayed: // the sender decided
		return result{}, false
	case decision == quarantine.Wait:
		a.Metrics.Count("relay.request_on_probation", 1)
		return result{err: errkind.New(errkind.Overloaded, "upstreams crashed on the request, with fingerprint %s; it is sent once at a time", id), ran: domain.RunNo}, true
	case decision != quarantine.Refuse:
		return result{}, false
	case subject.Request:
		a.Metrics.Count("relay.request_held", 1)
		return result{err: errkind.New(errkind.RequestHeld, "the request, with fingerprint %s, crashes upstreams", id), ran: domain.RunNo}, true
	}
	a.Metrics.Count("relay.part_held", 1)
	return result{err: errkind.New(errkind.PromptPartHeld, "part %s of the prompt crashes upstreams", id), ran: domain.RunNo}, true
}

// refusedAsHeld reports whether the request was refused because it crashes upstreams.
func refusedAsHeld(e *errkind.Error) bool {
	return e.Kind == errkind.PromptPartHeld || e.Kind == errkind.RequestHeld
}

// recordProcess records what an attempt shows about the subjects of the request.
func (a *attempts) recordProcess(t *instances.Ticket, res result) {
	switch {
	case res.delivered:
		a.recordAnswer(t)
	case a.crashed(res):
		a.crashes++
		if t.Registered() {
			a.Quarantine.RecordCrash(a.Now(), quarantine.ProcessID(t.ID, t.Started), t.SentAt, a.identify())
		}
	}
}

// maxEventsAtCrash is the maximum number of events of an answer whose upstream may have
// crashed because it began to write it. An upstream that wrote more did not.
const maxEventsAtCrash = 1

// crashed reports whether the upstream may have crashed because it began to write the
// answer of the attempt.
func (a *attempts) crashed(res result) bool {
	return res.err != nil && errors.Is(res.err, ErrConnectionClosed) && a.events.complete <= maxEventsAtCrash
}

// crashedElsewhere reports the same of an upstream of another region, whose node tells only that the
// answer was lost.
func (a *attempts) crashedElsewhere(res result) bool {
	return res.err != nil && (res.err.Kind == errkind.UpstreamFailed || res.err.Kind == errkind.Truncated) &&
		res.ran == domain.RunUnknown && a.events.complete <= maxEventsAtCrash
}

// recordEvents counts the events in the next bytes of an answer. Once there are more than
// maxEventsAtCrash, the request is known not to have crashed the upstream.
func (a *attempts) recordEvents(b []byte) {
	before := a.events.complete
	a.events.add(b)
	if a.ticket != nil && before <= maxEventsAtCrash && a.events.complete > maxEventsAtCrash {
		a.recordAnswer(a.ticket)
	}
}

func (a *attempts) recordAnswer(t *instances.Ticket) {
	if suspects := a.suspects(); len(suspects) > 0 {
		a.Quarantine.RecordAnswer(a.Now(), quarantine.ProcessID(t.ID, t.Started), t.SentAt, suspects)
	}
}

// maxCrashes is the number of upstreams that may have crashed on one request before it is no longer
// sent again.
const maxCrashes = 2

// mayCrashAnother reports whether the request may crash one more upstream if it is sent
// again after the attempt.
func (a *attempts) mayCrashAnother(res result) bool {
	if a.crashes >= maxCrashes {
		return true
	}
	return a.crashed(res) && (a.trial || a.Quarantine.Suspected(a.Now(), a.identify()))
}
