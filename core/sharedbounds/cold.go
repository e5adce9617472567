package sharedbounds

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// maxColdSenders is the number of nodes that may send to one cold upstream.
	maxColdSenders = 2
	// coldReserveFraction is the fraction of a cold upstream's rate that is left unused,
	// for nodes with a different view of the members.
	coldReserveFraction = 0.4
)

// ColdRate returns this node's share of rate, the number of requests per second that a
// cold upstream can handle. members are the nodes that reach the upstream, including
// this one; all nodes with the same members agree on who sends.
func ColdRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64) float64 {
	higherRanked := 0
	own := rank(self, upstream)
	for _, m := range members {
		if m != self && rank(m, upstream) > own {
			higherRanked++
		}
	}
	if higherRanked >= maxColdSenders {
		return 0
	}
	senders := min(maxColdSenders, max(1, len(members)))
	return rate * (1 - coldReserveFraction) / float64(senders)
}

func rank(node domain.NodeID, upstream domain.UpstreamID) uint64 {
	key := placement.RendezvousWeight(0, domain.UpstreamID(node))
	return placement.RendezvousWeight(key, upstream)
}

// Pacer spaces events evenly: it allows one at a time and never a burst.
type Pacer struct{ next time.Time }

// Ready reports whether an event is allowed now. rate is in events per second; a rate of
// zero allows none.
func (p *Pacer) Ready(now time.Time, rate float64) bool {
	return rate > 0 && !now.Before(p.next)
}

// Record records an event.
func (p *Pacer) Record(now time.Time, rate float64) {
	if rate > 0 {
		p.next = now.Add(time.Duration(float64(time.Second) / rate))
	}
}
