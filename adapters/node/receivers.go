package node

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/routing"
)

// nodeLoadBound is the maximum load of a receiver relative to the mean.
const nodeLoadBound = 1.25

// receivers counts the requests in flight that this node forwarded, by receiver. It
// chooses receivers by bounded-load rendezvous hashing.
type receivers struct {
	mu       sync.Mutex
	inFlight map[domain.NodeID]int
}

// pick chooses one of nodes; nodes must not be empty.
func (r *receivers) pick(nodes []domain.NodeRef) domain.NodeRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make([]routing.NodeLoad, len(nodes))
	for i, node := range nodes {
		loads[i] = routing.NodeLoad{Key: routing.HashKey(string(node.ID)), InFlight: r.inFlight[node.ID]}
	}
	return nodes[routing.ChooseNode(rand.Uint64(), loads, nodeLoadBound)]
}

// start counts a new request forwarded to a node.
func (r *receivers) start(id domain.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight == nil {
		r.inFlight = make(map[domain.NodeID]int)
	}
	r.inFlight[id]++
}

// end counts the end of a request forwarded to a node.
func (r *receivers) end(id domain.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[id]--; r.inFlight[id] <= 0 {
		delete(r.inFlight, id)
	}
}

// StartForward implements gateway.Tracker.
func (n *Node) StartForward(to domain.NodeRef, w gateway.Work) (gateway.Progress, error) {
	d, err := n.domains.StartForward(time.Now(), to.Place.FailureDomain, w.Target, w.PromptTokens)
	if err != nil {
		return nil, err
	}
	n.metrics.Count(telemetry.ForwardsSent, 1)
	n.receivers.start(to.ID)
	return forwardProgress{progress: progress{d}, node: n, to: to}, nil
}

// forwardProgress reports the progress of one forwarded request. An unreachable
// receiver is reported as failed immediately, not only after missed heartbeats.
type forwardProgress struct {
	progress
	node *Node
	to   domain.NodeRef
}

// Ended implements gateway.Progress.
func (f forwardProgress) Ended(err error) {
	f.progress.Ended(err)
	f.node.receivers.end(f.to.ID)
	if errors.Is(err, errkind.Of(errkind.PeerUnreachable)) {
		f.node.group.HandleFailure(time.Now(), f.to)
	}
}
