package platformsim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Call names a kind of call, for counts and faults.
type Call string

// The kinds of call.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallSwap      Call = "swap"
	CallWatch     Call = "watch"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keep_alive"
	CallRevoke    Call = "revoke"
	CallVMs       Call = "vms"
	CallAnnounce  Call = "announce"
	CallWithdraw  Call = "withdraw"
	CallLookup    Call = "lookup"
	CallReserve   Call = "reserve"
)

// writes are the calls whose answer can be lost after they took effect.
var writes = []Call{CallSwap, CallGrant, CallKeepAlive, CallRevoke, CallAnnounce, CallWithdraw, CallReserve}

// Mode is a way to fail.
type Mode string

// The ways to fail.
const (
	// Slow delays a call by the fault's Delay.
	Slow Mode = "slow"
	// Down refuses a call; it has no effect.
	Down Mode = "down"
	// LostAnswer lets a write take effect and loses its answer.
	LostAnswer Mode = "lost_answer"
	// Silent accepts a call and never answers; it has no effect.
	Silent Mode = "silent"
	// Stale answers reads and watches with the key's value before the last write.
	Stale Mode = "stale"
)

// Fault is one fault in force.
type Fault struct {
	Mode Mode `json:"mode" yaml:"mode"`
	// Calls limits the fault to these calls; empty means all.
	Calls []Call `json:"calls,omitempty" yaml:"calls,omitempty"`
	// Delay is for Slow.
	Delay time.Duration `json:"delay_ns,omitempty" yaml:"delay,omitempty"`
	// Times ends the fault after so many calls; zero means until changed.
	Times int `json:"times,omitempty" yaml:"times,omitempty"`
}

// CallCount is the number of calls of one kind.
type CallCount struct {
	Call  Call   `json:"call"`
	Count uint64 `json:"count"`
}

type faultSet struct {
	mu     sync.Mutex
	faults []Fault
	counts map[Call]uint64
}

// effect is what the faults in force do to one call.
type effect struct {
	delay              time.Duration
	down, lost, silent bool
	stale              bool
}

// errAnswerLost marks the failures whose HTTP connection has to break.
var errAnswerLost = errors.New("answer lost")

// SetFaults replaces the faults in force; none heals the platform. Calls that
// already hang stay so until their context ends.
func (s *Sim) SetFaults(faults ...Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = slices.Clone(faults)
}

// Counts returns the number of calls by kind, ordered by kind. A watch that
// waits counts once.
func (s *Sim) Counts() []CallCount {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	counts := make([]CallCount, 0, len(s.faults.counts))
	for c, n := range s.faults.counts {
		counts = append(counts, CallCount{Call: c, Count: n})
	}
	slices.SortFunc(counts, func(a, b CallCount) int {
		if a.Call < b.Call {
			return -1
		}
		return 1
	})
	return counts
}

// Count returns the number of calls of one kind.
func (s *Sim) Count(c Call) uint64 {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.counts[c]
}

func (f *faultSet) take(c Call) effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[Call]uint64)
	}
	f.counts[c]++
	var e effect
	left := f.faults[:0]
	for _, fault := range f.faults {
		hit := len(fault.Calls) == 0 || slices.Contains(fault.Calls, c)
		if hit {
			e.add(fault)
		}
		if hit && fault.Times == 1 {
			continue
		}
		if hit && fault.Times > 1 {
			fault.Times--
		}
		left = append(left, fault)
	}
	f.faults = left
	return e
}

func (e *effect) add(f Fault) {
	switch f.Mode {
	case Slow:
		e.delay += f.Delay
	case Down:
		e.down = true
	case LostAnswer:
		e.lost = true
	case Silent:
		e.silent = true
	case Stale:
		e.stale = true
	}
}

// begin counts a call and applies the faults that come before its effect.
func (s *Sim) begin(ctx context.Context, c Call) (effect, error) {
	e := s.faults.take(c)
	if e.delay > 0 {
		t := time.NewTimer(e.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return e, interrupted(ctx, c)
		}
	}
	if e.down {
		return e, errkind.New(errkind.StoreUnavailable, "%s: down", c).WithRun(domain.RunNo)
	}
	if e.silent {
		<-ctx.Done()
		return e, interrupted(ctx, c)
	}
	if ctx.Err() != nil {
		return e, interrupted(ctx, c)
	}
	return e, nil
}

// end applies the faults that come after a call's effect.
func (e effect) end(c Call) error {
	if e.lost && slices.Contains(writes, c) {
		return errkind.New(errkind.StoreUnavailable, "%s: %w", c, errAnswerLost).WithRun(domain.RunUnknown)
	}
	return nil
}

// interrupted is the failure of a call that the caller gave up on.
func interrupted(ctx context.Context, c Call) error {
	if c == CallWatch {
		return watchEnded(ctx)
	}
	e := errkind.New(errkind.StoreUnavailable, "%s: %w", c, ctx.Err())
	if slices.Contains(writes, c) {
		return e.WithRun(domain.RunUnknown)
	}
	return e.WithRun(domain.RunNo)
}
