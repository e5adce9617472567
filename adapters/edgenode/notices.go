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
	// queuedNotices bounds the notices that wait to be told.
	queuedNotices = 256
	// noticeBatch bounds the notices in one message, noticeDelay how long the
	// first of them waits for others.
	noticeBatch = 32
	noticeDelay = 3 * time.Millisecond
	// tellTimeout bounds one message: a notice that is older says nothing.
	tellTimeout = 300 * time.Millisecond
)

// announce queues a notice for the other nodes of the region.
func (n *Node) announce(notice instances.Notice) {
	select {
	case n.notices <- notice:
	default:
		n.metrics.Count("mesh.notices_dropped", 1)
	}
}

// Tell implements mesh.Handler.
func (n *Node) Tell(notices []instances.Notice, passOn bool) {
	n.metrics.Count("mesh.notices_heard", int64(len(notices)))
	n.catalog.Noticed(time.Now(), notices)
	if !passOn {
		return
	}
	own, _ := n.nearTargets()
	for _, m := range own {
		go n.tell(m, notices, false)
	}
}

// tellNotices passes notices on until ctx ends.
func (n *Node) tellNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.notices:
			sleep(ctx, noticeDelay)
			n.tellNear(n.collect(first))
		}
	}
}

func (n *Node) collect(first instances.Notice) []instances.Notice {
	batch := []instances.Notice{first}
	for len(batch) < noticeBatch {
		select {
		case more := <-n.notices:
			batch = append(batch, more)
		default:
			return batch
		}
	}
	return batch
}

// tellNear tells the nodes of the own failure domain, and one of each other one of
// the region, which passes the notices on there: bytes between failure domains are
// paid for.
func (n *Node) tellNear(batch []instances.Notice) {
	own, other := n.nearTargets()
	for _, m := range own {
		go n.tell(m, batch, false)
	}
	for _, m := range other {
		go n.tell(m, batch, true)
	}
}

// nearTargets returns the other nodes of the own failure domain, and one node of
// each other failure domain of the region.
func (n *Node) nearTargets() (own, other []peers.Member) {
	drawn := make(map[domain.FailureDomain][]peers.Member)
	for _, m := range n.members.Targets(time.Now(), n.settings.Place.Region) {
		if m.Place == n.settings.Place {
			own = append(own, m)
		} else {
			drawn[m.Place.FailureDomain] = append(drawn[m.Place.FailureDomain], m)
		}
	}
	for _, list := range drawn {
		other = append(other, list[rand.IntN(len(list))])
	}
	return own, other
}

func (n *Node) tell(to peers.Member, batch []instances.Notice, passOn bool) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if err := n.mesh.Tell(ctx, to.PeerAddress, batch, passOn); err != nil {
		n.metrics.Count("mesh.tell_failed", 1)
	}
}
