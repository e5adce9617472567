package edgenode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
)

// partsFanout is the number of nodes of its own failure domain to which a node
// propagates that a part is held or released.
const partsFanout = 2

// propagateParts propagates held and released parts immediately: requests with a part that
// crashes upstreams arrive at any node.
func (n *Node) propagateParts(ctx context.Context) {
	n.propagate(ctx, n.partsChanged, func() []peers.Member {
		own, other := n.regionTargets()
		targets := append(randomSubset(own, partsFanout), other...)
		for _, region := range n.otherRegions() {
			if preferred := n.members.Preferred(time.Now(), region); len(preferred) > 0 {
				targets = append(targets, preferred[rand.IntN(len(preferred))])
			}
		}
		return targets
	})
}

// mayTryPart reports whether this node may send a trial request with a held part: one
// node of the fleet may, and none while there is no message from a node within its timeout,
// as that one may not know of a trial here.
func (n *Node) mayTryPart(part uint64) bool {
	now := time.Now()
	alive := n.members.Alive(now)
	for _, m := range n.members.Known() {
		if m.State != domain.NodeStopped && !slices.ContainsFunc(alive, func(a peers.Member) bool { return a.ID == m.ID }) {
			return false
		}
	}
	return n.highestRanked(part, alive)
}

// chosenForSuspect reports whether this node is the one that sends a request on which several upstreams
// have crashed, of the nodes that it hears of.
func (n *Node) chosenForSuspect(id uint64) bool {
	return n.highestRanked(id, n.members.Alive(time.Now()))
}

// highestRanked reports whether no other of the nodes ranks higher for a part or a request.
func (n *Node) highestRanked(id uint64, others []peers.Member) bool {
	own := placement.RendezvousWeight(id, domain.UpstreamID(n.settings.Node))
	return !slices.ContainsFunc(others, func(m peers.Member) bool {
		return placement.RendezvousWeight(id, domain.UpstreamID(m.ID)) > own
	})
}
