package places

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

// Upstream is an upstream that the broker may grant places of.
type Upstream struct {
	ID      domain.UpstreamID
	Started int64
	Place   domain.Place
	Slots   int
	// Others is the number of requests there that the broker did not grant places for, as
	// far as known when the upstream is added.
	Others int
	// MaxConnections is the number of connections that it accepts; zero if it is not known.
	MaxConnections int
	// Brittle is set if it fails if it has to reject too many requests: none may wait there then.
	Brittle bool
}

type upstream struct {
	Upstream
	limit       float64
	outstanding int
	// lent is the number of places that are lent to other regions.
	lent float64
	// until is when a borrowed place lapses; zero for those of the own region.
	until  time.Time
	trip   time.Duration
	listed bool
}

func (u *upstream) borrowed() bool { return !u.until.IsZero() }

func (u *upstream) free(now time.Time) bool {
	if u.borrowed() {
		return now.Add(minLoanLeft).Before(u.until) && float64(u.outstanding)+1 <= u.limit
	}
	return u.listed && float64(u.outstanding)+u.lent+1 <= u.limit
}

func (u *upstream) maxLimit() float64 {
	highest := float64(maxLimitFactor * u.Slots)
	if u.Brittle {
		highest = float64(u.Slots)
	}
	if u.MaxConnections > 0 {
		highest = min(highest, maxConnectionShare*float64(u.MaxConnections))
	}
	return max(1, highest)
}

// adjust changes the limit of an upstream by what it reported.
func (b *Broker) adjust(u *upstream, r Release) {
	switch {
	case r.Outcome == instances.Shed:
		u.limit = max(1, min(u.limit, float64(u.outstanding+1))*rejectedLimitFactor)
	case u.Brittle && r.Used > 0 && (r.Outcome == instances.Canceled || r.Outcome == instances.Broken):
		u.limit = max(1, u.limit-1) // the upstream may still work on it
	case r.Load.Slots == 0:
	case r.Load.Waiting > reserve:
		u.limit = max(1, u.limit-limitGain*min(float64(u.Slots), float64(r.Load.Waiting-reserve)))
	case r.Load.Waiting < minQueued:
		inTime, _ := b.order.Len()
		saturated := inTime > 0 && float64(u.outstanding)+u.lent+2 > u.limit
		if saturated || u.limit < float64(u.Slots+reserve) {
			u.limit = min(u.maxLimit(), u.limit+limitGain)
		}
	}
}
