package instances

import (
	"slices"
	"time"
)

// Availability is whether, and why not, requests may be sent to an upstream.
type Availability uint8

// The order is that of precedence: the first reason that applies is the upstream's availability.
const (
	// Elsewhere means that the upstream is of another region, whose nodes alone reach it.
	Elsewhere Availability = iota
	// Evacuated means that its failure domain is under evacuation.
	Evacuated
	// LeavingStated means that it said in an answer that it leaves, whatever its entry says.
	LeavingStated
	// LeavingRegistered means that its entry says so.
	LeavingRegistered
	// Silenced means that it asked for no requests for some time, or that the first request
	// after that time is not answered yet.
	Silenced
	// AddressReused means that another instance answered at its address.
	AddressReused
	// Suspect means that it failed more often than others. While most of its pool are suspect,
	// they get requests all the same.
	Suspect
	// Cold means that it gets requests at this node's share of its cold rate only.
	Cold
	// Limited means the same for the rate that it named as its limit.
	Limited
	// Available means that none of these reasons applies.
	Available
)

// String returns the name of the availability as it appears in the status.
func (a Availability) String() string {
	return [...]string{"elsewhere", "evacuated", "leaving, by its answers", "leaving, by its entry", "wants no requests", "address reused", "suspect", "cold", "limited", "available"}[a]
}

// exclusion returns the reason why an upstream gets no requests at all, and when that ends; zero if it is
// not known. Without such a reason it returns Available.
func (p *Pool) exclusion(now time.Time, u *upstream) (a Availability, until time.Time) {
	switch {
	case u.Place.Region != p.options.Self.Region:
		return Elsewhere, time.Time{}
	case u.evacuated:
		return Evacuated, time.Time{}
	case u.leavingStated:
		return LeavingStated, time.Time{}
	case u.Leaving:
		return LeavingRegistered, time.Time{}
	case u.silence.silent(now):
		return Silenced, u.silence.until
	case now.Before(u.misdirectedUntil):
		return AddressReused, u.misdirectedUntil
	}
	return Available, time.Time{}
}

// availability returns the upstream's availability, and when it ends; zero if that is not known.
func (p *Pool) availability(now time.Time, u *upstream) (a Availability, until time.Time) {
	if a, until := p.exclusion(now, u); a != Available {
		return a, until
	}
	switch {
	case p.isSuspect(now, u):
		return Suspect, u.suspectUntil
	case u.cold(now) && p.config.MaxColdRate > 0:
		return Cold, u.coldness.end()
	case u.limit.perSecond > 0:
		return Limited, time.Time{}
	}
	return Available, time.Time{}
}

// accepts reports whether an upstream accepts requests for a model, at whatever rate. Whether it is
// suspect does not matter; see listCandidates.
func (p *Pool) accepts(now time.Time, u *upstream, model string) bool {
	if a, _ := p.exclusion(now, u); a != Available {
		return false
	}
	return model == "" || len(u.Models) == 0 || slices.Contains(u.Models, model)
}

// usable reports whether a request may be sent to an upstream now.
func (p *Pool) usable(now time.Time, u *upstream, model string) bool {
	if !p.accepts(now, u, model) {
		return false
	}
	rate, bounded := p.ownRate(now, u)
	return !bounded || u.pace.Ready(now, rate)
}

// ownRate returns the number of requests per second that this node may send to an upstream
// whose rate is bounded, because it is cold or named a limit.
func (p *Pool) ownRate(now time.Time, u *upstream) (rate float64, bounded bool) {
	if u.cold(now) && p.config.MaxColdRate > 0 {
		rate, bounded = p.options.ColdShare(p.config.MaxColdRate), true
	}
	if u.limit.perSecond > 0 {
		limited := p.options.RateShare(u.ID, u.limit.perSecond)
		if !bounded || limited < rate {
			rate, bounded = limited, true
		}
	}
	return rate, bounded
}

func (p *Pool) isSuspect(now time.Time, u *upstream) bool {
	u.restoreIfHeard()
	return now.Before(u.suspectUntil) || p.config.Engine != nil && u.silent(now)
}

// Status is the availability of an upstream of the node's region.
type Status struct {
	Instance
	Availability Availability
	// Until is when the availability ends; zero if that is not known.
	Until    time.Time
	InFlight int
	// OthersInFlight is the estimated number of requests of other nodes.
	OthersInFlight int
}

// Statuses returns the statuses of the upstreams of the node's region.
func (c *Catalog) Statuses(now time.Time) []Status {
	var list []Status
	c.ForEach(func(p *Pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		meanOthers := p.meanOtherRequests(now)
		for _, u := range p.upstreams {
			if a, until := p.availability(now, u); a != Elsewhere {
				list = append(list, Status{Instance: u.Instance, Availability: a, Until: until, InFlight: u.inFlight, OthersInFlight: int(u.otherRequestsAt(now, meanOthers))})
			}
		}
	})
	return list
}
