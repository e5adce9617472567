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
	// PendingTokens estimates the prompt tokens that the upstream has been sent
	// and has not read yet.
	PendingTokens float64
	// CachedTokens are those of the request's prompt that need no reading.
	CachedTokens int
	// Slowness is the upstream's response time relative to its peers; 1 is
	// normal.
	Slowness float64
	// SameDomain is set if the upstream stands in the node's failure domain.
	SameDomain bool
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
	// MaxPendingTokens is the backlog of unread prompts from which the streams
	// that the engine serves meanwhile pause for too long; zero means no bound.
	MaxPendingTokens float64
	// First is the time to the first byte at an idle upstream, without reading
	// the prompt.
	First time.Duration
}

// load is the number of requests that the upstream is expected to hold.
func (c *Candidate) load() float64 { return float64(c.InFlight) + c.Others }

// delay estimates the time to the first byte of a request with that many tokens
// to read, and the part of it that passes until a slot is free.
func (c *Candidate) delay(s Speeds, tokens int) (total, forSlot time.Duration) {
	d := s.First
	if s.PrefillRate > 0 {
		d += time.Duration((c.PendingTokens + float64(tokens)) / s.PrefillRate * float64(time.Millisecond))
	}
	slots := max(1, c.Slots)
	if over := c.load() + 1 - float64(slots); over > 0 {
		forSlot = time.Duration(over / float64(slots) * float64(s.Hold) * max(1, c.Slowness))
	}
	return time.Duration(float64(d)*max(1, c.Slowness)) + forSlot, forSlot
}

// minReadToWait is the prompt from which a request may have to wait: shorter
// ones hardly lengthen a backlog.
const minReadToWait = 2000 // tokens

// waitFor returns how long a request with that many tokens to read should wait
// so that the backlog stays within its bound. A prompt that exceeds the bound by
// itself waits until nothing is before it.
func (c *Candidate) waitFor(s Speeds, tokens int) time.Duration {
	if s.MaxPendingTokens <= 0 || tokens < minReadToWait {
		return 0
	}
	over := c.PendingTokens + min(float64(tokens), s.MaxPendingTokens) - s.MaxPendingTokens
	if over <= 0 {
		return 0
	}
	return time.Duration(over / s.PrefillRate * float64(time.Millisecond))
}

// maxPendingForRoom is the unread prompt, in milliseconds of reading, from which
// an engine has no room for another region's requests.
const maxPendingForRoom = 200.0

// Room returns how many requests fit before one has to wait, less than zero if
// some wait, and the expected time to the first byte of a request without a
// prompt.
func (c *Candidate) Room(s Speeds) (float64, time.Duration) {
	room := float64(c.Slots) - c.load()
	if s.PrefillRate > 0 && room > 0 {
		pending := c.PendingTokens / s.PrefillRate
		room *= max(0, 1-pending/maxPendingForRoom)
	}
	delay, _ := c.delay(s, 0)
	return room / max(1, c.Slowness), delay
}
