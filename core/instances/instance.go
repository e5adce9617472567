package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Instance is one run of an upstream as it registered itself.
type Instance struct {
	// ID is new at most starts.
	ID      domain.UpstreamID
	Service string
	// Address is host:port; another instance may use it later.
	Address string
	Place   domain.Place
	Slots   int
	// Leaving is set once the upstream finishes its work and takes no more.
	Leaving bool
	// ColdFor is how much longer the upstream bears only its cold rate.
	ColdFor time.Duration
	// Models that the engine has loaded; empty for plain services.
	Models []string
	// Started tells runs with the same ID apart.
	Started int64
}

// Reading is an upstream's own word on its load, as of the head of an answer.
type Reading struct {
	Running, Waiting, Slots int
}

// Outcome is what came of one request to an upstream.
type Outcome uint8

const (
	// Answered means a whole answer that is no failure of the upstream.
	Answered Outcome = iota
	// ServerError means a whole answer that reports a failure.
	ServerError
	// Shed means that the upstream refused because it was full.
	Shed
	// Misdirected means that another instance has the address.
	Misdirected
	// Unreachable means that no connection came about.
	Unreachable
	// Broken means that the answer was cut off, unsound or overdue.
	Broken
	// Abandoned means that the caller left; it says nothing of the upstream.
	Abandoned
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "server_error", "shed", "misdirected", "unreachable", "broken", "abandoned"}[o]
}
