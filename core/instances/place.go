package instances

import (
	"math"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/placement"
)

// Query is a request that looks for a place.
type Query struct {
	placement.Request
	// Model that the engine must have loaded; empty for plain services.
	Model string
	// LocalAllowed is false if the request must not run in the own region.
	LocalAllowed bool
	// Others are the other regions that the request may run in.
	Others []placement.RegionLoad
}

// Ticket is a place taken at an upstream. Its holder calls FirstByte at the
// first byte of the answer, Progress at later ones, and Done once.
type Ticket struct {
	Instance
	// Expected is the delay that was expected to the first byte.
	Expected time.Duration
	// Cold is set if the upstream was cold.
	Cold bool

	pool   *Pool
	up     *upstream
	sentAt time.Time
	// queued is set if the request was expected to wait for a slot.
	queued bool
	tokens int
	prompt uint64
	shared bool
	begun  bool
	// begunAt is when the first byte arrived.
	begunAt time.Time
	mark    float64
}

// Place decides where a request goes and takes the place if it is local.
func (p *Pool) Place(now time.Time, policy placement.Policy, q *Query) (placement.Decision, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, sharedTokens, shared := q.SharedPrompt()
	var candidates []placement.Candidate
	if q.LocalAllowed {
		candidates = p.copyCandidates(now, q)
	}
	if shared {
		p.markCached(now, q, candidates, key, sharedTokens)
	}
	d := policy.Choose(&q.Request, p.speeds(), candidates, q.Others)
	if d.Choice != placement.Local {
		return d, nil
	}
	u := p.upstreams[d.Index]
	t := &Ticket{Instance: u.Instance, Expected: d.Delay, Cold: u.cold(now), pool: p, up: u,
		sentAt: now, queued: d.ForSlot > 0, tokens: d.Tokens, prompt: key, shared: shared}
	p.take(now, t)
	return d, t
}

func (p *Pool) take(now time.Time, t *Ticket) {
	u := t.up
	if t.Cold && p.config.ColdRate > 0 {
		u.pace.Spend(now, p.options.ColdShare(u.ID, p.config.ColdRate))
	}
	if u.inFlight == 0 {
		u.heardAt = now
	}
	u.inFlight++
	t.mark = u.backlog.add(now, p.options.PrefillRate, t.tokens)
	if t.shared {
		p.prompts.read(now, t.prompt, u.ID)
	}
	p.announce(t)
}

// copyCandidates returns a candidate for each upstream, at the same index.
// Suspect upstreams are usable only if fewer than half of the others are.
func (p *Pool) copyCandidates(now time.Time, q *Query) []placement.Candidate {
	p.candidates = p.candidates[:0]
	sound, usable := 0, 0
	connections, usual := p.connections(), p.usualOthers(now)
	for _, u := range p.upstreams {
		c := p.candidate(now, u, q.Model, usual)
		c.Usable = c.Usable && u.inFlight < connections
		if c.Usable {
			usable++
			if !p.suspected(now, u) {
				sound++
			}
		}
		p.candidates = append(p.candidates, c)
	}
	if 2*sound >= usable {
		for i, u := range p.upstreams {
			p.candidates[i].Usable = p.candidates[i].Usable && !p.suspected(now, u)
		}
	}
	return p.candidates
}

// connections is how many this node may have to one upstream; each request takes
// one.
func (p *Pool) connections() int {
	if p.config.MaxConnections <= 0 {
		return math.MaxInt
	}
	return p.options.ConnectionShare(p.config.MaxConnections)
}

func (p *Pool) candidate(now time.Time, u *upstream, model string, usual float64) placement.Candidate {
	return placement.Candidate{
		ID: u.ID, Place: u.Place, Slots: u.Slots, InFlight: u.inFlight,
		Others:        u.othersNow(now, usual),
		PendingTokens: u.backlog.now(now, p.options.PrefillRate),
		Slowness:      p.relativeSlowness(u),
		SameDomain:    u.Place == p.options.Self,
		Usable:        p.usable(now, u, model),
	}
}

func (p *Pool) usable(now time.Time, u *upstream, model string) bool {
	if u.Leaving || u.evacuated || now.Before(u.movedUntil) || u.Place.Region != p.options.Self.Region {
		return false
	}
	if model != "" && len(u.Models) > 0 && !slices.Contains(u.Models, model) {
		return false
	}
	if u.cold(now) && p.config.ColdRate > 0 {
		return u.pace.Ready(now, p.options.ColdShare(u.ID, p.config.ColdRate))
	}
	return true
}

func (p *Pool) suspected(now time.Time, u *upstream) bool {
	return now.Before(u.suspectUntil) || p.config.Engine != nil && u.silent(now)
}

// markCached sets the cached tokens of the places that are expected to hold a
// shared prompt: upstreams that nodes of the region sent it to, and the one that
// all nodes prefer for it, wherever it stands. One upstream for the whole fleet
// spares the others the reading, which takes longer than the way there.
func (p *Pool) markCached(now time.Time, q *Query, candidates []placement.Candidate, key uint64, sharedTokens int) {
	preferred, best := -1, uint64(0)
	for i, u := range p.upstreams {
		if s := placement.Score(key, u.ID); s >= best && p.mayHold(u, q, candidates, i) {
			preferred, best = i, s
		}
		if candidates != nil && p.prompts.holds(now, key, u.ID) {
			candidates[i].CachedTokens = sharedTokens
		}
	}
	if preferred < 0 {
		return
	}
	place := p.upstreams[preferred].Place
	if place.Region == p.options.Self.Region {
		candidates[preferred].CachedTokens = sharedTokens
		return
	}
	for i := range q.Others {
		if q.Others[i].Region == place.Region {
			q.Others[i].CachedTokens, q.Others[i].Domain = sharedTokens, place.FailureDomain
		}
	}
}

// mayHold tells if the request could go to an upstream for its cached prompt.
func (p *Pool) mayHold(u *upstream, q *Query, candidates []placement.Candidate, i int) bool {
	if u.Place.Region == p.options.Self.Region {
		return candidates != nil && candidates[i].Usable
	}
	if u.Leaving || u.evacuated {
		return false
	}
	return slices.ContainsFunc(q.Others, func(o placement.RegionLoad) bool { return o.Region == u.Place.Region })
}

// FirstByte notes the head of an answer and what the upstream says of its load;
// worked is false for refusals, whose speed says nothing.
func (t *Ticket) FirstByte(now time.Time, r Reading, worked bool) {
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	t.begin(now)
	if r.Slots > 0 {
		t.up.reading(now, r)
	}
	if worked {
		p.learnSpeed(t, now.Sub(t.sentAt))
	}
}

func (t *Ticket) begin(now time.Time) {
	t.up.heardAt = now
	if t.begun {
		return
	}
	t.begun, t.begunAt = true, now
	t.up.backlog.read(now, t.pool.options.PrefillRate, t.mark)
}

// Progress notes later bytes of the answer.
func (t *Ticket) Progress(now time.Time) {
	t.pool.mu.Lock()
	t.up.heardAt = now
	t.pool.mu.Unlock()
}

// HeardWithin tells if the upstream sent anything to this node lately, on any
// connection.
func (t *Ticket) HeardWithin(now time.Time, d time.Duration) bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return now.Sub(t.up.heardAt) <= d
}

// Done gives the place back.
func (t *Ticket) Done(now time.Time, o Outcome) {
	p, u := t.pool, t.up
	p.mu.Lock()
	defer p.mu.Unlock()
	if !t.begun {
		heard := u.heardAt
		t.begin(now)
		u.heardAt = heard
	}
	u.inFlight--
	if o == Answered {
		p.learnHold(t, now)
	}
	p.judge(now, u, o)
}

// Begun tells if the answer's first byte arrived.
func (t *Ticket) Begun() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.begun
}
