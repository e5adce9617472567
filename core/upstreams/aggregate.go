package upstreams

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/routing"
)

// meanOutputTokens is the answer length that the expected wait assumes.
const meanOutputTokens = 300

// TargetAggregate is what other failure domains learn about one target here.
// Targets that share upstreams each count them whole.
type TargetAggregate struct {
	Target domain.Target
	// Upstreams, Slots and Free count what is live.
	Upstreams, Slots, Free int
	// Wait is the expected wait of a new request before its prefill.
	Wait time.Duration
	// CostPerMillionTokens is the mean by slots.
	CostPerMillionTokens float64
}

// Aggregate is a failure domain's load by target.
type Aggregate struct {
	Place   domain.Place
	Targets []TargetAggregate
}

// Aggregate sums the live upstreams up, ordered by target.
func (t *Tracker) Aggregate(now time.Time) Aggregate {
	sums := make(map[domain.Target]*sum)
	for _, u := range t.routing(now) {
		for _, target := range u.Targets {
			if sums[target] == nil {
				sums[target] = new(sum)
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

type sum struct {
	upstreams                  int
	slots, free                float64
	cost, queueTime, emptyWait float64
}

func (s *sum) add(u *routing.Upstream) {
	if u.State != domain.UpstreamLive {
		return
	}
	e := u.Estimate(meanOutputTokens)
	s.upstreams++
	s.slots += e.Slots
	s.cost += e.Slots * u.CostPerMillionTokens
	s.queueTime += e.Slots * e.Wait.Seconds()
	if e.Requests < e.Slots {
		s.free += e.Slots - e.Requests
		s.emptyWait += (e.Slots - e.Requests) * e.Wait.Seconds()
	}
}

func (s *sum) aggregate(target domain.Target) TargetAggregate {
	a := TargetAggregate{Target: target, Upstreams: s.upstreams, Slots: int(s.slots), Free: int(s.free)}
	if s.slots == 0 {
		return a
	}
	wait := s.queueTime / s.slots
	if s.free >= 1 {
		wait = s.emptyWait / s.free
	}
	a.Slots = max(a.Slots, 1)
	a.Wait = time.Duration(wait * float64(time.Second))
	a.CostPerMillionTokens = s.cost / s.slots
	return a
}
