package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/event"
)

// Sources from which a node knows that an upstream is cold, as they appear in logs.
const (
	coldFromEntry      = "entry"
	coldFromEvacuation = "evacuation ended"
)

// extendCold records that an upstream may be cold until t. It never shortens the cold
// period.
func (p *Pool) extendCold(now time.Time, u *upstream, t time.Time, from string) {
	if !t.After(u.coldUntil) {
		return
	}
	wasCold := u.cold(now)
	u.coldUntil = t
	if !wasCold && u.cold(now) {
		rate, _ := p.ownRate(now, u)
		p.options.Log.Log(event.InstanceCold, event.F("instance", u.ID), event.F("service", p.service), event.F("from", from),
			event.F("for_ms", t.Sub(now).Milliseconds()), event.F("own_rate", rate))
	}
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }
