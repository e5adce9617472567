package membership

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// beatUnit is the shortest round. A process's first beat is its start in these
// units, so that it outranks its predecessor whatever the length of a round.
const beatUnit = 100 * time.Millisecond

// Config sets a Group's identity, intervals and bounds per message.
type Config struct {
	Self domain.NodeRef
	// Round is the time between calls of Beat.
	Round time.Duration
	// SuspectAfter is the silence after which a node takes no new work, and
	// RemoveAfter the silence after which it is forgotten. Both stretch with
	// the domain's size; see Group.stretch.
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
	// UnreachableAfter is the age of a domain's newest reading at which the
	// domain counts as unreachable.
	UnreachableAfter time.Duration
	// Representatives is the number of own nodes that keep up the exchange with
	// each other failure domain.
	Representatives int
	// Burst is the number of peers told at once of an urgent change.
	Burst int
	// MaxOwnTargets bounds the own domain's readings in a message to another.
	MaxOwnTargets int
	// MaxMembers, MaxTargets, MaxUpstreams and MaxDemands bound one message. Half the
	// places for members that a small domain leaves free are used for demands.
	MaxMembers   int
	MaxTargets   int
	MaxUpstreams int
	MaxDemands   int
	// MaxNodes bounds the sample of nodes kept for another domain.
	MaxNodes int
}

// DefaultConfig returns the settings for a node.
func DefaultConfig(self domain.NodeRef) Config {
	return Config{
		Self:             self,
		Round:            time.Second,
		SuspectAfter:     8 * time.Second,
		RemoveAfter:      30 * time.Second,
		UnreachableAfter: 30 * time.Second,
		Representatives:  2,
		Burst:            4,
		MaxMembers:       8,
		MaxOwnTargets:    7,
		MaxTargets:       5,
		MaxUpstreams:     2,
		MaxDemands:       2,
		MaxNodes:         4,
	}
}

// maxSpareUpstreams bounds the upstreams named in place of members.
const maxSpareUpstreams = 1

// upstreamsBeside returns the number of upstreams in a message that names a number
// of members: those of a small domain leave room for more upstreams.
func (c *Config) upstreamsBeside(members int) int {
	spare := max(c.MaxMembers-members, 0)
	return c.MaxUpstreams + min(spare, maxSpareUpstreams)
}
