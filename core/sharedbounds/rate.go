package sharedbounds

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// minSenders is the minimum number of nodes that may send to an upstream that named a rate
	// limit.
	minSenders = 2
	// maxLimitedSenders is the maximum number of nodes that may send to an upstream that named
	// a rate limit, one for each request per second. All of them may send at the same moment.
	maxLimitedSenders = 4
	// reserveRateFraction is the fraction of an upstream's rate that is left unused, for
	// nodes with a different view of the members.
	reserveRateFraction = 0.4
)

// coldRateFraction is the fraction of a cold upstream's rate that all nodes together use. The rest
// is for nodes that know of fewer nodes than there are, and for requests that arrive in the same
// second by chance.
const coldRateFraction = 0.5

// ColdRate returns a node's share of rate, the number of requests per second that a cold upstream
// can handle. nodes is the number of nodes that may reach the upstream, including those that this
// one does not hear of at present: a share by number needs no agreement on who sends.
func ColdRate(nodes int, rate float64) float64 {
	return coldRateFraction * rate / float64(max(1, nodes))
}

// ColdPhase returns which part of an interval, from 0 to 1, a node waits before its first request to a
// cold upstream. nodes are those that may reach the upstream; their phases are distributed evenly.
func ColdPhase(self domain.NodeID, nodes []domain.NodeID, upstream domain.UpstreamID) float64 {
	own := rank(self, upstream)
	offset := float64(own) / (1 << 64) // alone decides among nodes that do not know each other
	return (float64(countHigherRanked(self, nodes, upstream)) + offset) / float64(max(1, len(nodes)))
}

// LimitedRate returns this node's share of rate, the number of requests per second that an upstream
// named as its limit. members are the nodes that reach the upstream, including this one; all nodes
// with the same members agree on who sends.
func LimitedRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64) float64 {
	return nodeRate(self, members, upstream, rate, max(minSenders, int(min(rate, maxLimitedSenders))))
}

// UsableRate returns the part of an upstream's rate that all nodes together use.
func UsableRate(rate float64) float64 { return (1 - reserveRateFraction) * rate }

func nodeRate(self domain.NodeID, members []domain.NodeID, upstream domain.UpstreamID, rate float64, maxSenders int) float64 {
	if countHigherRanked(self, members, upstream) >= maxSenders {
		return 0
	}
	return UsableRate(rate) / float64(min(maxSenders, max(1, len(members))))
}

func countHigherRanked(self domain.NodeID, nodes []domain.NodeID, upstream domain.UpstreamID) int {
	n := 0
	own := rank(self, upstream)
	for _, other := range nodes {
		if other != self && rank(other, upstream) > own {
			n++
		}
	}
	return n
}

func rank(node domain.NodeID, upstream domain.UpstreamID) uint64 {
	key := placement.RendezvousWeight(0, domain.UpstreamID(node))
	return placement.RendezvousWeight(key, upstream)
}

// Pacer spaces events evenly: it allows one at a time and never a burst. Its zero value allows the
// first one at once.
type Pacer struct {
	// since is when the present wait began, intervals its length in intervals of the rate.
	since     time.Time
	intervals float64
}

// Ready reports whether an event is allowed now. rate is in events per second; a rate of
// zero allows none.
func (p *Pacer) Ready(now time.Time, rate float64) bool { return rate > 0 && !now.Before(p.next(rate)) }

func (p *Pacer) next(rate float64) time.Time {
	return p.since.Add(time.Duration(p.intervals / rate * float64(time.Second)))
}

// Record records an event.
func (p *Pacer) Record(now time.Time, rate float64) {
	if rate > 0 {
		p.since, p.intervals = now, 1
	}
}

// Delay lets the next event wait for a part of an interval, from 0 to 1, from now on, unless it waits
// longer already. Nodes with different parts do not all begin at the same moment.
func (p *Pacer) Delay(now time.Time, rate, part float64) {
	if rate > 0 && p.next(rate).After(now.Add(time.Duration(part/rate*float64(time.Second)))) {
		return
	}
	p.since, p.intervals = now, part
}
