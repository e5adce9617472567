package places

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
)

// Request describes a request for a place.
type Request struct {
	Account  string
	Priority int
	// Objective is the time within which the answer should begin; ObjectiveLeft and Left are
	// what is left of it and of the time until the deadline.
	Objective, ObjectiveLeft, Left time.Duration
	// Domain is the failure domain of the node that asks.
	Domain domain.FailureDomain
	// Regions are the regions in which the request may run; empty allows all.
	Regions []domain.Region
	// Excluded lists the upstreams that the request was sent to before.
	Excluded []domain.UpstreamID
	// Random is uniformly distributed in [0, 1).
	Random float64
	// Key identifies the request when it comes back after a refusal; zero if it is not known.
	Key uint64
}

// Waiter is a request at a broker.
type Waiter struct {
	Request
	// Decision is valid once the waiter is among those that Broker.Decided returns.
	Decision Decision
	// Value belongs to the caller of the broker.
	Value any

	arrivedAt, objectiveAt, deadlineAt time.Time
	// late is set once the request can no longer meet its objective.
	late bool
}

// Decision is the answer to a request for a place.
type Decision struct {
	// ID identifies the permit; zero if the request is refused.
	ID       uint64
	Upstream Upstream
	// Kind and RetryAfter describe a refusal.
	Kind       errkind.Kind
	RetryAfter time.Duration
	// Waited is the time until the decision, Expected the expected wait of a refused request.
	Waited, Expected time.Duration
}

// Granted reports whether there is a permit.
func (d *Decision) Granted() bool { return d.ID != 0 }

// Release returns a permit.
type Release struct {
	ID uint64
	// Used is the time for which the node held the permit.
	Used    time.Duration
	Outcome instances.Outcome
	// Load is what the upstream reported, if Load.Slots is not zero.
	Load instances.ReportedLoad
}
