package admission

import (
	"container/list"
	"slices"
	"time"
)

// entry is one queued request.
type entry struct {
	class    Class
	priority int
	// regionsKey separates requests that may run in different regions: one without
	// capacity in its regions does not block the others.
	regionsKey string
	// cost is the expected slot time of the request, in seconds.
	cost     float64
	tokens   float64
	enqueued time.Time
	// deadline is the latest time for the first token.
	deadline time.Time
	// callerDeadline is set if deadline was given by the caller.
	callerDeadline bool
	lane           *lane
	element        *list.Element
	// result receives nil when the request is admitted, or the error that refuses it.
	result chan error
	// headroom is called by target stages; regionsKeyOf computes regionsKey, only for
	// requests that have to queue.
	headroom     func() Headroom
	regionsKeyOf func() string
}

// lane is a FIFO queue of requests with the same class, priority and regions.
type lane struct {
	class      Class
	priority   int
	regionsKey string
	entries    list.List
	// cost is the slot time of all entries, in seconds.
	cost float64
}

func (l *lane) head() *entry { return l.entries.Front().Value.(*entry) }

// maxIdleLanes is the number of lanes at which empty lanes are removed before another
// one is added.
const maxIdleLanes = 32

// queue orders queued requests. The classes share slot time in proportion to their
// weights. Within a class the highest priority is served first, and each agingStep of
// queueing time raises a request's priority by one. The caller must hold a lock.
type queue struct {
	lanes     []*lane
	agingStep time.Duration
	weight    [classes]float64
	// served is the slot time assigned to each class divided by the class's weight, in
	// seconds.
	served [classes]float64
	count  [classes]int
}

func newQueue(shortWeight float64, agingStep time.Duration) queue {
	return queue{agingStep: agingStep, weight: [classes]float64{Short: shortWeight, Long: 1 - shortWeight}}
}

func (q *queue) len() int { return q.count[Short] + q.count[Long] }

// push appends e to its lane.
func (q *queue) push(e *entry) {
	other := 1 - e.class
	if q.count[e.class] == 0 && q.count[other] > 0 {
		// A class accumulates no credit while it has no requests queued.
		q.served[e.class] = max(q.served[e.class], q.served[other])
	}
	e.lane = q.lane(e)
	e.element = e.lane.entries.PushBack(e)
	e.lane.cost += e.cost
	q.count[e.class]++
}

func (q *queue) lane(e *entry) *lane {
	for _, l := range q.lanes {
		if l.class == e.class && l.priority == e.priority && l.regionsKey == e.regionsKey {
			return l
		}
	}
	if len(q.lanes) >= maxIdleLanes {
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l.entries.Len() == 0 })
	}
	l := &lane{class: e.class, priority: e.priority, regionsKey: e.regionsKey}
	q.lanes = append(q.lanes, l)
	return l
}

// remove removes e and reports whether it was still queued.
func (q *queue) remove(e *entry) bool {
	if e.element == nil {
		return false
	}
	e.lane.entries.Remove(e.element)
	e.element = nil
	e.lane.cost -= e.cost
	if e.lane.entries.Len() == 0 {
		e.lane.cost = 0
	}
	q.count[e.class]--
	return true
}

// next returns the first entry of the lane whose turn it is, or nil if there is none.
// Lanes whose regionsKey is in blocked are skipped.
func (q *queue) next(now time.Time, blocked []string) *entry {
	first := Short
	if q.served[Long] < q.served[Short] {
		first = Long
	}
	if e := q.best(now, first, blocked); e != nil {
		return e
	}
	return q.best(now, 1-first, blocked)
}

func (q *queue) best(now time.Time, c Class, blocked []string) *entry {
	var best *entry
	var rank float64
	for _, l := range q.lanes {
		if l.class != c || l.entries.Len() == 0 || slices.Contains(blocked, l.regionsKey) {
			continue
		}
		e := l.head()
		r := float64(e.priority) + now.Sub(e.enqueued).Seconds()/q.agingStep.Seconds()
		if best == nil || r > rank {
			best, rank = e, r
		}
	}
	return best
}

// serve removes e and charges its slot time to its class.
func (q *queue) serve(e *entry) {
	q.remove(e)
	q.served[e.class] += e.cost / q.weight[e.class]
	if q.len() == 0 {
		q.served = [classes]float64{}
	}
}

// costAhead returns the slot time, in seconds, that is served before a new request.
func (q *queue) costAhead(c Class, priority int, regionsKey string) float64 {
	own, others := 0.0, 0.0
	for _, l := range q.lanes {
		if l.regionsKey != regionsKey {
			continue
		}
		switch {
		case l.class != c:
			others += l.cost
		case l.priority >= priority:
			own += l.cost
		}
	}
	// In the meantime the other class receives its weighted share, at most all that it has
	// queued.
	return own + min(others, own*q.weight[1-c]/q.weight[c])
}
