package relay

import (
	"errors"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/quarantine"
)

// refuseHeld ends a request whose prompt has a held part; ok is false if it has none.
func (a *attempts) refuseHeld() (res result, ok bool) {
	if len(a.sharedParts) == 0 || a.trial {
		return result{}, false
	}
	part, held, trial := a.Quarantine.Check(a.Now(), a.sharedParts)
	a.trial = trial
	if !held || trial {
		return result{}, false
	}
	a.Metrics.Count("relay.part_held", 1)
	return result{err: errkind.New(errkind.PromptPartHeld, "part %s of the prompt crashes upstreams", strconv.FormatUint(part, 16)), ran: domain.RunNo}, true
}

// recordProcess records what an attempt shows about the shared parts of the prompt.
func (a *attempts) recordProcess(t *instances.Ticket, res result) {
	switch {
	case len(a.sharedParts) == 0:
	case res.delivered:
		a.recordAnswer(t)
	case a.crashed(res) && t.Registered():
		a.Quarantine.RecordCrash(a.Now(), quarantine.ProcessID(t.ID, t.Started), t.SentAt, a.sharedParts)
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

// recordEvents counts the events in the next bytes of an answer. Once there are more than
// maxEventsAtCrash, the parts of its prompt are known not to have crashed the upstream.
func (a *attempts) recordEvents(b []byte) {
	before := a.events.complete
	a.events.add(b)
	if a.ticket != nil && before <= maxEventsAtCrash && a.events.complete > maxEventsAtCrash && len(a.sharedParts) > 0 {
		a.recordAnswer(a.ticket)
	}
}

func (a *attempts) recordAnswer(t *instances.Ticket) {
	a.Quarantine.RecordAnswer(a.Now(), quarantine.ProcessID(t.ID, t.Started), t.SentAt, a.sharedParts)
}

// mayCrashAnother reports whether the request may crash a second upstream if it is sent
// again after the attempt.
func (a *attempts) mayCrashAnother(res result) bool {
	return len(a.sharedParts) > 0 && a.crashed(res) && (a.trial || a.Quarantine.Suspected(a.Now(), a.sharedParts))
}
