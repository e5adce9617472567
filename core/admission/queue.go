package admission

import (
	"container/list"
	"slices"
	"time"
)

// entry is one request that waits in a queue.
type entry struct {
	class    Class
	priority int
	// places tells requests apart that may run in different places: one that
	// finds no room there does not hold up the others.
	places string
	// cost is the slot time that the request is expected to take, in seconds.
	cost     float64
	tokens   float64
	enqueued time.Time
	// due is when the first token must come.
	due time.Time
	// stated is set if due is the request's own deadline.
	stated bool
	host   *lane
	at     *list.Element
	// answer receives nil when the request may go on, or why it may not.
	answer chan error
	// headroom is asked for by target stages; placesOf gives places.
	headroom func() Headroom
	placesOf func() string
}

// lane is a first-in first-out queue of equal requests.
type lane struct {
	class    Class
	priority int
	places   string
	entries  list.List
	// cost is the slot time of all entries, in seconds.
	cost float64
}

func (l *lane) head() *entry { return l.entries.Front().Value.(*entry) }

// maxIdleLanes is the number of lanes at which empty ones are dropped.
const maxIdleLanes = 32

// queue orders waiting requests. Classes take turns by the slot time that they
// were given, weighted; in a class the highest priority goes first, where a wait
// of agingStep counts as one priority more. Its owner locks it.
type queue struct {
	lanes     []*lane
	agingStep time.Duration
	weight    [classes]float64
	// served is the weighted slot time given to each class, in seconds.
	served [classes]float64
	count  [classes]int
}

func newQueue(shortWeight float64, agingStep time.Duration) queue {
	return queue{agingStep: agingStep, weight: [classes]float64{Short: shortWeight, Long: 1 - shortWeight}}
}

func (q *queue) len() int { return q.count[Short] + q.count[Long] }

// push adds e at the end of its lane.
func (q *queue) push(e *entry) {
	other := 1 - e.class
	if q.count[e.class] == 0 && q.count[other] > 0 {
		// A class that had nothing to do has saved up no turns.
		q.served[e.class] = max(q.served[e.class], q.served[other])
	}
	e.host = q.lane(e)
	e.at = e.host.entries.PushBack(e)
	e.host.cost += e.cost
	q.count[e.class]++
}

func (q *queue) lane(e *entry) *lane {
	for _, l := range q.lanes {
		if l.class == e.class && l.priority == e.priority && l.places == e.places {
			return l
		}
	}
	if len(q.lanes) >= maxIdleLanes {
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l.entries.Len() == 0 })
	}
	l := &lane{class: e.class, priority: e.priority, places: e.places}
	q.lanes = append(q.lanes, l)
	return l
}

// remove takes e out; false if it is not in the queue any more.
func (q *queue) remove(e *entry) bool {
	if e.at == nil {
		return false
	}
	e.host.entries.Remove(e.at)
	e.at = nil
	e.host.cost -= e.cost
	if e.host.entries.Len() == 0 {
		e.host.cost = 0
	}
	q.count[e.class]--
	return true
}

// next returns the head of the lane whose turn it is, among lanes whose places
// are not in full; nil if there is none.
func (q *queue) next(now time.Time, full []string) *entry {
	first := Short
	if q.served[Long] < q.served[Short] {
		first = Long
	}
	if e := q.best(now, first, full); e != nil {
		return e
	}
	return q.best(now, 1-first, full)
}

func (q *queue) best(now time.Time, c Class, full []string) *entry {
	var best *entry
	var rank float64
	for _, l := range q.lanes {
		if l.class != c || l.entries.Len() == 0 || slices.Contains(full, l.places) {
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

// serve takes e out and charges its class.
func (q *queue) serve(e *entry) {
	q.remove(e)
	q.served[e.class] += e.cost / q.weight[e.class]
	if q.len() == 0 {
		q.served = [classes]float64{}
	}
}

// ahead returns the slot time, in seconds, that goes before a new request.
func (q *queue) ahead(c Class, priority int, places string) float64 {
	own, others := 0.0, 0.0
	for _, l := range q.lanes {
		if l.places != places {
			continue
		}
		switch {
		case l.class != c:
			others += l.cost
		case l.priority >= priority:
			own += l.cost
		}
	}
	// The other class gets its weighted turns meanwhile, at most all it has.
	return own + min(others, own*q.weight[1-c]/q.weight[c])
}
