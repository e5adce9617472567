package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/routing"
	"github.com/crocusspread/crocusspread/core/upstreams"
)

// snapshotLoop rebuilds the snapshot that routing decisions use.
func (n *Node) snapshotLoop(ctx context.Context) {
	every(ctx, snapshotInterval, func(now time.Time) {
		n.observeDomains(now)
		_ = n.rebuildSnapshot(now)
		n.admission.AdmitQueued(now)
	})
}

// rebuildSnapshot builds the routing snapshot from the current state.
func (n *Node) rebuildSnapshot(now time.Time) error {
	b := routing.NewBuilder(n.self.Place)
	if s := n.holder.Current(); s != nil {
		for _, r := range s.Source.Document.Regions {
			b.AddRegion(r)
		}
	}
	n.tracker.AppendTo(now, b)
	n.domains.AppendTo(now, b)
	s, err := b.Build()
	if err != nil {
		return err
	}
	n.snapshot.Store(s)
	return nil
}

// observeDomains passes the state of other failure domains from membership to
// routing.
func (n *Node) observeDomains(now time.Time) {
	view := n.group.View()
	for i := range view.OtherDomains {
		d := &view.OtherDomains[i]
		n.domains.SetReachable(d.Place, d.Reachable && len(d.Nodes) > 0, d.RTT)
		n.domains.SetLink(d.Place, n.linkTo(d.Place.Region))
		if !d.ReportedAt.IsZero() {
			aggregate, sequence := aggregateOf(d)
			n.domains.Observe(now, aggregate, sequence, d.Age(now))
		}
	}
}

// linkTo returns the budget of the link to a region, shared by its failure domains.
func (n *Node) linkTo(r domain.Region) *routing.LinkBudget {
	n.linkMu.Lock()
	defer n.linkMu.Unlock()
	budget, ok := n.linkBudgets[r]
	if !ok {
		budget = n.cfg.linkBudget(r)
		n.linkBudgets[r] = budget
	}
	return budget
}

// aggregateOf converts the load of a failure domain. The sequence number is the
// highest of its targets.
func aggregateOf(d *membership.Domain) (a upstreams.Aggregate, sequence uint64) {
	a.Place = d.Place
	for _, t := range d.Targets {
		sequence = max(sequence, t.Sequence)
		a.Targets = append(a.Targets, upstreams.TargetAggregate{
			Target: t.Target, Slots: int(t.Slots), Free: int(t.Free), Wait: time.Duration(t.WaitMillis) * time.Millisecond,
			CostPerMillionTokens: float64(t.CostMilli) / milli,
		})
	}
	return a, sequence
}

// Route implements gateway.Router.
func (n *Node) Route(req gateway.RouteRequest) (gateway.Choice, error) {
	if req.Pinned != "" {
		return n.pinned(req.Pinned)
	}
	s := n.snapshot.Load()
	r := routing.Request{
		Target: req.Target, Allowed: s.Regions().Set(req.Access.AllowsRegion), LocalOnly: req.LocalOnly,
		PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, PrefixHash: req.Prefix, PrefixTokens: req.PromptTokens,
		BodyBytes: req.BodyBytes, Priority: req.Access.Plan.Priority, Deadline: req.Deadline, Home: req.Access.Plan.Home,
		ExcludedUpstreams: req.Excluded.Upstreams, ExcludedDomains: n.excludedDomains(req.Excluded), Seed: rand.Uint64(),
	}
	now := time.Now()
	d, err := n.decide(s, &r, now)
	if err != nil {
		return gateway.Choice{Reason: "refused" + n.explanation(s, &r, now)}, err
	}
	choice, err := n.choose(s, &r, d, req.Excluded.Nodes, now)
	choice.Reason += n.explanation(s, &r, now)
	return choice, err
}

// choose converts a routing decision to the destination of an attempt.
func (n *Node) choose(s *routing.Snapshot, r *routing.Request, d routing.Decision, triedNodes []domain.NodeID, now time.Time) (gateway.Choice, error) {
	switch d.Action {
	case routing.ActionLocal:
		ref := s.Upstream(d.Upstream).Ref
		return gateway.Choice{Upstream: &ref, Reason: "upstream " + string(ref.ID) + ", first token in " + d.FirstToken.String()}, nil
	case routing.ActionForward:
		if d.Link != nil {
			d.Link.Consume(now, routing.EstimateLinkBytes(r))
		}
		return n.forwardTo(s.Domain(d.Domain).Place, d, triedNodes)
	}
	return gateway.Choice{Reason: "refused"}, refusal(d.Err(r))
}

// refusal returns the error of a routing refusal for a target that the plan
// includes. Such a target is not unknown merely because no upstream has reported it
// yet.
func refusal(err error) error {
	e := errkind.From(err)
	if e.Kind != errkind.UnknownTarget {
		return err
	}
	return errkind.New(errkind.NoCapacity, "%s", e.Message)
}

// pinned returns the upstream that runs a generation, or an error if the upstream no
// longer exists.
func (n *Node) pinned(id domain.UpstreamID) (gateway.Choice, error) {
	for _, ref := range n.tracker.Refs() {
		if ref.ID == id {
			return gateway.Choice{Upstream: &ref, Reason: "resumed at upstream " + string(id)}, nil
		}
	}
	return gateway.Choice{}, errkind.New(errkind.NoCapacity, "upstream %q, which ran the generation, no longer exists", id)
}

// forwardTo returns a node of a failure domain that was not tried yet.
func (n *Node) forwardTo(place domain.Place, d routing.Decision, tried []domain.NodeID) (gateway.Choice, error) {
	node, ok := n.OtherNode(place.FailureDomain, tried)
	if !ok {
		return gateway.Choice{}, errkind.New(errkind.NoCapacity, "no node of failure domain %q is known", place.FailureDomain)
	}
	return gateway.Choice{
		Node: &node, Reason: "failure domain " + string(place.FailureDomain) + " over node " + string(node.ID) + ", first token in " + d.FirstToken.String(),
	}, nil
}

// OtherNode implements gateway.Router.
func (n *Node) OtherNode(fd domain.FailureDomain, tried []domain.NodeID) (domain.NodeRef, bool) {
	known, ok := n.group.View().Domain(fd)
	if !ok {
		return domain.NodeRef{}, false
	}
	nodes := untried(known.Nodes, tried)
	if len(nodes) == 0 {
		return domain.NodeRef{}, false
	}
	return n.receivers.pick(nodes), true
}

// excludedDomains returns the failure domains that a request can no longer use: those
// that refused it, and those whose known nodes were all tried.
func (n *Node) excludedDomains(t gateway.Excluded) []domain.FailureDomain {
	if len(t.Nodes) == 0 {
		return t.Domains
	}
	excluded := slices.Clone(t.Domains)
	view := n.group.View()
	for i := range view.OtherDomains {
		if d := &view.OtherDomains[i]; len(d.Nodes) > 0 && len(untried(d.Nodes, t.Nodes)) == 0 {
			excluded = append(excluded, d.Place.FailureDomain)
		}
	}
	return excluded
}

// untried returns the nodes that are not in tried.
func untried(nodes []domain.NodeRef, tried []domain.NodeID) []domain.NodeRef {
	if len(tried) == 0 {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n domain.NodeRef) bool { return slices.Contains(tried, n.ID) })
}

// Start implements gateway.Tracker.
func (n *Node) Start(up domain.UpstreamID, w gateway.Work) (gateway.Progress, error) {
	d, err := n.tracker.Start(time.Now(), up, w.PromptTokens, w.Prefix)
	if err != nil {
		return nil, err
	}
	return progress{d}, nil
}

// progress reports the progress of one dispatch to the tracker.
type progress struct {
	dispatch *upstreams.Dispatch
}

// FirstChunk implements gateway.Progress.
func (p progress) FirstChunk() { p.dispatch.FirstToken(time.Now()) }

// Ended implements gateway.Progress.
func (p progress) Ended(err error) { p.dispatch.End(time.Now(), outcomeOf(err)) }

// outcomeOf returns the outcome for the upstream that an error implies.
func outcomeOf(err error) upstreams.Outcome {
	if err == nil {
		return upstreams.OutcomeSucceeded
	}
	switch errkind.From(err).Kind {
	case errkind.UpstreamFailed, errkind.UpstreamSilent, errkind.Truncated:
		return upstreams.OutcomeFailed
	}
	return upstreams.OutcomeNeutral
}
