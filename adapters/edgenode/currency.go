package edgenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/currency"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// proofCheckInterval is how often a node checks the age of its proof;
	// proofIdleInterval replaces it while the routing table has no accounts.
	proofCheckInterval = 100 * time.Millisecond
	proofIdleInterval  = time.Second
	// freshWatchWait is how long the store may hold a read of the operator's documents that
	// is made for its proof.
	freshWatchWait = 10 * time.Millisecond
)

// keyCurrency is the part of a node that proves that its routing table is current.
type keyCurrency struct {
	policy currency.Policy
	currency.Tracker
	refresher *currency.Refresher
	// now reads a clock that goes on while the machine is suspended.
	now func() time.Duration
}

func newKeyCurrency(s *Settings, now func() time.Duration) *keyCurrency {
	policy := currency.Policy{Bound: s.RevocationBound}
	return &keyCurrency{policy: policy, refresher: currency.NewRefresher(policy, rand.Float64()), now: now}
}

// age returns the age of the proof; ok is false if there is none.
func (k *keyCurrency) age() (age time.Duration, ok bool) { return k.Proof().Age(k.now()) }

// strictKeys reports whether keys count only with a recent proof.
func (n *Node) strictKeys() bool {
	t := n.state.table.Load()
	return n.settings.StrictRevocation && t != nil && t.HasAccounts()
}

// proveByStore records that the store answered a read of the operator's documents, all of which
// are applied up to the position.
func (n *Node) proveByStore(at ports.StorePosition, sentAt time.Duration) {
	if version, ok := n.state.provedVersion(at.Era, sentAt, n.keys.now(), n.keys.policy.EraHold()); ok {
		n.keys.RecordStore(sentAt, version)
	}
}

// provingEra is the era of the store whose reads prove the routing table in force.
type provingEra struct {
	known bool
	era   uint64
	// next is a later era that does not prove yet, in which the first answer arrived at
	// nextSince; only valid if hasNext is set.
	hasNext   bool
	next      uint64
	nextSince time.Duration
}

// provedVersion returns the version of the routing table in force if a read of the store in an
// era, sent at a time and answered now, proves it. The store that came back from an older copy
// may lack a later version that removed a key. Its reads count only once it has the version in
// force again, and if they are sent after a hold. That begins with the first answer: the call may
// have been sent before the store came back.
func (s *state) provedVersion(era uint64, sentAt, now, hold time.Duration) (version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version = s.version()
	e := &s.proving
	if e.known && e.era == era {
		return version, version != 0
	}
	if e.known && (!e.hasNext || e.next != era) {
		e.hasNext, e.next, e.nextSince = true, era, now
	}
	if version == 0 || s.storeVersion < version || e.known && sentAt-e.nextSince < hold {
		return 0, false
	}
	*e = provingEra{known: true, era: era}
	return version, true
}

// recordStoreVersion records the version of the routing table that was read from the store; zero
// if it was invalid.
func (s *state) recordStoreVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeVersion = version
}

// sentProofAge returns the age of the proof for a message; ok is false if it has none.
func (n *Node) sentProofAge() (age time.Duration, ok bool) {
	if !n.strictKeys() {
		return 0, false
	}
	return n.keys.age()
}

// proofSentAt returns the time of an exchange that is sent now.
func (n *Node) proofSentAt() time.Duration {
	if !n.settings.StrictRevocation {
		return 0
	}
	return n.keys.now()
}

// proveByReply records the reply to an exchange that this node sent at a time.
func (n *Node) proveByReply(sentAt time.Duration, reply *mesh.ExchangeMessage) {
	if !reply.Operator.Proved {
		return
	}
	own := currency.View{Version: n.state.version()}
	operator, _ := n.state.positions()
	own.Digest = operator.digest
	n.keys.RecordReply(sentAt, currency.Reply{
		View: currency.View{Version: reply.TableVersion, Digest: reply.Operator.Digest},
		Age:  reply.Operator.ProofAge, Proved: reply.Operator.Proved,
	}, own)
}

// operatorWait returns how long the store may hold the next read of the operator's documents.
func (n *Node) operatorWait() time.Duration {
	switch {
	case !n.strictKeys():
		return operatorWatchWait
	case n.keys.refresher.ReadFresh(n.keys.now(), n.keys.Proof()):
		return freshWatchWait
	}
	age, ok := n.keys.age()
	return n.keys.policy.Watch(n.isFirstReader() || !ok || age > n.keys.policy.Watch(false))
}

// resumeOperator returns the position from which a node that is not a reader can watch the
// operator's documents without listing them; ok is false if it has to list them. Lists with the
// routing table are large, and many nodes may miss their readers or need a proof at once.
func (n *Node) resumeOperator() (at ports.StorePosition, ok bool) {
	if n.isReader() {
		return ports.StorePosition{}, false
	}
	strict, era := n.strictKeys(), n.era.latest()
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	at = n.state.operatorPosition.at
	if strict {
		return at, n.state.proving.known && n.state.proving.era == at.Era && !at.IsZero()
	}
	return at, n.state.hasEvacuated && n.state.version() != 0 && at.Era == era && !at.IsZero()
}

// keepCurrent looks for a more recent proof when that of the node ages.
func (n *Node) keepCurrent(ctx context.Context) {
	if !n.settings.StrictRevocation {
		return
	}
	n.metrics.ObserveGauge("accounts.proof_age_ms", n.proofAgeMS)
	honoured := true
	for ctx.Err() == nil {
		if !n.strictKeys() {
			sleep(ctx, proofIdleInterval)
			continue
		}
		honoured = n.logHonoured(honoured)
		if peer, found := n.proofSource(n.keys.refresher.Ask(n.keys.now(), n.keys.Proof())); found {
			n.metrics.Count("accounts.proof_asked", 1)
			go n.exchange(ctx, peer)
		}
		sleep(ctx, proofCheckInterval)
	}
}

// logHonoured logs when the node stops or begins again to honour keys. It returns whether it
// honours them now.
func (n *Node) logHonoured(before bool) bool {
	now := n.keys.policy.Honours(n.keys.Proof(), n.keys.now())
	if now != before {
		e := event.KeysNotHonoured
		if now {
			e = event.KeysHonoured
		}
		n.log.Log(e, event.F("proof_age_ms", n.proofAgeMS()), event.F("bound_ms", n.keys.policy.Bound.Milliseconds()), event.F("table", n.state.version()))
	}
	return now
}

// proofAgeMS returns the age of the proof in milliseconds, -1 if there is none.
func (n *Node) proofAgeMS() int64 {
	age, ok := n.keys.age()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// proofSource returns a random node of those that are asked for a proof.
func (n *Node) proofSource(source currency.Source) (peers.Member, bool) {
	if source == currency.Nowhere {
		return peers.Member{}, false
	}
	if readers := n.otherReaders(); source == currency.Reader && len(readers) > 0 {
		return readers[rand.IntN(len(readers))], true
	}
	var region, other []peers.Member
	for _, m := range n.members.Known() {
		switch {
		case m.ID == n.settings.Node || m.State == domain.NodeStopped:
		case m.Place.Region == n.settings.Place.Region:
			region = append(region, m)
		default:
			other = append(other, m)
		}
	}
	candidates := region
	if len(other) > 0 && (source == currency.Fleet || len(region) == 0) {
		candidates = other // the region may be cut off from the store as a whole
	}
	if len(candidates) == 0 {
		return peers.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}
