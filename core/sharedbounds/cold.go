package sharedbounds

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// coldNodes is the number of nodes that may send to one cold upstream.
	coldNodes = 2
	// coldReserve is the part of a cold upstream's rate that is left unused,
	// for nodes that see other members than this one.
	coldReserve = 0.4
)

// ColdRate returns this node's share of the requests per second that a cold
// upstream bears. Members are the nodes that reach the upstream, this one
// included; all that know the same members agree on who sends.
func ColdRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64) float64 {
	above := 0
	own := rank(self, upstream)
	for _, m := range members {
		if m != self && rank(m, upstream) > own {
			above++
		}
	}
	if above >= coldNodes {
		return 0
	}
	senders := min(coldNodes, max(1, len(members)))
	return rate * (1 - coldReserve) / float64(senders)
}

func rank(node domain.NodeID, upstream domain.UpstreamID) uint64 {
	key := placement.Score(0, domain.UpstreamID(node))
	return placement.Score(key, upstream)
}

// Pace spaces events evenly: it grants one at a time and none as a burst.
type Pace struct{ next time.Time }

// Ready tells if an event may happen at a rate per second; zero never grants.
func (p *Pace) Ready(now time.Time, rate float64) bool {
	return rate > 0 && !now.Before(p.next)
}

// Spend counts an event.
func (p *Pace) Spend(now time.Time, rate float64) {
	if rate > 0 {
		p.next = now.Add(time.Duration(float64(time.Second) / rate))
	}
}
