package quarantine

import "testing"

// TestRequestThatCrashesUpstreamsIsHeldAtEveryNode: three nodes see one crash each.
func TestRequestThatCrashesUpstreamsIsHeldAtEveryNode(t *testing.T) {
	deadlyRequest := []Subject{{ID: 5, Request: true}}
	nodes := []*Table{New(Options{}), New(Options{}), New(Options{}), New(Options{})}
	for i := range 3 {
		nodes[i].RecordCrash(at(float64(i)), uint64(i), at(float64(i)-0.05), deadlyRequest)
		for other := range 16 { // requests that the crash broke off as well
			nodes[i].RecordCrash(at(float64(i)), uint64(i), at(float64(i)-0.05), []Subject{{ID: uint64(100 + 16*i + other), Request: true}})
		}
	}
	exchange := func(s float64) {
		for i := range nodes {
			for j := range nodes {
				nodes[j].Merge(at(s), nodes[i].Message(at(s)))
			}
		}
	}
	for round := range 8 {
		exchange(2.1 + 0.1*float64(round))
	}
	for i, n := range nodes {
		if decision, _ := n.Check(at(3), deadlyRequest); decision != Refuse {
			t.Errorf("node %d does not hold a request that crashed three upstreams", i)
		}
		if decision, _ := n.Check(at(3), []Subject{{ID: 100, Request: true}}); decision == Refuse {
			t.Errorf("node %d holds a sound request that one of the crashes broke off", i)
		}
		if decision, _ := n.Check(at(3), Parts(5)); decision == Refuse {
			t.Errorf("node %d holds a part with the identifier of a held request", i)
		}
	}
	nodes[0].RecordAnswer(at(4), 9, at(3.9), deadlyRequest)
	exchange(4.1)
	for i, n := range nodes {
		if decision, _ := n.Check(at(4.2), deadlyRequest); decision == Refuse {
			t.Errorf("node %d holds a request that has been answered", i)
		}
	}
}

func TestRequestsThatCrashesBrokeOffDoNotDisplaceParts(t *testing.T) {
	table := New(Options{})
	crashes(table, 0, 2, deadly)
	for i := range uint64(3 * maxSuspects) {
		table.RecordCrash(at(2), 77, at(2-0.05), []Subject{{ID: i, Request: true}})
	}
	if n := table.count(true); n > maxSuspects || !table.HasRequests() {
		t.Errorf("the table has %d requests, want at most %d", n, maxSuspects)
	}
	if end := crashes(table, 4, 1, deadly); !isHeld(table, end, deadly) {
		t.Error("the evidence against the deadly part was displaced by requests")
	}
	table.Message(at(4000))
	if n := table.count(true); n != 0 || table.HasRequests() {
		t.Errorf("the table has %d requests long after the crashes, want none", n)
	}
}

// TestRequestOnWhichManyUpstreamsCrashedAtOnceIsSentOnceAtATime: crashes at one moment are not enough to hold a
// request, which callers may repeat at all nodes at once.
func TestRequestOnWhichManyUpstreamsCrashedAtOnceIsSentOnceAtATime(t *testing.T) {
	request := []Subject{{ID: 5, Request: true}}
	chosen, other := New(Options{Chosen: func(uint64) bool { return true }}), New(Options{Chosen: func(uint64) bool { return false }})
	for _, n := range []*Table{chosen, other} {
		for i := range uint64(4) {
			n.RecordCrash(at(0.03*float64(i)), i, at(-0.05), request)
		}
	}
	for _, c := range []struct {
		node *Table
		at   float64
		want Decision
	}{{other, 6, Wait}, {chosen, 6, Try}, {chosen, 6.1, Wait}, {other, 8, Wait}, {chosen, 8, Try}} {
		if got, _ := c.node.Check(at(c.at), request); got != c.want {
			t.Errorf("after %v s: got decision %v, want %v", c.at, got, c.want)
		}
	}
	chosen.RecordAnswer(at(9), 9, at(8.9), request)
	other.Merge(at(9.1), chosen.Message(at(9.1)))
	for _, n := range []*Table{chosen, other} {
		if got, _ := n.Check(at(9.2), request); got != Send {
			t.Errorf("got decision %v after an answer, want %v", got, Send)
		}
	}
}

// TestHeldPartDoesNotExplainLaterCrashesOfTheSameProcess: upstreams start again under their IDs, and the node does
// not know their new entries yet.
func TestHeldPartDoesNotExplainLaterCrashesOfTheSameProcess(t *testing.T) {
	request := []Subject{{ID: 5, Request: true}}
	table := New(Options{})
	for i := range uint64(4) {
		table.RecordCrash(at(float64(i)), i, at(float64(i)-0.05), Parts(deadly))
	}
	if !isHeld(table, 5, deadly) {
		t.Fatal("the deadly part is not held")
	}
	for i := range uint64(4) {
		table.RecordCrash(at(8+float64(i)), i, at(8+float64(i)-0.05), request)
	}
	if got, _ := table.Check(at(13), request); got != Refuse {
		t.Errorf("got decision %v on a request that crashed four upstreams after a part had, want %v", got, Refuse)
	}
}
