package quota

import (
	"maps"
	"sync"
	"time"
)

const (
	// NodeHorizon and HolderHorizon are the times for whose expected demand a node and a
	// holder keep tokens.
	NodeHorizon   = 300 * time.Millisecond
	HolderHorizon = 500 * time.Millisecond
	// refillFraction is the fraction of the expected demand below which more is drawn.
	refillFraction = 0.5
	// demandTime is the time constant of the estimate of demand.
	demandTime = time.Second
	// minFrequency is the number of requests per second from which on tokens are kept for
	// expected ones; those of rarer requests would mostly lapse.
	minFrequency = 1.0
	// denialPeriod is how long after a denied draw requests of the same size or larger are
	// denied without another one, and how long none is made after one without an answer.
	denialPeriod = 100 * time.Millisecond
	// idleRetention is how long the state of an account without requests is kept.
	idleRetention = time.Minute
	// handOutMargin is how long before they lapse a holder stops handing out tokens. It
	// covers the wait for the other accounts of a draw, for a round trip between regions.
	handOutMargin = 250 * time.Millisecond
	// MinDrawInterval is the minimum time between two draws of a node or a holder. Draws
	// for requests that wait meanwhile are made together.
	MinDrawInterval = 20 * time.Millisecond
	// PrefetchDelay is how long a draw only for expected requests waits for others.
	PrefetchDelay = 40 * time.Millisecond
)

// Charge is what was taken for a request; its zero value means nothing.
type Charge struct {
	Tokens float64
	// until is when the tokens lapse.
	until time.Duration
	// emergency is set if they were taken without a grant.
	emergency bool
}

// Outcome is the result of taking tokens.
type Outcome int

const (
	// Taken means that the request is charged.
	Taken Outcome = iota
	// Missing means that a draw is needed.
	Missing
	// Denied means that a draw for as many tokens was denied a moment ago.
	Denied
	// Unanswered means that a draw had no answer a moment ago.
	Unanswered
)

// Balance holds the tokens of a node, or of a region's holder.
type Balance struct {
	horizon time.Duration
	// notify is called when a draw is needed that was not needed before, or is more urgent.
	notify func()

	mu       sync.Mutex
	unnoted  bool // notify is to be called
	accounts map[string]*balance
	// pending are the accounts that need a draw.
	pending []*balance
	// waiters is the number of waiters of pending accounts.
	waiters int
	// sweptAt is when the accounts were last searched for idle ones.
	sweptAt time.Duration
}

// balance is the state of one account.
type balance struct {
	account string
	terms   Terms
	stock   stock
	// tokens and requests sum up the small requests of the last time.
	tokens, requests decayingSum
	usedAt           time.Duration
	// deniedUntil, deniedCost and retryAfter describe the latest denied draw.
	deniedUntil, deniedAt time.Duration
	deniedCost            float64
	retryAfter            time.Duration
	// unansweredUntil is until when no draw is made after one without an answer.
	unansweredUntil time.Duration
	// pending is set while the account is in Balance.pending, drawing while a draw for
	// expected requests is under way.
	pending, drawing bool
	waiters          []*Waiter
	emergency        slidingSum
}

// NewBalance returns an empty balance that covers the expected demand of the time horizon. notify
// is called when a draw is needed; it may be nil.
func NewBalance(horizon time.Duration, notify func()) *Balance {
	return &Balance{horizon: horizon, notify: notify, accounts: make(map[string]*balance)}
}

// unlock unlocks the balance, and calls notify if a draw has become necessary.
func (b *Balance) unlock() {
	notify := b.unnoted && b.notify != nil
	b.unnoted = false
	b.mu.Unlock()
	if notify {
		b.notify()
	}
}

// state returns the state of an account, under the given terms.
func (b *Balance) state(now time.Duration, account string, t *Terms) *balance {
	s := b.accounts[account]
	if s == nil {
		b.sweep(now)
		s = &balance{account: account}
		b.accounts[account] = s
	}
	s.terms = *t
	s.usedAt = now
	return s
}

// sweep removes the states of accounts without requests.
func (b *Balance) sweep(now time.Duration) {
	if now-b.sweptAt < idleRetention {
		return
	}
	b.sweptAt = now
	maps.DeleteFunc(b.accounts, func(_ string, s *balance) bool {
		return now-s.usedAt > idleRetention && !s.pending && !s.drawing && len(s.waiters) == 0
	})
}

// observe records demand: a number of tokens and, of these, those of the largest request.
func (s *balance) observe(now time.Duration, tokens, largest float64) {
	if s.terms.isLarge(largest) {
		tokens -= largest
	}
	if tokens > 0 {
		s.tokens.add(now, demandTime, tokens)
		s.requests.add(now, demandTime, 1)
	}
}

// target returns the expected demand of the horizon; zero if requests are too rare.
func (s *balance) target(now, horizon time.Duration) float64 {
	frequency := s.requests.at(now, demandTime) / demandTime.Seconds()
	if frequency < minFrequency {
		return 0
	}
	rate := s.tokens.at(now, demandTime) / demandTime.Seconds()
	return max(rate/frequency, rate*horizon.Seconds())
}

// markLow marks the account for a draw if its tokens do not cover the expected demand.
func (b *Balance) markLow(now time.Duration, s *balance) {
	if s.drawing || s.pending || now < s.deniedUntil || now < s.unansweredUntil {
		return
	}
	if target := s.target(now, b.horizon); target > 0 && s.stock.total() < refillFraction*target {
		b.mark(s)
	}
}

func (b *Balance) mark(s *balance) {
	if !s.pending {
		s.pending, b.unnoted = true, true
		b.pending = append(b.pending, s)
	}
}

// Take takes the tokens for a request. If the outcome is Denied, retryAfter is the time until
// they are expected to be there.
func (b *Balance) Take(now time.Duration, account string, t *Terms, cost float64) (c Charge, o Outcome, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.unlock()
	s := b.state(now, account, t)
	s.observe(now, cost, cost)
	s.stock.expire(now)
	until, ok := s.stock.take(cost)
	if ok {
		b.markLow(now, s)
		return Charge{Tokens: cost, until: until}, Taken, 0
	}
	if now < s.deniedUntil && cost >= s.deniedCost {
		return Charge{}, Denied, max(time.Millisecond, s.retryAfter-(now-s.deniedAt))
	}
	if now < s.unansweredUntil {
		return Charge{}, Unanswered, 0
	}
	return Charge{}, Missing, 0
}

// Return returns the tokens of a request that was not run; they lapse when they would have
// before.
func (b *Balance) Return(now time.Duration, account string, c Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.accounts[account]
	switch {
	case s == nil || now >= c.until:
	case c.emergency:
		s.emergency.remove(c.until, c.Tokens)
	default:
		s.stock.expire(now)
		s.stock.add(c.Tokens, c.until)
	}
}

// Waiter waits for the tokens of a draw.
type Waiter struct {
	need, largest float64
	balance       *balance
	owner         *Balance
	// done is closed once the draw has ended.
	done chan struct{}
	// granted are the tokens that the waiter got, until when they lapse.
	granted    float64
	until      time.Duration
	answered   bool
	retryAfter time.Duration
	abandoned  bool
}

// Wait adds a waiter for tokens that Take did not find.
func (b *Balance) Wait(now time.Duration, account string, t *Terms, cost float64) *Waiter {
	b.mu.Lock()
	defer b.unlock()
	return b.wait(b.state(now, account, t), cost, cost)
}

func (b *Balance) wait(s *balance, need, largest float64) *Waiter {
	w := &Waiter{need: need, largest: largest, balance: s, owner: b, done: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	b.waiters++
	b.unnoted = true
	b.mark(s)
	return w
}

// Done is closed once the draw has ended.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Result returns the outcome for a request that stops waiting: its charge, with no tokens if
// it got none; whether the draw was answered; and if so, when to try again. Tokens that arrive
// later are added to the balance.
func (w *Waiter) Result() (c Charge, answered bool, retryAfter time.Duration) {
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	select {
	case <-w.done:
	default:
		w.abandoned = true
		return Charge{}, false, 0
	}
	return Charge{Tokens: w.granted, until: w.until}, w.answered, w.retryAfter
}

// Draw is a request for tokens of several accounts.
type Draw struct {
	Demands []Demand
	sentAt  time.Duration
	parts   []drawPart
}

type drawPart struct {
	balance *balance
	waiters []*Waiter
	// expected is set if tokens for the expected demand are asked for.
	expected bool
}

// Pending reports whether a draw is needed, and whether requests wait for it.
func (b *Balance) Pending() (needed, urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) > 0, b.waiters > 0
}

// NextDraw returns the draw for all accounts that need one, nil if none does.
func (b *Balance) NextDraw(now time.Duration) *Draw {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		return nil
	}
	d := &Draw{sentAt: now}
	for _, s := range b.pending {
		s.pending = false
		s.stock.expire(now)
		demand := Demand{Account: s.account}
		part := drawPart{balance: s, waiters: s.waiters}
		s.waiters = nil
		for _, w := range part.waiters {
			demand.Needed += w.need
			demand.Largest = max(demand.Largest, w.largest)
		}
		if !s.drawing {
			demand.Expected = float64(int64(max(0, s.target(now, b.horizon)-s.stock.total())))
			part.expected = demand.Expected > 0
			s.drawing = part.expected
		}
		if demand.Needed == 0 && demand.Expected == 0 {
			continue
		}
		d.Demands = append(d.Demands, demand)
		d.parts = append(d.parts, part)
	}
	b.pending, b.waiters = b.pending[:0], 0
	if len(d.Demands) == 0 {
		return nil
	}
	return d
}

// Complete ends a draw with the grants of its answer. Accounts without a grant are treated
// like those of a draw without an answer.
func (b *Balance) Complete(now time.Duration, d *Draw, grants []Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := 0
	for i := range d.parts {
		part := &d.parts[i]
		if part.expected {
			part.balance.drawing = false
		}
		var g *Grant
		if next < len(grants) && grants[next].Account == d.Demands[i].Account {
			g = &grants[next]
			next++
		}
		part.complete(now, d.sentAt, g)
	}
}

// complete gives the tokens of a grant to the waiters in their order, and the rest to the
// stock. g is nil if there was no answer.
func (p *drawPart) complete(now, sentAt time.Duration, g *Grant) {
	s := p.balance
	tokens, until := 0.0, time.Duration(0)
	if g != nil {
		tokens, until = g.Tokens, sentAt+g.Validity
	}
	if now >= until && tokens > 0 {
		g, tokens = nil, 0 // the answer came too late
	}
	if g == nil && len(p.waiters) > 0 {
		s.unansweredUntil = now + denialPeriod
	}
	for _, w := range p.waiters {
		switch {
		case w.abandoned:
		case w.need <= tokens:
			w.granted = w.need
		case w.largest <= tokens: // a node's demand, for several requests
			w.granted = tokens
		default:
			w.granted = min(tokens, w.need-w.largest)
		}
		w.until, w.answered = until, g != nil
		tokens -= w.granted
		if g != nil && w.granted < w.need && !w.abandoned {
			w.retryAfter = max(time.Millisecond, g.RetryAfter)
			if now >= s.deniedUntil || w.largest < s.deniedCost {
				s.deniedCost = w.largest
			}
			s.deniedAt, s.deniedUntil, s.retryAfter = now, now+denialPeriod, w.retryAfter
		}
		close(w.done)
	}
	s.stock.expire(now)
	s.stock.add(tokens, until)
}

// TakeEmergency takes the tokens for a request without a grant. share is what the node may use
// in this way in any window.
func (b *Balance) TakeEmergency(now time.Duration, account string, t *Terms, window time.Duration, share, cost float64) (Charge, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, account, t)
	if s.emergency.total(now, window)+cost > share {
		return Charge{}, false
	}
	s.emergency.add(now, window, cost)
	return Charge{Tokens: cost, until: now + window, emergency: true}, true
}
