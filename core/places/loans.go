package places

import (
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Lent is a number of permits for an upstream that are lent to another region.
type Lent struct {
	Upstream
	Permits int
}

// Wanted returns the number of permits of other regions that this one needs, those in use
// included; trip is the round trip to them.
func (b *Broker) Wanted(now time.Time, trip time.Duration) int {
	capacity := b.capacity()
	excess := max(b.order.Rate(now, math.MaxInt), b.order.RecentRate(now)) - usualLoad*capacity
	inTime, _ := b.order.Len()
	backlog := float64(inTime) - capacity*trip.Seconds()
	if excess <= 0 && backlog <= 0 {
		return 0
	}
	wanted := loanMargin*max(0, excess)*(trip+b.hold).Seconds() + max(0, backlog)
	most := 0
	for _, u := range b.upstreams {
		if !u.borrowed() {
			most += maxPermitsPerPlace * u.Slots
		}
	}
	return min(most, int(math.Ceil(wanted)))
}

// Lend lends permits to another region for the returned time; they replace those lent before. trip is
// the round trip to the region. As many are lent as keep the free places busy, those in transit
// included.
func (b *Broker) Lend(now time.Time, to domain.Region, wanted int, trip time.Duration) ([]Lent, time.Duration) {
	before := 0
	b.endLoans(func(l *loan) bool {
		if l.to == to {
			before = l.permits
		}
		return l.to == to
	})
	var lenders []*upstream
	free := 0.0
	for _, u := range b.upstreams {
		if !u.borrowed() && u.listed {
			if u.Brittle { // borrowers have more permits than places
				return nil, lendFor
			}
			lenders = append(lenders, u)
			free += min(float64(u.Slots), u.limit) - u.lent
		}
	}
	inTime, _ := b.order.Len()
	free -= float64(inTime) + b.order.Rate(now, math.MaxInt)*b.work.Seconds()
	if wanted <= 0 || len(lenders) == 0 {
		return nil, lendFor
	}
	perPlace := min(maxPermitsPerPlace, loanMargin*(1+float64(trip)/float64(max(time.Millisecond, b.work))))
	// A loan shrinks in steps: the demand of a moment is noisy, and the upstreams' own queues
	// hold what arrives until the next renewal.
	total := min(wanted, max(int(free*perPlace), int(minLoanKept*float64(before))))
	if total <= 0 {
		return nil, lendFor
	}
	l := loan{to: to, permits: total, until: now.Add(lendFor + trip)}
	var list []Lent
	for i, u := range lenders {
		n := total / len(lenders)
		if i < total%len(lenders) {
			n++
		}
		if n > 0 {
			list = append(list, Lent{Upstream: u.Upstream, Permits: n})
			l.lenders, l.places = append(l.lenders, u), append(l.places, float64(n)/perPlace)
		}
	}
	b.loans = append(b.loans, l)
	b.sumLoans()
	return list, lendFor
}

// endLoans ends the loans for which over is true.
func (b *Broker) endLoans(over func(*loan) bool) {
	before := len(b.loans)
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return over(&l) })
	if len(b.loans) != before {
		b.sumLoans()
	}
}

func (b *Broker) sumLoans() {
	for _, u := range b.upstreams {
		u.lent = 0
	}
	for _, l := range b.loans {
		for i, u := range l.lenders {
			u.lent += l.places[i]
		}
	}
}

// Borrow records what another region lends from now on.
func (b *Broker) Borrow(now time.Time, from domain.Region, lent []Lent, trip, validFor time.Duration) {
	for _, u := range b.upstreams {
		if u.borrowed() && u.Place.Region == from {
			u.limit = 0
		}
	}
	for _, l := range lent {
		i := slices.IndexFunc(b.upstreams, func(u *upstream) bool { return u.borrowed() && u.ID == l.ID })
		if i < 0 {
			b.upstreams = append(b.upstreams, &upstream{})
			i = len(b.upstreams) - 1
		}
		u := b.upstreams[i]
		u.Upstream, u.limit, u.until, u.trip = l.Upstream, float64(l.Permits), now.Add(validFor), trip
	}
	b.dispatch(now)
}

// Borrowed returns the permits of other regions and how many of them are in use.
func (b *Broker) Borrowed(now time.Time) (permits, used int) {
	for _, u := range b.upstreams {
		if u.borrowed() {
			used += u.outstanding
			if now.Before(u.until) {
				permits += int(u.limit)
			}
		}
	}
	return permits, used
}
