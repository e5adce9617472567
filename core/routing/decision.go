package routing

import (
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Action is what to do with a request.
type Action uint8

const (
	// ActionRefuse refuses the request; Decision.Kind says why.
	ActionRefuse Action = iota
	// ActionLocal dispatches to Decision.Upstream.
	ActionLocal
	// ActionForward sends to a node of Decision.Domain.
	ActionForward
)

// Decision is the outcome for one request.
type Decision struct {
	Action Action
	// Upstream indexes the snapshot's upstreams; -1 unless ActionLocal.
	Upstream int32
	// Domain indexes the snapshot's other domains; -1 unless ActionForward.
	Domain int32
	// Kind is region_forbidden, unknown_target, no_capacity, or internal for a
	// region set of another table; empty unless ActionRefuse.
	Kind errkind.Kind
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Own counts the work to be started; nil if refused or not tracked.
	Own *OwnWork
	// Link is the link's budget; nil unless ActionForward over a budgeted link.
	Link *LinkBudget
}

// Err returns the refusal as an error, or nil.
func (d Decision) Err(r *Request) error {
	switch d.Kind {
	case "":
		return nil
	case errkind.RegionForbidden:
		return errkind.New(d.Kind, "the plan allows no region that serves %s %q", r.Target.Kind, r.Target.Name)
	case errkind.UnknownTarget:
		return errkind.New(d.Kind, "no place serves %s %q", r.Target.Kind, r.Target.Name)
	case errkind.NoCapacity:
		return errkind.New(d.Kind, "no upstream takes requests for %s %q now", r.Target.Kind, r.Target.Name)
	}
	return errkind.New(d.Kind, "the request's regions were not numbered by this snapshot")
}

func refuse(k errkind.Kind) Decision {
	return Decision{Action: ActionRefuse, Upstream: noUpstream, Domain: noDomain, Kind: k}
}
