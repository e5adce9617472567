package currency

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The figures of a fleet in its simulation.
const (
	simNodes, simDomains, simReaders = 80, 6, 2
	simStep                          = 10 * ms
	simExchange                      = 300 * ms // interval of exchanges within a region
	simReaderShare                   = 0.4      // part of these that are made with a reader
	simStoreCall                     = 10 * ms
	simPause                         = 150 * ms // between two reads
	simRetry                         = 400 * ms // after a failed read
)

// simNode is a node of a simulated fleet. An exchange takes no time here: a round trip of 10 ms
// would add that to the ages.
type simNode struct {
	Tracker
	refresher        *Refresher
	domain           int
	reader, first    bool
	nextExchange     time.Duration
	readSent, readBy time.Duration // the current read of the store
	resting          time.Duration
}

// runFleet runs a fleet for a minute and returns the highest age of a proof after the first ten
// seconds, the mean age, and the numbers of questions and of reads of nodes that are not readers.
// storeAnswers reports whether the store answers a node.
func runFleet(seed uint64, storeAnswers func(n *simNode, now time.Duration) bool) (highest, mean time.Duration, asked, reads int) {
	random := rand.New(rand.NewPCG(seed, 1))
	policy := Policy{Bound: 5 * time.Second}
	view := View{Version: 1, Digest: 1}
	nodes := make([]*simNode, simNodes)
	for i := range nodes {
		nodes[i] = &simNode{refresher: NewRefresher(policy, random.Float64()), domain: i % simDomains, reader: i < simReaders*simDomains, first: i < simDomains,
			nextExchange: time.Duration(random.Float64() * float64(simExchange))}
		nodes[i].RecordStore(0, 1)
	}
	pick := func(self *simNode, ok func(n *simNode) bool) *simNode {
		for range 1000 {
			if n := nodes[random.IntN(len(nodes))]; n != self && ok(n) {
				return n
			}
		}
		return nil
	}
	exchange := func(now time.Duration, n, with *simNode) {
		if with == nil {
			return
		}
		age, ok := with.Proof().Age(now)
		n.RecordReply(now, Reply{View: view, Age: age, Proved: ok}, view)
	}
	readerOf := func(n *simNode) func(o *simNode) bool {
		return func(o *simNode) bool { return o.reader && o.domain == n.domain }
	}
	sum, samples := time.Duration(0), 0
	for now := time.Duration(0); now < time.Minute; now += simStep {
		for _, n := range nodes {
			if n.readBy > 0 && now >= n.readBy {
				n.readBy, n.resting = 0, now+simRetry
				if storeAnswers(n, now) {
					n.RecordStore(n.readSent, 1)
					n.resting = now + simPause
				}
			}
			if n.readBy == 0 && now >= n.resting && (n.reader || n.refresher.ReadStore(now, n.Proof())) {
				age, _ := n.Proof().Age(now)
				wait := policy.Watch(n.first || age > policy.Watch(false))
				if n.refresher.ReadFresh(now, n.Proof()) {
					wait = 0
				}
				if !n.reader {
					reads++
				}
				n.readSent, n.readBy = now, now+wait+simStoreCall
			}
			if now >= n.nextExchange {
				n.nextExchange = now + time.Duration((0.85+0.3*random.Float64())*float64(simExchange))
				if random.Float64() < simReaderShare {
					exchange(now, n, pick(n, readerOf(n)))
				} else {
					exchange(now, n, pick(n, func(o *simNode) bool { return o.domain == n.domain }))
				}
			}
			switch n.refresher.Ask(now, n.Proof()) {
			case Reader:
				asked++
				exchange(now, n, pick(n, readerOf(n)))
			case Region:
				asked++
				exchange(now, n, pick(n, func(o *simNode) bool { return o.domain/2 == n.domain/2 }))
			case Fleet:
				asked++
				exchange(now, n, pick(n, func(o *simNode) bool { return o.domain/2 != n.domain/2 }))
			case Nowhere:
			}
			if age, _ := n.Proof().Age(now); now > 10*time.Second {
				highest = max(highest, age)
				sum, samples = sum+age, samples+1
			}
		}
	}
	return highest, sum / time.Duration(samples), asked, reads
}

// A proof that is older than the bound refuses proper requests, so in a fleet without failures no
// node may come near it.
func TestProofsOfAQuietFleetAreRecent(t *testing.T) {
	for seed := range uint64(5) {
		highest, mean, asked, reads := runFleet(seed, func(*simNode, time.Duration) bool { return true })
		t.Logf("seed %d: highest age %v, mean %v, %d questions and %d reads of nodes that are not readers in a minute", seed, highest, mean, asked, reads)
		if highest > 3*time.Second || reads > 0 {
			t.Errorf("seed %d: highest age %v and %d reads, want at most 3 s and none", seed, highest, reads)
		}
	}
}

// A failure domain, or a region, that the store refuses depends on what other nodes prove.
func TestProofsReachNodesThatTheStoreRefuses(t *testing.T) {
	for name, refused := range map[string]func(n *simNode) bool{
		"one failure domain": func(n *simNode) bool { return n.domain == 0 },
		"one region":         func(n *simNode) bool { return n.domain < 2 },
	} {
		for seed := range uint64(5) {
			highest, mean, asked, reads := runFleet(seed, func(n *simNode, _ time.Duration) bool { return !refused(n) })
			t.Logf("%s, seed %d: highest age %v, mean %v, %d questions and %d reads in a minute", name, seed, highest, mean, asked, reads)
			if highest > 4800*ms {
				t.Errorf("%s, seed %d: highest age %v, want keys honoured everywhere", name, seed, highest)
			}
		}
	}
}

// While the store is away all nodes try to read it: it must not be stormed.
func TestReadsOfAFleetWithoutStoreAreLimited(t *testing.T) {
	_, _, asked, reads := runFleet(1, func(*simNode, time.Duration) bool { return false })
	t.Logf("%d questions and %d reads in a minute", asked, reads)
	if perSecond := float64(reads) / 60; perSecond > 600 {
		t.Errorf("%v reads a second, want under a tenth of what the store handles", perSecond)
	}
}

// A store that comes back from an older copy proves nothing for a time; proper requests must not
// be refused meanwhile.
func TestProofsOutlastAStoreThatComesBack(t *testing.T) {
	const restoredAt = 30 * time.Second
	hold := Policy{Bound: 5 * time.Second}.EraHold()
	for seed := range uint64(20) {
		heldUntil := make(map[*simNode]time.Duration)
		highest, _, _, reads := runFleet(seed, func(n *simNode, now time.Duration) bool {
			if now < restoredAt {
				return true
			}
			if heldUntil[n] == 0 {
				heldUntil[n] = now + hold
			}
			return n.readSent >= heldUntil[n]
		})
		t.Logf("seed %d: highest age %v, %d reads of nodes that are not readers", seed, highest, reads)
		if highest >= 4900*ms {
			t.Errorf("seed %d: highest age %v, want keys honoured everywhere", seed, highest)
		}
	}
}
