package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// maxTokens bounds the tokens that a caller may state, so that sums do not overflow.
	maxTokens = 1 << 30
	// minOutputForTokenTime is the output from which the time per token is measured: the end of a shorter
	// one is dominated by the network.
	minOutputForTokenTime = 8
	// tokenTimeGain is the weight of one answer in the mean time per token.
	tokenTimeGain = 0.1
	// largeShare is the share of the told requests whose size is at most requestSizes.large,
	// largeStep the step by which one request changes it.
	largeShare, largeStep = 0.95, 0.1
	// similarToLarge is the fraction of that size from which a request leaves as much memory as
	// a large one needs, so that large ones are refused no more often.
	similarToLarge = 0.25
	// remoteMargin prolongs the reservations of other nodes' requests, whose end is not heard of: too
	// short a reservation leads to preemptions, too long a one only to another choice.
	remoteMargin = 1.25
	// maxReservation bounds the time for which a notice reserves memory: that of a request whose
	// end is not heard of.
	maxReservation = 30 * time.Second
	// maxRemoteReservations is the maximum number of other nodes' reservations at an engine; more
	// count by their number only.
	maxRemoteReservations = 256
)

// tracksMemory reports whether the memory of the pool's engines is known and tracked.
func (p *Pool) tracksMemory() bool {
	return p.config.Engine != nil && p.config.Engine.CacheTokens > 0 && (!p.options.MemoryOnDemand || p.accounts || p.speedsStated)
}

// reservation is the memory that a request takes at an engine until its end.
type reservation struct {
	// private is the number of tokens of its own: the unshared prompt and the most output.
	private int
	// parts are the tracked parts of the prompt, all but the last of which other requests may
	// hold too.
	parts []placement.Part
	// duration is the expected time for which the request takes it.
	duration time.Duration
	// until is when the reservation of another node's request ends.
	until time.Time
}

// shared returns the parts that other requests may hold too.
func (r *reservation) shared() []placement.Part { return r.parts[:max(0, len(r.parts)-1)] }

// releaseRate returns the private tokens that the request releases per millisecond, on average over its
// duration.
func (r *reservation) releaseRate() float64 {
	return float64(r.private) / max(1, float64(r.duration)/float64(time.Millisecond))
}

// reservedMemory is the memory that the requests at an engine take. A shared part is held once, however many
// requests use it.
type reservedMemory struct {
	private int
	shared  int
	pins    map[uint64]pin
	// releaseRate is the sum of the requests' release rates.
	releaseRate float64
	// remote are the reservations of other nodes' requests that this node was told of, nextEnd is
	// the first end of one.
	remote  []reservation
	nextEnd time.Time
}

type pin struct{ requests, tokens int }

func (m *reservedMemory) add(r reservation) {
	m.private += r.private
	m.releaseRate += r.releaseRate()
	for _, part := range r.shared() {
		if m.pins == nil {
			m.pins = make(map[uint64]pin)
		}
		p := m.pins[part.ID]
		if p.requests == 0 {
			p.tokens = part.Tokens
			m.shared += part.Tokens
		}
		p.requests++
		m.pins[part.ID] = p
	}
}

func (m *reservedMemory) release(r reservation) {
	m.private -= r.private
	m.releaseRate -= r.releaseRate()
	for _, part := range r.shared() {
		p := m.pins[part.ID]
		p.requests--
		if p.requests > 0 {
			m.pins[part.ID] = p
			continue
		}
		m.shared -= p.tokens
		delete(m.pins, part.ID)
	}
}

// addRemote adds the reservation of another node's request.
func (m *reservedMemory) addRemote(now time.Time, r reservation) {
	m.expire(now)
	if len(m.remote) >= maxRemoteReservations {
		return
	}
	if len(m.remote) == 0 || r.until.Before(m.nextEnd) {
		m.nextEnd = r.until
	}
	m.remote = append(m.remote, r)
	m.add(r)
}

// expire releases the reservations of other nodes' requests that have ended.
func (m *reservedMemory) expire(now time.Time) {
	if len(m.remote) == 0 || now.Before(m.nextEnd) {
		return
	}
	kept := m.remote[:0]
	m.nextEnd = time.Time{}
	for _, r := range m.remote {
		if !now.Before(r.until) {
			m.release(r)
			continue
		}
		if m.nextEnd.IsZero() || r.until.Before(m.nextEnd) {
			m.nextEnd = r.until
		}
		kept = append(kept, r)
	}
	clear(m.remote[len(kept):])
	m.remote = kept
}

// held returns the tokens of the shared parts that running requests hold already.
func (m *reservedMemory) held(shared []placement.Part) int {
	tokens := 0
	for _, part := range shared {
		if m.pins[part.ID].requests == 0 {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// requestSizes are the sizes and durations that a pool's requests show.
type requestSizes struct {
	// untold is the mean reservation of the requests that other nodes are not told of.
	untold float64
	// private is the mean number of private tokens of all requests.
	private float64
	// large is the size that one in twenty of the told requests exceeds, with their shared parts.
	large float64
	// tokenTime is the mean time of one token of the most output that a request may have.
	tokenTime time.Duration
}

func (s *requestSizes) record(tokens int, told bool) {
	s.private += poolGain * (float64(tokens) - s.private)
	if !told {
		s.untold += poolGain * (float64(tokens) - s.untold)
	}
}

// recordLarge records the size of a request that nodes tell each other of.
func (s *requestSizes) recordLarge(tokens int) {
	if float64(tokens) > s.large {
		s.large += largeStep * largeShare * float64(tokens)
	} else {
		s.large -= largeStep * (1 - largeShare) * s.large
	}
}

// recordDuration records the time from the first byte to the end of an answer.
func (s *requestSizes) recordDuration(output int, took time.Duration) {
	if output >= minOutputForTokenTime {
		s.tokenTime += time.Duration(tokenTimeGain * float64(took/time.Duration(output)-s.tokenTime))
	}
}

// duration returns the expected time until the end of a request.
func (s *requestSizes) duration(delay time.Duration, output int) time.Duration {
	return min(maxReservation, delay+time.Duration(output)*s.tokenTime)
}

// all returns the tokens of a request that shares nothing with others.
func (r *reservation) all() int {
	tokens := r.private
	for _, part := range r.shared() {
		tokens += part.Tokens
	}
	return tokens
}

// maxTrackedParts is the maximum number of parts of a prompt that are tracked; further ones count as a
// part of the last one. Callers' prompts have two to five.
const maxTrackedParts = 9

// trackedParts returns the tracked parts of a prompt.
func trackedParts(prompt []placement.Part) []placement.Part {
	return prompt[:min(maxTrackedParts, len(prompt))]
}

// newReservation returns the reservation of a request. Its parts are those of the request, which are
// not modified. They are ignored if they have more tokens than the prompt: callers state both.
func newReservation(r *placement.Request) reservation {
	prompt := min(maxTokens, r.PromptTokens)
	res := reservation{parts: trackedParts(r.Prompt), private: prompt + min(maxTokens, r.OutputTokens)}
	left := prompt
	for _, part := range res.parts {
		if part.Tokens < 0 || part.Tokens > prompt {
			return reservation{private: res.private}
		}
	}
	for _, part := range res.shared() {
		left -= part.Tokens
	}
	if left < 0 {
		return reservation{private: res.private}
	}
	res.private -= prompt - left
	return res
}

// setMemory sets what the candidate's engine has reserved and what the request needs there.
func (p *Pool) setMemory(now time.Time, c *placement.Candidate, u *upstream, need reservation) {
	c.MemoryTokens = float64(p.config.Engine.CacheTokens)
	u.reserved.expire(now)
	untold := max(0, c.OthersInFlight-float64(len(u.reserved.remote))) * p.sizes.untold
	c.ReservedTokens = float64(u.reserved.private+u.reserved.shared) + untold
	c.ReleaseRate = max(0, u.reserved.releaseRate) + untold/max(1, float64(p.meanSlotTime)/float64(time.Millisecond))
	c.NeedTokens = float64(need.all())
	if c.ReservedTokens+c.NeedTokens > c.MemoryTokens {
		c.NeedTokens -= float64(u.reserved.held(need.shared()))
	}
	c.SpareTokens = 0
	if large := min(p.sizes.large, c.MemoryTokens/2); c.NeedTokens >= similarToLarge*large {
		c.SpareTokens = max(0, large-c.NeedTokens)
	}
}

// preemption is what a pool shows of requests of different urgency. A more urgent request that arrives
// at a full engine preempts a running one, whose prompt is read again and whose stream pauses.
type preemption struct {
	// lessUrgent is the fraction of requests that others may preempt.
	lessUrgent float64
	// tokens is the mean number of prompt tokens that those prefill.
	tokens float64
}

// minUrgencyShare is the fraction of requests of either urgency from which preemptions count.
const minUrgencyShare = 0.01

// record records a request that is sent to an engine.
func (x *preemption) record(urgent bool, tokens int) {
	if urgent {
		x.lessUrgent -= poolGain * x.lessUrgent
		return
	}
	x.lessUrgent += poolGain * (1 - x.lessUrgent)
	x.tokens += poolGain * (float64(tokens) - x.tokens)
}

// mixed reports whether requests of different urgency share the engines.
func (x *preemption) mixed() bool {
	return x.lessUrgent >= minUrgencyShare && x.lessUrgent <= 1-minUrgencyShare
}

// cost returns the expected loss of a request that is preempted: its prompt is read again, after it has
// waited for the next free slot.
func (x *preemption) cost(rate float64, slotTime time.Duration, slots int) time.Duration {
	if !x.mixed() {
		return 0
	}
	return time.Duration(x.tokens/rate*float64(time.Millisecond)) + slotTime/time.Duration(max(1, slots))
}
