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

// Call is a kind of platform call, as used by call counts and faults.
type Call string

// The kinds of call.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "swap"
	CallWatch          Call = "watch"
	CallGrant          Call = "grant"
	CallKeepAlive      Call = "keep_alive"
	CallRevoke         Call = "revoke"
	CallVMs            Call = "vms"
	CallAnnounce       Call = "announce"
	CallWithdraw       Call = "withdraw"
	CallLookup         Call = "lookup"
	CallReserve        Call = "reserve"
)

// mutatingCalls are the calls that change state, whose response can be lost after
// they have taken effect.
var mutatingCalls = []Call{CallCompareAndSwap, CallGrant, CallKeepAlive, CallRevoke, CallAnnounce, CallWithdraw, CallReserve}

// Mode is a failure mode.
type Mode string

// The failure modes.
const (
	// Slow delays a call by the fault's Delay.
	Slow Mode = "slow"
	// Down fails a call with store_unavailable; the call has no effect.
	Down Mode = "down"
	// LostResponse lets a mutating call take effect and loses its response.
	LostResponse Mode = "lost_answer"
	// Unresponsive accepts a call and never responds; the call has no effect.
	Unresponsive Mode = "silent"
	// Stale makes reads and watches return the value that a key had before the last
	// write.
	Stale Mode = "stale"
)

// Fault is an injected fault.
type Fault struct {
	Mode Mode `json:"mode" yaml:"mode"`
	// Calls lists the kinds of call that the fault affects; empty means all.
	Calls []Call `json:"calls,omitempty" yaml:"calls,omitempty"`
	// Delay is the added latency of mode Slow.
	Delay time.Duration `json:"delay_ns,omitempty" yaml:"delay,omitempty"`
	// MaxCalls is the number of calls after which the fault is removed; zero means that
	// it stays until the faults are replaced.
	MaxCalls int `json:"times,omitempty" yaml:"times,omitempty"`
}

// CallCount is the number of calls of one kind since the start.
type CallCount struct {
	Call  Call   `json:"call"`
	Count uint64 `json:"count"`
}

type faultSet struct {
	mu     sync.Mutex
	faults []Fault
	counts map[Call]uint64
}

// effect is the combined effect of the injected faults on one call.
type effect struct {
	delay                             time.Duration
	unavailable, loseResponse, silent bool
	stale                             bool
}

// errResponseLost marks errors for which the HTTP handler must abort the connection.
var errResponseLost = errors.New("response lost")

// SetFaults replaces the injected faults; without arguments it removes them all.
// Calls that an earlier fault blocks stay blocked until their context ends.
func (s *Sim) SetFaults(faults ...Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = slices.Clone(faults)
}

// Counts returns the number of calls of each kind, sorted by kind. A blocking
// watch counts as one call.
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

// take counts a call and returns the effect of the faults that apply to it. It
// removes faults whose MaxCalls is used up.
func (f *faultSet) take(c Call) effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[Call]uint64)
	}
	f.counts[c]++
	var e effect
	remaining := f.faults[:0]
	for _, fault := range f.faults {
		applies := len(fault.Calls) == 0 || slices.Contains(fault.Calls, c)
		if applies {
			e.add(fault)
		}
		if applies && fault.MaxCalls == 1 {
			continue
		}
		if applies && fault.MaxCalls > 1 {
			fault.MaxCalls--
		}
		remaining = append(remaining, fault)
	}
	f.faults = remaining
	return e
}

func (e *effect) add(f Fault) {
	switch f.Mode {
	case Slow:
		e.delay += f.Delay
	case Down:
		e.unavailable = true
	case LostResponse:
		e.loseResponse = true
	case Unresponsive:
		e.silent = true
	case Stale:
		e.stale = true
	}
}

// begin counts a call and applies the faults that act before the call takes effect.
func (s *Sim) begin(ctx context.Context, c Call) (effect, error) {
	e := s.faults.take(c)
	if e.delay > 0 {
		t := time.NewTimer(e.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return e, abandonedCallError(ctx, c)
		}
	}
	if e.unavailable {
		return e, errkind.New(errkind.StoreUnavailable, "%s: service unavailable", c).WithRun(domain.RunNo)
	}
	if e.silent {
		<-ctx.Done()
		return e, abandonedCallError(ctx, c)
	}
	if ctx.Err() != nil {
		return e, abandonedCallError(ctx, c)
	}
	return e, nil
}

// end applies the faults that act after the call has taken effect.
func (e effect) end(c Call) error {
	if e.loseResponse && slices.Contains(mutatingCalls, c) {
		return errkind.New(errkind.StoreUnavailable, "%s: %w", c, errResponseLost).WithRun(domain.RunUnknown)
	}
	return nil
}

// abandonedCallError returns the error of a call whose context ended. A mutating
// call may or may not have taken effect.
func abandonedCallError(ctx context.Context, c Call) error {
	if c == CallWatch {
		return watchError(ctx)
	}
	e := errkind.New(errkind.StoreUnavailable, "%s: %w", c, ctx.Err())
	if slices.Contains(mutatingCalls, c) {
		return e.WithRun(domain.RunUnknown)
	}
	return e.WithRun(domain.RunNo)
}
