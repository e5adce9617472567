package quarantine

import (
	"slices"
	"testing"
)

// promptsWith returns the prompts with a deadly part before, between and behind sound ones.
func promptsWith(sound ...uint64) map[string][]uint64 {
	return map[string][]uint64{
		"before":  append([]uint64{deadly}, sound...),
		"between": slices.Insert(slices.Clone(sound), 1, deadly),
		"behind":  append(slices.Clone(sound), deadly),
	}
}

// TestSoundPromptsOfPartsSeenOnlyBesideDeadlyOneAreServed: of parts seen only together the last one was held for good.
func TestSoundPromptsOfPartsSeenOnlyBesideDeadlyOneAreServed(t *testing.T) {
	for place, prompt := range promptsWith(1, 2) {
		t.Run(place, func(t *testing.T) {
			table := New(Options{})
			end := crashes(table, 0, 3, prompt...)
			if !isHeld(table, end, prompt...) {
				t.Error("a prompt with all parts that were present at three crashes is not held")
			}
			for _, sound := range [][]uint64{{1}, {2}, {1, 2}, {2, 3}} {
				if isHeld(table, end, sound...) {
					t.Errorf("prompt %v without the deadly part is held", sound)
				}
			}
			table.RecordAnswer(at(end+1), 99, at(end+1), Parts(1, 2))
			if !isHeld(table, end+1, deadly) || !isHeld(table, end+1, prompt...) {
				t.Error("the deadly part is not held after the others were answered")
			}
		})
	}
}

// TestDeadlyPartIsHeldAfterOneCrashBesideOtherParts: it crashed as many upstreams again with other documents.
func TestDeadlyPartIsHeldAfterOneCrashBesideOtherParts(t *testing.T) {
	for place, prompt := range promptsWith(1, 2) {
		t.Run(place, func(t *testing.T) {
			table := New(Options{})
			crashes(table, 0, 3, prompt...)
			end := crashes(table, 4, 1, deadly, 7)
			if !isHeld(table, end, deadly, 8) {
				t.Error("a part present at four crashes, with different others, is not held")
			}
			if isHeld(table, end, 1, 2) || isHeld(table, end, 7) {
				t.Error("prompts with the parts that were present at some of the crashes are held")
			}
		})
	}
}

// TestRequestThatComesAgainIsHeldBesidePartsOfItsOwn: nothing shows whether the request or a part that only it has is the cause.
func TestRequestThatComesAgainIsHeldBesidePartsOfItsOwn(t *testing.T) {
	request := append(Parts(1, 2), Subject{ID: 5, Request: true})
	table := New(Options{})
	for i := range uint64(3) {
		table.RecordCrash(at(float64(i)), i, at(float64(i)-0.05), request)
	}
	if got, _ := table.Check(at(3), request); got != Refuse {
		t.Errorf("got decision %v on a request that crashed three upstreams, want %v", got, Refuse)
	}
	other := append(Parts(1, 2), Subject{ID: 6, Request: true})
	if got, _ := table.Check(at(3), other); got != Send {
		t.Errorf("got decision %v on another request with the same parts, want %v", got, Send)
	}
	table.RecordAnswer(at(4), 99, at(3.9), other)
	if got, _ := table.Check(at(5), request); got != Refuse {
		t.Errorf("got decision %v on the request after its parts were answered in another one, want %v", got, Refuse)
	}
	table.RecordAnswer(at(6), 99, at(5.9), request)
	if got, _ := table.Check(at(7), request); got != Send {
		t.Errorf("got decision %v on the request after it was answered, want %v", got, Send)
	}
}

// TestNodeThatLearnsOfAlternativesHoldsThemTogether: it adopted each hold as one of its own.
func TestNodeThatLearnsOfAlternativesHoldsThemTogether(t *testing.T) {
	told, teller := New(Options{}), New(Options{})
	end := crashes(teller, 0, 3, 1, deadly)
	if !isHeld(teller, end, 1, deadly) {
		t.Fatal("the prompt is not held")
	}
	told.Merge(at(end), teller.Message(at(end)))
	if !isHeld(told, end, 1, deadly) || isHeld(told, end, 1) || isHeld(told, end, deadly) {
		t.Error("a node that was told of two alternatives does not hold just prompts with both")
	}
	crashes(told, end+1, 1, deadly, 7)
	teller.Merge(at(end+2), told.Message(at(end+2)))
	if !isHeld(teller, end+2, deadly) || isHeld(teller, end+2, 1) {
		t.Error("a crash without the other part at one node does not decide at another one")
	}
}

// TestHoldIsAdoptedLongAfterItsCrashes: a node that started later than the retention of evidence forgot it.
func TestHoldIsAdoptedLongAfterItsCrashes(t *testing.T) {
	holding := New(Options{})
	end := crashes(holding, 0, 3, deadly)
	last := 2 * evidenceRetention.Seconds()
	for s := end; s <= last; s += 60 {
		if !isHeld(holding, s, deadly) {
			t.Fatalf("the part is not held after %v s", s)
		}
	}
	started := New(Options{})
	started.Merge(at(last), holding.Message(at(last)))
	if !isHeld(started, last, deadly) {
		t.Error("a node that starts does not hold a part that another one has held for longer than evidence is kept")
	}
}
