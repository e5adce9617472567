package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Action is the action to take for a request.
type Action uint8

const (
	// ActionRefuse refuses the request; Decision.Kind is the reason.
	ActionRefuse Action = iota
	// ActionLocal dispatches the request to Decision.Upstream.
	ActionLocal
	// ActionForward forwards the request to a node of Decision.Domain.
	ActionForward
)

// Decision is the routing decision for one request.
type Decision struct {
	Action Action
	// Upstream is an index into the snapshot's upstreams; -1 unless ActionLocal.
	Upstream int32
	// Domain is an index into the snapshot's remote domains; -1 unless
	// ActionForward.
	Domain int32
	// Kind is region_forbidden, unknown_target, no_capacity, or internal for a
	// region set that belongs to another region table; empty unless ActionRefuse.
	Kind errkind.Kind
	// FirstToken is the predicted time to first token.
	FirstToken time.Duration
	// Work counts this node's work at the chosen upstream or remote target; nil if
	// the request is refused or that work is not counted.
	Work *InFlightWork
	// Link is the budget of the link; nil unless ActionForward over a link with a
	// budget.
	Link *LinkBudget
}

// Err returns the refusal as an error, or nil if the request is not refused.
func (d Decision) Err(r *Request) error {
	switch d.Kind {
	case "":
		return nil
	case errkind.RegionForbidden:
		return errkind.New(d.Kind, "the plan allows no region that serves %s %q", r.Target.Kind, r.Target.Name)
	case errkind.UnknownTarget:
		return errkind.New(d.Kind, "no upstream or failure domain serves %s %q", r.Target.Kind, r.Target.Name)
	case errkind.NoCapacity:
		return errkind.New(d.Kind, "no upstream currently accepts requests for %s %q", r.Target.Kind, r.Target.Name)
	}
	return errkind.New(d.Kind, "the request's region set belongs to another snapshot")
}

func refuse(k errkind.Kind) Decision {
	return Decision{Action: ActionRefuse, Upstream: noUpstream, Domain: noDomain, Kind: k}
}
