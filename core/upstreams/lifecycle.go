package upstreams

import (
	"context"

	"github.com/looplab/fsm"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Events of an upstream's life cycle.
const (
	eventEject   = "eject"
	eventRecover = "recover"
	eventLeave   = "leave"
	eventVanish  = "vanish"
)

const (
	stateLive    = string(domain.UpstreamLive)
	stateSuspect = string(domain.UpstreamSuspect)
	stateLeaving = string(domain.UpstreamLeaving)
	stateGone    = string(domain.UpstreamGone)
)

// lifeCycle is the table of an upstream's transitions. No event leads out of
// leaving but to gone.
var lifeCycle = fsm.Events{
	{Name: eventEject, Src: []string{stateLive}, Dst: stateSuspect},
	{Name: eventRecover, Src: []string{stateSuspect}, Dst: stateLive},
	{Name: eventLeave, Src: []string{stateLive, stateSuspect}, Dst: stateLeaving},
	{Name: eventVanish, Src: []string{stateLive, stateSuspect, stateLeaving}, Dst: stateGone},
}

func newLifeCycle() *fsm.FSM {
	return fsm.NewFSM(stateLive, lifeCycle, fsm.Callbacks{})
}

// apply makes a transition and tells if the state allowed it.
func (u *upstream) apply(event string) bool {
	return u.cycle.Event(context.Background(), event) == nil
}

func (u *upstream) state() domain.UpstreamState {
	return domain.UpstreamState(u.cycle.Current())
}
