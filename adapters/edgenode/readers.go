package edgenode

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// readersEach is the number of nodes of a region that read the store for all;
	// the others follow them through exchanges. Two, so that one may fail.
	readersEach = 2
	// readerKey ranks the nodes of a region as readers.
	readerKey = 0x7265616465727321
	// operatorStale and entriesStale are the times without news of a later
	// revision after which a node reads the store itself: a reader's pace, and
	// the exchanges that carry it through a region of thirty nodes.
	operatorStale = operatorWait + 2*time.Second
	entriesStale  = entriesPace + 2*time.Second
)

// reader tells if this node reads the store for its region.
func (n *Node) reader() bool {
	above := 0
	own := placement.Score(readerKey, domain.UpstreamID(n.settings.Node))
	for _, id := range n.members.InRegion(time.Now()) {
		if placement.Score(readerKey, domain.UpstreamID(id)) > own {
			above++
		}
	}
	return above < readersEach
}

func (n *Node) operatorDue() bool {
	return n.reader() || n.state.operatorAge() > operatorStale
}

func (n *Node) entriesDue() bool {
	return n.reader() || n.state.entriesAge() > entriesStale
}

// nodesDue lets nodes that do not read look for others until they know some.
func (n *Node) nodesDue() bool {
	return n.reader() || n.members.Count() <= readersEach
}
