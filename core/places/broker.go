package places

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
)

const (
	// reserve is the number of requests in an upstream's own queue that keep its slots busy
	// while permits and answers are on their way. The limit of an upstream follows its
	// reports, so that its queue stays between minQueued and reserve.
	reserve   = 2
	minQueued = 1
	// limitGain is the change of a limit for each report. About ten reports arrive within the
	// time that a change takes to show.
	limitGain = 0.1
	// rejectedLimitFactor is what a rejection leaves of the limit.
	rejectedLimitFactor = 0.75
	// maxLimitFactor bounds the limit as a multiple of the slots: permits of a node that was
	// killed lapse after seconds, and messages may take longer than the work.
	maxLimitFactor = 3
	// maxConnectionShare is the part of the connections that an upstream accepts that permits
	// may use; the others are idle connections of many nodes.
	maxConnectionShare = 0.5
	// holdGain is the weight of one release in the mean time for which a permit is held.
	holdGain = 0.05
	// maxMessageTime is the longest time that the messages of a permit usually take together.
	maxMessageTime = 40 * time.Millisecond
	// maxWaitRatio and maxUrgentWaitRatio are the longest expected waits that are admitted, as
	// parts of the objective; see placement.Policy.MaxSlotWaitRatio.
	maxWaitRatio       = 0.5
	maxUrgentWaitRatio = 0.6
	// minServiceRatio is the part of the mean time for which permits are held that a request
	// must have left to meet its objective: many take less time than the mean.
	minServiceRatio = 0.8
	// maxServiceRatio bounds that time as a part of the objective.
	maxServiceRatio = 0.5
	// minSpareRatio is the part of the capacity that must be idle for requests to wait that
	// can no longer meet their objective.
	minSpareRatio = 0.1
	// maxWaiting bounds the requests that wait at a broker, maxLate those of them that cannot
	// meet their objective.
	maxWaiting = 512
	maxLate    = 128
	// lendFor is how long lent places are kept for the borrower.
	lendFor = time.Second
	// minLoanKept is the part of a loan that a renewal keeps at least, if it is wanted.
	minLoanKept = 0.5
	// minLoanLeft is the remaining time below which a borrowed place is not used.
	minLoanLeft = 50 * time.Millisecond
	// maxPermitsPerPlace bounds the permits for one lent place, because slot times are
	// estimates: a place of 15 ms needs eight over a round trip of 110 ms.
	maxPermitsPerPlace = 10
	// usualLoad is the part of the capacity beyond which places are borrowed, loanMargin the
	// factor by which more are borrowed than the excess needs on average.
	usualLoad  = 0.85
	loanMargin = 1.2
	// maxRefused bounds the refused requests that are remembered, each until it may be back
	// for returnDelay.
	maxRefused  = 4096
	returnDelay = 500 * time.Millisecond
	// minReturn is the shortest Retry-After. It is shorter than the objectives, so that what
	// comes back may still meet its objective, which counts from the first attempt.
	minReturn = 120 * time.Millisecond
	// maxReturnShare is the part of the time left that callers wait at most.
	maxReturnShare = 0.32
	// returnSpread is the part of the longest wait over which returns are spread if no
	// capacity is foreseen to be free before.
	returnSpread = 0.6
	// returnJitter is the width of the jitter of other returns.
	returnJitter = 0.5
)

type permit struct {
	u         *upstream
	grantedAt time.Time
	expiresAt time.Time
	// presumedLost is set once the place counts as free although the permit was not returned.
	presumedLost bool
}

// refusal is what the broker remembers of a refused request. It may come back, and its
// objective counts from its first attempt then.
type refusal struct {
	objectiveAt, until time.Time
}

// loan is what is lent to another region.
type loan struct {
	to      domain.Region
	permits int
	until   time.Time
	// lenders are the upstreams, places what is lent of each.
	lenders []*upstream
	places  []float64
}

// Broker grants the places of one service in one region.
type Broker struct {
	region    domain.Region
	upstreams []*upstream
	permits   map[uint64]permit
	lastID    uint64
	order     Order
	loans     []loan
	// hold is the mean time for which a permit of this region is outstanding.
	hold     time.Duration
	released int
	// work is the part of it for which an upstream's slot is busy.
	work time.Duration
	// returnAt is when the latest refused request is expected back.
	returnAt time.Time
	// refused holds when the objective and the memory of refused requests end.
	refused map[uint64]refusal
	// expiryCheckedAt is when permits were last checked for their expiry.
	expiryCheckedAt time.Time
	decided         []*Waiter
}

// NewBroker returns a broker without upstreams. firstID distinguishes its permits from those
// of other brokers; hold is the expected time for which a place is used.
func NewBroker(region domain.Region, firstID uint64, hold time.Duration) *Broker {
	return &Broker{region: region, lastID: firstID, hold: hold, work: hold, permits: make(map[uint64]permit), refused: make(map[uint64]refusal)}
}

// SetUpstreams sets the upstreams of the region that may be used now.
func (b *Broker) SetUpstreams(now time.Time, list []Upstream) {
	for _, u := range b.upstreams {
		if !u.borrowed() {
			u.listed = false
		}
	}
	for _, in := range list {
		u := b.own(in.ID)
		if u == nil || u.Started != in.Started {
			u = &upstream{}
			b.upstreams = append(b.upstreams, u)
			u.Upstream = in
			u.limit = min(u.maxLimit(), max(1, float64(in.Slots+reserve-in.Others)))
		}
		if u.Slots != in.Slots {
			u.limit = max(1, u.limit+float64(in.Slots-u.Slots))
		}
		u.Upstream, u.listed = in, true
		if u.Brittle {
			u.limit = min(u.limit, u.maxLimit())
		}
	}
	b.upstreams = slices.DeleteFunc(b.upstreams, func(u *upstream) bool {
		return !u.borrowed() && !u.listed && u.outstanding == 0
	})
	b.dispatch(now)
}

// own returns the present record of an upstream of the region.
func (b *Broker) own(id domain.UpstreamID) *upstream {
	for i := len(b.upstreams) - 1; i >= 0; i-- {
		if u := b.upstreams[i]; u.ID == id && !u.borrowed() {
			return u
		}
	}
	return nil
}

// Usable reports whether the broker has any upstream of its region.
func (b *Broker) Usable() bool {
	return slices.ContainsFunc(b.upstreams, func(u *upstream) bool { return !u.borrowed() && u.listed })
}

// Idle reports whether nothing waits and no permit is outstanding.
func (b *Broker) Idle() bool { return len(b.order.waiting) == 0 && len(b.permits) == 0 }

// Waiting returns the number of requests that wait.
func (b *Broker) Waiting() int { return len(b.order.waiting) }

// Outstanding returns the number of permits, those that are presumed lost included.
func (b *Broker) Outstanding() int { return len(b.permits) }

// capacity returns the number of permits per second that the region's places allow. It
// follows from the limits and from the time for which permits are outstanding.
func (b *Broker) capacity() float64 {
	sum := 0.0
	for _, u := range b.upstreams {
		if !u.borrowed() && u.listed {
			sum += max(0, u.limit-u.lent)
		}
	}
	return sum / max(time.Millisecond, b.hold).Seconds()
}

// cross grants a borrowed place to a waiting request if the trip takes less time than the
// expected wait.
func (b *Broker) cross(now time.Time, w *Waiter, expected time.Duration) bool {
	if w.late {
		return false
	}
	u := b.choose(now, w, true)
	if u == nil || u.trip >= expected || now.Add(u.trip+b.minService(w)).After(w.objectiveAt) {
		return false
	}
	b.order.Remove(w)
	b.grant(now, w, u)
	return true
}

// choose returns the upstream with a free place that is best for a request; nil if there is
// none.
func (b *Broker) choose(now time.Time, w *Waiter, borrowed bool) *upstream {
	var best *upstream
	bestLoad := 0.0
	for _, u := range b.upstreams {
		if u.borrowed() != borrowed || !u.free(now) || !w.mayUse(u) {
			continue
		}
		load := (float64(u.outstanding) + u.lent) / u.limit
		if !borrowed && u.Place.FailureDomain == w.Domain && u.outstanding < u.Slots {
			load-- // traffic between failure domains is billed
		}
		if best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

func (w *Waiter) mayUse(u *upstream) bool {
	if u.borrowed() && len(w.Regions) > 0 && !slices.Contains(w.Regions, u.Place.Region) {
		return false
	}
	return !slices.Contains(w.Excluded, u.ID)
}

func (b *Broker) grant(now time.Time, w *Waiter, u *upstream) {
	b.lastID++
	u.outstanding++
	b.permits[b.lastID] = permit{u: u, grantedAt: now, expiresAt: w.deadlineAt}
	b.order.Served(now, w)
	w.Decision = Decision{ID: b.lastID, Upstream: u.Upstream, Waited: now.Sub(w.arrivedAt)}
	b.decided = append(b.decided, w)
}

// dispatch grants free places to waiting requests and refuses those that cannot be served in
// time any more.
func (b *Broker) dispatch(now time.Time) {
	if len(b.order.waiting) == 0 {
		return
	}
	b.refuseHopeless(now)
	for {
		w := b.order.Next(func(w *Waiter) bool { return b.choose(now, w, false) != nil })
		if w == nil {
			break
		}
		b.order.Remove(w)
		b.grant(now, w, b.choose(now, w, false))
	}
	b.dispatchBorrowed(now)
}

// dispatchBorrowed lets the requests cross that wait the longest.
func (b *Broker) dispatchBorrowed(now time.Time) {
	for slices.ContainsFunc(b.upstreams, func(u *upstream) bool { return u.borrowed() && u.free(now) }) {
		var last *Waiter
		for _, w := range b.order.waiting {
			if !w.late && (last == nil || w.Priority > last.Priority || w.Priority == last.Priority && w.objectiveAt.After(last.objectiveAt)) &&
				b.choose(now, w, true) != nil {
				last = w
			}
		}
		if last == nil || !b.cross(now, last, b.expectedWait(now, last)) {
			return
		}
	}
}

// Cancel ends the wait of a request whose node no longer wants a place; it returns a permit
// that was granted meanwhile.
func (b *Broker) Cancel(now time.Time, w *Waiter) {
	if !b.order.Remove(w) && w.Decision.Granted() {
		b.Release(now, Release{ID: w.Decision.ID, Outcome: instances.Canceled})
	}
}

// Release returns a permit. It reports the upstream, or false if the permit is not known, as when it is
// returned for a second time.
func (b *Broker) Release(now time.Time, r Release) (domain.UpstreamID, bool) {
	p, known := b.permits[r.ID]
	if !known {
		return "", false
	}
	delete(b.permits, r.ID)
	u := p.u
	if !p.presumedLost {
		u.outstanding--
	}
	if u.borrowed() {
		if r.Outcome == instances.Shed {
			u.limit = 0 // until the next loan
		}
	} else {
		if r.Outcome == instances.Answered {
			b.measureHold(now.Sub(p.grantedAt), u, r)
		}
		b.adjust(u, r)
	}
	b.dispatch(now)
	return u.ID, true
}

func (b *Broker) measureHold(held time.Duration, u *upstream, r Release) {
	b.released++
	gain := max(holdGain, 1/float64(b.released))
	if r.Used > 0 {
		// A return that was late because the path was broken says nothing of the work.
		held = min(held, r.Used+maxMessageTime)
	}
	b.hold += time.Duration(gain * float64(held-b.hold))
	// A request that shared the upstream with more requests than it has slots spent a part of
	// its time in the upstream's queue.
	inQueue := max(1, float64(r.Load.Running+r.Load.Waiting+1)/float64(max(1, u.Slots)))
	b.work += time.Duration(gain * (float64(min(held, r.Used))/inQueue - float64(b.work)))
}

const (
	// expiryInterval is the time between two checks for expired permits.
	expiryInterval = 100 * time.Millisecond
	// permitGrace is how long after the deadline of its request a permit is kept for its
	// release.
	permitGrace = 250 * time.Millisecond
	// presumedLostFactor is the multiple of the mean time for which permits are held after which
	// one is presumed lost: its place would be idle until the deadline if the node, or the path to
	// it, failed. If it is used after all, upstreams report longer queues.
	presumedLostFactor = 6
	minPresumedLost    = 300 * time.Millisecond
)

// Tick must be called every few milliseconds while requests wait, and from time to time
// otherwise.
func (b *Broker) Tick(now time.Time) {
	if now.Sub(b.expiryCheckedAt) >= expiryInterval {
		b.expiryCheckedAt = now
		longest := max(minPresumedLost, presumedLostFactor*b.hold)
		for id, p := range b.permits {
			expired := now.Sub(p.expiresAt) > permitGrace
			if !p.presumedLost && (expired || now.Sub(p.grantedAt) > longest+p.u.trip) {
				p.u.outstanding--
				p.presumedLost = true
				b.permits[id] = p
			}
			if expired {
				delete(b.permits, id)
			}
		}
		maps.DeleteFunc(b.refused, func(_ uint64, r refusal) bool { return now.After(r.until) })
		b.endLoans(func(l *loan) bool { return !now.Before(l.until) })
		b.upstreams = slices.DeleteFunc(b.upstreams, func(u *upstream) bool {
			return u.borrowed() && u.outstanding == 0 && !now.Before(u.until)
		})
	}
	b.dispatch(now)
}

// Decided returns the waiters that were decided since the last call; the slice is valid
// until the next call of any method.
func (b *Broker) Decided() []*Waiter {
	list := b.decided
	b.decided = b.decided[:0]
	return list
}
