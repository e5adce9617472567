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
	// readersEach is the number of nodes of a failure domain that read the store
	// for all; the others follow them through exchanges. Two, so that one may
	// fail.
	readersEach = 2
	// readerShare is the part of the exchanges that goes to a reader, so that its
	// news is known within a second.
	readerShare = 0.4
	// readerKey ranks the nodes of a failure domain as readers.
	readerKey = 0x7265616465727321
	// operatorStale and entriesStale are the times without news of a later
	// revision after which a node reads the store itself: a reader's pace, and
	// some rounds of exchanges.
	operatorStale = operatorWait + 3*time.Second
	entriesStale  = entriesPace + 3*time.Second
)

// readers returns the nodes that read the store for a failure domain.
func readers(nodes []domain.NodeID) []domain.NodeID {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b domain.NodeID) int {
		return cmp.Compare(placement.Score(readerKey, domain.UpstreamID(b)), placement.Score(readerKey, domain.UpstreamID(a)))
	})
	return ranked[:min(readersEach, len(ranked))]
}

// ownDomain returns the live nodes of the own failure domain, this one included.
func (n *Node) ownDomain() (ids []domain.NodeID, others []peers.Member) {
	ids = []domain.NodeID{n.settings.Node}
	for _, m := range n.members.Alive(time.Now()) {
		if m.Place == n.settings.Place {
			ids = append(ids, m.ID)
			others = append(others, m)
		}
	}
	return ids, others
}

// readerDelay keeps nodes that start together from all becoming readers before
// they know each other.
const readerDelay = 1500 * time.Millisecond

// reader tells if this node reads the store for its failure domain.
func (n *Node) reader() bool {
	if time.Since(n.startedAt) < readerDelay {
		return false
	}
	ids, _ := n.ownDomain()
	return slices.Contains(readers(ids), n.settings.Node)
}

// otherReaders returns the readers of the failure domain beside this node.
func (n *Node) otherReaders() []peers.Member {
	ids, others := n.ownDomain()
	chosen := readers(ids)
	return slices.DeleteFunc(others, func(m peers.Member) bool { return !slices.Contains(chosen, m.ID) })
}

func (n *Node) operatorDue() bool {
	return n.reader() || n.state.operatorAge() > operatorStale
}

func (n *Node) entriesDue() bool {
	return n.reader() || n.state.entriesAge() > entriesStale
}
