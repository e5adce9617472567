package edgenode

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
)

// assumedRegionNodes is the number of nodes that a region is assumed to have until the node knows
// them: the size to design for has 30 in each.
const assumedRegionNodes = 32

// coldShare returns this node's share of the request rate that an upstream accepts while it is
// cold.
func (n *Node) coldShare(rate float64) float64 {
	nodes := len(n.members.MayRunInRegion())
	if !n.knowsRegion() {
		nodes = max(nodes, assumedRegionNodes)
	}
	return sharedbounds.ColdRate(nodes, rate)
}

// knowsRegion reports whether the node knows how many nodes its region has.
func (n *Node) knowsRegion() bool {
	return n.knowsNodes.Load() || n.exchanged.Load() && time.Since(n.startedAt) > startupPeriod
}

// coldPhase returns which part of an interval this node waits before its first request to a cold
// upstream.
func (n *Node) coldPhase(id domain.UpstreamID) float64 {
	return sharedbounds.ColdPhase(n.settings.Node, n.members.MayRunInRegion(), id)
}

// tickCatalog lets the catalog notice when the node was suspended.
func (n *Node) tickCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		n.catalog.Tick(time.Now())
		sleep(ctx, instances.TickInterval)
	}
}
