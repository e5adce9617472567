package instances

import "time"

// Load is a pool's word to other regions.
type Load struct {
	Service string
	// Usable is the number of instances that take requests.
	Usable int
	// Free is the number of requests that fit before any has to wait, less than
	// zero if some wait.
	Free float64
	// Delay is the expected time to the first byte at the best instance.
	Delay time.Duration
	// Hold is how long a request takes up its place.
	Hold time.Duration
}

// Load returns what other regions need to know of the pool.
func (p *Pool) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := Load{Service: p.service, Hold: p.hold}
	speeds, usual := p.speeds(), p.usualOthers(now)
	for _, u := range p.upstreams {
		if !p.usable(now, u, "") || p.suspected(now, u) || u.cold(now) {
			continue
		}
		c := p.candidate(now, u, "", usual)
		room, delay := c.Room(speeds)
		if l.Usable == 0 || delay < l.Delay {
			l.Delay = delay
		}
		l.Usable++
		l.Free += room
	}
	return l
}
