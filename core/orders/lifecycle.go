package orders

import (
	"context"

	"github.com/looplab/fsm"
)

// State is a node's state as orderer of its failure domain.
type State string

// The states. spec/orders.transitions lists the transitions.
const (
	// Candidate means that the node does not hold the key.
	Candidate State = "candidate"
	// Waiting means that the node holds the key and waits until no order of an
	// earlier holder can arrive any more.
	Waiting State = "waiting"
	// Ordering means that the node holds the key and may send orders.
	Ordering State = "ordering"
)

// Event triggers a transition of a node from one state to another.
type Event string

// The events. Their values are the names used in spec/orders.transitions.
const (
	// Take occurs when the key is created under the node's lease.
	Take Event = "take"
	// WaitOut occurs at the end of the wait.
	WaitOut Event = "wait_out"
	// Lose occurs at the end of the lease, according to the key-value service or to
	// the node's clock.
	Lose Event = "lose"
	// Release occurs when the node revokes its lease.
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

// apply triggers an event and reports whether the state allows it.
func apply(m *fsm.FSM, e Event) bool { return m.Event(context.Background(), string(e)) == nil }
