package edgenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
)

const (
	// noticeQueueSize is the maximum number of notices that wait to be sent.
	noticeQueueSize = 256
	// maxNoticeBatch is the maximum number of notices in one message, noticeDelay
	// how long the first of them waits for others.
	maxNoticeBatch = 32
	noticeDelay    = 3 * time.Millisecond
	// noticeTimeout limits sending one message; older notices are of no use.
	noticeTimeout = 300 * time.Millisecond
)

// enqueueNotice queues a notice for the other nodes of the region.
func (n *Node) enqueueNotice(notice instances.Notice) {
	select {
	case n.notices <- notice:
	default:
		n.metrics.Count("mesh.notices_dropped", 1)
	}
}

// Notify implements mesh.Handler.
func (n *Node) Notify(notices []instances.Notice, forward bool) {
	n.metrics.Count("mesh.notices_heard", int64(len(notices)))
	n.catalog.ApplyNotices(time.Now(), notices)
	if !forward {
		return
	}
	own, _ := n.regionTargets()
	for _, m := range own {
		go n.sendNotice(m, notices, false)
	}
}

// sendNotices sends queued notices until ctx ends.
func (n *Node) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.notices:
			sleep(ctx, noticeDelay)
			n.sendBatch(n.collectBatch(first))
		}
	}
}

// collectBatch returns a batch of the first notice and those queued after it.
func (n *Node) collectBatch(first instances.Notice) []instances.Notice {
	batch := []instances.Notice{first}
	for len(batch) < maxNoticeBatch {
		select {
		case notice := <-n.notices:
			batch = append(batch, notice)
		default:
			return batch
		}
	}
	return batch
}

// sendBatch sends notices to the nodes of this node's failure domain, and to one
// node in each other failure domain of the region, which forwards them there:
// traffic between failure domains is charged for.
func (n *Node) sendBatch(batch []instances.Notice) {
	own, other := n.regionTargets()
	for _, m := range own {
		go n.sendNotice(m, batch, false)
	}
	for _, m := range other {
		go n.sendNotice(m, batch, true)
	}
}

// regionTargets returns the other nodes of this node's failure domain, and one
// random node of each other failure domain of the region.
func (n *Node) regionTargets() (own, other []peers.Member) {
	byDomain := make(map[domain.FailureDomain][]peers.Member)
	for _, m := range n.members.Targets(time.Now(), n.settings.Place.Region) {
		if m.Place == n.settings.Place {
			own = append(own, m)
		} else {
			byDomain[m.Place.FailureDomain] = append(byDomain[m.Place.FailureDomain], m)
		}
	}
	for _, list := range byDomain {
		other = append(other, list[rand.IntN(len(list))])
	}
	return own, other
}

// sendNotice sends a batch of notices to a node.
func (n *Node) sendNotice(target peers.Member, batch []instances.Notice, forward bool) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := n.mesh.Notify(ctx, target.PeerAddress, batch, forward); err != nil {
		n.metrics.Count("mesh.tell_failed", 1)
	}
}
