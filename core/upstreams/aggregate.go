package upstreams

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routing"
)

// meanOutputTokens is the number of output tokens that the expected wait assumes.
const meanOutputTokens = 300

// TargetAggregate is the load of one target that is reported to other failure
// domains. An upstream that serves several targets is fully counted in each.
type TargetAggregate struct {
	Target domain.Target
	// Upstreams, Slots and Free are the numbers of live upstreams, their slots and
	// their free slots.
	Upstreams, Slots, Free int
	// Wait is the expected delay before the prefill of a new request.
	Wait time.Duration
	// CostPerMillionTokens is the mean weighted by slots.
	CostPerMillionTokens float64
}

// Aggregate is the load of a failure domain by target.
type Aggregate struct {
	Place   domain.Place
	Targets []TargetAggregate
}

// Aggregate sums the load of the live upstreams by target, ordered by target.
func (t *Tracker) Aggregate(now time.Time) Aggregate {
	sums := make(map[domain.Target]*targetSum)
	for _, u := range t.routing(now) {
		for _, target := range u.Targets {
			if sums[target] == nil {
				sums[target] = new(targetSum)
			}
			sums[target].add(&u)
		}
	}
	a := Aggregate{Place: t.options.Place}
	for target, s := range sums {
		a.Targets = append(a.Targets, s.aggregate(target))
	}
	slices.SortFunc(a.Targets, func(x, y TargetAggregate) int {
		return cmp.Or(cmp.Compare(x.Target.Kind, y.Target.Kind), cmp.Compare(x.Target.Name, y.Target.Name))
	})
	return a
}

// targetSum accumulates the load of the live upstreams of one target. cost and the
// waits, in seconds, are weighted by slots; freeSlotWait counts free slots only.
type targetSum struct {
	upstreams                    int
	slots, free                  float64
	cost, slotWait, freeSlotWait float64
}

func (s *targetSum) add(u *routing.Upstream) {
	if u.State != domain.UpstreamLive {
		return
	}
	e := u.Estimate(meanOutputTokens)
	s.upstreams++
	s.slots += e.Slots
	s.cost += e.Slots * u.CostPerMillionTokens
	s.slotWait += e.Slots * e.Wait.Seconds()
	if e.Requests < e.Slots {
		s.free += e.Slots - e.Requests
		s.freeSlotWait += (e.Slots - e.Requests) * e.Wait.Seconds()
	}
}

func (s *targetSum) aggregate(target domain.Target) TargetAggregate {
	a := TargetAggregate{Target: target, Upstreams: s.upstreams, Slots: int(s.slots), Free: int(s.free)}
	if s.slots == 0 {
		return a
	}
	wait := s.slotWait / s.slots
	if s.free >= 1 {
		wait = s.freeSlotWait / s.free
	}
	a.Slots = max(a.Slots, 1)
	a.Wait = time.Duration(wait * float64(time.Second))
	a.CostPerMillionTokens = s.cost / s.slots
	return a
}
