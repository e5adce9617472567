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

// watcherRankKey is the rendezvous hashing key that selects the nodes of a domain that
// watch the key-value service.
const watcherRankKey = "lists-watch"

// Config sets the intervals and limits of a Follower.
type Config struct {
	// Watchers is the number of watching nodes per failure domain.
	Watchers int
	// WatchTimeout is the timeout of a watch without a change, after which the watch
	// is restarted.
	WatchTimeout time.Duration
	// ReadTimeout and PullTimeout are the timeouts of one read and one pull.
	ReadTimeout time.Duration
	PullTimeout time.Duration
	// WatcherReadInterval and OtherReadInterval are the intervals between reads of
	// watching and of all other nodes. Jitter shortens an interval by up to half.
	WatcherReadInterval time.Duration
	OtherReadInterval   time.Duration
	// MinRetryDelay and MaxRetryDelay are the initial and the maximum retry delay after
	// a failure. Jitter shortens a delay by up to half.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// MaxWatchRetryDelay is the maximum retry delay after a failed watch.
	MaxWatchRetryDelay time.Duration
	// StartTimeout is the maximum time that a starting node which has lists waits for
	// the service and for peers that do not respond.
	StartTimeout time.Duration
	// StartPeers is the number of peers that must have announced their version, or all
	// peers if the domain has fewer.
	StartPeers int
}

// DefaultConfig returns the default settings for a node.
func DefaultConfig() Config {
	return Config{
		Watchers:            2,
		WatchTimeout:        30 * time.Second,
		ReadTimeout:         3 * time.Second,
		PullTimeout:         2 * time.Second,
		WatcherReadInterval: 30 * time.Second,
		OtherReadInterval:   5 * time.Minute,
		MinRetryDelay:       500 * time.Millisecond,
		MaxRetryDelay:       15 * time.Second,
		MaxWatchRetryDelay:  4 * time.Second,
		StartTimeout:        5 * time.Second,
		StartPeers:          membership.StartPeers,
	}
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// ActionWatch calls KV.Watch; the result is reported with WatchDone.
	ActionWatch ActionKind = iota + 1
	// ActionRead calls KV.Get; the result is reported with ReadDone.
	ActionRead
	// ActionPull fetches the lists from Node; the result is reported with PullDone.
	ActionPull
)

// Action is a call to be executed. The result of each action must be reported exactly
// once.
type Action struct {
	Kind ActionKind
	// After is the revision that a change must exceed to end a watch.
	After uint64
	// Node is the peer to pull from.
	Node domain.NodeRef
	// Timeout is the timeout of the call.
	Timeout time.Duration
}

// offer is a node that announced a higher version than the one in effect.
type offer struct {
	node    domain.NodeRef
	version domain.ListsVersion
}

// Follower decides how one node obtains new lists. It is safe for concurrent use.
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
	nextWatchAt                      time.Time // earliest next watch
	nextReadAt                       time.Time
	nextPullAt                       time.Time
	watchRetry, readRetry, pullRetry backoff
	offers                           map[domain.NodeID]offer
	// refusedVersion is the last version that was refused; it is not pulled again.
	refusedVersion domain.ListsVersion
	firstReadDone  bool                   // the first read completed or failed
	reportedPeers  map[domain.NodeID]bool // peers that announced their version
	ready          bool
	wasWatcher     bool
}

// NewFollower returns the follower of a node that starts at now. seed seeds the jitter
// and should differ between nodes.
func NewFollower(cfg Config, holder *Holder, seed uint64, now time.Time) *Follower {
	readAndPullRetry := backoff{minDelay: cfg.MinRetryDelay, maxDelay: cfg.MaxRetryDelay}
	return &Follower{
		cfg:           cfg,
		holder:        holder,
		rnd:           rand.New(rand.NewPCG(seed, seed)),
		started:       now,
		watchRetry:    backoff{minDelay: cfg.MinRetryDelay, maxDelay: cfg.MaxWatchRetryDelay},
		readRetry:     readAndPullRetry,
		pullRetry:     readAndPullRetry,
		offers:        make(map[domain.NodeID]offer),
		reportedPeers: make(map[domain.NodeID]bool),
	}
}

// Next returns the actions to start at now. It should be called several times a second
// and after each reported result.
func (f *Follower) Next(now time.Time, view *membership.View) []Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	watcher := membership.RanksAmongTop(watcherRankKey, view.Self.ID, view.LocalNodes, f.cfg.Watchers)
	f.updateWatcherRole(now, watcher)
	var actions []Action
	if watcher && !f.watching && !now.Before(f.nextWatchAt) && f.firstReadDone {
		f.watching = true
		actions = append(actions, Action{Kind: ActionWatch, After: f.revision, Timeout: f.cfg.WatchTimeout})
	}
	if !f.reading && !now.Before(f.nextReadAt) {
		f.reading = true
		actions = append(actions, Action{Kind: ActionRead, Timeout: f.cfg.ReadTimeout})
	}
	if o, ok := f.bestOffer(view.Self.Place); ok && !f.pulling && !now.Before(f.nextPullAt) {
		f.pulling = true
		actions = append(actions, Action{Kind: ActionPull, Node: o.node, Timeout: f.cfg.PullTimeout})
	}
	return actions
}

// updateWatcherRole schedules an immediate read if the node becomes a watcher, because
// the previous watchers may have missed a change.
func (f *Follower) updateWatcherRole(now time.Time, watcher bool) {
	if watcher && !f.wasWatcher && f.readRetry.failures == 0 {
		f.nextReadAt = now
	}
	f.wasWatcher = watcher
}

// bestOffer returns the offer with the highest version, preferring nodes of the local
// failure domain, and removes offers that are no longer wanted.
func (f *Follower) bestOffer(own domain.Place) (best offer, found bool) {
	for id, o := range f.offers {
		if !f.isWanted(o.version) {
			delete(f.offers, id)
			continue
		}
		if !found || isBetter(own, o, best) {
			best = o
			found = true
		}
	}
	return best, found
}

func (f *Follower) isWanted(v domain.ListsVersion) bool {
	return v > f.holder.Version() && v != f.refusedVersion
}

func isBetter(own domain.Place, a, b offer) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	aLocal := a.node.Place.FailureDomain == own.FailureDomain
	bLocal := b.node.Place.FailureDomain == own.FailureDomain
	if aLocal != bLocal {
		return aLocal
	}
	return a.node.ID < b.node.ID
}

// RecordPeerVersion records the version that a node announced in a heartbeat.
func (f *Follower) RecordPeerVersion(node domain.NodeRef, version domain.ListsVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportedPeers[node.ID] = true
	if f.isWanted(version) {
		f.offers[node.ID] = offer{node: node, version: version}
	}
}

// ReadDone reports the result of a read of the key-value service.
func (f *Follower) ReadDone(now time.Time, entry ports.KVEntry, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = false
	f.firstReadDone = true
	if err != nil {
		f.nextReadAt = now.Add(f.readRetry.nextDelay(f.rnd))
		return
	}
	f.readRetry.reset()
	f.nextReadAt = now.Add(jitter(f.rnd, f.readInterval()))
	// The revision may decrease here, because the service may have been reset to an
	// earlier state. A watch from a revision that is too low returns immediately.
	f.revision = entry.Revision
	f.applyEntry(entry)
}

func (f *Follower) readInterval() time.Duration {
	if f.wasWatcher {
		return f.cfg.WatcherReadInterval
	}
	return f.cfg.OtherReadInterval
}

// WatchDone reports the result of a watch. A watch that timed out is not a failure;
// timeout must then be true, and entry and err are ignored.
func (f *Follower) WatchDone(now time.Time, entry ports.KVEntry, timeout bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = false
	if timeout {
		f.watchRetry.reset()
		f.nextWatchAt = now
		return
	}
	if err != nil {
		f.nextWatchAt = now.Add(f.watchRetry.nextDelay(f.rnd))
		return
	}
	f.watchRetry.reset()
	f.nextWatchAt = now
	if entry.Revision <= f.revision {
		// The value is old; the delay prevents a busy loop.
		f.nextWatchAt = now.Add(f.watchRetry.nextDelay(f.rnd))
	}
	f.revision = max(f.revision, entry.Revision)
	f.applyEntry(entry)
}

// PullDone reports the result of a pull from a node; v is nil if the node had no newer
// lists.
func (f *Follower) PullDone(now time.Time, node domain.NodeRef, v *lists.Versioned, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pulling = false
	delete(f.offers, node.ID)
	if err != nil {
		f.nextPullAt = now.Add(f.pullRetry.nextDelay(f.rnd))
		return
	}
	f.pullRetry.reset()
	if v != nil {
		f.adopt(v)
	}
}

func (f *Follower) applyEntry(entry ports.KVEntry) {
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
		f.refusedVersion = v.Version
	}
}

// Ready reports whether the node may serve: it has lists, has queried the service and
// peers of its domain, and none of them announced a higher version. It waits for those
// that do not respond for at most StartTimeout. Once true, the result remains true.
func (f *Follower) Ready(now time.Time, view *membership.View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready {
		return true
	}
	if f.holder.Version() == 0 {
		return false
	}
	f.ready = now.Sub(f.started) >= f.cfg.StartTimeout || f.allSourcesQueried(view)
	return f.ready
}

func (f *Follower) allSourcesQueried(view *membership.View) bool {
	if !f.firstReadDone {
		return false
	}
	if _, offered := f.bestOffer(view.Self.Place); offered {
		return false
	}
	if !view.HasVMList {
		return false
	}
	reported := 0
	for _, id := range view.PeerIDs {
		if f.reportedPeers[id] {
			reported++
		}
	}
	return reported >= min(len(view.PeerIDs), f.cfg.StartPeers)
}
