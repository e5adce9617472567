package quota

import (
	"cmp"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Announcement tells which node is the authority.
type Announcement struct {
	// Node is empty if the authority of the term has resigned.
	Node    domain.NodeID
	Address string
	// Era is the era of the store and Term its revision at the begin of the term.
	Era, Term uint64
	// Age is the time since the node's lease was confirmed.
	Age time.Duration
}

// View is what a node knows of the authority.
type View struct {
	mu          sync.Mutex
	known       Announcement
	confirmedAt time.Duration
	// forgottenAt is when the node of the term was found not to be the authority; zero if it
	// was not.
	forgottenAt time.Duration
	// lostAt is since when no authority is known, changedAt when the last change was learned.
	lostAt, changedAt time.Duration
}

// NewView returns the view of a node that knows no authority.
func NewView(now time.Duration) *View { return &View{lostAt: now} }

// Merge applies what another node, or the store, says.
func (v *View) Merge(now time.Duration, a Announcement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a.Term == 0 {
		return
	}
	confirmedAt := now - a.Age
	order := cmp.Or(cmp.Compare(a.Era, v.known.Era), cmp.Compare(a.Term, v.known.Term))
	switch {
	case order > 0:
		v.known, v.confirmedAt, v.forgottenAt, v.changedAt = a, confirmedAt, 0, now
		if a.Node == "" {
			v.lostAt = now
		}
	case order < 0 || v.known.Node == "":
	case a.Node == "":
		v.known, v.lostAt, v.changedAt, v.forgottenAt = a, now, now, 0
	case confirmedAt > v.confirmedAt:
		v.confirmedAt = confirmedAt
		if confirmedAt > v.forgottenAt {
			v.forgottenAt = 0
		}
	}
}

// Forget records that the node of the term did not act as the authority.
func (v *View) Forget(now time.Duration, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known.Term == term && v.forgottenAt == 0 {
		v.forgottenAt, v.lostAt = now, now
	}
}

// Current returns the authority, and false if none is known.
func (v *View) Current() (Announcement, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known, v.known.Node != "" && v.forgottenAt == 0
}

// Announcement returns what is said to other nodes, and false if that is nothing.
func (v *View) Announcement(now time.Duration) (Announcement, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.known
	a.Age = max(0, now-v.confirmedAt)
	return a, a.Term != 0 && v.forgottenAt == 0
}

// freshPeriod is how long after a change of the authority every message tells of it.
const freshPeriod = 3 * time.Second

// Fresh reports whether the authority has changed a moment ago.
func (v *View) Fresh(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now-v.changedAt < freshPeriod
}

// staleAfter is the time since the confirmation of the lease after which the authority is
// supposed to be gone. Its lease has ended by then, unless exchanges are late.
const staleAfter = LeaseTTL + 500*time.Millisecond

// Lost reports whether no authority acts, as far as is known, and since when.
func (v *View) Lost(now time.Duration) (since time.Duration, lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known.Node == "" || v.forgottenAt != 0 {
		return v.lostAt, true
	}
	return v.confirmedAt + staleAfter, now >= v.confirmedAt+staleAfter
}

// candidateInterval is the time between the attempts of two candidates to become the authority,
// so that most of them need not call the store.
const candidateInterval = 250 * time.Millisecond

// CandidateDelay returns how long after the loss of the authority a candidate tries to become
// it. rank is its rank among the candidates, random a number from 0 to 1.
func CandidateDelay(rank int, random float64) time.Duration {
	return time.Duration((float64(rank) + random) * float64(candidateInterval))
}
