package sharedbounds

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// minSenders is the number of nodes that may send to one upstream with a bounded rate.
	minSenders = 2
	// maxLimitedSenders is the maximum number of nodes that may send to an upstream that named
	// a rate limit, one for each request per second. All of them may send at the same moment.
	maxLimitedSenders = 4
	// reserveRateFraction is the fraction of an upstream's rate that is left unused, for
	// nodes with a different view of the members.
	reserveRateFraction = 0.4
)

// ColdRate returns this node's share of rate, the number of requests per second that a
// cold upstream can handle. members are the nodes that reach the upstream, including
// this one; all nodes with the same members agree on who sends.
func ColdRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64) float64 {
	return nodeRate(self, members, upstream, rate, minSenders)
}

// LimitedRate returns the same for the rate that an upstream named as its limit.
func LimitedRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64) float64 {
	return nodeRate(self, members, upstream, rate, max(minSenders, int(min(rate, maxLimitedSenders))))
}

// UsableRate returns the part of an upstream's rate that all nodes together use.
func UsableRate(rate float64) float64 { return (1 - reserveRateFraction) * rate }

func nodeRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64, maxSenders int) float64 {
	higherRanked := 0
	own := rank(self, upstream)
	for _, m := range members {
		if m != self && rank(m, upstream) > own {
			higherRanked++
		}
	}
	if higherRanked >= maxSenders {
		return 0
	}
	return UsableRate(rate) / float64(min(maxSenders, max(1, len(members))))
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
