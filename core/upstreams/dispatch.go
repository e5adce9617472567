package upstreams

import (
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Outcome says how a dispatch ended, as far as it speaks about the upstream.
type Outcome uint8

const (
	// OutcomeSucceeded is a whole answer.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed is a failure that the upstream or its link is to blame for.
	OutcomeFailed
	// OutcomeNeutral says nothing about the upstream, as a caller's cancel.
	OutcomeNeutral
)

// counter is what a Dispatch counts at.
type counter interface {
	firstToken(now time.Time, promptTokens int, prefix uint64)
	end(now time.Time, outcome Outcome)
}

// Dispatch is one request under way. Its methods may be called from any
// goroutine and count once.
type Dispatch struct {
	at       counter
	prompt   int
	prefix   uint64
	answered atomic.Bool
	ended    atomic.Bool
}

// FirstToken counts the prompt as prefilled.
func (d *Dispatch) FirstToken(now time.Time) {
	if d.answered.CompareAndSwap(false, true) {
		d.at.firstToken(now, d.prompt, d.prefix)
	}
}

// End counts the request as over.
func (d *Dispatch) End(now time.Time, outcome Outcome) {
	if !d.ended.CompareAndSwap(false, true) {
		return
	}
	if d.answered.CompareAndSwap(false, true) {
		d.at.firstToken(now, d.prompt, 0)
	}
	d.at.end(now, outcome)
}

// Start counts a dispatch to an upstream. It refuses with kind no_capacity,
// verdict "no", if the upstream takes no new work by now.
func (t *Tracker) Start(now time.Time, id domain.UpstreamID, promptTokens int, prefix uint64) (*Dispatch, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.byID[id]
	if !ok {
		return nil, errkind.New(errkind.NoCapacity, "upstream %q is gone", id)
	}
	if state := u.state(); state != domain.UpstreamLive {
		return nil, errkind.New(errkind.NoCapacity, "upstream %q is %s", id, state)
	}
	u.work.start(now, promptTokens)
	return &Dispatch{at: &upstreamCounter{tracker: t, shard: s, upstream: u}, prompt: promptTokens, prefix: prefix}, nil
}

// upstreamCounter keeps to one upstream, also after its removal.
type upstreamCounter struct {
	tracker  *Tracker
	shard    *shard
	upstream *upstream
}

func (c *upstreamCounter) firstToken(now time.Time, promptTokens int, prefix uint64) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.upstream.work.firstToken(now, promptTokens)
	c.upstream.remember(prefix)
}

func (c *upstreamCounter) end(now time.Time, outcome Outcome) {
	c.shard.mu.Lock()
	c.upstream.work.end(now)
	c.shard.mu.Unlock()
	switch outcome {
	case OutcomeSucceeded:
		c.tracker.Succeeded(c.upstream.ref.ID)
	case OutcomeFailed:
		c.tracker.Failed(now, c.upstream.ref.ID)
	}
}
