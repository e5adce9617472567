package upstreams

import (
	"context"

	"github.com/looplab/fsm"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Events of an upstream's lifecycle.
const (
	eventEject   = "eject"
	eventRecover = "recover"
	eventLeave   = "leave"
	eventRemove  = "vanish"
)

const (
	stateLive    = string(domain.UpstreamLive)
	stateSuspect = string(domain.UpstreamSuspect)
	stateLeaving = string(domain.UpstreamLeaving)
	stateGone    = string(domain.UpstreamGone)
)

// lifecycleEvents is the transition table of an upstream. The only transition from
// leaving is to gone.
var lifecycleEvents = fsm.Events{
	{Name: eventEject, Src: []string{stateLive}, Dst: stateSuspect},
	{Name: eventRecover, Src: []string{stateSuspect}, Dst: stateLive},
	{Name: eventLeave, Src: []string{stateLive, stateSuspect}, Dst: stateLeaving},
	{Name: eventRemove, Src: []string{stateLive, stateSuspect, stateLeaving}, Dst: stateGone},
}

func newLifecycle() *fsm.FSM {
	return fsm.NewFSM(stateLive, lifecycleEvents, fsm.Callbacks{})
}

// transition performs the transition of an event and reports whether the current state
// allows it.
func (u *upstream) transition(event string) bool {
	return u.lifecycle.Event(context.Background(), event) == nil
}

func (u *upstream) state() domain.UpstreamState {
	return domain.UpstreamState(u.lifecycle.Current())
}
