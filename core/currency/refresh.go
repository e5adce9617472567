package currency

import (
	"sync"
	"time"
)

const (
	// askFraction is the age of the proof, as a fraction of the bound, above which other nodes
	// are asked. storeFraction is the age above which the store is read, to which each node adds
	// up to storeSpread, so that the nodes of a fleet do not all read at the same moment.
	askFraction   = 0.4
	storeFraction = 0.6
	storeSpread   = 0.15
	// minAskInterval is the time between two questions to other nodes; it doubles up to
	// maxAskInterval while none of them has a recent proof.
	minAskInterval = 200 * time.Millisecond
	maxAskInterval = time.Second
	// maxWatch is the maximum time for which the first reader of a failure domain lets the store
	// hold a read of the documents; watchFraction limits it as a fraction of the bound. The proof of
	// a reader is as old as the read when that ends, and other nodes get it later still.
	maxWatch      = time.Second
	watchFraction = 0.125
	// standbyFraction is the same for the other readers, whose reads matter only once the first
	// one is gone. Their proof and its way to the other nodes then still fit the bound.
	standbyFraction = 0.4
	// freshAge is the age of the proof above which an unknown key makes a node read the store,
	// freshInterval the minimum time between two such reads: anyone can send unknown keys.
	freshAge      = maxRejectAge / 2
	freshInterval = time.Second
)

// eraFraction is the time, as a fraction of the bound, from the first answer of a store that came
// back from an older copy until reads of it are sent that count as proofs. Meanwhile the operator writes
// again what the copy lacks, and other nodes pass on a later table. Proofs from before do not lapse
// if they are as recent as usual, up to askFraction of the bound.
const eraFraction = 0.4

// EraHold returns how long reads of a store that came back from an older copy prove nothing.
func (p Policy) EraHold() time.Duration { return p.part(eraFraction) }

// Watch returns how long a reader lets the store hold a read of the documents. first is set for
// the first reader of a failure domain, whose proofs the other nodes get.
func (p Policy) Watch(first bool) time.Duration {
	if first {
		return min(maxWatch, p.part(watchFraction))
	}
	return p.part(standbyFraction)
}

func (p Policy) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(p.Bound))
}

// Source is where a node looks for a more recent proof.
type Source int

const (
	// Nowhere means that the proof is recent enough.
	Nowhere Source = iota
	// Reader is a node of the failure domain that reads the store.
	Reader
	// Region is any node of the region.
	Region
	// Fleet is any node.
	Fleet
)

// Refresher decides when a node looks for a more recent proof.
type Refresher struct {
	policy Policy
	// storeAge is the age of the proof above which this node reads the store.
	storeAge time.Duration

	mu sync.Mutex
	// asked is the number of questions since the proof was recent, nextAsk the time before which
	// there is no other.
	asked   int
	nextAsk time.Duration
	// wanted is set if an unknown key has arrived since the last fresh read, before which time
	// nextFresh there is no other.
	wanted    bool
	nextFresh time.Duration
}

// NewRefresher returns a refresher; spread is a random number from 0 to 1.
func NewRefresher(p Policy, spread float64) *Refresher {
	return &Refresher{policy: p, storeAge: p.part(storeFraction + storeSpread*spread)}
}

// Ask returns which node is to be asked now, if any.
func (r *Refresher) Ask(now time.Duration, p Proof) Source {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age, ok := p.Age(now); ok && age <= r.policy.part(askFraction) {
		r.asked = 0
		return Nowhere
	}
	if r.asked > 0 && now < r.nextAsk {
		return Nowhere
	}
	r.nextAsk = now + min(maxAskInterval, minAskInterval<<min(r.asked, 10))
	source := []Source{Reader, Region, Fleet}[r.asked%3]
	r.asked++
	return source
}

// WantFresh records that a key could not be rejected because the proof is too old.
func (r *Refresher) WantFresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = true
}

// ReadStore reports whether a node that is not a reader has to read the store now.
func (r *Refresher) ReadStore(now time.Duration, p Proof) bool {
	age, ok := p.Age(now)
	return !ok || age > r.storeAge || r.wantsFresh(now, age)
}

// ReadFresh reports whether the next read of the store must not be held; it is to be made at once.
func (r *Refresher) ReadFresh(now time.Duration, p Proof) bool {
	age, ok := p.Age(now)
	if !r.wantsFresh(now, age) {
		return !ok || age > r.storeAge
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted, r.nextFresh = false, now+freshInterval
	return true
}

func (r *Refresher) wantsFresh(now, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted && now >= r.nextFresh && age > freshAge
}
