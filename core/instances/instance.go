package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Instance is one registered process of an upstream.
type Instance struct {
	// ID usually differs after a restart.
	ID      domain.UpstreamID
	Service string
	// Address is host:port; another instance may reuse it later.
	Address string
	Place   domain.Place
	Slots   int
	// Leaving is set once the upstream only completes its current requests and
	// accepts no new ones.
	Leaving bool
	// ColdRemaining is the remaining time during which the upstream accepts only its
	// cold rate.
	ColdRemaining time.Duration
	// Models lists the models that the engine has loaded; empty for services
	// without an engine.
	Models []string
	// Software is the version of its software; empty if it is not known. What two versions write does not fit together.
	Software string
	// Started distinguishes processes with the same ID.
	Started int64
	// Sequence rises with each entry that the process writes; zero if the entry has none.
	Sequence uint64
}

// ReportedLoad is what an upstream reports of itself in the header of an answer. The load is in
// requests.
type ReportedLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the duration of work at this moment relative to the usual one; zero if the
	// upstream does not state it.
	Slowdown float64
	// RateLimit is the number of requests per second that the upstream accepts from all
	// nodes together; zero if it names none.
	RateLimit float64
	// Leaving is set if the upstream says that it leaves.
	Leaving bool
	// Brittle is set if the upstream says that it fails if it has to reject more than MaxRejections
	// requests in a second for want of room.
	Brittle       bool
	MaxRejections int
	// Silence is the time for which the upstream wants no requests from this node; zero if it
	// does not say so.
	Silence time.Duration
}

// Outcome is the result of one request to an upstream.
type Outcome uint8

const (
	// Answered means a complete answer that does not indicate an upstream failure.
	Answered Outcome = iota
	// ServerError means a complete answer that reports a failure.
	ServerError
	// Shed means that the upstream refused the request because it was overloaded.
	Shed
	// Misdirected means that another instance uses the address.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Broken means that the answer was truncated, malformed or timed out.
	Broken
	// Canceled means that the caller canceled the request; it is no evidence about
	// the upstream.
	Canceled
)

// OutcomeFromNumber returns the outcome with a number; Canceled, which is no evidence, if there is none.
func OutcomeFromNumber(n uint32) Outcome {
	if n > uint32(Canceled) {
		return Canceled
	}
	return Outcome(n)
}

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "server_error", "shed", "misdirected", "unreachable", "broken", "abandoned"}[o]
}
