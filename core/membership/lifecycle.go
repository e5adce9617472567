package membership

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// drainPropagation is the time within which all nodes learn that a node is draining.
const drainPropagation = 3 * time.Second

// DrainWait returns how long a draining node still accepts requests: callers may use an
// entry list for entryTTL, and peers may return lists that contain the node until they
// know that it is draining.
func DrainWait(entryTTL time.Duration) time.Duration { return entryTTL + drainPropagation }

// DrainStep is a step of a graceful shutdown.
type DrainStep int

const (
	// StepNone means that no shutdown was requested.
	StepNone DrainStep = iota
	// StepLeaveEntryLists means that the node is removed from entry lists and the
	// directory but still accepts requests, because callers may use older lists.
	StepLeaveEntryLists
	// StepRefuseRequests means that new requests are refused with a redirect, while streams
	// and queued requests complete.
	StepRefuseRequests
	// StepServeResults means that no requests are running and only retained operation
	// results are served.
	StepServeResults
	// StepStopped means that no work is left and the process may exit.
	StepStopped
)

// Work counts the work that a draining node still has to complete.
type Work struct {
	// Requests counts queued requests and open streams.
	Requests int
	// RetainedResults counts retained operation results that a caller may still request.
	RetainedResults int
}

// Lifecycle is the life cycle of a node: starting, serving, draining, stopped. It is
// safe for concurrent use.
type Lifecycle struct {
	wait time.Duration

	mu       sync.Mutex
	machine  *fsm.FSM
	drainAt  time.Time
	step     DrainStep
	announce func(domain.NodeState)
}

// NewLifecycle returns the life cycle of a starting node. wait is how long a draining
// node still accepts requests, usually the result of DrainWait. announce may be nil; it
// is called after each change of state, without a lock held.
func NewLifecycle(wait time.Duration, announce func(domain.NodeState)) *Lifecycle {
	l := &Lifecycle{wait: wait, announce: announce}
	l.machine = fsm.NewFSM(string(domain.NodeStarting), fsm.Events{
		{Name: eventServe, Src: []string{string(domain.NodeStarting)}, Dst: string(domain.NodeServing)},
		{Name: eventDrain, Src: []string{string(domain.NodeStarting), string(domain.NodeServing)}, Dst: string(domain.NodeDraining)},
		{Name: eventStop, Src: []string{string(domain.NodeDraining)}, Dst: string(domain.NodeStopped)},
	}, nil)
	return l
}

// State returns the current state.
func (l *Lifecycle) State() domain.NodeState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return domain.NodeState(l.machine.Current())
}

// Serve changes the state from starting to serving, once usable lists are in effect. It
// has no effect in any other state.
func (l *Lifecycle) Serve() { l.fire(eventServe) }

// Drain starts a graceful shutdown. Repeated calls have no effect.
func (l *Lifecycle) Drain(now time.Time) {
	l.mu.Lock()
	if l.step == StepNone {
		l.step = l.firstStep()
		l.drainAt = now
	}
	l.mu.Unlock()
	l.fire(eventDrain)
}

// firstStep skips the wait for callers if the node never served.
func (l *Lifecycle) firstStep() DrainStep {
	if l.machine.Is(string(domain.NodeStarting)) {
		return StepRefuseRequests
	}
	return StepLeaveEntryLists
}

// Advance continues a graceful shutdown as far as the remaining work allows and returns
// the current step. Steps are never reverted.
func (l *Lifecycle) Advance(now time.Time, w Work) DrainStep {
	l.mu.Lock()
	l.advance(now, w)
	step := l.step
	l.mu.Unlock()
	if step == StepStopped {
		l.fire(eventStop)
	}
	return step
}

func (l *Lifecycle) advance(now time.Time, w Work) {
	if l.step == StepLeaveEntryLists && now.Sub(l.drainAt) >= l.wait {
		l.step = StepRefuseRequests
	}
	if l.step == StepRefuseRequests && w.Requests == 0 {
		l.step = StepServeResults
	}
	if l.step == StepServeResults && w.Requests == 0 && w.RetainedResults == 0 {
		l.step = StepStopped
	}
}

// AcceptsRequests reports whether new requests are accepted, as they still are in
// StepLeaveEntryLists.
func (l *Lifecycle) AcceptsRequests() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.step != StepNone {
		return l.step == StepLeaveEntryLists
	}
	return l.machine.Is(string(domain.NodeServing))
}

func (l *Lifecycle) fire(event string) {
	l.mu.Lock()
	err := l.machine.Event(context.Background(), event)
	state := domain.NodeState(l.machine.Current())
	l.mu.Unlock()
	// An event that is not valid in the current state has no effect.
	if err == nil && l.announce != nil {
		l.announce(state)
	}
}
