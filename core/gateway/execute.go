package gateway

import (
	"context"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/lists"
)

// Execute runs a request forwarded by another node on an upstream of this node's failure
// domain, or refuses it. It never forwards a request.
func (g *Gateway) Execute(ctx context.Context, fwd *ForwardedRequest, w answer.Writer) error {
	if fwd.Receiver.Incarnation != g.deps.Self.Incarnation {
		return errkind.New(errkind.WrongIncarnation, "the request is addressed to another process").WithRun(domain.RunNo)
	}
	if !fwd.Repeatable {
		return g.executeOperation(ctx, fwd, w)
	}
	var excluded Excluded
	for {
		choice, err := g.chooseUpstream(ctx, fwd, excluded)
		if err != nil {
			return err
		}
		err = g.dispatch(ctx, *choice.Upstream, fwd, w)
		if !refusedByTracker(err) || fwd.Pinned != "" || len(excluded.Upstreams) == maxAttempts {
			return err
		}
		excluded.exclude(choice, err)
	}
}

// refusedByTracker reports whether a dispatch was refused before anything was sent,
// because the upstream was withdrawn between the routing decision and the dispatch.
func refusedByTracker(err error) bool {
	e := errkind.From(err)
	return e != nil && e.Kind == errkind.NoCapacity && e.Verdict() == domain.RunNo
}

// chooseUpstream chooses an upstream of this node's failure domain by this node's lists.
func (g *Gateway) chooseUpstream(ctx context.Context, fwd *ForwardedRequest, excluded Excluded) (Choice, error) {
	if !g.deps.Accepting() {
		return Choice{}, errkind.New(errkind.Draining, "node %q does not accept new requests", g.deps.Self.ID)
	}
	access, err := g.checkAccess(ctx, fwd)
	if err != nil {
		return Choice{}, err
	}
	return g.deps.Router.Route(RouteRequest{
		Access: access, Target: fwd.Target, PromptTokens: fwd.PromptTokens, Prefix: fwd.Prefix,
		LocalOnly: true, Pinned: fwd.Pinned, Excluded: excluded,
	})
}

// checkAccess checks that the request may be processed in this region.
func (g *Gateway) checkAccess(ctx context.Context, fwd *ForwardedRequest) (*lists.Access, error) {
	access, err := g.customer(ctx, fwd)
	if err != nil {
		return nil, err
	}
	return access, checkTargetAndRegion(access, fwd.Target, g.deps.Self.Place.Region)
}

// customer returns the request's customer from this node's own lists, which must be at
// least as new as the sender's.
func (g *Gateway) customer(ctx context.Context, fwd *ForwardedRequest) (*lists.Access, error) {
	snapshot := g.deps.Lists.Current()
	if snapshot == nil || snapshot.Version < fwd.ListsVersion {
		if err := g.deps.Lists.CatchUp(ctx, fwd.ListsVersion, fwd.Sender); err != nil {
			return nil, err
		}
		snapshot = g.deps.Lists.Current()
	}
	if snapshot == nil {
		return nil, errkind.New(errkind.ListsUnavailable, "node %q has no lists yet", g.deps.Self.ID)
	}
	access, ok := snapshot.Customer(fwd.Customer)
	if !ok {
		return nil, errkind.New(errkind.NotInPlan, "customer %q is not in lists version %d", fwd.Customer, snapshot.Version)
	}
	return access, nil
}

func checkTargetAndRegion(access *lists.Access, target domain.Target, region domain.Region) error {
	if !access.AllowsTarget(target) {
		return errkind.New(errkind.NotInPlan, "plan %q does not include %s %q", access.Plan.ID, target.Kind, target.Name)
	}
	if !access.AllowsRegion(region) {
		return errkind.New(errkind.RegionForbidden, "plan %q does not allow region %q", access.Plan.ID, region)
	}
	return nil
}
