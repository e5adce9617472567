package instances

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

const (
	// othersHalfLife is how fast a reading of other nodes' requests loses its
	// weight; a generation takes about half a second.
	othersHalfLife = 1500 * time.Millisecond
	// speedGain is the weight of one answer in an upstream's slowness.
	speedGain = 0.1
	// failureGain is the weight of one outcome in an upstream's failure rate:
	// five failures in a row make it two thirds.
	failureGain = 0.2
	// firstSuspicion and maxSuspicion bound how long a failing upstream is left
	// out; the time doubles with each failure after it.
	firstSuspicion = 500 * time.Millisecond
	maxSuspicion   = 4 * time.Second
	// failureExcess is how far an upstream's failure rate may lie above its
	// pool's before it becomes suspect.
	failureExcess = 0.3
	// movedFor is how long an upstream is left out whose address another instance
	// has: its entry goes or changes within a heartbeat or two.
	movedFor = 3 * time.Second
	// engineSilence is the time without any byte from an engine that holds
	// requests after which it is taken as dark. Its events come every few tens
	// of milliseconds.
	engineSilence = 600 * time.Millisecond
	// silentHolds is the number of requests that must be waiting for it.
	silentHolds = 2
)

// upstream is an instance with what this node learnt of it.
type upstream struct {
	Instance
	evacuated bool
	coldUntil time.Time
	pace      sharedbounds.Pace

	inFlight int
	backlog  backlog
	// others estimates the requests of other nodes, as of readAt.
	others float64
	readAt time.Time

	slowness float64
	failures float64
	// heardAt is when the last byte arrived, or the first of the requests in
	// flight was sent.
	heardAt      time.Time
	suspectUntil time.Time
	// movedUntil is set while another instance answers at the address.
	movedUntil time.Time
	suspicion  time.Duration
}

// othersNow returns the estimate of other nodes' requests. A reading loses its
// weight with its age, in favour of what is usual at the pool's upstreams.
func (u *upstream) othersNow(now time.Time, usual float64) float64 {
	age := now.Sub(u.readAt)
	if age <= 0 {
		return u.others
	}
	return usual + (u.others-usual)*math.Exp2(-float64(age)/float64(othersHalfLife))
}

// readingAge is how long a reading counts for what is usual.
const readingAge = 3 * time.Second

// usualOthers returns the mean of the recent readings of other nodes' requests;
// zero if there are none.
func (p *Pool) usualOthers(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, u := range p.upstreams {
		if !u.readAt.IsZero() && now.Sub(u.readAt) < readingAge {
			sum += u.others
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (u *upstream) reading(now time.Time, r Reading) {
	u.others = max(0, float64(r.Running+r.Waiting-u.inFlight))
	u.readAt = now
}

// silent tells if an engine that holds requests has sent nothing for too long.
func (u *upstream) silent(now time.Time) bool {
	return u.inFlight >= silentHolds && now.Sub(u.heardAt) > engineSilence
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// suspect leaves the upstream out for a while, longer each time.
func (u *upstream) suspect(now time.Time) {
	if now.Before(u.suspectUntil) {
		return
	}
	u.suspicion = min(maxSuspicion, max(firstSuspicion, 2*u.suspicion))
	u.suspectUntil = now.Add(u.suspicion)
}
