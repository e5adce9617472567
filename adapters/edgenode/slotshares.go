package edgenode

import (
	"time"

	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// slotShares returns how many slots of each brittle upstream this node may use. Nodes that are not heard
// of count too if this one hears of less than half: it may be the one that is cut off.
func (n *Node) slotShares(list []sharedbounds.UpstreamSlots) []int {
	if !n.knowsRegion() {
		shares := make([]int, len(list))
		for i, u := range list {
			shares[i] = u.Slots / assumedRegionNodes
		}
		return shares
	}
	nodes, mayRun := n.members.InRegion(time.Now()), n.members.MayRunInRegion()
	if 2*len(nodes) < len(mayRun) {
		nodes = mayRun
	}
	return sharedbounds.DivideSlots(n.settings.Node, nodes, list)
}
