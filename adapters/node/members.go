package node

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

// heartbeatLoop sends heartbeats each round, and immediately after an urgent change.
func (n *Node) heartbeatLoop(ctx context.Context) {
	lastRound := time.Time{}
	every(ctx, urgentInterval, func(now time.Time) {
		due := now.Sub(lastRound) >= n.cfg.HeartbeatInterval
		if !due && !n.group.Urgent() {
			return
		}
		if due {
			lastRound = now
			n.publishLoad(now)
		}
		for _, out := range n.group.StartRound(now) {
			n.background.Go(func() { n.sendHeartbeat(ctx, out) })
		}
	})
}

// sendHeartbeat sends a heartbeat and processes the reply.
func (n *Node) sendHeartbeat(ctx context.Context, out membership.Outgoing) {
	sent := time.Now()
	n.metrics.Count("heartbeats.sent", 1)
	reply, err := n.peers.Heartbeat(ctx, out.To, out.Message)
	if err != nil {
		n.metrics.Count("heartbeats.failed", 1)
		n.group.HandleFailure(time.Now(), out.To)
		return
	}
	n.group.HandleReply(time.Now(), out.To, sent, reply)
	n.processHeartbeat(reply)
}

// ReceiveHeartbeat implements peer.Control.
func (n *Node) ReceiveHeartbeat(h membership.Heartbeat) membership.Heartbeat {
	reply := n.group.Receive(time.Now(), h)
	n.processHeartbeat(h)
	return reply
}

// processHeartbeat processes the parts of a heartbeat that do not concern membership.
func (n *Node) processHeartbeat(h membership.Heartbeat) {
	n.registry.observe(time.Now(), h.Sender.Node, h.ListsVersion)
	n.follower.RecordPeerVersion(h.Sender.Node, h.ListsVersion)
	if h.Sender.Node.Place.FailureDomain != n.self.Place.FailureDomain || h.Sender.Node.ID == n.self.ID {
		return
	}
	loads := make([]upstreams.PeerLoad, 0, len(h.Upstreams))
	for _, u := range h.Upstreams {
		loads = append(loads, upstreams.PeerLoad{
			Upstream: u.Upstream, InFlight: int(u.InFlight), PendingTokens: int(u.PendingTokens), Leaving: u.Leaving, Suspect: u.Suspect,
		})
	}
	n.tracker.ObservePeer(time.Now(), h.Sender.Node.ID, loads)
}

// publishLoad passes the node's own load to membership, which sends it in heartbeats.
func (n *Node) publishLoad(now time.Time) {
	own := n.tracker.PeerLoads(now)
	loads := make([]membership.UpstreamLoad, 0, len(own))
	for _, u := range own {
		loads = append(loads, membership.UpstreamLoad{
			Upstream: u.Upstream, InFlight: uint32(u.InFlight), PendingTokens: uint64(u.PendingTokens), Leaving: u.Leaving, Suspect: u.Suspect,
		})
	}
	n.group.SetUpstreams(loads)
	n.group.SetOwnLoad(now, targetLoads(n.tracker.Aggregate(now)))
}

const milli = 1000

func targetLoads(a upstreams.Aggregate) []membership.TargetLoad {
	out := make([]membership.TargetLoad, 0, len(a.Targets))
	for _, t := range a.Targets {
		out = append(out, membership.TargetLoad{
			Target: t.Target, Slots: uint32(t.Slots), Free: uint32(max(0, t.Free)), WaitMillis: uint32(t.Wait.Milliseconds()),
			CostMilli: uint32(t.CostPerMillionTokens * milli),
		})
	}
	return out
}

// onState records a change of the node's own state.
func (n *Node) onState(s domain.NodeState) {
	n.group.SetState(time.Now(), s)
	switch s {
	case domain.NodeServing:
		n.log.Log(event.NodeServing, event.F("lists", n.holder.Version()))
	case domain.NodeDraining:
		n.log.Log(event.NodeDraining)
	}
}

// Entries implements callerapi.Entries.
func (n *Node) Entries() callerapi.EntryList {
	out := callerapi.EntryList{TTLSeconds: int(n.cfg.EntryTTL.Seconds()), Entries: []callerapi.Entry{}}
	for _, e := range membership.Entries(n.group.View()) {
		out.Entries = append(out.Entries, callerapi.Entry{
			Node: e.Node, Address: e.Address, Region: e.Place.Region, FailureDomain: e.Place.FailureDomain,
		})
	}
	return out
}
