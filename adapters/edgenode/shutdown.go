package edgenode

import (
	"context"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	// shutdownMargin is the part of the grace period reserved for ending the process.
	shutdownMargin = 400 * time.Millisecond
	// inFlightPollInterval is how often a draining node checks for requests in flight.
	inFlightPollInterval = 50 * time.Millisecond
)

// awaitReady sets the node's state to serving once it has all required documents.
func (n *Node) awaitReady(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.state.completed:
	}
	if n.members.State() != domain.NodeStarting {
		return // it is already shutting down
	}
	n.members.SetState(time.Now(), domain.NodeServing)
	signal(n.statementsChanged) // statements on upstreams whose entries were missing have been dropped
	n.ready.Store(true)
	n.log.Log(event.NodeServing, event.F("node", n.settings.Node), event.F("table", n.state.version()), event.F("members", n.members.Count()))
}

// shutdown drains the node: it removes the node from the directory, still accepts
// requests as peers.Drain allows, waits for requests in flight, and answers those that
// are still in flight shortly before the end.
func (n *Node) shutdown(ctx context.Context, s *servers) {
	started := time.Now()
	deadline := started.Add(n.settings.GracePeriod - shutdownMargin)
	n.ready.Store(false)
	n.closing.Store(true)
	drain := &peers.Drain{StartedAt: started, EndsAt: deadline}
	n.drain.Store(drain)
	n.members.SetState(started, domain.NodeDraining)
	n.log.Log(event.NodeDraining, event.F("node", n.settings.Node), event.F("in_flight", n.inFlight()), event.F("grace_ms", n.settings.GracePeriod.Milliseconds()))
	n.exchangeWithAll(ctx)
	go n.unregister()
	go n.quotas.resign(ctx)
	sleep(ctx, min(peers.DrainAcceptPeriod, time.Until(deadline)))
	n.awaitIdle(ctx, drain.LastAnswersAt())
	n.rejecting.Store(true)
	n.awaitIdle(ctx, drain.LastAnswersAt()) // for requests that were accepted meanwhile
	if left := n.inFlight(); left > 0 {
		n.log.Log(event.RequestsEnded, event.F("node", n.settings.Node), event.F("in_flight", left))
		n.endRequests(relay.ErrStopping)
		n.awaitIdle(ctx, deadline)
	}
	n.members.SetState(time.Now(), domain.NodeStopped)
	n.exchangeWithAll(ctx)
	n.closeServers(s)
}

// awaitIdle waits until no request is in flight, at most until the deadline.
func (n *Node) awaitIdle(ctx context.Context, deadline time.Time) {
	for n.inFlight() > 0 && time.Now().Before(deadline) {
		sleep(ctx, inFlightPollInterval)
	}
}

// exchangeWithAll makes an exchange with every live node, so that none lists this
// node in its directory, and waits until all exchanges have ended.
func (n *Node) exchangeWithAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, m := range n.members.Alive(time.Now()) {
		wg.Go(func() { n.exchange(ctx, m) })
	}
}

// unregister removes the node's entry from the store. An entry of a later process stays.
func (n *Node) unregister() {
	revision := n.entryRevision.Load()
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := n.deps.Store.Delete(ctx, n.nodeKey(), revision); err != nil {
		n.log.Log(event.PlatformFailed, event.F("call", "unregister"), event.F("error", err))
	}
}

// closeTimeout limits how long closing idle connections may take.
const closeTimeout = 200 * time.Millisecond

// closeServers stops all servers.
func (n *Node) closeServers(s *servers) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.entry.Shutdown(ctx); err != nil {
		n.log.Log(event.NodeDraining, event.F("node", n.settings.Node), event.F("closing", err))
	}
	_ = s.entry.Close()     // closes the connections that remain after Shutdown
	_ = s.ready.Close()     // readiness checks need no response any more
	_ = s.directory.Close() // nor do directory lookups
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
	s.peer.Stop()
}
