package membership

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// beatUnit is the minimum round length. A process initializes its heartbeat counter
// with its start time in these units, so that it exceeds that of the previous process
// for any round length.
const beatUnit = 100 * time.Millisecond

// Config sets a Group's identity, intervals and limits per message.
type Config struct {
	Self domain.NodeRef
	// Round is the interval between calls of StartRound.
	Round time.Duration
	// SuspectAfter is the time without a heartbeat after which a node receives no
	// new work, RemoveAfter the one after which it is removed. Both grow with the
	// number of nodes in the domain; see Group.timeoutFactor.
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
	// UnreachableAfter is the age of a domain's newest report above which the domain
	// counts as unreachable.
	UnreachableAfter time.Duration
	// Representatives is the number of nodes of the local failure domain that
	// exchange heartbeats with each other domain.
	Representatives int
	// Burst is the number of additional peers that are notified immediately of an
	// urgent change.
	Burst int
	// MaxOwnTargets limits the local domain's target loads in a message to another
	// domain.
	MaxOwnTargets int
	// MaxMembers, MaxTargets, MaxUpstreams and MaxDemands limit the items in one
	// message. If there are fewer members than MaxMembers, half of the difference is
	// added to the limit on demands.
	MaxMembers   int
	MaxTargets   int
	MaxUpstreams int
	MaxDemands   int
	// MaxNodes limits the sample of nodes retained for another domain.
	MaxNodes int
}

// DefaultConfig returns the default settings for a node.
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

// maxSpareUpstreams limits the additional upstreams sent in place of members.
const maxSpareUpstreams = 1

// maxUpstreamsWith returns the maximum number of upstreams in a message with the given
// number of members. Fewer members leave space for more upstreams.
func (c *Config) maxUpstreamsWith(members int) int {
	spare := max(c.MaxMembers-members, 0)
	return c.MaxUpstreams + min(spare, maxSpareUpstreams)
}
