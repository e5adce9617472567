package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
)

// maxForwards is the maximum number of nodes of its own region to which a node that reaches no upstream of a service sends a
// request for it.
const maxForwards = 2

// pathsLost reports whether this node reaches no upstream of the request's service in its region.
func (a *attempts) pathsLost() bool { return a.Catalog.Pool(a.r.Service).PathsLost() }

// mayForward reports whether the request may be sent to a node of this region, as this one reaches no upstream of
// its service.
func (a *attempts) mayForward(now time.Time) bool {
	return !a.r.Relayed && len(a.forwarded) < maxForwards && a.r.Allows(a.Self.Region) && a.Members.HasTarget(now, a.Self.Region, a.r.Service)
}

// forwardDecision returns the decision to send the request to a node of this region, of its own failure domain if possible.
func (a *attempts) forwardDecision() placement.Decision {
	return placement.Decision{Choice: placement.Remote, Region: a.Self.Region, Domain: a.Self.FailureDomain, Usable: 1}
}

// sendRemote sends the request to another node, mostly of another region, which runs or refuses it.
func (a *attempts) sendRemote(ctx context.Context, region domain.Region) result {
	to, found := a.chooseNode(region, a.decision.Domain)
	if !found {
		return failedResult(errkind.PeerUnreachable, domain.RunNo, instances.Unreachable, "no node of region %s is reachable", region)
	}
	if region == a.Self.Region {
		a.forwarded = append(a.forwarded, to.ID)
		a.Metrics.Count("relay.forwarded", 1)
	}
	defer a.Regions.TrackRequest(region, a.r.Service)()
	a.Metrics.Count("relay.sent_to_region", 1)
	sentAt := a.Now()
	answer, err := a.Nodes.Relay(ctx, &to, a.newCall())
	var res result
	var sent int
	if err != nil {
		res = a.relayError(ctx, region, err)
		sent = remoteSends(err)
		if res.reached {
			sent = max(1, sent)
		}
	} else {
		a.headAt, a.framing = a.Now(), answer.Head().Framing
		res = a.receiveRemote(ctx, answer)
		sent = answer.SendCount()
		answer.Close()
	}
	a.r.SendCount += sent
	if a.crashedElsewhere(res) {
		a.crashes++
	}
	a.logAttempt(string(to.ID), sentAt, a.decision.Delay, res)
	return res
}

// chooseNode returns a random node of the region, if possible one to which the request was not forwarded, among those that this node prefers, if
// possible one of the failure domain nearDomain, because traffic between failure domains
// is billed. If none of them is connected, it returns any connected node, and
// otherwise a preferred one.
func (a *attempts) chooseNode(region domain.Region, nearDomain domain.FailureDomain) (peers.Member, bool) {
	preferred := a.Members.PreferredFor(a.Now(), region, a.r.Service)
	rand.Shuffle(len(preferred), func(i, j int) { preferred[i], preferred[j] = preferred[j], preferred[i] })
	slices.SortStableFunc(preferred, func(x, y peers.Member) int {
		return cmp.Compare(domainDistance(&x, nearDomain), domainDistance(&y, nearDomain))
	})
	tried := func(m peers.Member) bool { return slices.Contains(a.forwarded, m.ID) }
	targets := a.Members.TargetsFor(a.Now(), region, a.r.Service)
	if untried := slices.DeleteFunc(slices.Clone(targets), tried); len(untried) > 0 {
		preferred, targets = slices.DeleteFunc(preferred, tried), untried
	}
	if m, found := a.firstConnected(preferred); found {
		return m, true
	}
	if m, found := a.firstConnected(targets); found {
		return m, true
	}
	if len(preferred) == 0 {
		preferred = targets
	}
	if len(preferred) == 0 {
		return peers.Member{}, false
	}
	return preferred[0], true
}

// firstConnected returns the first node to which a request can be sent immediately.
func (a *attempts) firstConnected(list []peers.Member) (peers.Member, bool) {
	i := slices.IndexFunc(list, func(m peers.Member) bool { return a.Nodes.Connected(&m) })
	if i < 0 {
		return peers.Member{}, false
	}
	return list[i], true
}

// domainDistance is 0 for a node of the failure domain and 1 for others.
func domainDistance(m *peers.Member, nearDomain domain.FailureDomain) int {
	if m.Place.FailureDomain == nearDomain {
		return 0
	}
	return 1
}

// relayError classifies a failure of the other node or of the connection to it; it
// adopts the other node's verdict.
func (a *attempts) relayError(ctx context.Context, region domain.Region, err error) result {
	e := errkind.From(err)
	_, remote := errors.AsType[*RemoteError](err)
	if e.Verdict() == domain.RunNo {
		unreached := remote && e.Kind == errkind.PeerUnreachable
		if !refusedAsHeld(e) && a.streamSoftware == "" && !unreached { // it may have lacked this version or its paths only
			a.Regions.MarkFull(region, a.r.Service)
		}
		return result{err: e, ran: domain.RunNo, upstreamOutcome: instances.Unreachable, reached: remoteSends(err) > 0}
	}
	if stopping(ctx) {
		return failedResult(errkind.Timeout, domain.RunUnknown, instances.Canceled, "no answer before the %w", ErrStopping)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		res := failedResult(errkind.Canceled, domain.RunUnknown, instances.Canceled, "the caller disconnected")
		res.callerDisconnected = true
		return res
	}
	return result{err: e, ran: e.Verdict(), upstreamOutcome: instances.Broken, reached: true}
}

// RemoteError is the failure of a request at another node.
type RemoteError struct {
	Failure *errkind.Error
	// SendCount is the number of upstreams to which the other node sent the request.
	SendCount int
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Failure.Error() }

// Unwrap returns the failure.
func (e *RemoteError) Unwrap() error { return e.Failure }

func remoteSends(err error) int {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.SendCount
	}
	return 0
}

func (a *attempts) receiveRemote(ctx context.Context, answer Answer) result {
	return a.receiveBody(ctx, answer, answer.Head(), func(time.Time) {})
}
