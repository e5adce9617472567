package upstreams

import (
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Outcome is the result of a dispatch as far as it indicates the upstream's health.
type Outcome uint8

const (
	// OutcomeSucceeded is a complete response.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed is a failure caused by the upstream or its network link.
	OutcomeFailed
	// OutcomeNeutral does not indicate the upstream's health, such as a cancellation
	// by the caller.
	OutcomeNeutral
)

// counter records the progress of a Dispatch.
type counter interface {
	firstToken(now time.Time, promptTokens int, prefix uint64)
	end(now time.Time, outcome Outcome)
}

// Dispatch is one request in progress. Its methods are safe for concurrent use;
// only the first call of each has an effect.
type Dispatch struct {
	counter      counter
	promptTokens int
	prefix       uint64
	prefilled    atomic.Bool
	ended        atomic.Bool
}

// FirstToken records that the prompt is prefilled.
func (d *Dispatch) FirstToken(now time.Time) {
	if d.prefilled.CompareAndSwap(false, true) {
		d.counter.firstToken(now, d.promptTokens, d.prefix)
	}
}

// End records that the request ended. It also removes a prompt that got no first
// token from the pending tokens.
func (d *Dispatch) End(now time.Time, outcome Outcome) {
	if !d.ended.CompareAndSwap(false, true) {
		return
	}
	if d.prefilled.CompareAndSwap(false, true) {
		d.counter.firstToken(now, d.promptTokens, 0)
	}
	d.counter.end(now, outcome)
}

// Start records a dispatch to an upstream. It fails with kind no_capacity, verdict
// "no", if the upstream no longer accepts requests.
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
	return &Dispatch{counter: &upstreamCounter{tracker: t, shard: s, upstream: u}, promptTokens: promptTokens, prefix: prefix}, nil
}

// upstreamCounter records the progress of a Dispatch to an upstream. It remains
// valid after the upstream is removed.
type upstreamCounter struct {
	tracker  *Tracker
	shard    *shard
	upstream *upstream
}

func (c *upstreamCounter) firstToken(now time.Time, promptTokens int, prefix uint64) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.upstream.work.firstToken(now, promptTokens)
	c.upstream.addPrefix(prefix)
}

func (c *upstreamCounter) end(now time.Time, outcome Outcome) {
	c.shard.mu.Lock()
	c.upstream.work.end(now)
	c.shard.mu.Unlock()
	switch outcome {
	case OutcomeSucceeded:
		c.tracker.RecordSuccess(c.upstream.ref.ID)
	case OutcomeFailed:
		c.tracker.RecordFailure(now, c.upstream.ref.ID)
	}
}
