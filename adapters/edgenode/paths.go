package edgenode

import (
	"context"
	"time"
)

const (
	// pathProbes is the number of upstreams that a node tries to connect to before it concludes that it reaches none.
	pathProbes = 3
	// pathProbeInterval is the time between two such attempts while it reaches none.
	pathProbeInterval = 400 * time.Millisecond
)

// watchPaths finds out whether this node reaches any upstream of its region, whenever it failed to connect to several in
// succession, and until it does again. It tells the other nodes when that changes: they send no requests to one that
// reaches none, and name it to callers only if there is no other.
func (n *Node) watchPaths(ctx context.Context) {
	for ctx.Err() == nil {
		if n.catalog.PathsLost() {
			sleep(ctx, jitter(pathProbeInterval))
		} else {
			select {
			case <-ctx.Done():
				return
			case <-n.pathsSuspected:
			}
		}
		if !n.catalog.PathsLost() && !n.catalog.PathsSuspected() {
			continue
		}
		reached := n.reachesUpstream(ctx)
		if ctx.Err() == nil && n.catalog.SetPathsLost(time.Now(), !reached) {
			n.metrics.Count("upstream.paths_changed", 1)
			n.members.SetForwarding(!reached)
			n.exchangeWithAll(ctx)
		}
	}
}

// reachesUpstream reports whether a connection to any of several upstreams can be opened.
func (n *Node) reachesUpstream(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
	defer cancel()
	addresses := n.catalog.PathProbes(time.Now(), pathProbes)
	outcomes := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { outcomes <- n.upstreams.Connect(ctx, address) }()
	}
	for range addresses {
		if err := <-outcomes; err == nil {
			return true
		}
	}
	return false
}
