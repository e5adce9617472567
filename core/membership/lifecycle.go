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

// drainSpread is the time within which every node knows of a draining node.
const drainSpread = 3 * time.Second

// DrainWait returns how long a draining node still takes requests: callers may
// hold an entry list for entryTTL, and peers may hand one out until they know.
func DrainWait(entryTTL time.Duration) time.Duration { return entryTTL + drainSpread }

// DrainStep is a step of a planned stop.
type DrainStep int

const (
	// StepNone: no stop was asked for.
	StepNone DrainStep = iota
	// StepLeaveEntries: the node is out of entry lists and the directory, yet
	// takes requests, for callers still hold lists that name it.
	StepLeaveEntries
	// StepRefuse: new requests get a refusal that redirects them; streams and
	// queued requests end.
	StepRefuse
	// StepAnswers: nothing runs; kept answers of operations are handed out.
	StepAnswers
	// StepStopped: nothing is left; the process may exit.
	StepStopped
)

// Work counts what a draining node still has to finish.
type Work struct {
	// Requests counts queued requests and open streams.
	Requests int
	// KeptAnswers counts answers of operations that a caller may yet ask for.
	KeptAnswers int
}

// Lifecycle is a node's life cycle: starting, serving, draining, stopped. It is
// safe for concurrent use.
type Lifecycle struct {
	wait time.Duration

	mu       sync.Mutex
	machine  *fsm.FSM
	drainAt  time.Time
	step     DrainStep
	announce func(domain.NodeState)
}

// NewLifecycle returns the life cycle of a starting node. wait is how long
// a draining node still takes requests, usually by DrainWait; announce, which may
// be nil, is called on each change of state, without a lock held.
func NewLifecycle(wait time.Duration, announce func(domain.NodeState)) *Lifecycle {
	l := &Lifecycle{wait: wait, announce: announce}
	l.machine = fsm.NewFSM(string(domain.NodeStarting), fsm.Events{
		{Name: eventServe, Src: []string{string(domain.NodeStarting)}, Dst: string(domain.NodeServing)},
		{Name: eventDrain, Src: []string{string(domain.NodeStarting), string(domain.NodeServing)}, Dst: string(domain.NodeDraining)},
		{Name: eventStop, Src: []string{string(domain.NodeDraining)}, Dst: string(domain.NodeStopped)},
	}, nil)
	return l
}

// State returns the state.
func (l *Lifecycle) State() domain.NodeState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return domain.NodeState(l.machine.Current())
}

// Serve ends the start, once usable lists are in force. It has no effect in
// any other state.
func (l *Lifecycle) Serve() { l.fire(eventServe) }

// Drain begins a planned stop. Repeated calls change nothing.
func (l *Lifecycle) Drain(now time.Time) {
	l.mu.Lock()
	if l.step == StepNone {
		l.step = l.firstStep()
		l.drainAt = now
	}
	l.mu.Unlock()
	l.fire(eventDrain)
}

// firstStep spares a node that never served the wait for callers.
func (l *Lifecycle) firstStep() DrainStep {
	if l.machine.Is(string(domain.NodeStarting)) {
		return StepRefuse
	}
	return StepLeaveEntries
}

// Advance moves a planned stop on as far as the remaining work allows and
// returns the step reached. Steps are never taken back.
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
	if l.step == StepLeaveEntries && now.Sub(l.drainAt) >= l.wait {
		l.step = StepRefuse
	}
	if l.step == StepRefuse && w.Requests == 0 {
		l.step = StepAnswers
	}
	if l.step == StepAnswers && w.Requests == 0 && w.KeptAnswers == 0 {
		l.step = StepStopped
	}
}

// Accepts tells if new requests are taken now. In StepLeaveEntries they are.
func (l *Lifecycle) Accepts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.step != StepNone {
		return l.step == StepLeaveEntries
	}
	return l.machine.Is(string(domain.NodeServing))
}

func (l *Lifecycle) fire(event string) {
	l.mu.Lock()
	err := l.machine.Event(context.Background(), event)
	state := domain.NodeState(l.machine.Current())
	l.mu.Unlock()
	// An event that does not fit the state, or repeats it, is without effect.
	if err == nil && l.announce != nil {
		l.announce(state)
	}
}
