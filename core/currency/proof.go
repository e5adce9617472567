package currency

import (
	"sync"
	"time"
)

const (
	// clockMargin is how long before the bound keys are no longer honoured. It covers the
	// difference in rate between the clocks of two nodes and the resolution of ages in messages.
	clockMargin = 100 * time.Millisecond
	// maxRejectAge is the highest age of a proof with which an unknown key is rejected for
	// good. Beyond it the key may be new.
	maxRejectAge = time.Second
)

// Proof states that a version of the routing table, and hence every later one, contains all
// changes that the store had acknowledged by a time. The zero value proves nothing.
type Proof struct {
	// Version is the version of the table; zero if there is no proof.
	Version uint64
	At      time.Duration
}

// Age returns the time since the table was current; ok is false without a proof.
func (p Proof) Age(now time.Duration) (age time.Duration, ok bool) {
	if p.Version == 0 {
		return 0, false
	}
	return max(0, now-p.At), true
}

// Verdict is what happens to a request with a key.
type Verdict int

const (
	// Honour means that the key counts.
	Honour Verdict = iota
	// Reject means that no account has the key.
	Reject
	// Outdated means that the node does not know at present whether an account has the key.
	Outdated
)

// Policy is the policy of strict revocation.
type Policy struct {
	// Bound is the time after the acknowledgment of a table without a key from which on no
	// request runs that a client sends with it.
	Bound time.Duration
}

// honourLimit is the age of a proof from which on keys are not honoured.
func (p Policy) honourLimit() time.Duration { return p.Bound - clockMargin }

// Honours reports whether keys are honoured with a proof.
func (p Policy) Honours(proof Proof, now time.Duration) bool {
	age, ok := proof.Age(now)
	return ok && age < p.honourLimit()
}

// Decide decides on a key, which was looked up in the version of the table given. The time must
// have been read after the request's head: whatever was sent before then was sent less than the
// bound after the proof.
func (p Policy) Decide(proof Proof, version uint64, known bool, now time.Duration) Verdict {
	if version < proof.Version || !p.Honours(proof, now) {
		return Outdated
	}
	if known {
		return Honour
	}
	if age, _ := proof.Age(now); age > maxRejectAge {
		return Outdated
	}
	return Reject
}

// View identifies a node's copy of the operator's documents.
type View struct {
	Version uint64
	// Digest is a hash of all the documents.
	Digest uint64
}

// Reply is the part of the reply to an exchange that can prove something.
type Reply struct {
	View
	// Age is the age of the other node's proof, rounded up; Proved is false if it has none.
	Age    time.Duration
	Proved bool
}

// Tracker holds the most recent proof of a node.
type Tracker struct {
	mu    sync.Mutex
	proof Proof
}

// Proof returns the most recent proof.
func (t *Tracker) Proof() Proof {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.proof
}

// RecordStore records that the store answered a read of the documents, which was sent at a time.
// All that it returned must have been applied, and version is that of the table in force.
func (t *Tracker) RecordStore(sentAt time.Duration, version uint64) {
	t.record(Proof{Version: version, At: sentAt})
}

// RecordReply records the reply to an exchange that this node sent at a time. It counts only if
// the other node has the same documents as this one. Messages that the other node sent of its own
// accord must not be recorded: they may have been in transit for any time.
func (t *Tracker) RecordReply(sentAt time.Duration, r Reply, own View) bool {
	if !r.Proved || r.View != own {
		return false
	}
	t.record(Proof{Version: own.Version, At: sentAt - r.Age})
	return true
}

func (t *Tracker) record(p Proof) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Version != 0 && (t.proof.Version == 0 || p.At > t.proof.At) {
		t.proof = p
	}
}
