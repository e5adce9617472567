package edgenode

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/instances"
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
func (n *Node) Tell(notices []instances.Notice) { n.catalog.Noticed(time.Now(), notices) }

// tellNotices passes notices on until ctx ends.
func (n *Node) tellNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.notices:
			sleep(ctx, noticeDelay)
			n.tellNear(ctx, n.collect(first))
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

func (n *Node) tellNear(ctx context.Context, batch []instances.Notice) {
	for _, m := range n.members.Targets(time.Now(), n.settings.Place.Region) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			if err := n.mesh.Tell(ctx, m.PeerAddress, batch); err != nil {
				n.metrics.Count("mesh.tell_failed", 1)
			}
		}()
	}
}
