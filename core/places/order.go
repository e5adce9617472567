package places

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// guaranteedShare is the part of its proportional share that each priority gets, whatever
	// is asked for at higher ones. No kind of request may be served at less than half of the
	// mean rate; the rest is a margin for shares that are estimated.
	guaranteedShare = 0.65
	// maxCredit bounds what a priority that asked for nothing for a while may catch up with.
	maxCredit = 2.0
	// rateWindow is the time constant of arrival rates. Peaks build up within seconds.
	rateWindow = 400 * time.Millisecond
	// recentWindow is the time constant of the rate that loans follow: what arrives before a
	// loan is refused.
	recentWindow = 100 * time.Millisecond
)

// Order is the order of waiting: higher priority first, but each priority gets at least
// guaranteedShare of its share of the arrivals; within a priority the accounts in turn, as
// often as any of them waits, so that an account that asks for little waits behind no large
// one; within an account the request with the least time left for its objective.
//
// Requests that can no longer meet their objective come last.
//
// All operations scan the waiting requests. Admission keeps them to a few hundred.
type Order struct {
	waiting []*Waiter
	classes []*class
	recent  rate
	late    int
}

// class is the state of one priority.
type class struct {
	priority int
	arrivals rate
	waiting  int
	// credit is the number of grants that the class is owed.
	credit float64
	// turn is the virtual time of the account that was served last.
	turn  float64
	turns map[string]float64
}

// rate is an exponentially weighted rate of events; its window is rateWindow if it is zero.
type rate struct {
	window time.Duration
	weight float64
	at     time.Time
}

func (r *rate) timeConstant() time.Duration { return cmp.Or(r.window, rateWindow) }

func (r *rate) add(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.weight * math.Exp(-float64(max(0, now.Sub(r.at)))/float64(r.timeConstant()))
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / r.timeConstant().Seconds() }

func (o *Order) class(priority int) *class {
	i, found := slices.BinarySearchFunc(o.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !found {
		o.classes = slices.Insert(o.classes, i, &class{priority: priority, turns: make(map[string]float64)})
	}
	return o.classes[i]
}

// Arrive records the arrival of a request, whether it waits or not.
func (o *Order) Arrive(now time.Time, priority int) {
	o.class(priority).arrivals.add(now)
	o.recent.window = recentWindow
	o.recent.add(now)
}

// RecentRate returns the arrivals per second of the last tenth of a second.
func (o *Order) RecentRate(now time.Time) float64 { return o.recent.perSecond(now) }

// Rate returns the arrivals per second at a priority and all higher ones.
func (o *Order) Rate(now time.Time, priority int) float64 {
	sum := 0.0
	for _, c := range o.classes {
		if c.priority <= priority {
			sum += c.arrivals.perSecond(now)
		}
	}
	return sum
}

// Add adds a request.
func (o *Order) Add(w *Waiter) {
	o.waiting = append(o.waiting, w)
	if w.late {
		o.late++
		return
	}
	c := o.class(w.Priority)
	c.waiting++
	// An account that did not wait has saved up no turns.
	if t, known := c.turns[w.Account]; !known || t < c.turn {
		c.turns[w.Account] = c.turn
	}
}

// Remove removes a request; it reports false if the request does not wait.
func (o *Order) Remove(w *Waiter) bool {
	i := slices.Index(o.waiting, w)
	if i < 0 {
		return false
	}
	last := len(o.waiting) - 1
	o.waiting[i], o.waiting[last] = o.waiting[last], nil
	o.waiting = o.waiting[:last]
	if w.late {
		o.late--
		return true
	}
	c := o.class(w.Priority)
	if c.waiting--; c.waiting == 0 {
		clear(c.turns)
		c.turn = 0
	}
	return true
}

// Len returns the number of waiting requests that may meet their objective, and of those
// that cannot.
func (o *Order) Len() (inTime, late int) { return len(o.waiting) - o.late, o.late }

// Next returns the next request among those that may be served; nil if there is none.
func (o *Order) Next(mayServe func(*Waiter) bool) *Waiter {
	var best *Waiter
	owed := o.owedClass()
	for _, w := range o.waiting {
		if (best == nil || o.before(w, best, owed)) && mayServe(w) {
			best = w
		}
	}
	return best
}

// owedClass returns the waiting class that is owed the most, at least one grant; nil if none
// is.
func (o *Order) owedClass() *class {
	var owed *class
	for _, c := range o.classes {
		if c.waiting > 0 && c.credit >= 1 && (owed == nil || c.credit > owed.credit) {
			owed = c
		}
	}
	return owed
}

func (o *Order) before(a, b *Waiter, owed *class) bool {
	if a.late != b.late {
		return b.late
	}
	if !a.late && a.Priority != b.Priority {
		if owed != nil && (a.Priority == owed.priority || b.Priority == owed.priority) {
			return a.Priority == owed.priority
		}
		return a.Priority < b.Priority
	}
	if !a.late && a.Account != b.Account {
		turns := o.class(a.Priority).turns
		if x, y := turns[a.Account], turns[b.Account]; x != y {
			return x < y
		}
	}
	return a.objectiveAt.Before(b.objectiveAt)
}

// Served records that a request was granted a place, whether it had waited or not.
func (o *Order) Served(now time.Time, w *Waiter) {
	total := 0.0
	for _, c := range o.classes {
		total += c.arrivals.decayed(now)
	}
	for _, c := range o.classes {
		if total > 0 {
			c.credit = min(maxCredit, c.credit+guaranteedShare*c.arrivals.decayed(now)/total)
		}
	}
	if w.late {
		return
	}
	c := o.class(w.Priority)
	c.credit = max(0, c.credit-1)
	if t, known := c.turns[w.Account]; known {
		c.turn = max(c.turn, t)
		c.turns[w.Account] = t + 1
	}
}

// Ahead returns the number of waiting requests that are served before a new one, and the
// rate, as a part of all grants, at which its priority is served. capacity is the number of
// grants per second.
func (o *Order) Ahead(now time.Time, w *Waiter, capacity float64) (ahead int, share float64) {
	var higher float64
	higherWaiting, all := 0, 0.0
	for _, c := range o.classes {
		r := c.arrivals.perSecond(now)
		all += r
		if c.priority < w.Priority {
			higher += r
			higherWaiting += c.waiting
		}
	}
	own, ownAccount := 0, 0
	others := make(map[string]int)
	for _, x := range o.waiting {
		switch {
		case x.late || x.Priority != w.Priority:
		case x.Account == w.Account:
			if !w.objectiveAt.Before(x.objectiveAt) {
				ownAccount++
			}
		default:
			others[x.Account]++
		}
	}
	own = ownAccount
	for _, n := range others {
		own += min(n, ownAccount+1)
	}
	c := o.class(w.Priority)
	guaranteed := 0.0
	if all > 0 {
		guaranteed = guaranteedShare * c.arrivals.perSecond(now) / all
	}
	if capacity <= 0 {
		return own + higherWaiting, guaranteed
	}
	// Requests of lower priorities that wait take what they are guaranteed.
	reserved := 0.0
	for _, l := range o.classes {
		if l.priority > w.Priority && l.waiting > 0 && all > 0 {
			reserved += guaranteedShare * l.arrivals.perSecond(now) / all
		}
	}
	remaining := max(0, 1-reserved-higher/capacity)
	// The higher priorities are served first, unless the guaranteed share is the faster way.
	if byPriority := float64(own+higherWaiting+1) / max(1e-9, remaining); byPriority <= float64(own+1)/max(1e-9, guaranteed) {
		return own + higherWaiting, remaining
	}
	return own, guaranteed
}
