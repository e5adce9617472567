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
	// nearPace is the time between exchanges inside the region.
	nearPace = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange: several round trips between regions.
	exchangeTimeout = 900 * time.Millisecond
	// farSample bounds the members told to another region, nearSample the full
	// records told inside the region beside the beats: one of its own and one of
	// another region.
	farSample  = 8
	nearSample = 1
	// nearViews bounds the loads of other regions in one word.
	nearViews = 1
	// youngFor is how long a node tells and is told more records: those of a
	// region of thirty nodes are known after about two seconds.
	youngFor    = 8 * time.Second
	youngSample = 6
	// ownDomainShare is the part of the exchanges that stays in the failure
	// domain, as bytes between failure domains are paid for.
	ownDomainShare = 0.85
)

// word is what the node tells another one; nodes of the region get the beats
// of all its members.
func (n *Node) word(to domain.Region) mesh.Word {
	now := time.Now()
	w := mesh.Word{Sender: n.members.Self(), TableVersion: n.state.version()}
	operator, entries := n.state.positions()
	w.Operator, w.Entries = operator.position(now), entries.position(now)
	if to != n.settings.Place.Region {
		w.Loads = n.loads(now)
		w.Members = n.sample(now, n.settings.Place.Region, farSample)
		return w
	}
	w.Beats = n.members.Beats(now)
	w.Views = n.regions.Views(now, nearViews)
	near := nearSample
	if now.Sub(n.startedAt) < youngFor {
		near = youngSample
	}
	w.Members = append(n.sample(now, to, near), n.sampleFar(now)...)
	return w
}

// sample draws members of a region.
func (n *Node) sample(now time.Time, of domain.Region, most int) []peers.Member {
	return draw(slices.DeleteFunc(n.members.Alive(now), func(m peers.Member) bool { return m.Place.Region != of }), most)
}

// sampleFar draws a member of another region.
func (n *Node) sampleFar(now time.Time) []peers.Member {
	return draw(slices.DeleteFunc(n.members.Alive(now), func(m peers.Member) bool { return m.Place.Region == n.settings.Place.Region }), nearSample)
}

// draw returns at most that many of a list, which it shuffles.
func draw[T any](list []T, most int) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(most, len(list))]
}

func (n *Node) loads(now time.Time) []instances.Load {
	var loads []instances.Load
	n.catalog.Each(func(p *instances.Pool) {
		if l := p.Load(now); l.Usable > 0 {
			loads = append(loads, l)
		}
	})
	return loads
}

// Exchange implements mesh.Handler.
func (n *Node) Exchange(w mesh.Word) mesh.Word {
	n.hear(w, 0)
	return n.word(w.Sender.Place.Region)
}

// hear takes in another node's word.
func (n *Node) hear(w mesh.Word, roundTrip time.Duration) {
	now := time.Now()
	n.members.Heard(now, &w.Sender, w.Members)
	n.members.HeardBeats(now, w.Beats)
	if w.Sender.Place.Region != n.settings.Place.Region {
		n.regions.Told(now, w.Sender.Place.Region, w.Loads, roundTrip)
	} else {
		n.regions.Heard(now, w.Views)
	}
	n.compare(now, w)
}

// compare fetches what the other node knows of a later revision of the store, and
// notes that what is equal is known as of that revision.
func (n *Node) compare(now time.Time, w mesh.Word) {
	operator, entries := n.state.positions()
	needOperator := w.TableVersion > n.state.version() || operator.behind(w.Operator)
	needEntries := entries.behind(w.Entries)
	if !needOperator && operator.digest == w.Operator.Digest {
		n.state.operatorReached(w.Operator.Revision, now.Add(-w.Operator.Age))
	}
	if !needEntries && entries.digest == w.Entries.Digest {
		n.state.entriesReached(w.Entries.Revision, now.Add(-w.Entries.Age))
	}
	if needEntries {
		once(&n.fetchingEntries, func() { n.fetchEntries(w.Sender.PeerAddress) })
	}
	if needOperator {
		once(&n.fetchingOperator, func() { n.fetchOperator(w.Sender.PeerAddress) })
	}
}

// once runs f unless it runs already.
func once(running *atomic.Bool, f func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer running.Store(false)
		f()
	}()
}

// exchangeNear spreads membership inside the region.
func (n *Node) exchangeNear(ctx context.Context) {
	for ctx.Err() == nil {
		if with, found := n.nearPartner(); found {
			n.exchange(ctx, with)
		}
		n.mesh.Forget(n.members.Known())
		n.catalog.Sweep(time.Now())
		n.regions.Sweep(time.Now())
		sleep(ctx, jitter(nearPace))
	}
}

// nearPartner draws a node of the region, mostly of the own failure domain and
// often one that reads the store.
func (n *Node) nearPartner() (peers.Member, bool) {
	if reading := n.otherReaders(); len(reading) > 0 && rand.Float64() < readerShare {
		return reading[rand.IntN(len(reading))], true
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
	from := own
	if len(own) == 0 || len(other) > 0 && rand.Float64() > ownDomainShare {
		from = other
	}
	if len(from) == 0 {
		return peers.Member{}, false
	}
	return from[rand.IntN(len(from))], true
}

// spreadOperator tells the nodes of the region of a change of the operator's
// documents, if this node reads the store for them.
func (n *Node) spreadOperator(ctx context.Context) {
	n.spread(ctx, n.state.operatorChanged, func() []peers.Member {
		if !n.reader() {
			return nil
		}
		return n.members.Targets(time.Now(), n.settings.Place.Region)
	})
}

// entriesTold is the number of nodes that one which heard of changed entries tells:
// two, so that all of a failure domain know after a few steps, whoever knew first.
// Its readers may be unable to read.
const entriesTold = 2

// spreadEntries tells nodes of the failure domain of a change of the upstreams'
// entries: a reader all of them, another node a few.
func (n *Node) spreadEntries(ctx context.Context) {
	n.spread(ctx, n.state.entriesChanged, func() []peers.Member {
		own, _ := n.nearTargets()
		if n.reader() {
			return own
		}
		return draw(own, entriesTold)
	})
}

func (n *Node) spread(ctx context.Context, changed <-chan struct{}, to func() []peers.Member) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		for _, m := range to() {
			go n.exchange(ctx, m)
		}
		sleep(ctx, operatorPace)
	}
}

func (n *Node) exchange(ctx context.Context, with peers.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	word, roundTrip, err := n.mesh.Exchange(ctx, with.PeerAddress, n.word(with.Place.Region))
	if err != nil {
		n.members.Unreachable(with.ID)
		n.metrics.Count("mesh.exchange_failed", 1)
		return
	}
	n.hear(word, roundTrip)
}

func jitter(d time.Duration) time.Duration {
	return time.Duration((0.85 + 0.3*rand.Float64()) * float64(d))
}

// Relay implements mesh.Handler. The receiver's own table decides if
// the request may run here; one whose table is older than the sender's refuses.
func (n *Node) Relay(ctx context.Context, in *mesh.Incoming, sink relay.Sink) (*relay.Failure, int) {
	if f := n.admitRelayed(in); f != nil {
		n.log.Log(event.RequestRefused, event.F("request", in.ID), event.F("kind", f.Kind), event.F("from", in.From), event.F("detail", f.Message))
		return f, 0
	}
	n.relayed.Add(1)
	defer n.relayed.Add(-1)
	before := in.Sent
	f := n.engine.Serve(ctx, &in.Request, sink)
	return f, in.Sent - before
}
