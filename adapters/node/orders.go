package node

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/adapters/adminapi"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/orders"
	"github.com/crocusspread/crocusspread/core/routing"
)

func (n *Node) buildOrderer() {
	cfg := orders.DefaultConfig(n.self.ID, n.self.Incarnation, n.self.Place.FailureDomain)
	if n.cfg.Orders != nil {
		cfg = *n.cfg.Orders
		cfg.Node, cfg.Incarnation, cfg.Domain = n.self.ID, n.self.Incarnation, n.self.Place.FailureDomain
	}
	n.orderer = orders.New(cfg, orders.Deps{
		KV: n.cfg.Platform.KV, Weights: n.cfg.Platform.Weights, Engines: n.engine, Log: n.log, Meter: n.metrics, Now: time.Now,
	})
}

// orderLoop runs the orderer of the node's failure domain. A graceful shutdown
// releases its lease; after a crash the lease expires.
func (n *Node) orderLoop(ctx context.Context) {
	every(ctx, orderInterval, func(time.Time) { n.orderer.Round(ctx, n.orderView()) })
}

// orderView returns the input for one round of the orderer.
func (n *Node) orderView() orders.DomainView {
	s := orders.DomainView{Engines: n.snapshotEngines()}
	if lists := n.holder.Current(); lists != nil {
		s.DesiredModels = orders.DesiredModels(&lists.Source.Document, n.self.Place.Region)
	}
	s.Rank, s.Eligible = orderRank(n.group.View())
	s.Eligible = s.Eligible && n.lifecycle.State() == domain.NodeServing && len(s.Engines) > 0
	return s
}

// orderRank returns the node's rank among the serving nodes of its failure domain.
func orderRank(v *membership.View) (rank int, serving bool) {
	nodes := slices.DeleteFunc(slices.Clone(v.LocalNodes), func(r domain.NodeRef) bool { return r.State != domain.NodeServing })
	ranked := membership.Rendezvous(orders.Key(v.Self.Place.FailureDomain), nodes, len(nodes))
	rank = slices.IndexFunc(ranked, func(r domain.NodeRef) bool { return r.ID == v.Self.ID })
	return max(rank, 0), rank >= 0
}

// snapshotEngines returns the engines in the routing snapshot.
func (n *Node) snapshotEngines() []orders.Engine {
	snapshot := n.snapshot.Load()
	var engines []orders.Engine
	for i := range int32(snapshot.UpstreamCount()) {
		u := snapshot.Upstream(i)
		if u.Ref.Target.Kind != domain.TargetService {
			engines = append(engines, orderEngine(u))
		}
	}
	return engines
}

// orderEngine converts an upstream of the snapshot for the orderer.
func orderEngine(u *routing.Upstream) orders.Engine {
	e := orders.Engine{
		Ref: u.Ref, Live: u.State == domain.UpstreamLive, Reported: u.Slots > 0,
		Requests: u.Estimate(0).Requests, Slots: float64(u.Slots),
	}
	for _, t := range u.Targets {
		e.Models = append(e.Models, t.Name)
	}
	return e
}

func (n *Node) ordersStatus() adminapi.Orders {
	s := n.orderer.Status()
	return adminapi.Orders{State: string(s.State), Orderer: s.Holder, Fencing: s.Fencing, Changing: s.Changing}
}
