package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/gateway"
)

// Headroom describes the capacity for a request in the regions that may serve it, as
// currently known to this node.
type Headroom struct {
	// Known is false if no node or upstream that may serve the request is known; routing
	// then reports the reason.
	Known bool
	// Slots and FreeSlots are numbers of requests and may be fractional.
	Slots, FreeSlots float64
	// TimeToFirstToken is the time to the first token of a request that gets a free slot.
	TimeToFirstToken time.Duration
	// ServiceTime is the time for which the request is expected to occupy its slot.
	ServiceTime time.Duration
}

// Capacity estimates the capacity for a request. Headroom is called frequently and under
// a lock; it must not block.
type Capacity interface {
	Headroom(req *gateway.AdmitRequest) Headroom
}

// Observer receives the outcomes of admission. Its methods must not block.
type Observer interface {
	// Admitted reports the queueing time of an admitted request.
	Admitted(c Class, d time.Duration)
	// Refused reports a refused request.
	Refused(c Class, err error)
}
