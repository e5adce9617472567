package edgenode

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// healthPollInterval is how often the node looks for health checks that are due.
	healthPollInterval = 250 * time.Millisecond
	// healthTimeout limits a health request; it may wait for a slot.
	healthTimeout = time.Second
)

// checkHealth asks upstreams for their health until ctx ends, while the node does not get their
// entries: nothing else tells it that one has become cold.
func (n *Node) checkHealth(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, healthPollInterval)
		if !n.state.complete() || n.state.entriesAge() <= maxEntriesAge {
			continue
		}
		for _, c := range n.catalog.DueHealthChecks(time.Now(), n.checksHealth) {
			go n.checkUpstream(ctx, c)
		}
	}
}

// checksHealth reports whether this node checks an upstream: one node of the region does, as far as
// they hear of each other.
func (n *Node) checksHealth(id domain.UpstreamID) bool {
	own := placement.RendezvousWeight(placement.RendezvousWeight(0, domain.UpstreamID(n.settings.Node)), id)
	return !slices.ContainsFunc(n.members.Targets(time.Now(), n.settings.Place.Region), func(m peers.Member) bool {
		return placement.RendezvousWeight(placement.RendezvousWeight(0, domain.UpstreamID(m.ID)), id) > own
	})
}

// checkUpstream makes a health check and tells the other nodes of the region if the upstream is
// cold.
func (n *Node) checkUpstream(ctx context.Context, c instances.HealthCheck) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	n.metrics.Count("upstream.health_checks", 1)
	health, err := n.upstreams.CheckHealth(ctx, c.Address, c.Path)
	if err != nil || health.Instance != c.ID || health.ColdFor <= 0 {
		return // requests show whether the upstream can be reached
	}
	n.catalog.ApplyStatements(time.Now(), []instances.Statement{{Service: c.Service, Instance: c.ID, Started: c.Started, ColdFor: health.ColdFor}})
	signal(n.statementsChanged)
}

// propagateStatements propagates what upstreams say of themselves to the nodes of the region.
func (n *Node) propagateStatements(ctx context.Context) {
	n.propagate(ctx, n.statementsChanged, func() []peers.Member {
		return n.members.Targets(time.Now(), n.settings.Place.Region)
	})
}
