package edgenode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/relay"
)

const (
	// localInterval is the time between two exchanges within the region.
	localInterval = 300 * time.Millisecond
	// exchangeTimeout limits one exchange; it is several round trips between regions.
	exchangeTimeout = 900 * time.Millisecond
	// remoteSample is the maximum number of members sent to another region.
	// localSample is the maximum number of full records of members of this node's
	// region, and of members of other regions, that are sent within the region in
	// addition to the heartbeats.
	remoteSample = 8
	localSample  = 1
	// maxViews is the maximum number of other regions whose loads are in one message.
	maxViews = 1
	// startupPeriod is how long after its start a node exchanges more records: those
	// of a region of thirty nodes are known after about two seconds. startupSample
	// replaces localSample for members of this node's region during it.
	startupPeriod = 8 * time.Second
	startupSample = 6
	// ownDomainProbability is the fraction of exchanges made within the failure
	// domain, because traffic between failure domains is charged for.
	ownDomainProbability = 0.85
)

// newMessage returns the exchange message for a node of a region; nodes of this
// node's region get the heartbeats of its members.
func (n *Node) newMessage(region domain.Region) mesh.ExchangeMessage {
	now := time.Now()
	// The proof is read before the version: it holds for every later one.
	proofAge, proved := n.sentProofAge()
	msg := mesh.ExchangeMessage{Sender: n.members.Self(), TableVersion: n.state.version()}
	operator, entries := n.state.positions()
	msg.Operator, msg.Entries = operator.position(now), entries.position(now)
	msg.Operator.ProofAge, msg.Operator.Proved = proofAge, proved
	msg.Parts = n.parts.Message(now)
	msg.QuotaAuthority = n.quotas.announcement()
	if region != n.settings.Place.Region {
		msg.Loads = n.loads(now)
		msg.Members = n.sample(now, n.settings.Place.Region, remoteSample)
		return msg
	}
	msg.Heartbeats = n.members.CompactHeartbeats(now)
	msg.RateLimits = n.catalog.RateLimits(now)
	msg.Statements = n.catalog.Statements(now)
	msg.Speeds = n.catalog.Speeds(now)
	msg.Brittle = n.catalog.BrittleServices(now)
	msg.Views = n.regions.Views(now, maxViews)
	localLimit := localSample
	if now.Sub(n.startedAt) < startupPeriod {
		localLimit = startupSample
	}
	msg.Members = append(n.sample(now, region, localLimit), n.sampleRemote(now)...)
	return msg
}

// sample returns random live members of a region.
func (n *Node) sample(now time.Time, region domain.Region, limit int) []peers.Member {
	return randomSubset(slices.DeleteFunc(n.members.Alive(now), func(m peers.Member) bool { return m.Place.Region != region }), limit)
}

// sampleRemote returns random live members of other regions.
func (n *Node) sampleRemote(now time.Time) []peers.Member {
	return randomSubset(slices.DeleteFunc(n.members.Alive(now), func(m peers.Member) bool { return m.Place.Region == n.settings.Place.Region }), localSample)
}

// randomSubset returns at most limit elements of a list, which it shuffles.
func randomSubset[T any](list []T, limit int) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}

// loads returns the loads of the services that have usable upstreams here.
func (n *Node) loads(now time.Time) []instances.Load {
	var loads []instances.Load
	n.catalog.ForEach(func(p *instances.Pool) {
		if l := p.Load(now); l.Usable > 0 {
			loads = append(loads, l)
		}
	})
	return loads
}

// Exchange implements mesh.Handler.
func (n *Node) Exchange(msg mesh.ExchangeMessage) mesh.ExchangeMessage {
	n.receive(msg, 0, time.Time{})
	if n.catalog.AwaitsWarm(msg.Statements) {
		startOnce(&n.askingWarm, func() { n.exchangeWithAddress(context.Background(), msg.Sender.PeerAddress, msg.Sender.Place.Region) })
	}
	return n.newMessage(msg.Sender.Place.Region)
}

// receive processes the message of another node; roundTrip is zero if it was not
// measured. The message was composed after composedAfter, which is zero if it may have been underway for any time.
func (n *Node) receive(msg mesh.ExchangeMessage, roundTrip time.Duration, composedAfter time.Time) {
	now := time.Now()
	n.members.Merge(now, &msg.Sender, msg.Members)
	n.members.ApplyHeartbeats(now, msg.Heartbeats)
	n.parts.Merge(now, msg.Parts)
	n.quotas.mergeAuthority(msg.QuotaAuthority)
	if msg.Sender.Place.Region != n.settings.Place.Region {
		n.regions.SetLoads(now, msg.Sender.Place.Region, msg.Loads, msg.Sender.Unreached, roundTrip)
	} else {
		n.exchanged.Store(true)
		n.regions.MergeViews(now, msg.Views)
		n.catalog.ApplyRateLimits(now, composedAfter, msg.RateLimits)
		n.catalog.ApplyStatements(now, composedAfter, msg.Statements)
		n.catalog.ApplySpeeds(now, msg.Speeds)
		n.catalog.ApplyBrittle(now, msg.Brittle)
		n.metrics.Count("mesh.speeds_heard", int64(len(msg.Speeds)))
	}
	n.synchronize(now, msg)
}

// synchronize fetches the documents that the other node has of a later position in the
// store's history, and confirms the position for those that are equal.
func (n *Node) synchronize(now time.Time, msg mesh.ExchangeMessage) {
	for _, p := range []mesh.Position{msg.Operator, msg.Entries} {
		if !p.IsZero() {
			n.era.observe(p.Era, msg.Sender.PeerAddress)
		}
	}
	operator, entries := n.state.positions()
	needOperator := msg.TableVersion > n.state.version() || operator.behind(msg.Operator)
	needEntries := entries.behind(msg.Entries)
	if !needOperator && operator.digest == msg.Operator.Digest {
		n.state.confirmOperator(msg.Operator.StorePosition, now.Add(-msg.Operator.Age))
	}
	if !needEntries && entries.digest == msg.Entries.Digest {
		n.state.confirmEntries(msg.Entries.StorePosition, now.Add(-msg.Entries.Age))
	}
	if needEntries {
		n.entryFetches.start(now, msg.Sender.PeerAddress, n.fetchEntries)
	}
	if needOperator {
		n.operatorFetches.start(now, msg.Sender.PeerAddress, n.fetchOperator)
	}
}

// startOnce runs f in a goroutine unless it is running already.
func startOnce(running *atomic.Bool, f func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer running.Store(false)
		f()
	}()
}

// runLocalExchanges makes exchanges within the region until ctx ends.
func (n *Node) runLocalExchanges(ctx context.Context) {
	for ctx.Err() == nil {
		if peer, found := n.localPeer(); found {
			n.exchange(ctx, peer)
		}
		known := n.members.Known()
		n.mesh.CloseUnknown(known)
		n.places.forgetUnknown(known)
		n.catalog.RemoveExpired(time.Now())
		n.regions.ExpireViews(time.Now())
		sleep(ctx, jitter(localInterval))
	}
}

// localPeer returns a random node of the region, mostly one of this node's failure
// domain and often one that reads the store.
func (n *Node) localPeer() (peers.Member, bool) {
	if readers := n.otherReaders(); len(readers) > 0 && rand.Float64() < readerProbability {
		return readers[rand.IntN(len(readers))], true
	}
	var own, other []peers.Member
	for _, m := range n.members.Known() {
		switch {
		case m.Place.Region != n.settings.Place.Region || m.State == domain.NodeStopped:
		case m.Place == n.settings.Place:
			own = append(own, m)
		default:
			other = append(other, m)
		}
	}
	candidates := own
	if len(own) == 0 || len(other) > 0 && rand.Float64() > ownDomainProbability {
		candidates = other
	}
	if len(candidates) == 0 {
		return peers.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// propagateOperator propagates changes of the operator's documents to the nodes of
// the region, if this node is a reader.
func (n *Node) propagateOperator(ctx context.Context) {
	n.propagate(ctx, n.state.operatorChanged, func() []peers.Member {
		if !n.isReader() {
			return nil
		}
		return n.members.Targets(time.Now(), n.settings.Place.Region)
	})
}

// entriesFanout is the number of nodes to which a node that is not a reader propagates
// changed entries. With two, a change reaches all nodes of a failure domain in a few
// hops, whichever node has it first, also while its readers cannot read the store.
const entriesFanout = 2

// propagateEntries propagates changes of the entries of upstreams to nodes of the
// failure domain: a reader to all of them, any other node to a few.
func (n *Node) propagateEntries(ctx context.Context) {
	n.propagate(ctx, n.state.entriesChanged, func() []peers.Member {
		own, _ := n.regionTargets()
		if n.isReader() {
			return own
		}
		return randomSubset(own, entriesFanout)
	})
}

// propagate makes an exchange with the target nodes after each change.
func (n *Node) propagate(ctx context.Context, changed <-chan struct{}, targets func() []peers.Member) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		for _, m := range targets() {
			go n.exchange(ctx, m)
		}
		sleep(ctx, operatorInterval)
	}
}

// exchange makes an exchange with a member.
func (n *Node) exchange(ctx context.Context, peer peers.Member) {
	if !n.exchangeWithAddress(ctx, peer.PeerAddress, peer.Place.Region) {
		n.members.MarkUnreachable(peer.ID)
	}
}

// exchangeWithAddress makes an exchange with the node at an address. Its region is empty if it is not known. It returns
// false if the node did not reply.
func (n *Node) exchangeWithAddress(ctx context.Context, address string, region domain.Region) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	proofSentAt, sentAt := n.proofSentAt(), time.Now()
	reply, roundTrip, err := n.mesh.Exchange(ctx, address, n.newMessage(region))
	if err != nil {
		n.metrics.Count("mesh.exchange_failed", 1)
		return false
	}
	n.receive(reply, roundTrip, sentAt)
	n.proveByReply(proofSentAt, &reply)
	return true
}

// jitter returns a random duration within 15 % of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.85 + 0.3*rand.Float64()) * float64(d))
}

// Relay implements mesh.Handler. This node's routing table determines whether the
// request may run here; the request is rejected if that table is older than the
// sender's.
func (n *Node) Relay(ctx context.Context, in *mesh.RelayedRequest, sink relay.Sink) (*relay.Failure, int) {
	n.relayed.Add(1) // before the check, so that a stopping node waits for every request that passes it
	defer n.relayed.Add(-1)
	if f := n.admitRelayed(in); f != nil {
		n.log.Log(event.RequestRefused, event.F("request", in.ID), event.F("kind", f.Kind), event.F("from", in.From), event.F("detail", f.Message))
		return f, 0
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(n.requests, func() { cancel(relay.ErrStopping) })()
	sentBefore := in.SendCount
	f := n.engine.Serve(ctx, &in.Request, sink)
	return f, in.SendCount - sentBefore
}
