package placement

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Candidate is an upstream of the own region as it stood when it was copied.
type Candidate struct {
	ID    domain.UpstreamID
	Place domain.Place
	Slots int
	// InFlight counts this node's requests at the upstream.
	InFlight int
	// Others estimates the requests of other nodes there.
	Others float64
	// PendingTokens are prompt tokens that this node sent and that the upstream
	// has not read yet, as far as is known.
	PendingTokens int
	// OthersPending estimates the same of other nodes.
	OthersPending float64
	// CachedTokens are those of the request's prompt that need no reading.
	CachedTokens int
	// Slowness is the upstream's response time relative to its peers; 1 is
	// normal.
	Slowness float64
	// Usable is false for upstreams that are leaving, suspect, evacuated or
	// cold without a permit.
	Usable bool
}

// Speeds are learnt figures of a service.
type Speeds struct {
	// PrefillRate is in prompt tokens per millisecond; zero for plain services.
	PrefillRate float64
	// Hold is how long a request occupies a slot on average.
	Hold time.Duration
	// First is the time to the first byte at an idle upstream, without reading
	// the prompt.
	First time.Duration
}

// load is the number of requests that the upstream is expected to hold.
func (c *Candidate) load() float64 { return float64(c.InFlight) + c.Others }

// delay estimates the time to the first byte of a request with that many tokens
// to read.
func (c *Candidate) delay(s Speeds, tokens int) time.Duration {
	d := s.First
	if s.PrefillRate > 0 {
		ahead := float64(c.PendingTokens) + c.OthersPending
		d += time.Duration((ahead + float64(tokens)) / s.PrefillRate * float64(time.Millisecond))
	}
	slots := max(1, c.Slots)
	if over := c.load() + 1 - float64(slots); over > 0 {
		d += time.Duration(over / float64(slots) * float64(s.Hold))
	}
	return time.Duration(float64(d) * max(1, c.Slowness))
}

// maxPendingForRoom is the unread prompt, in milliseconds of reading, from which
// an engine has no room for another region's requests.
const maxPendingForRoom = 200.0

// Room returns how many requests fit before one has to wait, and the expected
// time to the first byte of a request without a prompt.
func (c *Candidate) Room(s Speeds) (float64, time.Duration) {
	room := max(0, float64(c.Slots)-c.load())
	if s.PrefillRate > 0 {
		pending := (float64(c.PendingTokens) + c.OthersPending) / s.PrefillRate
		room *= max(0, 1-pending/maxPendingForRoom)
	}
	return room / max(1, c.Slowness), c.delay(s, 0)
}
