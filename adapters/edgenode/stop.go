package edgenode

import (
	"context"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

const (
	// acceptWhileStopping covers callers that keep a directory answer for three
	// times its time to live, and the exchange that takes the node out of it.
	acceptWhileStopping = 3300 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 400 * time.Millisecond
	// idleCheck is how often a stopping node looks for requests in flight.
	idleCheck = 50 * time.Millisecond
)

// awaitReady moves the node from starting to serving once it knows enough.
func (n *Node) awaitReady(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.state.completed:
	}
	if n.members.State() != domain.NodeStarting {
		return // it stops already
	}
	n.members.SetState(domain.NodeServing)
	n.ready.Store(true)
	n.log.Log(event.NodeServing, event.F("node", n.settings.Node), event.F("table", n.state.version()), event.F("members", n.members.Count()))
}

// stop ends the node's work: it leaves the directory, takes what still comes
// from callers with an old answer, and finishes what runs.
func (n *Node) stop(ctx context.Context, s *servers) {
	began := time.Now()
	deadline := began.Add(n.settings.Grace - stopMargin)
	n.ready.Store(false)
	n.closing.Store(true)
	n.members.SetState(domain.NodeDraining)
	n.log.Log(event.NodeDraining, event.F("node", n.settings.Node), event.F("in_flight", n.inFlight()), event.F("grace_ms", n.settings.Grace.Milliseconds()))
	n.tellAll(ctx)
	go n.unregister()
	sleep(ctx, min(acceptWhileStopping, time.Until(deadline)))
	n.refusing.Store(true)
	for n.inFlight() > 0 && time.Now().Before(deadline) {
		sleep(ctx, idleCheck)
	}
	n.members.SetState(domain.NodeStopped)
	n.tellAll(ctx)
	n.close(s)
}

// tellAll tells every node of the region, so that none names this one to
// callers, and one of each other region.
func (n *Node) tellAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, m := range n.members.Alive(time.Now()) {
		wg.Go(func() { n.exchange(ctx, m) })
	}
}

func (n *Node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := n.outside.Store.Delete(ctx, n.nodeKey()); err != nil {
		n.log.Log(event.PlatformFailed, event.F("call", "unregister"), event.F("error", err))
	}
}

// closeTimeout bounds the closing of idle connections.
const closeTimeout = 200 * time.Millisecond

func (n *Node) close(s *servers) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.entry.Shutdown(ctx); err != nil {
		n.log.Log(event.NodeDraining, event.F("node", n.settings.Node), event.F("closing", err))
	}
	_ = s.entry.Close()     // cuts what Shutdown left
	_ = s.ready.Close()     // checks need no answer any more
	_ = s.directory.Close() // nor do questions
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
	s.peer.Stop()
}
