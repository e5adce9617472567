package gateway

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Excluded lists what a request must not use again after earlier attempts.
type Excluded struct {
	Upstreams []domain.UpstreamID
	// Nodes are nodes that were unreachable or refused for a reason of their own;
	// another node of their failure domain may succeed.
	Nodes []domain.NodeID
	// Domains are failure domains that refused for a reason that applies to all their
	// nodes.
	Domains []domain.FailureDomain
}

// nodeKinds are the kinds of failures of one node, which don't apply to the other nodes
// of its failure domain.
var nodeKinds = []errkind.Kind{
	errkind.PeerUnreachable, errkind.PeerLost, errkind.WrongIncarnation, errkind.Draining,
	errkind.ListsOutdated, errkind.ListsUnavailable,
}

func failedAtNode(err error) bool { return slices.Contains(nodeKinds, errkind.From(err).Kind) }

// exclude excludes what failed with err at choice.
func (e *Excluded) exclude(choice Choice, err error) {
	switch {
	case choice.Upstream != nil:
		e.Upstreams = append(e.Upstreams, choice.Upstream.ID)
	case failedAtNode(err):
		e.Nodes = append(e.Nodes, choice.Node.ID)
	default:
		e.Domains = append(e.Domains, choice.Node.Place.FailureDomain)
	}
}
