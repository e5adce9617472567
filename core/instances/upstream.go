package instances

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

const (
	// otherRequestsHalfLife is the half-life of the weight of a reported number of
	// other nodes' requests. A generation takes about half a second.
	otherRequestsHalfLife = 1500 * time.Millisecond
	// latencyRatioGain is the weight of one answer in an upstream's latency ratio.
	latencyRatioGain = 0.1
	// failureGain is the weight of one outcome in an upstream's failure rate: five
	// consecutive failures raise it to two thirds.
	failureGain = 0.2
	// othersFailureGain is the weight of an outcome at another node. A broker learns those of all nodes
	// of its region: at failureGain, chance makes a healthy upstream that fails one request in ten
	// suspect every few seconds, and the broker refuses requests although places are free.
	othersFailureGain = 0.08
	// minSuspectFor and maxSuspectFor bound how long a failing upstream is excluded;
	// the duration doubles with each subsequent failure.
	minSuspectFor = 500 * time.Millisecond
	maxSuspectFor = 4 * time.Second
	// maxFailureRateExcess is how far an upstream's failure rate may exceed that of
	// its pool before the upstream becomes suspect.
	maxFailureRateExcess = 0.3
	// misdirectedFor is how long an upstream is excluded after another instance
	// answered at its address: its entry is removed or updated within one or two
	// heartbeats.
	misdirectedFor = 3 * time.Second
	// engineSilenceTimeout is the time without any byte from an engine with requests
	// in flight after which the engine is considered unresponsive. Its events
	// normally arrive every few tens of milliseconds.
	engineSilenceTimeout = 600 * time.Millisecond
	// minSilentRequests is the minimum number of requests in flight for the silence
	// timeout to apply.
	minSilentRequests = 2
)

// upstream is an instance with this node's measurements of it.
type upstream struct {
	Instance
	evacuated bool
	coldness  coldness
	pace      sharedbounds.Pacer
	limit     rateLimit
	silence   silence
	room      room
	// leavingStated is set once the process has said in an answer that it leaves. It outlasts any
	// entry of the same process.
	leavingStated bool
	// idleClosedAfter is the shortest time after which an idle connection was closed since a restart was presumed; zero if
	// there was none.
	idleClosedAfter time.Duration
	// healthCheckedAt is when this node last sent a health request.
	healthCheckedAt time.Time

	inFlight           int
	inFlightByPriority [priorities]int
	backlog            backlog
	slowdown           slowdown
	reserved           reservedMemory
	held               heldParts
	// index is that of the upstream in Pool.upstreams when candidates were last listed.
	index int
	// idHash is the hash of the ID for rendezvous weights.
	idHash uint64
	// otherRequests is the estimated number of other nodes' requests at
	// loadReportedAt.
	otherRequests  float64
	loadReportedAt time.Time

	// latencyRatio is the average ratio of actual to expected time to the first byte.
	latencyRatio float64
	// latencyMeasuredAt is when latencyRatio was last updated.
	latencyMeasuredAt time.Time
	failureRate       float64
	// lastByteAt is when the last byte arrived or, if later, when a request was sent
	// while no other was in flight.
	lastByteAt   time.Time
	suspectUntil time.Time
	// misdirectedUntil is when an upstream is used again after another instance
	// answered at its address.
	misdirectedUntil time.Time
	suspectFor       time.Duration
	givenUp          givenUp
	// lull is the latest period in which the upstream was silent for a moment.
	lull period
}

// otherRequestsAt returns the estimated number of other nodes' requests at now. As a
// report ages, the estimate converges to meanOthers, the mean of the pool's
// upstreams.
func (u *upstream) otherRequestsAt(now time.Time, meanOthers float64) float64 {
	age := now.Sub(u.loadReportedAt)
	if age <= 0 {
		return u.otherRequests
	}
	return meanOthers + (u.otherRequests-meanOthers)*math.Exp2(-float64(age)/float64(otherRequestsHalfLife))
}

// maxLoadReportAge is the maximum age of a report that counts for the mean.
const maxLoadReportAge = 3 * time.Second

// meanOtherRequests returns the mean number of other nodes' requests in recent
// reports; zero if there are none.
func (p *Pool) meanOtherRequests(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, u := range p.upstreams {
		if !u.loadReportedAt.IsZero() && now.Sub(u.loadReportedAt) < maxLoadReportAge {
			sum += u.otherRequests
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (u *upstream) updateLoad(now time.Time, r ReportedLoad) {
	u.otherRequests = max(0, float64(r.Running+r.Waiting-u.inFlight))
	u.loadReportedAt = now
}

// silent reports whether an engine with requests in flight has sent no byte within
// engineSilenceTimeout.
func (u *upstream) silent(now time.Time) bool {
	return u.inFlight >= minSilentRequests && now.Sub(u.lastByteAt) > engineSilenceTimeout
}

// markSuspect excludes the upstream for a period that doubles each time.
func (u *upstream) markSuspect(now time.Time) {
	if now.Before(u.suspectUntil) {
		return
	}
	u.suspectFor = min(maxSuspectFor, max(minSuspectFor, 2*u.suspectFor))
	u.suspectUntil = now.Add(u.suspectFor)
}
