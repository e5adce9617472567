package currency

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestKeyIsDecidedByTheAgeOfTheProof(t *testing.T) {
	p := Policy{Bound: 5 * time.Second}
	proof := Proof{Version: 7, At: time.Minute}
	for _, c := range []struct {
		name    string
		proof   Proof
		version uint64
		known   bool
		age     time.Duration
		want    Verdict
	}{
		{"known key, recent proof", proof, 7, true, 0, Honour},
		{"known key, oldest proof that counts", proof, 7, true, 4899 * ms, Honour},
		{"known key, within the margin of the bound", proof, 7, true, 4900 * ms, Outdated},
		{"known key, beyond the bound", proof, 7, true, time.Hour, Outdated},
		{"known key, no proof", Proof{}, 7, true, 0, Outdated},
		{"known key, table newer than the proof", proof, 8, true, time.Second, Honour},
		{"known key, looked up in a table older than the proof", proof, 6, true, 0, Outdated},
		{"known key, clock read before the proof was renewed", proof, 7, true, -ms, Honour},
		{"unknown key, recent proof", proof, 7, false, time.Second, Reject},
		{"unknown key, which may be new", proof, 7, false, 1001 * ms, Outdated},
		{"unknown key, beyond the bound", proof, 7, false, time.Hour, Outdated},
		{"unknown key, no proof", Proof{}, 7, false, 0, Outdated},
	} {
		if got := p.Decide(c.proof, c.version, c.known, proof.At+c.age); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// The answer to a call may have been in transit for any time; only its sending is known to be
// earlier than what it tells.
func TestProofCountsFromTheSendingOfTheCall(t *testing.T) {
	var tr Tracker
	tr.RecordStore(10*time.Second, 3)
	if got := tr.Proof(); got != (Proof{Version: 3, At: 10 * time.Second}) {
		t.Errorf("got %+v, want a proof of the time at which the call was sent", got)
	}
	view := View{Version: 3, Digest: 9}
	if !tr.RecordReply(14*time.Second, Reply{View: view, Age: 1500 * ms, Proved: true}, view) {
		t.Error("the reply of a node with the same documents was not recorded")
	}
	if got := tr.Proof(); got.At != 12500*ms {
		t.Errorf("got %+v, want the time of sending less the other node's age", got)
	}
}

func TestReplyOfOtherDocumentsProvesNothing(t *testing.T) {
	own := View{Version: 3, Digest: 9}
	for name, r := range map[string]Reply{
		"newer table":      {View: View{Version: 4, Digest: 9}, Proved: true},
		"older table":      {View: View{Version: 2, Digest: 9}, Proved: true},
		"other digest":     {View: View{Version: 3, Digest: 8}, Proved: true},
		"without a proof":  {View: own},
		"nothing at all":   {},
		"of an older node": {View: own, Age: 0, Proved: false},
	} {
		var tr Tracker
		if tr.RecordReply(time.Minute, r, own) || tr.Proof() != (Proof{}) {
			t.Errorf("%s: the reply was taken for a proof", name)
		}
	}
}

// Answers arrive in any order.
func TestOlderProofDoesNotReplaceANewerOne(t *testing.T) {
	var tr Tracker
	tr.RecordStore(10*time.Second, 3)
	tr.RecordStore(9*time.Second, 4)
	tr.RecordStore(11*time.Second, 0) // no table is in force
	view := View{Version: 3}
	tr.RecordReply(11*time.Second, Reply{View: view, Age: 2 * time.Second, Proved: true}, view)
	if got := tr.Proof(); got != (Proof{Version: 3, At: 10 * time.Second}) {
		t.Errorf("got %+v, want the proof of the latest time", got)
	}
}

// The clock of a machine that has just been started is near zero.
func TestProofMayBeFromBeforeTheClockBegan(t *testing.T) {
	var tr Tracker
	view := View{Version: 3}
	tr.RecordReply(time.Second, Reply{View: view, Age: 3 * time.Second, Proved: true}, view)
	if age, ok := tr.Proof().Age(2 * time.Second); !ok || age != 4*time.Second {
		t.Errorf("got age %v, %v, want 4 s", age, ok)
	}
}
