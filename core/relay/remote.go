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
	"github.com/crocusspread/crocusspread/core/routes"
)

// remote sends the request to a node of another region, which runs or refuses
// it.
func (a *attempts) remote(ctx context.Context, region domain.Region) result {
	to, found := a.node(region, a.decision.Domain)
	if !found {
		return failed(errkind.PeerUnreachable, domain.RunNo, instances.Unreachable, "no node of region %s is reachable", region)
	}
	defer a.Regions.Sent(region, a.r.Service)()
	a.Metrics.Count("relay.sent_to_region", 1)
	sentAt := a.Now()
	answer, err := a.Nodes.Relay(ctx, &to, a.call())
	var res result
	var sent int
	if err != nil {
		res = a.relayFailed(ctx, region, err)
		sent = sentElsewhere(err)
		if res.reached {
			sent = max(1, sent)
		}
	} else {
		a.headAt = a.Now()
		res = a.receiveRemote(ctx, answer)
		sent = answer.Sent()
		answer.Close()
	}
	a.r.Sent += sent
	a.logAttempt(string(to.ID), sentAt, a.decision.Delay, res)
	return res
}

// node draws one of the nodes of a region that this one prefers, if it can one of a
// failure domain, as bytes between those are paid for; or else any node that it has
// a connection to.
func (a *attempts) node(region domain.Region, near domain.FailureDomain) (peers.Member, bool) {
	preferred := a.Members.Preferred(a.Now(), region)
	rand.Shuffle(len(preferred), func(i, j int) { preferred[i], preferred[j] = preferred[j], preferred[i] })
	slices.SortStableFunc(preferred, func(x, y peers.Member) int {
		return cmp.Compare(distance(&x, near), distance(&y, near))
	})
	if m, found := a.connected(preferred); found {
		return m, true
	}
	if m, found := a.connected(a.Members.Targets(a.Now(), region)); found {
		return m, true
	}
	if len(preferred) == 0 {
		return peers.Member{}, false
	}
	return preferred[0], true
}

// connected returns the first node that a request can leave for at once.
func (a *attempts) connected(list []peers.Member) (peers.Member, bool) {
	i := slices.IndexFunc(list, func(m peers.Member) bool { return a.Nodes.Connected(&m) })
	if i < 0 {
		return peers.Member{}, false
	}
	return list[i], true
}

// distance is 0 for a node of the failure domain, 1 for others.
func distance(m *peers.Member, near domain.FailureDomain) int {
	if m.Place.FailureDomain == near {
		return 0
	}
	return 1
}

// relayFailed takes over the verdict of the other node.
func (a *attempts) relayFailed(ctx context.Context, region domain.Region, err error) result {
	e := errkind.From(err)
	if e.Verdict() == domain.RunNo {
		a.Regions.Full(region, a.r.Service)
		return result{err: e, ran: domain.RunNo, judged: instances.Unreachable, reached: sentElsewhere(err) > 0}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		res := failed(errkind.Canceled, domain.RunUnknown, instances.Abandoned, "the caller left")
		res.callerLeft = true
		return res
	}
	return result{err: e, ran: e.Verdict(), judged: instances.Broken, reached: true}
}

// RemoteError is the failure of a request at another node.
type RemoteError struct {
	Failure *errkind.Error
	// Sent is the number of upstreams that the other node handed it to.
	Sent int
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Failure.Error() }

// Unwrap returns the failure.
func (e *RemoteError) Unwrap() error { return e.Failure }

func sentElsewhere(err error) int {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Sent
	}
	return 0
}

func (a *attempts) receiveRemote(ctx context.Context, answer Answer) result {
	h := answer.Head()
	if a.r.Route.Kind == routes.Streaming && h.Status < 300 {
		return a.stream(ctx, answer, h, func(time.Time) {})
	}
	return a.whole(ctx, answer, h)
}
