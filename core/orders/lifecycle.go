package orders

import (
	"context"

	"github.com/looplab/fsm"
)

// State is where a node stands as its domain's orderer.
type State string

// The states; spec/orders.transitions has their transitions.
const (
	// Candidate does not hold the key.
	Candidate State = "candidate"
	// Waiting holds the key and waits until no order of an earlier holder can
	// arrive any more.
	Waiting State = "waiting"
	// Ordering holds the key and may order.
	Ordering State = "ordering"
)

// Event moves a node from one state to another.
type Event string

// The events.
const (
	// Take is the key's creation under the node's lease.
	Take Event = "take"
	// WaitOut is the end of the wait.
	WaitOut Event = "wait_out"
	// Lose is the end of the lease, as the service or the own clock has it.
	Lose Event = "lose"
	// Release is giving the lease up.
	Release Event = "release"
)

// transitions equals spec/orders.transitions.
var transitions = fsm.Events{
	{Name: string(Take), Src: []string{string(Candidate)}, Dst: string(Waiting)},
	{Name: string(WaitOut), Src: []string{string(Waiting)}, Dst: string(Ordering)},
	{Name: string(Lose), Src: []string{string(Waiting), string(Ordering)}, Dst: string(Candidate)},
	{Name: string(Release), Src: []string{string(Waiting), string(Ordering)}, Dst: string(Candidate)},
}

func newLifecycle() *fsm.FSM {
	return fsm.NewFSM(string(Candidate), transitions, fsm.Callbacks{})
}

// apply makes a transition and tells if the state allowed it.
func apply(m *fsm.FSM, e Event) bool { return m.Event(context.Background(), string(e)) == nil }
