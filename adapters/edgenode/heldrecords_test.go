package edgenode

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quarantine"
)

// recordingNode is a node that does not run, for its record of what is held.
type recordingNode struct {
	*Node
	t      *testing.T
	client *client
}

// startRecording returns a node that has read the record.
func startRecording(t *testing.T, store *memoryStore, name string) *recordingNode {
	t.Helper()
	c := &client{memoryStore: store}
	s := &Settings{Node: domain.NodeID(name), Place: domain.Place{Region: "west", FailureDomain: "west-a"}, RegionByFailureDomain: testRegions,
		MemoryBytes: 256 << 20, MaxOpenFiles: 4096, CPUCores: 1, GracePeriod: time.Second, RetryWindow: time.Second}
	n := &recordingNode{Node: New(s, Dependencies{Store: c, Documents: testDocuments{}, Edge: testDialect{}, DropStoreConnections: func() {}}, event.Discard{}, telemetry.NewMetrics(s.Place)),
		t: t, client: c}
	n.era.observe(store.era, "store")
	if !n.software.read(t.Context()) {
		t.Fatal("the node cannot read the records")
	}
	return n
}

func (n *recordingNode) update() {
	n.t.Helper()
	if err := n.held.update(n.t.Context()); err != nil {
		n.t.Fatal(err)
	}
}

// crash records three crashes on requests with the parts, the last one a second ago.
func (n *recordingNode) crash(parts ...uint64) {
	now := time.Now()
	for i := range uint64(3) {
		at := now.Add(time.Duration(i)*time.Second - 3*time.Second)
		n.parts.RecordCrash(at, parts[0]*100+i, at.Add(-50*time.Millisecond), quarantine.Parts(parts...))
	}
}

func (n *recordingNode) answer(parts ...uint64) {
	n.parts.RecordAnswer(time.Now(), 9999, time.Now().Add(-time.Millisecond), quarantine.Parts(parts...))
}

func (n *recordingNode) holds(parts ...uint64) bool {
	decision, _ := n.parts.Check(time.Now(), quarantine.Parts(parts...))
	return decision == quarantine.Refuse
}

func recordIn(store *memoryStore) bool { return store.items[testDocuments{}.HeldKey()].Revision != 0 }

func TestHeldPartIsRecordedForNodesThatStartWhenNoneRuns(t *testing.T) {
	store := newMemoryStore()
	a := startRecording(t, store, "a")
	a.crash(7, 8)
	a.update()
	b := startRecording(t, store, "b")
	if !b.holds(7, 8) || b.holds(7) || b.holds(8) {
		t.Error("a node that starts later does not hold just prompts with both parts that may crash upstreams")
	}
	b.answer(8)
	b.update()
	if c := startRecording(t, store, "c"); !c.holds(7) || c.holds(8) {
		t.Error("a node that starts after an answer to the one part does not hold just the other")
	}
}

func TestTrialsOfRecordedHoldDoNotStartAnew(t *testing.T) {
	store := newMemoryStore()
	a := startRecording(t, store, "a")
	a.crash(7)
	a.update()
	var r heldRecord
	if err := json.Unmarshal(store.items[testDocuments{}.HeldKey()].Value, &r); err != nil || len(r.Subjects) != 1 {
		t.Fatalf("got record %+v and error %v, want one subject", r, err)
	}
	r.Subjects[0].HeldMs -= (2 * time.Minute).Milliseconds() // one trial is due
	tried := 0
	for range 3 { // each time all nodes are killed
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		store.items[testDocuments{}.HeldKey()] = ports.Item{Key: testDocuments{}.HeldKey(), Value: text, Revision: 5}
		n := startRecording(t, store, "b")
		if decision, _ := n.parts.Check(time.Now(), quarantine.Parts(7)); decision == quarantine.Try {
			tried++
		}
		n.update()
		if err := json.Unmarshal(store.items[testDocuments{}.HeldKey()].Value, &r); err != nil {
			t.Fatal(err)
		}
	}
	if tried != 1 {
		t.Errorf("%d trials were sent in three starts two minutes after the verdict, want 1", tried)
	}
}

func TestRecordOfHeldPartEndsWithTheHold(t *testing.T) {
	store := newMemoryStore()
	n := startRecording(t, store, "a")
	n.crash(7)
	n.update()
	if !recordIn(store) {
		t.Fatal("the held part was not recorded")
	}
	n.answer(7)
	n.update()
	if recordIn(store) {
		t.Error("the record remains after an answer has ended the hold")
	}
}

// TestRecordFromOlderCopyOutlivesNoHold: the store goes back to a copy with a hold that has ended since.
func TestRecordFromOlderCopyOutlivesNoHold(t *testing.T) {
	store := newMemoryStore()
	n := startRecording(t, store, "a")
	n.crash(7)
	n.update()
	copied := store.items[testDocuments{}.HeldKey()]
	n.answer(7)
	n.update()
	store.items[copied.Key] = copied
	store.restore()
	n.era.observe(store.era, "store")
	n.update()
	if recordIn(store) {
		t.Error("the record of a hold that has ended came back with the store")
	}
	if n.holds(7) {
		t.Error("the node adopted a hold that it knew to have ended")
	}
}

// TestHoldIsRecordedAgainAfterOlderCopy: the copy is from before the verdict.
func TestHoldIsRecordedAgainAfterOlderCopy(t *testing.T) {
	store := newMemoryStore()
	n := startRecording(t, store, "a")
	n.crash(7)
	n.update()
	delete(store.items, testDocuments{}.HeldKey())
	store.restore()
	n.era.observe(store.era, "store")
	n.update()
	if !recordIn(store) {
		t.Error("the record was lost with what the store forgot")
	}
}

func TestRecordIsWrittenOnceTheStoreIsBack(t *testing.T) {
	store := newMemoryStore()
	n := startRecording(t, store, "a")
	n.client.cut.Store(true)
	n.crash(7)
	if err := n.held.update(t.Context()); err == nil {
		t.Fatal("got no error while the store is away")
	}
	n.client.cut.Store(false)
	n.update()
	if !recordIn(store) {
		t.Error("the held part was not recorded after the store came back")
	}
}

// TestNodesThatJudgedApartRecordBothHolds: neither may replace the other's record.
func TestNodesThatJudgedApartRecordBothHolds(t *testing.T) {
	store := newMemoryStore()
	a, b := startRecording(t, store, "a"), startRecording(t, store, "b")
	a.crash(7)
	b.crash(8)
	a.update()
	b.update()
	if c := startRecording(t, store, "c"); !c.holds(7) || !c.holds(8) {
		t.Error("the record of two nodes does not hold both parts")
	}
}

// TestRecordOfHoldWithoutRequestsIsNotAdopted: no node ran for longer than a hold lasts without requests.
func TestRecordOfHoldWithoutRequestsIsNotAdopted(t *testing.T) {
	store := newMemoryStore()
	a := startRecording(t, store, "a")
	a.crash(7)
	a.update()
	key := testDocuments{}.HeldKey()
	var r heldRecord
	if err := json.Unmarshal(store.items[key].Value, &r); err != nil {
		t.Fatal(err)
	}
	const ago = int64(11 * time.Minute / time.Millisecond)
	r.Subjects[0].RequestedMs -= ago
	r.Subjects[0].HeldMs -= ago
	for i := range r.Subjects[0].Crashes {
		r.Subjects[0].Crashes[i].AtMs -= ago
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	store.items[key] = ports.Item{Key: key, Value: text, Revision: 5}
	n := startRecording(t, store, "b")
	if n.holds(7) {
		t.Error("a node that starts adopted a hold without any request for eleven minutes")
	}
	n.update()
	if recordIn(store) {
		t.Error("the record of a hold that has ended remains")
	}
}

// TestUnreadableRecordKeepsNoNodeFromStarting: another writer may have left it.
func TestUnreadableRecordKeepsNoNodeFromStarting(t *testing.T) {
	store := newMemoryStore()
	key := testDocuments{}.HeldKey()
	store.items[key] = ports.Item{Key: key, Value: []byte("\xff"), Revision: 5}
	n := startRecording(t, store, "a")
	n.crash(7)
	n.update()
	if b := startRecording(t, store, "b"); !b.holds(7) {
		t.Error("an unreadable record was not replaced")
	}
}
