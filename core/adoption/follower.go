package adoption

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/lists"
	"github.com/crocusspread/crocusspread/core/membership"
	"github.com/crocusspread/crocusspread/core/ports"
)

// watchKey ranks a domain's nodes for the watch at the key-value service.
const watchKey = "lists-watch"

// Config sets a Follower's intervals.
type Config struct {
	// Watchers is the number of watching nodes per failure domain.
	Watchers int
	// WatchTimeout ends a watch that heard nothing; it is then started anew.
	WatchTimeout time.Duration
	// ReadTimeout and PullTimeout bound one read and one pull.
	ReadTimeout time.Duration
	PullTimeout time.Duration
	// WatcherRead and OtherRead are the times between reads of a watching and
	// of any other node, as a bound for jitter.
	WatcherRead time.Duration
	OtherRead   time.Duration
	// RetryLeast and RetryMost bound the wait after a failure.
	RetryLeast time.Duration
	RetryMost  time.Duration
	// WatchRetryMost bounds the wait after a failed watch.
	WatchRetryMost time.Duration
	// StartWait bounds how long a node that holds lists waits at its start for
	// the service and for peers that do not answer.
	StartWait time.Duration
	// StartPeers is the number of peers that must have told their version, if
	// the domain has as many.
	StartPeers int
}

// DefaultConfig returns the settings for a node.
func DefaultConfig() Config {
	return Config{
		Watchers:       2,
		WatchTimeout:   30 * time.Second,
		ReadTimeout:    3 * time.Second,
		PullTimeout:    2 * time.Second,
		WatcherRead:    30 * time.Second,
		OtherRead:      5 * time.Minute,
		RetryLeast:     500 * time.Millisecond,
		RetryMost:      15 * time.Second,
		WatchRetryMost: 4 * time.Second,
		StartWait:      5 * time.Second,
		StartPeers:     membership.StartPeers,
	}
}

// ActionKind tells actions apart.
type ActionKind int

const (
	// ActionWatch calls KV.Watch; report with WatchDone.
	ActionWatch ActionKind = iota + 1
	// ActionRead calls KV.Get; report with ReadDone.
	ActionRead
	// ActionPull fetches the lists from Node; report with PullDone.
	ActionPull
)

// Action is something to carry out. Each must be reported exactly once.
type Action struct {
	Kind ActionKind
	// After is the revision that a watch waits to exceed.
	After uint64
	// Node is the peer to pull from.
	Node domain.NodeRef
	// Timeout bounds the call.
	Timeout time.Duration
}

// offer is a node that announced a version higher than the one held.
type offer struct {
	node    domain.NodeRef
	version domain.ListsVersion
}

// Follower decides how one node learns of new lists. It is safe for concurrent
// use.
type Follower struct {
	cfg    Config
	holder *Holder

	mu                               sync.Mutex
	rnd                              *rand.Rand
	started                          time.Time
	revision                         uint64 // of the newest read or watch
	watching                         bool
	reading                          bool
	pulling                          bool
	watchAt                          time.Time // earliest next watch
	readAt                           time.Time
	pullAt                           time.Time
	watchRetry, readRetry, pullRetry backoff
	offers                           map[domain.NodeID]offer
	// bad is the version that was refused last; it is not pulled again.
	bad        domain.ListsVersion
	readOnce   bool                   // a first read ended, well or not
	asked      map[domain.NodeID]bool // peers that told their version at the start
	wasReady   bool
	wasWatcher bool
}

// NewFollower returns the follower of a node that starts at now. seed feeds the
// jitter and should differ between nodes.
func NewFollower(cfg Config, holder *Holder, seed uint64, now time.Time) *Follower {
	retry := backoff{least: cfg.RetryLeast, most: cfg.RetryMost}
	return &Follower{
		cfg:        cfg,
		holder:     holder,
		rnd:        rand.New(rand.NewPCG(seed, seed)),
		started:    now,
		watchRetry: backoff{least: cfg.RetryLeast, most: cfg.WatchRetryMost},
		readRetry:  retry,
		pullRetry:  retry,
		offers:     make(map[domain.NodeID]offer),
		asked:      make(map[domain.NodeID]bool),
	}
}

// Next returns the actions to begin now. Call it a few times a second and after
// each report.
func (f *Follower) Next(now time.Time, view *membership.View) []Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	watcher := membership.Ranks(watchKey, view.Self.ID, view.Own, f.cfg.Watchers)
	f.becomeWatcher(now, watcher)
	var actions []Action
	if watcher && !f.watching && !now.Before(f.watchAt) && f.readOnce {
		f.watching = true
		actions = append(actions, Action{Kind: ActionWatch, After: f.revision, Timeout: f.cfg.WatchTimeout})
	}
	if !f.reading && !now.Before(f.readAt) {
		f.reading = true
		actions = append(actions, Action{Kind: ActionRead, Timeout: f.cfg.ReadTimeout})
	}
	if o, ok := f.bestOffer(view.Self.Place); ok && !f.pulling && !now.Before(f.pullAt) {
		f.pulling = true
		actions = append(actions, Action{Kind: ActionPull, Node: o.node, Timeout: f.cfg.PullTimeout})
	}
	return actions
}

// becomeWatcher makes a node that newly watches read at once: the watchers
// before it may have missed a change.
func (f *Follower) becomeWatcher(now time.Time, watcher bool) {
	if watcher && !f.wasWatcher && f.readRetry.failures == 0 {
		f.readAt = now
	}
	f.wasWatcher = watcher
}

// bestOffer prefers the highest version, then a node of the own domain.
func (f *Follower) bestOffer(own domain.Place) (best offer, found bool) {
	for id, o := range f.offers {
		if !f.wants(o.version) {
			delete(f.offers, id)
			continue
		}
		if !found || better(own, o, best) {
			best = o
			found = true
		}
	}
	return best, found
}

func (f *Follower) wants(v domain.ListsVersion) bool {
	return v > f.holder.Version() && v != f.bad
}

func better(own domain.Place, a, b offer) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	aNear := a.node.Place.FailureDomain == own.FailureDomain
	bNear := b.node.Place.FailureDomain == own.FailureDomain
	if aNear != bNear {
		return aNear
	}
	return a.node.ID < b.node.ID
}

// PeerVersion notes the version that a node announced on a heartbeat.
func (f *Follower) PeerVersion(node domain.NodeRef, version domain.ListsVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[node.ID] = true
	if f.wants(version) {
		f.offers[node.ID] = offer{node: node, version: version}
	}
}

// ReadDone reports a read of the key-value service.
func (f *Follower) ReadDone(now time.Time, entry ports.KVEntry, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = false
	f.readOnce = true
	if err != nil {
		f.readAt = now.Add(f.readRetry.next(f.rnd))
		return
	}
	f.readRetry.reset()
	f.readAt = now.Add(jitter(f.rnd, f.readInterval()))
	// The service may have been set back; a watch from a revision that is too
	// low just returns at once.
	f.revision = entry.Revision
	f.take(entry)
}

func (f *Follower) readInterval() time.Duration {
	if f.wasWatcher {
		return f.cfg.WatcherRead
	}
	return f.cfg.OtherRead
}

// WatchDone reports a watch. A watch that timed out is no failure: pass timeout
// true and any error.
func (f *Follower) WatchDone(now time.Time, entry ports.KVEntry, timeout bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = false
	if timeout {
		f.watchRetry.reset()
		f.watchAt = now
		return
	}
	if err != nil {
		f.watchAt = now.Add(f.watchRetry.next(f.rnd))
		return
	}
	f.watchRetry.reset()
	f.watchAt = now
	if entry.Revision <= f.revision {
		// An old value: do not spin on it.
		f.watchAt = now.Add(f.watchRetry.next(f.rnd))
	}
	f.revision = max(f.revision, entry.Revision)
	f.take(entry)
}

// PullDone reports a pull from a node; v is nil if it held nothing newer.
func (f *Follower) PullDone(now time.Time, node domain.NodeRef, v *lists.Versioned, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pulling = false
	delete(f.offers, node.ID)
	if err != nil {
		f.pullAt = now.Add(f.pullRetry.next(f.rnd))
		return
	}
	f.pullRetry.reset()
	if v != nil {
		f.adopt(v)
	}
}

func (f *Follower) take(entry ports.KVEntry) {
	if entry.Revision == 0 {
		return
	}
	v, err := lists.Decode(entry.Value)
	if err != nil {
		f.holder.refuse(0, err)
		return
	}
	f.adopt(v)
}

func (f *Follower) adopt(v *lists.Versioned) {
	if _, err := f.holder.Adopt(v); err != nil {
		f.bad = v.Version
	}
}

// Ready tells if the node may serve: it holds lists, has asked the service and
// the peers of its domain, and none of them knows a higher version. What does
// not answer is waited for only until StartWait. Once true, it stays true.
func (f *Follower) Ready(now time.Time, view *membership.View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wasReady {
		return true
	}
	if f.holder.Version() == 0 {
		return false
	}
	f.wasReady = now.Sub(f.started) >= f.cfg.StartWait || f.askedAll(view)
	return f.wasReady
}

func (f *Follower) askedAll(view *membership.View) bool {
	if !f.readOnce {
		return false
	}
	if _, behind := f.bestOffer(view.Self.Place); behind {
		return false
	}
	if !view.Listed {
		return false
	}
	told := 0
	for _, id := range view.Known {
		if f.asked[id] {
			told++
		}
	}
	return told >= min(len(view.Known), f.cfg.StartPeers)
}
