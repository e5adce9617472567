package edgenode

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	// healthPollInterval is how often the node looks for health checks that are due.
	healthPollInterval = 250 * time.Millisecond
	// healthTimeout limits a health request; it may wait for a slot.
	healthTimeout = time.Second
)

// checkHealth asks upstreams for their health until ctx ends: those that may have started again and, while the node
// does not get the entries of upstreams, all of them, as nothing else tells it that one has become cold.
func (n *Node) checkHealth(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, healthPollInterval)
		if !n.state.complete() {
			continue
		}
		for _, c := range n.catalog.DueHealthChecks(time.Now(), n.state.entriesAge() > outdatedEntriesAge, n.checksHealth) {
			go n.checkUpstream(ctx, c)
		}
	}
}

// checksHealth reports whether this node checks an upstream of a service: one node of the region that reaches upstreams of the
// service does, as far as they hear of each other.
func (n *Node) checksHealth(service string, id domain.UpstreamID) bool {
	own := placement.RendezvousWeight(placement.RendezvousWeight(0, domain.UpstreamID(n.settings.Node)), id)
	return !slices.ContainsFunc(n.members.TargetsFor(time.Now(), n.settings.Place.Region, service), func(m peers.Member) bool {
		return placement.RendezvousWeight(placement.RendezvousWeight(0, domain.UpstreamID(m.ID)), id) > own
	})
}

// checkUpstream makes a health check and tells the other nodes of the region what it shows.
func (n *Node) checkUpstream(ctx context.Context, c instances.HealthCheck) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	n.metrics.Count("upstream.health_checks", 1)
	sentAt := time.Now()
	health, err := n.upstreams.CheckHealth(ctx, c.Address, c.Path)
	if err == nil && health.Instance == c.ID {
		n.catalog.Pool(c.Service).RecordBrittle(time.Now(), sentAt, instances.ReportedLoad{Brittle: health.Brittle, MaxRejections: health.MaxRejections})
	}
	if err == nil && health.Instance == c.ID && health.Leaving {
		n.catalog.RecordLeaving(c)
	}
	switch {
	case errors.Is(err, relay.ErrConnectionRefused):
		n.catalog.RecordHealthRefused(time.Now(), c)
	case err != nil || health.Instance != c.ID || health.ColdFor <= 0 && !health.Healthy:
		// Nothing is known of its process; requests show whether it can be reached.
	default:
		n.catalog.RecordHealth(time.Now(), sentAt, c, health.ColdFor)
	}
}

// propagateStatements propagates what upstreams say of themselves to the nodes of the region.
func (n *Node) propagateStatements(ctx context.Context) {
	n.propagate(ctx, n.statementsChanged, func() []peers.Member {
		return n.members.Targets(time.Now(), n.settings.Place.Region)
	})
}
