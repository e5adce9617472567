package edgenode

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// readersPerDomain is the number of nodes of a failure domain that read the
	// store; the others receive changes from them through exchanges. There are two,
	// so that one may fail.
	readersPerDomain = 2
	// readerProbability is the fraction of exchanges that are made with a reader, so
	// that changes reach every node within a second.
	readerProbability = 0.4
	// readerHashKey is the key by which the nodes of a failure domain are ranked when
	// readers are selected.
	readerHashKey = 0x7265616465727321
	// maxDocumentAge is the age of the last confirmed revision above which a node reads the
	// store itself: the read interval of a reader, plus time for a few rounds of exchanges.
	// The store may turn the readers of a failure domain away while it is cut off from the
	// others; a change must then still be in force everywhere within three seconds.
	maxDocumentAge = 2500 * time.Millisecond
	// outdatedEntriesAge is the age from which on a node asks the upstreams for their health
	// instead. It covers some failed reads.
	outdatedEntriesAge = 4 * time.Second
)

// selectReaders returns the nodes that read the store for a failure domain, out of
// the IDs of its live nodes.
func selectReaders(nodes []domain.NodeID) []domain.NodeID {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b domain.NodeID) int {
		return cmp.Compare(placement.RendezvousWeight(readerHashKey, domain.UpstreamID(b)), placement.RendezvousWeight(readerHashKey, domain.UpstreamID(a)))
	})
	return ranked[:min(readersPerDomain, len(ranked))]
}

// ownDomainNodes returns the IDs of the live nodes of this node's failure domain,
// this one included, and the members other than this one.
func (n *Node) ownDomainNodes() (ids []domain.NodeID, others []peers.Member) {
	ids = []domain.NodeID{n.settings.Node}
	for _, m := range n.members.Alive(time.Now()) {
		if m.Place == n.settings.Place {
			ids = append(ids, m.ID)
			others = append(others, m)
		}
	}
	return ids, others
}

// readerDelay prevents nodes that start together from all becoming readers before
// they have discovered each other.
const readerDelay = 1500 * time.Millisecond

// isReader reports whether this node reads the store for its failure domain.
func (n *Node) isReader() bool {
	if time.Since(n.startedAt) < readerDelay {
		return false
	}
	ids, _ := n.ownDomainNodes()
	return slices.Contains(selectReaders(ids), n.settings.Node)
}

// isFirstReader reports whether this node is the first of the readers of its failure domain.
func (n *Node) isFirstReader() bool {
	ids, _ := n.ownDomainNodes()
	return selectReaders(ids)[0] == n.settings.Node
}

// otherReaders returns the readers of this node's failure domain other than this
// node.
func (n *Node) otherReaders() []peers.Member {
	ids, others := n.ownDomainNodes()
	selected := selectReaders(ids)
	return slices.DeleteFunc(others, func(m peers.Member) bool { return !slices.Contains(selected, m.ID) })
}

// shouldReadOperator reports whether this node reads the operator's documents from
// the store.
func (n *Node) shouldReadOperator() bool {
	return n.isReader() || n.state.operatorAge() > maxDocumentAge || n.strictKeys() && n.keys.refresher.ReadStore(n.keys.now(), n.keys.Proof())
}

// shouldReadEntries reports whether this node reads the entries of upstreams from
// the store.
func (n *Node) shouldReadEntries() bool {
	return n.isReader() || n.state.entriesAge() > maxDocumentAge
}
