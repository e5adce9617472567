package quarantine

import (
	"testing"
	"time"
)

const (
	deadly    = uint64(0xdead)
	companion = uint64(0xc0)
)

var t0 = time.Unix(1000, 0)

// at returns a time in seconds after t0.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// crashes records crashes of further processes, one second apart, on requests with the
// parts, and returns the time after the last one, when its evidence counts.
func crashes(t *Table, from float64, n int, parts ...uint64) (next float64) {
	for i := range n {
		t.RecordCrash(at(from+float64(i)), uint64(from*1000)+uint64(i), at(from+float64(i)-0.05), Parts(parts...))
	}
	return from + float64(n-1) + 2*settleTime.Seconds()
}

func isHeld(t *Table, seconds float64, parts ...uint64) bool {
	decision, _ := t.Check(at(seconds), Parts(parts...))
	held := decision == Refuse || decision == Try
	return held
}

func TestVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		evidence func(t *Table) (end float64)
		held     []uint64
		notHeld  []uint64
	}{
		"three crashes hold a part": {
			func(t *Table) float64 { return crashes(t, 0, 3, deadly) }, []uint64{deadly}, nil},
		"two crashes do not": {
			func(t *Table) float64 { return crashes(t, 0, 2, deadly) }, nil, []uint64{deadly}},
		"upstreams that start again under their IDs count again": {
			func(t *Table) float64 {
				for i := range 3 {
					t.RecordCrash(at(float64(i)*2), uint64(i%2), at(float64(i)*2-0.05), Parts(deadly))
					t.RecordAnswer(at(float64(i)*2+1.5), uint64(i%2), at(float64(i)*2+1.4), Parts(7))
				}
				return 7
			}, []uint64{deadly}, nil},
		"upstreams that crash as soon as they run again count again": {
			func(t *Table) float64 {
				for i := range 8 {
					t.RecordCrash(at(float64(i/4*2)), uint64(i%4), at(float64(i/4*2)-0.05), Parts(deadly))
				}
				return 3
			}, []uint64{deadly}, nil},
		"requests sent to upstreams that are down prove nothing": {
			func(t *Table) float64 {
				for i := range 5 {
					t.RecordCrash(at(0), uint64(i), at(-1), Parts(7))
					t.RecordCrash(at(float64(i+1)), uint64(i), at(float64(i+1)-0.01), Parts(companion))
				}
				return 7
			}, nil, []uint64{companion}},
		"lost connections to upstreams that are down do not count again": {
			func(t *Table) float64 {
				for i := range 20 {
					t.RecordCrash(at(float64(i)), uint64(i%2), at(float64(i)-0.01), Parts(companion))
				}
				return 21
			}, nil, []uint64{companion}},
		"crashes of one process prove nothing": {
			func(t *Table) float64 {
				for i := range 9 {
					t.RecordCrash(at(float64(i)), 1, at(float64(i)-0.05), Parts(deadly))
				}
				return 10
			}, nil, []uint64{deadly}},
		"crashes at one moment count once": {
			func(t *Table) float64 {
				for i := range 9 {
					t.RecordCrash(at(1), uint64(i), at(1-0.05), Parts(deadly))
				}
				return 3
			}, nil, []uint64{deadly}},
		"five crashes at two moments hold a part": {
			func(t *Table) float64 {
				for i := range 5 {
					t.RecordCrash(at(float64(i/3)), uint64(i), at(float64(i/3)-0.05), Parts(deadly))
				}
				return 3
			}, []uint64{deadly}, nil},
		"an answer clears a part": {
			func(t *Table) float64 {
				end := crashes(t, 0, 2, deadly)
				t.RecordAnswer(at(end), 99, at(end), Parts(deadly))
				return crashes(t, end+1, 2, deadly)
			}, nil, []uint64{deadly}},
		"a part that was answered before needs five crashes": {
			func(t *Table) float64 {
				t.RecordAnswer(at(0), 99, at(0), Parts(deadly))
				return crashes(t, 1, 4, deadly)
			}, nil, []uint64{deadly}},
		"five crashes hold a part that was answered before": {
			func(t *Table) float64 {
				t.RecordAnswer(at(0), 99, at(0), Parts(deadly))
				return crashes(t, 1, 5, deadly)
			}, []uint64{deadly}, nil},
		"the part that was never answered is held": {
			func(t *Table) float64 {
				t.RecordAnswer(at(0), 99, at(0), Parts(companion))
				return crashes(t, 1, 6, companion, deadly)
			}, []uint64{deadly}, []uint64{companion}},
		"the part at all crashes is held": {
			func(t *Table) float64 {
				crashes(t, 0, 1, deadly, 1)
				crashes(t, 1, 1, deadly, 2)
				return crashes(t, 2, 1, deadly, 3)
			}, []uint64{deadly}, []uint64{1, 2, 3}},
		"requests that waited at the crashed upstreams are explained": {
			func(t *Table) float64 {
				for i := range 4 {
					t.RecordCrash(at(float64(i)), uint64(i), at(float64(i)-0.05), Parts(deadly))
					t.RecordCrash(at(float64(i)), uint64(i), at(float64(i)-0.05), Parts(companion, uint64(i)))
				}
				t.RecordCrash(at(4), 4, at(4-0.05), Parts(deadly))
				return 6
			}, []uint64{deadly}, []uint64{companion}},
		"a part that others use is not held for a caller's own parts beside it": {
			func(t *Table) float64 {
				for i := range 12 {
					t.RecordAnswer(at(float64(i)-0.5), 99, at(float64(i)-0.5), Parts(companion))
					t.RecordCrash(at(float64(i)), uint64(i), at(float64(i)-0.05), Parts(companion, uint64(100+i)))
				}
				return 14
			}, nil, []uint64{companion}},
		"two parts may crash upstreams": {
			func(t *Table) float64 {
				crashes(t, 0, 3, deadly)
				return crashes(t, 4, 3, deadly+1)
			}, []uint64{deadly, deadly + 1}, nil},
		"a process that goes on answering did not crash": {
			func(t *Table) float64 {
				crashes(t, 0, 3, deadly)
				t.RecordAnswer(at(2.15), 0, at(-1), Parts(7))
				return 4
			}, nil, []uint64{deadly}},
		"an upstream that started again may answer later requests": {
			func(t *Table) float64 {
				end := crashes(t, 0, 3, deadly)
				t.RecordAnswer(at(2.15), 0, at(2), Parts(7))
				return end
			}, []uint64{deadly}, nil},
		"an answer that was under way does not refute a crash": {
			func(t *Table) float64 {
				end := crashes(t, 0, 3, deadly)
				t.RecordAnswer(at(2.05), 2, at(1), Parts(7))
				return end
			}, []uint64{deadly}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(Options{})
			end := c.evidence(table)
			for _, p := range c.held {
				if !isHeld(table, end, p) {
					t.Errorf("part %x is not held", p)
				}
			}
			for _, p := range c.notHeld {
				if isHeld(table, end, p) {
					t.Errorf("part %x is held", p)
				}
			}
		})
	}
}

func TestAnswerEndsHold(t *testing.T) {
	table := New(Options{})
	end := crashes(table, 0, 3, deadly)
	if !isHeld(table, end, deadly) {
		t.Fatal("the part is not held")
	}
	table.RecordAnswer(at(end+1), 99, at(end+1), Parts(deadly))
	if isHeld(table, end+1, deadly) {
		t.Error("the part is held although an upstream answered a prompt with it")
	}
}

func TestTrialsStayWithinThreeRequests(t *testing.T) {
	table := New(Options{MayTry: func(uint64) bool { return true }})
	begin := crashes(table, 0, 3, deadly)
	trials := 0
	for s := begin; s < begin+3*3600; s += 5 {
		decision, _ := table.Check(at(s), Parts(companion, deadly))
		held, trial := decision != Send, decision == Try
		if !held {
			t.Fatalf("the part is released after %.0f s although each trial crashed an upstream", s)
		}
		if trial {
			trials++
			table.RecordCrash(at(s+1), uint64(9000+trials), at(s+1-0.05), Parts(companion, deadly))
		}
	}
	if trials == 0 || trials > maxTrials {
		t.Errorf("got %d trial requests, want 1 to %d", trials, maxTrials)
	}
}

func TestNodeThatMayNotTrySendsNoTrial(t *testing.T) {
	for name, mayTry := range map[string]func(uint64) bool{"not elected": func(uint64) bool { return false }, "no trials": nil} {
		table := New(Options{MayTry: mayTry})
		begin := crashes(table, 0, 3, deadly)
		for s := begin; s < 3600; s += 5 {
			if decision, _ := table.Check(at(s), Parts(deadly)); decision == Try {
				t.Fatalf("%s: a trial was sent", name)
			}
		}
	}
}

func TestHoldEndsWithoutRequests(t *testing.T) {
	table := New(Options{})
	end := crashes(table, 0, 3, deadly)
	isHeld(table, end, deadly)
	table.Message(at(end + heldRetention.Seconds() + 1))
	if isHeld(table, end+heldRetention.Seconds()+2, deadly) {
		t.Error("the part is still held although no request with it came")
	}
}

func TestHoldEndsAfterADay(t *testing.T) {
	table := New(Options{})
	end := crashes(table, 0, 3, deadly)
	for s := end; s < maxHeldFor.Seconds()+60; s += 30 {
		isHeld(table, s, deadly)
		table.Message(at(s))
	}
	if isHeld(table, maxHeldFor.Seconds()+90, deadly) {
		t.Error("the part is still held after more than a day")
	}
}

// TestEvidenceOfSeveralNodesHoldsPart: each crash is seen by another node, and none sees
// enough by itself.
func TestEvidenceOfSeveralNodesHoldsPart(t *testing.T) {
	a, b, c := New(Options{}), New(Options{}), New(Options{})
	a.RecordCrash(at(0), 1, at(0-0.05), Parts(companion, deadly))
	b.RecordCrash(at(1), 2, at(1-0.05), Parts(companion, deadly))
	c.RecordCrash(at(2), 3, at(2-0.05), Parts(companion, deadly))
	c.Merge(at(2.5), a.Message(at(2.5)))
	c.Merge(at(2.5), b.Message(at(2.5)))
	if !isHeld(c, 3, companion, deadly) || isHeld(c, 3, deadly) || isHeld(c, 3, companion) {
		t.Fatal("want that prompts with both parts are held, and none with one of them")
	}
	a.Merge(at(3), c.Message(at(3)))
	if !isHeld(a, 3, companion, deadly) || isHeld(a, 3, deadly) || isHeld(a, 3, companion) {
		t.Error("another node does not hold just the prompts that it was told of")
	}
	b.RecordAnswer(at(3.5), 9, at(3.4), Parts(companion))
	a.Merge(at(3.6), b.Message(at(3.6)))
	if !isHeld(a, 3.7, deadly) || isHeld(a, 3.7, companion) {
		t.Error("a node that was told of an answer to the one part does not hold just the other")
	}
	restarted := New(Options{})
	restarted.Merge(at(3), a.Message(at(3)))
	if !isHeld(restarted, 3, deadly) {
		t.Error("a node that has just started does not hold the part that it was told of")
	}
}

// TestHoldOnOldEvidenceIsNotAdopted: the node that holds the part has not received the answers
// that are later than its evidence, and earlier than its verdict.
func TestHoldOnOldEvidenceIsNotAdopted(t *testing.T) {
	holding, other := New(Options{}), New(Options{})
	end := crashes(holding, 0, 3, companion)
	other.RecordAnswer(at(end-0.1), 99, at(end-0.2), Parts(companion))
	if !isHeld(holding, end, companion) {
		t.Fatal("the part is not held")
	}
	other.Merge(at(end), holding.Message(at(end)))
	if isHeld(other, end, companion) {
		t.Error("a node that knows of a later answer than the evidence adopted the hold")
	}
	holding.Merge(at(end), other.Message(at(end)))
	if isHeld(holding, end, companion) {
		t.Error("the hold did not end with an answer that is later than all its evidence")
	}
}

// TestProcessThatWentOnAnsweringAccusesNoPartElsewhere: another node than the one whose
// connections were lost sees that the upstream runs.
func TestProcessThatWentOnAnsweringAccusesNoPartElsewhere(t *testing.T) {
	accusing, other := New(Options{}), New(Options{})
	end := crashes(accusing, 0, 2, companion)
	other.Merge(at(end), accusing.Message(at(end)))
	other.RecordAnswer(at(end), 0, at(-1), Parts(7))
	accusing.Merge(at(end), other.Message(at(end)))
	if end := crashes(accusing, end+1, 1, companion); isHeld(accusing, end, companion) {
		t.Error("the part is held although one of three upstreams did not crash")
	}
}

// TestNodeThatWasAnsweredEndsHoldElsewhere: a node that is cut off holds a part by mistake.
func TestNodeThatWasAnsweredEndsHoldElsewhere(t *testing.T) {
	cutOff, other := New(Options{}), New(Options{})
	end := crashes(cutOff, 0, 3, companion)
	if !isHeld(cutOff, end, companion) {
		t.Fatal("the part is not held")
	}
	other.RecordAnswer(at(end+1), 99, at(end+1), Parts(companion))
	other.Merge(at(end+1.5), cutOff.Message(at(end+1.5)))
	if isHeld(other, end+1.5, companion) {
		t.Error("a node that was answered adopted the hold")
	}
	cutOff.Merge(at(end+2), other.Message(at(end+2)))
	if isHeld(cutOff, end+2, companion) {
		t.Error("the hold did not end with another node's answer")
	}
}

func TestPromptWithManyPartsIsBounded(t *testing.T) {
	table := New(Options{})
	crashes(table, 0, 2, deadly)
	for i := range 4000 {
		parts := make([]uint64, 500)
		for j := range parts {
			parts[j] = uint64(1_000_000 + i*500 + j)
		}
		table.RecordCrash(at(2), 77, at(2-0.05), Parts(parts...))
	}
	if len(table.suspects) > maxSuspects {
		t.Errorf("the table has %d parts, want at most %d", len(table.suspects), maxSuspects)
	}
	if n := len(table.Message(at(3)).Suspects); n > maxRecords {
		t.Errorf("a message has %d records, want at most %d", n, maxRecords)
	}
	if end := crashes(table, 4, 1, deadly); !isHeld(table, end, deadly) {
		t.Error("the evidence against the deadly part was displaced by parts with less")
	}
}

func TestRequestIsNotRepeatedAfterSecondCrash(t *testing.T) {
	table := New(Options{})
	crashes(table, 0, 1, companion, deadly)
	if table.Suspected(at(0), Parts(companion, deadly)) {
		t.Error("a part is suspected after one crash")
	}
	crashes(table, 1, 1, companion, deadly)
	if !table.Suspected(at(1), Parts(companion, deadly)) {
		t.Error("a part is not suspected after two crashes")
	}
}
