package edgenode

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
)

const (
	// pathProbes is the number of upstreams of a service that a node tries to connect to before it concludes that it reaches
	// none.
	pathProbes = 3
	// pathProbeInterval is the time between two such attempts while it reaches none.
	pathProbeInterval = 400 * time.Millisecond
)

// watchPaths finds out whether this node reaches any upstream of a service in its region, whenever it failed to connect to one,
// and until it reaches one again. It tells the other nodes when that changes: they send it no requests for the service.
func (n *Node) watchPaths(ctx context.Context) {
	for ctx.Err() == nil {
		if len(n.catalog.Unreached()) > 0 {
			sleep(ctx, jitter(pathProbeInterval))
		} else {
			select {
			case <-ctx.Done():
				return
			case <-n.pathsSuspected:
			}
		}
		changed := false
		for _, p := range n.catalog.PathProbes(pathProbes) {
			n.tryReference(ctx, p)
			reached := len(p.Addresses) == 0 || n.reachesUpstream(ctx, p) // without upstreams there is no path to lose
			changed = ctx.Err() == nil && n.catalog.SetPathsLost(time.Now(), p.Service, !reached) || changed
		}
		if changed {
			n.metrics.Count("upstream.paths_changed", 1)
			n.members.SetUnreached(n.catalog.Unreached())
			n.exchangeWithAll(ctx)
		}
	}
}

// tryReference tells the refused connections of a service's only upstream from those of a path that is lost.
func (n *Node) tryReference(ctx context.Context, p instances.PathProbe) {
	if len(p.Addresses) != 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
	defer cancel()
	startedAt := time.Now()
	if p.Reference == "" || n.upstreams.Connect(ctx, p.Reference) == nil {
		n.catalog.RecordReference(p.Service, startedAt)
	}
}

// reachesUpstream reports whether a connection to any of several upstreams can be opened.
func (n *Node) reachesUpstream(ctx context.Context, p instances.PathProbe) bool {
	ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
	defer cancel()
	outcomes := make(chan error, len(p.Addresses))
	for _, address := range p.Addresses {
		go func() { outcomes <- n.upstreams.Connect(ctx, address) }()
	}
	for range p.Addresses {
		if err := <-outcomes; err == nil {
			return true
		}
	}
	return false
}
