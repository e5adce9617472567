package instances

import (
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// Query describes a request to be placed on an upstream.
type Query struct {
	placement.Request
	// Model is the model that the engine must have loaded; empty for services
	// without an engine.
	Model string
	// Software restricts the placement to upstreams whose software has this version; empty means no restriction.
	Software string
	// LocalAllowed is false if the request must not run in the local region.
	LocalAllowed bool
	// PacedOnly restricts the placement to upstreams whose rate of requests is bounded.
	PacedOnly bool
	// OtherRegions lists the other regions in which the request may run.
	OtherRegions []placement.RegionLoad
}

// Ticket is a reserved slot at an upstream. Its owner calls FirstByte on the first
// byte of the answer, Progress on later bytes, and Done exactly once.
type Ticket struct {
	Instance
	// Expected is the expected delay until the first byte.
	Expected time.Duration
	// Cold is set if the upstream was cold when the slot was reserved.
	Cold bool

	// BeyondShare is set if the request needs a connection beyond those that this node may keep
	// open. It must be closed after the answer: many nodes have a place at an upstream in turn, and
	// their idle connections together could exceed what it accepts.
	BeyondShare bool

	// SentAt is when the slot was reserved.
	SentAt time.Time

	pool     *Pool
	upstream *upstream
	// queued is set if the request was expected to queue for a slot.
	queued        bool
	tokens        int
	prompt        uint64
	shared        bool
	priority      int
	answerStarted bool
	// connectedAt is when the connection of the request was established, or got if that is not known.
	connectedAt time.Time
	// firstByteAt is when the first byte arrived.
	firstByteAt time.Time
	backlogMark float64
	// pendingBefore is the backlog of the upstream, in tokens, before the request.
	pendingBefore float64
	// endsSilence is set if the request is the first one after a time in which the upstream wanted
	// none.
	endsSilence bool
	// sharedCached is set if the upstream was expected to have all shared parts of the
	// prompt cached, or if there are none.
	sharedCached bool
	// expectedSlowdown is the slowdown of the upstream that was expected when the slot was
	// reserved, slowdown the one that the answer stated, if it did.
	expectedSlowdown, slowdown float64
	// reserved is set if reservation counts: the engine's memory that the request takes.
	// outputTokens is its most output.
	reserved bool
	// preemptible is set if more urgent requests may preempt this one. The time of its answer does
	// not tell the engine's speed.
	preemptible  bool
	reservation  reservation
	outputTokens int
}

// Place selects where a request runs and reserves a slot if that is in the local
// region. The ticket is nil otherwise.
func (p *Pool) Place(now time.Time, policy placement.Policy, q *Query) (placement.Decision, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tickedAt.IsZero() {
		p.tick(now)
	}
	key, sharedTokens, shared := q.SharedPrompt()
	var candidates []placement.Candidate
	if q.LocalAllowed {
		candidates = p.listCandidates(now, q)
	}
	if p.tracksMemory() {
		p.markHeld(now, q, candidates)
	}
	if shared {
		p.markCached(now, q, candidates, key, sharedTokens)
	}
	d := policy.Choose(&q.Request, p.performance(), candidates, q.OtherRegions)
	if d.Choice != placement.Local {
		if d.Choice == placement.Refuse && q.LocalAllowed && d.Usable == 0 {
			d.Silence = p.shortestSilence(now)
			d.Delay = p.delayWithoutRoom(now, &d)
		}
		return d, nil
	}
	u := p.upstreams[d.Index]
	t := &Ticket{Instance: u.Instance, connectedAt: now, Expected: d.Delay, Cold: u.cold(now), pool: p, upstream: u,
		SentAt: now, queued: d.SlotWait > 0, tokens: d.Tokens, prompt: key, shared: shared,
		sharedCached: !shared || d.Tokens+sharedTokens <= q.PromptTokens, priority: clampPriority(q.Priority)}
	p.urgency.record(q.Priority, q.OutputTokens)
	t.expectedSlowdown = u.slowdown.at(now)
	t.slowdown = t.expectedSlowdown
	if p.tracksMemory() {
		p.preemption.record(q.Urgent, d.Tokens)
		t.preemptible = !q.Urgent && p.preemption.mixed()
		t.reserved, t.reservation, t.outputTokens = true, newReservation(&q.Request), q.OutputTokens
		t.reservation.duration = p.sizes.duration(t.Expected, t.outputTokens)
	}
	p.reserve(now, t)
	return d, t
}

func (q *Query) allowsSoftware(u *upstream) bool { return q.Software == "" || u.Software == q.Software }

// HasSoftware reports whether a region has an upstream with a version of the software that may get requests.
func (p *Pool) HasSoftware(region domain.Region, software string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool {
		return u.Place.Region == region && u.Software == software && !u.Leaving && !u.leavingStated && !u.evacuated
	})
}

// shortestSilence returns the remaining time until the first upstream of the region wants requests
// again; zero if there is one that does not want to be left alone.
func (p *Pool) shortestSilence(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, u := range p.upstreams {
		switch a, until := p.availability(now, u); {
		case a > Silenced:
			return 0
		case a == Silenced && (shortest == 0 || until.Sub(now) < shortest):
			shortest = max(time.Millisecond, until.Sub(now))
		}
	}
	return shortest
}

func (p *Pool) reserve(now time.Time, t *Ticket) {
	u := t.upstream
	if rate, bounded := p.ownRate(now, u); bounded {
		u.pace.Record(now, rate)
	}
	t.endsSilence = u.silence.send()
	if u.inFlight == 0 {
		u.lastByteAt = now
	}
	u.inFlight++
	u.inFlightByPriority[t.priority]++
	rate := p.prefillRateAt(now, u)
	t.pendingBefore = u.backlog.estimate(now, rate)
	t.backlogMark = u.backlog.add(now, rate, t.tokens)
	if t.shared && !t.reserved {
		p.prompts.record(now, t.prompt, u.ID)
	}
	if t.reserved {
		u.reserved.add(t.reservation)
	}
	told := p.sendNotice(now, t)
	if !t.reserved {
		return
	}
	p.sizes.record(t.reservation.private, told)
	if told {
		p.sizes.recordLarge(t.reservation.all())
		p.recordParts(now, u, t.reservation.parts)
	} else {
		p.updateVolume(now, u, t.reservation.private)
	}
}

// listCandidates returns a candidate for each upstream, at the same index; those of other
// regions are not usable. Suspect
// upstreams are excluded only while at least half of the usable ones are not
// suspect.
func (p *Pool) listCandidates(now time.Time, q *Query) []placement.Candidate {
	p.candidates = slices.Grow(p.candidates[:0], len(p.upstreams))[:len(p.upstreams)]
	healthy, usable := 0, 0
	connections, meanOthers := p.connections(), p.meanOtherRequests(now)
	need, tracksMemory := newReservation(&q.Request), p.tracksMemory()
	for i, u := range p.upstreams {
		u.index = i
		c := &p.candidates[i]
		if u.Place.Region != p.options.Self.Region {
			*c = placement.Candidate{}
			continue
		}
		p.fillCandidate(now, c, u, q.Model, meanOthers)
		if p.config.Engine != nil {
			c.LessUrgent = u.lessUrgent(q.Priority) + c.OthersInFlight*(1-p.urgency.shareUpTo(q.Priority))
		}
		c.Usable = c.Usable && q.allowsSoftware(u) && u.inFlight < connections && (!q.PacedOnly || p.paced(now, u)) && p.hasRoom(now, u)
		if tracksMemory {
			p.setMemory(now, c, u, need)
		}
		if c.Usable {
			usable++
			if !p.isSuspect(now, u) {
				healthy++
			}
		}
	}
	if 2*healthy >= usable {
		for i, u := range p.upstreams {
			p.candidates[i].Usable = p.candidates[i].Usable && !p.isSuspect(now, u)
		}
	}
	return p.candidates
}

// connections returns the maximum number of connections from this node to one
// upstream. Each request uses one connection.
func (p *Pool) connections() int {
	if p.config.MaxConnections <= 0 {
		return math.MaxInt
	}
	return p.options.ConnectionShare(p.config.MaxConnections)
}

// fillCandidate sets a candidate to the state of an upstream.
func (p *Pool) fillCandidate(now time.Time, c *placement.Candidate, u *upstream, model string, meanOthers float64) {
	slowdown := u.slowdown.at(now)
	*c = placement.Candidate{
		ID: u.ID, Place: u.Place, Slots: u.Slots, InFlight: u.inFlight,
		OthersInFlight: u.otherRequestsAt(now, meanOthers),
		PendingTokens:  u.backlog.estimate(now, p.prefillRate.tokensPerMS/slowdown),
		Slowdown:       slowdown,
		LatencyRatio:   p.relativeLatency(now, u),
		SameDomain:     u.Place == p.options.Self,
		Usable:         p.usable(now, u, model),
	}
	if slowdown != 1 {
		c.MaxPendingTokens = maxPendingTokens(p.config.Engine, p.maxEventGap, p.prefillRate.tokensPerMS, slowdown)
	}
}

// markCached sets the cached tokens of the candidates and regions that are expected
// to have a shared prompt cached: upstreams to which nodes of the region sent it,
// and the upstream that all nodes prefer for it, in any region. With one preferred
// upstream for the whole fleet the others need not prefill the prompt, which would
// take longer than the round trip to another region.
func (p *Pool) markCached(now time.Time, q *Query, candidates []placement.Candidate, key uint64, sharedTokens int) {
	preferred, best, tracksMemory := -1, uint64(0), p.tracksMemory()
	for i, u := range p.upstreams {
		if s := placement.WeightOfHash(key, u.idHash); s >= best && p.mayHavePrompt(u, q, candidates, i) {
			preferred, best = i, s
		}
		if candidates != nil && !tracksMemory && p.prompts.mayBeCached(now, key, u.ID) {
			candidates[i].CachedTokens = sharedTokens
		}
	}
	if preferred < 0 {
		return
	}
	place := p.upstreams[preferred].Place
	if place.Region == p.options.Self.Region {
		if c := &candidates[preferred]; tracksMemory {
			c.PreferredTokens = max(0, min(sharedTokens, q.PromptTokens)-c.CachedTokens)
		} else {
			c.CachedTokens = sharedTokens
		}
		return
	}
	for i := range q.OtherRegions {
		if q.OtherRegions[i].Region == place.Region {
			q.OtherRegions[i].CachedTokens, q.OtherRegions[i].Domain = sharedTokens, place.FailureDomain
		}
	}
}

// mayHavePrompt reports whether the request could be sent to an upstream for its
// cached prompt.
func (p *Pool) mayHavePrompt(u *upstream, q *Query, candidates []placement.Candidate, i int) bool {
	if u.Place.Region == p.options.Self.Region {
		return candidates != nil && candidates[i].Usable
	}
	if u.Leaving || u.evacuated || u.leavingStated {
		return false
	}
	return slices.ContainsFunc(q.OtherRegions, func(o placement.RegionLoad) bool { return o.Region == u.Place.Region })
}

// FirstByte records the arrival of an answer's header and the load that the upstream
// reports in it. worked is false for refusals, whose latency does not indicate the
// upstream's speed.
func (t *Ticket) FirstByte(now time.Time, r ReportedLoad, worked bool) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Slowdown > 0 {
		expected := t.upstream.slowdown.at(now)
		p.recordSlowdown(t.upstream, r.Slowdown, now)
		t.slowdown = t.upstream.slowdown.ratio
		p.tellSlowdown(t.upstream, expected)
	}
	if worked {
		p.measurePrefill(t, now.Sub(t.SentAt))
		p.measureIdleTTFB(t, now.Sub(t.SentAt))
	}
	t.recordFirstByte(now)
	if r.Slots > 0 {
		t.upstream.updateLoad(now, r)
	}
	if worked && !(t.reserved && (t.preemptible || t.queued)) {
		p.updateLatencyRatio(t, now)
	}
}

func (t *Ticket) recordFirstByte(now time.Time) {
	t.upstream.lastByteAt = now
	if t.answerStarted {
		return
	}
	t.answerStarted, t.firstByteAt = true, now
	t.upstream.backlog.markPrefilled(now, t.pool.prefillRateAt(now, t.upstream), t.backlogMark)
}

// Progress records the arrival of further bytes of the answer.
func (t *Ticket) Progress(now time.Time) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.upstream.lastByteAt = now
	t.pool.recordAnswer(now, t.record(), t.connectedAt)
}

// ReceivedWithin reports whether the upstream sent any byte to this node within the
// last d, on any connection.
func (t *Ticket) ReceivedWithin(now time.Time, d time.Duration) bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return now.Sub(t.upstream.lastByteAt) <= d
}

// Done releases the slot and records the outcome of the request.
func (t *Ticket) Done(now time.Time, o Outcome) {
	p, u := t.pool, t.upstream
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.answerStarted {
		lastByteAt := u.lastByteAt
		t.recordFirstByte(now)
		u.lastByteAt = lastByteAt
	}
	u.inFlight--
	u.inFlightByPriority[t.priority]--
	if t.reserved {
		u.reserved.release(t.reservation)
	}
	if t.endsSilence {
		u.silence.answered(now, o != Shed)
	}
	if o == Answered {
		p.updateMeanSlotTime(t, now)
		p.sizes.recordDuration(t.outputTokens, t.atUsualSpeed(now.Sub(t.firstByteAt)))
	}
	p.recordRoom(now, t.SentAt, u, o)
	p.recordOutcome(now, u, o, failureGain)
}

// Registered reports whether the upstream is still registered and accepts requests; one
// that is leaving closes its connections on purpose.
func (t *Ticket) Registered() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	u := t.pool.find(t.ID)
	return u == t.upstream && !u.Leaving && !u.leavingStated
}

// LeavesAsPlanned reports whether the process is known to stop as planned: it said so, or its entry was removed.
func (t *Ticket) LeavesAsPlanned() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	u := t.pool.find(t.ID)
	return u == nil || u == t.upstream && (u.Leaving || u.leavingStated)
}

// AnswerStarted reports whether the first byte of the answer has arrived.
func (t *Ticket) AnswerStarted() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.answerStarted
}
