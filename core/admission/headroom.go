package admission

import (
	"time"

	"github.com/crocusspread/crocusspread/core/gateway"
)

// Headroom is what the places that may serve a request have, as this node sees
// it now.
type Headroom struct {
	// Known is false if no such place is known; routing says why, then.
	Known bool
	// Slots and Free count requests and may be fractional.
	Slots, Free float64
	// FirstToken is the time to the first token of a request that gets a free slot.
	FirstToken time.Duration
	// Service is the time for which the request will hold its slot.
	Service time.Duration
}

// Capacity tells what a request would find. It is called often and under a
// lock; it must not block.
type Capacity interface {
	Headroom(req *gateway.AdmitRequest) Headroom
}

// Observer receives what admission did. It must not block.
type Observer interface {
	// Waited reports the time that an admitted request spent in queues.
	Waited(c Class, d time.Duration)
	// Refused reports a refusal.
	Refused(c Class, err error)
}
