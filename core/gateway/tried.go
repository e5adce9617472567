package gateway

import (
	"slices"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// Tried holds what earlier attempts of a request found unusable.
type Tried struct {
	Upstreams []domain.UpstreamID
	// Nodes could not be reached or refused for a reason of their own; another
	// node of their failure domain may do better.
	Nodes []domain.NodeID
	// Domains refused for a reason that holds for all their nodes.
	Domains []domain.FailureDomain
}

// nodeKinds are failures of one node, which say nothing about the others of its
// failure domain.
var nodeKinds = []errkind.Kind{
	errkind.PeerUnreachable, errkind.PeerLost, errkind.WrongIncarnation, errkind.Draining,
	errkind.ListsOutdated, errkind.ListsUnavailable,
}

func failedAtNode(err error) bool { return slices.Contains(nodeKinds, errkind.From(err).Kind) }

// exclude notes that an attempt at choice failed with err.
func (t *Tried) exclude(choice Choice, err error) {
	switch {
	case choice.Upstream != nil:
		t.Upstreams = append(t.Upstreams, choice.Upstream.ID)
	case failedAtNode(err):
		t.Nodes = append(t.Nodes, choice.Node.ID)
	default:
		t.Domains = append(t.Domains, choice.Node.Place.FailureDomain)
	}
}
