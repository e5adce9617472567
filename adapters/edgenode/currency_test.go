package edgenode

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quarantine"
	"github.com/crocusspread/crocusspread/core/routes"
)

// After the store came back from an older copy, a read of it proves the table in force only after
// a hold, and once the store has that table again.
func TestReadOfAnotherEraProvesOnlyTheTableInForce(t *testing.T) {
	const hold, answer = 2 * time.Second, time.Second
	s := newState(nil, instances.NewCatalog(instances.Options{}), event.Discard{})
	if _, ok := s.provedVersion(1, 0, 0, hold); ok {
		t.Error("a version was proved without a table")
	}
	s.table.Store(accountTable(t, 7))
	for _, c := range []struct {
		name   string
		era    uint64
		sentAt time.Duration
		read   uint64 // version that was read; zero if it was invalid
		proved bool
	}{
		{"first read, of an older version", 1, 0, 6, false},
		{"the version in force", 1, 1, 7, true},
		{"an invalid document", 1, 2, 0, true},
		{"an older version after a restoration", 2, time.Minute, 6, false},
		{"an invalid document after it", 2, time.Minute + 1, 0, false},
		{"the version in force before the end of the hold", 2, time.Minute + answer + hold - 1, 7, false},
		{"an older version after the hold", 2, time.Minute + answer + hold, 6, false},
		{"the version in force after the hold", 2, time.Minute + answer + hold, 7, true},
		{"another restoration", 3, 2 * time.Minute, 7, false},
		{"a third one", 4, 2*time.Minute + hold, 7, false},
		{"the end of its hold", 4, 2*time.Minute + answer + 2*hold, 7, true},
	} {
		s.recordStoreVersion(c.read)
		if version, ok := s.provedVersion(c.era, c.sentAt, c.sentAt+answer, hold); ok != c.proved || ok && version != 7 {
			t.Errorf("%s: version %d was proved: %v, want %v", c.name, version, ok, c.proved)
		}
	}
}

// slowStore answers each call after the clock has advanced by a second.
type slowStore struct {
	ports.Store
	now  time.Duration
	fail bool
}

func (s *slowStore) answer() ([]ports.Item, ports.StorePosition, error) {
	s.now += time.Second
	if s.fail {
		return nil, ports.StorePosition{}, errors.New("no answer")
	}
	return nil, ports.StorePosition{Revision: 1}, nil
}

func (s *slowStore) Range(context.Context, string) ([]ports.Item, ports.StorePosition, error) {
	return s.answer()
}

func (s *slowStore) Watch(context.Context, string, ports.StorePosition, time.Duration) ([]ports.Item, ports.StorePosition, error) {
	return s.answer()
}

// Documents may change while the answer is on its way: the proof is of the time of the call.
func TestReadsOfTheStoreProveFromTheirSending(t *testing.T) {
	store := &slowStore{now: 10 * time.Second}
	catalog := instances.NewCatalog(instances.Options{})
	reads := 0
	var proofs []time.Duration
	w := &watcher{
		store: store, wait: constant(time.Second), replace: func(time.Time, []ports.Item) {}, change: func(time.Time, []ports.Item) {},
		health: &storeHealth{log: event.Discard{}, catalog: catalog, dropConnections: func() {}}, era: newStoreEra(event.Discard{}, func(time.Time) {}),
		shouldRead: func() bool { reads++; return reads <= 2 }, bootTime: func() time.Duration { return store.now },
		prove: func(_ ports.StorePosition, sentAt time.Duration) { proofs = append(proofs, sentAt) },
	}
	at, err := w.list(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	_ = w.watch(context.Background(), at)
	if len(proofs) != 3 || proofs[0] != 10*time.Second || proofs[1] != 11*time.Second || proofs[2] != 12*time.Second {
		t.Errorf("calls sent at 10, 11 and 12 s proved %v", proofs)
	}
	store.fail = true
	if _, err := w.list(context.Background()); err == nil || len(proofs) != 3 {
		t.Errorf("a call without an answer proved %v", proofs[3:])
	}
}

// provingNode returns a node with a table with accounts and a clock that stands still.
func provingNode(t *testing.T, now time.Duration) *Node {
	t.Helper()
	catalog := instances.NewCatalog(instances.Options{})
	n := &Node{settings: &Settings{Node: "n1", StrictRevocation: true, RevocationBound: 5 * time.Second}, log: event.Discard{}, catalog: catalog,
		state: newState(nil, catalog, event.Discard{}), members: peers.NewMembers(peers.Member{ID: "n1"}, 0, event.Discard{}), regions: peers.NewRegions(event.Discard{}),
		parts: quarantine.New(quarantine.Options{}), metrics: telemetry.NewMetrics(domain.Place{})}
	n.era = newStoreEra(event.Discard{}, func(time.Time) {})
	n.keys = newKeyCurrency(n.settings, func() time.Duration { return now })
	n.state.table.Store(accountTable(t, 3, routes.Account{Name: "a", Keys: []string{"k"}}))
	n.state.confirmOperator(ports.StorePosition{Revision: 5}, time.Now())
	return n
}

// A message that the other node sent of its own accord may have been in transit for any time;
// only the reply to an exchange that this node began proves something.
func TestMessagesOfOtherNodesProveNothing(t *testing.T) {
	other := provingNode(t, time.Hour)
	other.keys.RecordStore(time.Hour-1200*time.Millisecond, 3)
	msg := other.newMessage("")
	if !msg.Operator.Proved || msg.Operator.ProofAge != 1200*time.Millisecond {
		t.Fatalf("the message holds proof %v of age %v, want one of 1.2 s", msg.Operator.Proved, msg.Operator.ProofAge)
	}
	n := provingNode(t, time.Minute)
	n.Exchange(msg)
	if got := n.keys.Proof(); got.Version != 0 {
		t.Errorf("a message of another node was taken for proof %+v", got)
	}
	n.proveByReply(58*time.Second, &msg)
	if got := n.keys.Proof(); got.Version != 3 || got.At != 58*time.Second-1200*time.Millisecond {
		t.Errorf("got proof %+v of a reply to an exchange sent at 58 s, want one of 56.8 s", got)
	}
}

// Other nodes must not learn an age in deployments without accounts, whose messages stay as small
// as they were.
func TestMessagesWithoutAccountsHoldNoProof(t *testing.T) {
	n := provingNode(t, time.Minute)
	n.keys.RecordStore(time.Minute, 3)
	n.state.table.Store(accountTable(t, 4))
	if msg := n.newMessage(""); msg.Operator.Proved {
		t.Errorf("got position %+v, want one without a proof", msg.Operator)
	}
	n.state.table.Store(nil)
	if msg := n.newMessage(""); msg.Operator.Proved || msg.Operator != (mesh.Position{StorePosition: msg.Operator.StorePosition, Digest: msg.Operator.Digest, Age: msg.Operator.Age}) {
		t.Errorf("got position %+v, want one without a proof", msg.Operator)
	}
}
