package edgenode

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocusspread/crocusspread/adapters/connlimit"
	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/adapters/telemetry"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/quarantine"
	"github.com/crocusspread/crocusspread/core/relay"
	"github.com/crocusspread/crocusspread/core/sharedbounds"
	"github.com/crocusspread/crocusspread/core/streams"
)

// Node is an entry node.
type Node struct {
	settings *Settings
	deps     Dependencies
	log      event.Logger
	metrics  *telemetry.Metrics

	catalog *instances.Catalog
	parts   *quarantine.Table
	members *peers.Members
	regions *peers.Regions
	state   *state
	health  *storeHealth
	era     *storeEra
	keys    *keyCurrency
	// accountLabels holds the names of client accounts in metrics.
	accountLabels accountLabels
	// entryRevision is the revision of this node's entry in the store; zero if there is none.
	entryRevision atomic.Uint64
	engine        *relay.Engine
	handler       *edge.Handler
	mesh          *mesh.Client
	upstreams     *upstream.Routed
	quotas        *quotas // nil if quotas are not enforced

	startedAt time.Time
	// knowsNodes is set once the node has read the entries of all nodes, exchanged once it has made
	// an exchange with another node of its region.
	knowsNodes, exchanged atomic.Bool
	notices               chan instances.Notice
	// partsChanged receives a token when a part of prompts is held or released.
	partsChanged chan struct{}
	// statementsChanged receives a token when an upstream says something new of itself.
	statementsChanged chan struct{}
	// pathsSuspected receives a token when this node may have lost its paths to all upstreams of a service.
	pathsSuspected chan struct{}
	// places gets places of brokered services, brokers grants them; brokersActive receives a token
	// when a broker has work.
	places        *placeClient
	streams       *streamOrigins
	software      *softwareRecords
	held          *heldRecords
	brokersMu     sync.Mutex
	brokers       map[string]*placeBroker
	brokersActive chan struct{}
	// relayed is the number of requests in flight that other nodes relayed here.
	relayed atomic.Int64
	// relayedBytes is the size of their bodies.
	relayedBytes atomic.Int64
	// guard enforces limits on clients, which are derived from the settings.
	guard  *connlimit.Guard
	limits connlimit.Shares
	// entryFetches and operatorFetches limit the fetches of each kind; entries do not wait for
	// a large routing table.
	entryFetches, operatorFetches fetches
	// askingWarm limits exchanges for the time of a told health response to one.
	askingWarm atomic.Bool
	closing    atomic.Bool // responses close their connections
	// requests is the context of all requests; endRequests ends it when the node stops.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// drain is set while the node drains, rejecting once it accepts no request any more.
	drain     atomic.Pointer[peers.Drain]
	rejecting atomic.Bool
	ready     atomic.Bool
	seeds     atomic.Pointer[[]string]
}

const (
	// upstreamDialTimeout limits the establishment of a connection to an upstream; it
	// is several times the duration of a handshake within a region.
	upstreamDialTimeout = 400 * time.Millisecond
	// upstreamUserTimeout is the maximum time that sent bytes may remain
	// unacknowledged (TCP_USER_TIMEOUT).
	upstreamUserTimeout = 2 * time.Second
	// upstreamIdleTimeout is how long an idle connection to an upstream is retained; it
	// is shorter than the time for which upstreams retain idle connections.
	upstreamIdleTimeout = 1500 * time.Millisecond
	// maxIdlePerUpstream is the number of idle connections retained for each upstream;
	// it covers a node's share of an engine's slots.
	maxIdlePerUpstream = 16
	// memoryFraction is the fraction of the memory limit that the Go runtime may use.
	memoryFraction = 0.8
	// gcPercent lets the heap grow by half between garbage collections.
	gcPercent = 50
)

// New returns a node; Run starts it.
func New(s *Settings, deps Dependencies, log event.Logger, m *telemetry.Metrics) *Node {
	n := &Node{settings: s, deps: deps, log: log, metrics: m, startedAt: time.Now(), notices: make(chan instances.Notice, noticeQueueSize), partsChanged: make(chan struct{}, 1), statementsChanged: make(chan struct{}, 1), pathsSuspected: make(chan struct{}, 1),
		brokers: make(map[string]*placeBroker), brokersActive: make(chan struct{}, 1)}
	n.places = &placeClient{node: n, brokers: make(map[string]*brokerPath)}
	n.streams = &streamOrigins{node: n, origins: streams.NewOrigins(), checks: newSoftwareChecks(n)}
	n.software = newSoftwareRecords(n)
	n.held = newHeldRecords(n)
	n.seeds.Store(&s.Seeds)
	n.requests, n.endRequests = context.WithCancelCause(context.Background())
	n.members = peers.NewMembers(peers.Member{
		ID: s.Node, Place: s.Place, EntryAddress: s.EntryAddress, PeerAddress: s.PeerAddress,
		Incarnation: domain.Incarnation(time.Now().UnixMilli()), State: domain.NodeStarting, Capacity: s.CPUCores,
	}, 0, log)
	n.regions = peers.NewRegions(log)
	n.catalog = instances.NewCatalog(instances.Options{Self: s.Place, Log: log, ColdShare: n.coldShare, ColdPhase: n.coldPhase, RateShare: n.rateShare, SlotShares: n.slotShares, ConnectionShare: n.connectionShare, IdleConnectionShare: n.idleConnectionShare, SendNotice: n.enqueueNotice,
		StatementsChanged: func() { signal(n.statementsChanged) }, PathsSuspected: func() { signal(n.pathsSuspected) }, MemoryOnDemand: true})
	n.parts = quarantine.New(quarantine.Options{MayTry: n.mayTryPart, Chosen: n.chosenForSuspect, Changed: func() { signal(n.partsChanged); signal(n.held.changed) }, Log: log})
	n.state = newState(deps.Documents, n.catalog, log)
	n.era = newStoreEra(log, n.state.markRestored)
	n.keys = newKeyCurrency(s, deps.bootTime())
	n.health = &storeHealth{log: log, catalog: n.catalog, dropConnections: deps.DropStoreConnections}
	n.upstreams = upstream.NewRouted(upstream.Options{
		DialTimeout: upstreamDialTimeout, UserTimeout: upstreamUserTimeout,
		IdleTimeout: upstreamIdleTimeout, MaxIdlePerUpstream: maxIdlePerUpstream,
		IdleClosed: func(c upstream.IdleClose) { n.catalog.RecordIdleClosed(time.Now(), c.Address, c.Idle, c.Timeout) },
		Dialed:     n.catalog.RecordDial,
		EndJudged:  n.logAnswerEnd,
		Dial:       deps.DialUpstream,
	}, deps.Upstream)
	n.mesh = mesh.NewClient(s.Node, insecure.NewCredentials(), deps.dialPeer(), time.Now)
	n.engine = &relay.Engine{
		Self: s.Place, Catalog: n.catalog, Members: n.members, Regions: n.regions,
		Upstreams: n.upstreams, Nodes: n.mesh,
		Budget:     sharedbounds.NewRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		Quarantine: n.parts, Places: n.places, Streams: n.streams, Policy: placement.DefaultPolicy(), Log: log, Metrics: m, Now: time.Now,
	}
	n.observePlaces()
	n.observeStore()
	n.quotas = newQuotas(n)
	n.limits = connlimit.Divide(s.MaxOpenFiles, s.MemoryBytes, connlimit.BytesPerRequest)
	n.guard = connlimit.New(n.limits.HeadBytes, log, m)
	n.guard.ShareSockets(n.limits, n.inFlight)
	n.handler = edge.New(edge.Config{
		Dialect: deps.Edge, Engine: n.engine, Table: n.state.table.Load, TableAge: n.state.operatorAge, CheckAccepting: n.checkAccepting, Accept: n.accept, Authorize: n.authorize, CloseConnections: n.closing.Load,
		Log: log, Metrics: m,
		MaxRequests:       n.guard.MaxRequests,
		MaxTotalBodyBytes: int64(connlimit.BodyFraction * float64(s.MemoryBytes)), OtherBodyBytes: n.relayedBytes.Load,
		Receives: connlimit.NewReceives(n.guard, "entry", connlimit.BodyStalled, 0, n.bodiesShort),
	})
	if n.quotas != nil {
		n.handler.Charge, n.handler.Refund = n.chargeQuota, n.refundQuota
	}
	return n
}

// logAnswerEnd counts an answer that ended with its connection, and logs it unless nothing spoke against its being complete.
func (n *Node) logAnswerEnd(e upstream.EndOfAnswer) {
	result := "cut_off"
	if e.Complete {
		result = "complete"
	}
	n.metrics.Count("upstream.unframed_end."+result, 1)
	if e.Complete && e.Accepted() && e.Cut == 0 {
		return
	}
	n.log.Log(event.AnswerEndJudged, event.F("instance", e.Instance), event.F("complete", e.Complete), event.F("connect", e.Connect), event.F("leaving", e.Leaving),
		event.F("orderly", e.Orderly), event.F("heard", e.Heard), event.F("open", e.Open), event.F("cut", e.Cut), event.F("closed_listener", e.ClosedListener))
}

// Reload applies the settings that may change while the node runs: the seeds.
func (n *Node) Reload(s *Settings) {
	n.seeds.Store(&s.Seeds)
	n.log.Log(event.SettingsReloaded, event.F("node", n.settings.Node), event.F("seeds", s.Seeds))
}

// rateShare returns this node's share of the request rate that an upstream named as its
// limit.
func (n *Node) rateShare(id domain.UpstreamID, rate float64) float64 {
	return sharedbounds.LimitedRate(n.settings.Node, n.members.InRegion(time.Now()), id, rate)
}

const (
	// connectionReserve is the fraction of an upstream's connections that is not
	// used, for idle connections and for nodes whose list of members differs from
	// that of this node.
	connectionReserve = 0.2
	// minConnections is the minimum share of a node, so that every node of a large
	// region can use each upstream.
	minConnections = 2
)

// connectionShare returns this node's share of an upstream's connections, out of
// all that the upstream accepts.
func (n *Node) connectionShare(total int) int {
	nodes := n.members.RegionSize(time.Now())
	return max(minConnections, int((1-connectionReserve)*float64(total)/float64(nodes)))
}

// idleConnectionRatio is the part of an upstream's connections that nodes may keep open after requests
// with granted places. The other part is left to the requests in flight.
const idleConnectionRatio = 0.5

// idleConnectionShare returns this node's share of that part; zero if there are too many nodes for one
// each.
func (n *Node) idleConnectionShare(total int) int {
	return int(idleConnectionRatio * float64(total) / float64(n.members.RegionSize(time.Now())))
}

// inFlight returns the number of requests in flight, from callers and other nodes.
func (n *Node) inFlight() int64 { return n.handler.InFlight() + n.relayed.Load() }

// startupHoldTimeout is how long a request that arrives while the node starts waits
// for the required documents; the store responds within milliseconds.
const startupHoldTimeout = 400 * time.Millisecond

// checkAccepting returns nil while the node accepts requests, otherwise the reason
// why it does not.
func (n *Node) checkAccepting(ctx context.Context) *errkind.Error {
	if !n.state.complete() {
		ctx, cancel := context.WithTimeout(ctx, startupHoldTimeout)
		defer cancel()
		select {
		case <-n.state.completed:
		case <-ctx.Done():
			return errkind.New(errkind.ListsUnavailable, "the node is starting and has not loaded all required documents yet")
		}
	}
	if n.rejecting.Load() {
		return errkind.New(errkind.Draining, "node %s is shutting down", n.settings.Node)
	}
	return nil
}

// accept returns nil if the node can finish a request, whose deadline it shortens if the
// node stops before. Otherwise it returns the reason why it cannot.
func (n *Node) accept(r *relay.Request) *errkind.Error {
	d := n.drain.Load()
	if d == nil {
		return nil
	}
	deadline, accepted := d.Accept(time.Now(), r.Deadline)
	if n.rejecting.Load() || !accepted {
		return errkind.New(errkind.Draining, "node %s is shutting down", n.settings.Node)
	}
	if deadline.Before(r.Deadline) {
		r.Deadline, r.Reserve = deadline, relay.AnswerReserve
	}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(n.settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Log(event.NodeStarted, event.F("node", n.settings.Node), event.F("region", n.settings.Place.Region),
		event.F("failure_domain", n.settings.Place.FailureDomain), event.F("entry", n.settings.EntryAddress))
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, workCtx := errgroup.WithContext(workCtx)
	servers := n.serve(group, listeners)
	n.startLoops(workCtx, group)
	select {
	case <-ctx.Done():
	case <-workCtx.Done(): // a server failed
	}
	n.shutdown(workCtx, servers)
	stopWork()
	n.mesh.Close()
	n.upstreams.Close()
	err = group.Wait()
	n.log.Log(event.NodeStopped, event.F("node", n.settings.Node), event.F("requests_cut", n.inFlight()))
	return err
}

// startLoops starts the background loops that keep the node's state up to date.
func (n *Node) startLoops(ctx context.Context, group *errgroup.Group) {
	loop := func(f func(context.Context)) {
		group.Go(func() error { f(ctx); return nil })
	}
	operator := &watcher{store: n.deps.Store, prefix: n.deps.Documents.OperatorPrefix(), wait: n.operatorWait, interval: operatorInterval,
		replace: n.state.replaceOperator, change: n.state.changeOperator, confirm: n.state.confirmOperator, resume: n.resumeOperator, health: n.health, era: n.era, shouldRead: n.shouldReadOperator}
	if n.settings.StrictRevocation {
		operator.prove, operator.bootTime = n.proveByStore, n.keys.now
	}
	entries := &watcher{store: n.deps.Store, prefix: n.deps.Documents.InstancePrefix(), wait: constant(entriesWatchWait), interval: entriesInterval,
		replace: n.state.replaceEntries, change: n.state.changeEntries, confirm: n.state.confirmEntries, health: n.health, era: n.era, shouldRead: n.shouldReadEntries}
	nodes := &watcher{store: n.deps.Store, prefix: n.deps.Documents.NodePrefix(), wait: constant(nodesWatchWait), interval: nodesInterval,
		replace: n.replaceNodes, change: n.applyNodes, health: n.health, era: n.era, shouldRead: n.isReader}
	loop(operator.run)
	loop(entries.run)
	loop(nodes.run)
	loop(n.register)
	loop(n.runLocalExchanges)
	loop(n.runRemoteExchanges)
	loop(n.bootstrap)
	loop(n.awaitReady)
	loop(n.propagateOperator)
	loop(n.propagateEntries)
	loop(n.propagateParts)
	loop(n.sendNotices)
	loop(n.tickCatalog)
	loop(n.checkHealth)
	loop(n.propagateStatements)
	loop(n.watchPaths)
	loop(n.streams.share)
	loop(n.software.run)
	loop(n.held.run)
	loop(n.runBrokers)
	loop(n.keepCurrent)
	if n.quotas != nil {
		loop(n.quotas.runElection)
	}
	loop(n.guard.Run)
}

// constant returns a function that returns d.
func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

const (
	// operatorWatchWait limits how long a watch that no longer delivers changes
	// remains undetected, and keeps the age of the documents below maxDocumentAge.
	// operatorInterval limits the rate of calls while changes arrive in quick
	// succession.
	operatorWatchWait = time.Second
	operatorInterval  = 150 * time.Millisecond
	// entriesInterval is the time between two reads of the entries of upstreams,
	// which change about once a second each; a draining upstream must be known
	// within three seconds. Also without any change the store confirms the entries often enough
	// that an outage in which some may lapse shows; see instances.Catalog.
	entriesWatchWait = 600 * time.Millisecond
	entriesInterval  = time.Second
	nodesWatchWait   = 15 * time.Second
	nodesInterval    = 500 * time.Millisecond
	// peerDialTimeout limits the establishment of a connection to another region.
	peerDialTimeout = 1500 * time.Millisecond
)

// entries returns the entry addresses for callers of a host from a region.
func (n *Node) entries(host string, region domain.Region) []string {
	var preferred []domain.Region
	if t := n.state.table.Load(); t != nil {
		preferred = t.HostRegions(host)
	}
	return n.members.EntryAddresses(time.Now(), region, preferred)
}

// directoryTTL is short, so that callers soon stop using a draining node.
const directoryTTL = time.Second

// directoryTTL returns the TTL of directory responses.
func (n *Node) directoryTTL() time.Duration {
	if n.settings.MaxDirectoryTTL > 0 {
		return min(directoryTTL, n.settings.MaxDirectoryTTL)
	}
	return directoryTTL
}
