package edgenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/adapters/mesh"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// bootstrapDelay is the time in which the store may respond before other nodes
	// are contacted.
	bootstrapDelay = 700 * time.Millisecond
	// bootstrapInterval is the time between two rounds of requests.
	bootstrapInterval = time.Second
	// maxBootstrapPeers is the number of nodes contacted in each round, in parallel,
	// because some may be down or unresponsive.
	maxBootstrapPeers = 4
)

// bootstrap fetches missing documents from other nodes until the node has all that
// it needs to serve and has discovered another member.
func (n *Node) bootstrap(ctx context.Context) {
	sleep(ctx, bootstrapDelay)
	for ctx.Err() == nil && !(n.state.complete() && n.members.Count() > 1) {
		for _, address := range n.bootstrapPeers() {
			go n.exchangeWithAddress(ctx, address, "")
			if !n.state.complete() {
				go n.fetchEntries(address)
				go n.fetchOperator(address)
			}
		}
		sleep(ctx, bootstrapInterval)
	}
}

// bootstrapPeers returns a random choice of the addresses of seeds and members.
func (n *Node) bootstrapPeers() []string {
	list := slices.Clone(*n.seeds.Load())
	for _, m := range n.members.Known() {
		if !slices.Contains(list, m.PeerAddress) {
			list = append(list, m.PeerAddress)
		}
	}
	return randomSubset(slices.DeleteFunc(list, func(a string) bool { return a == n.settings.PeerAddress }), maxBootstrapPeers)
}

// fetchTimeout limits one fetch. It allows for a compressed routing table of
// thousands of routes over a 10 Mbit/s link that a dozen nodes share.
const fetchTimeout = 4 * time.Second

// fetchEntries fetches the entries of upstreams from another node. It is separate
// from fetchOperator, because a routing table may be hundreds of times larger.
func (n *Node) fetchEntries(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	startedAt := time.Now()
	e, err := n.mesh.FetchEntries(ctx, address)
	if err != nil {
		n.recordFetchFailure(address, "entries", startedAt, err)
		return
	}
	if n.state.adoptPeerEntries(time.Now(), e) {
		n.log.Log(event.PeerDocuments, event.F("from", address), event.F("instances", len(e.Values)), event.F("era", e.Position.Era), event.F("revision", e.Position.Revision), event.F("age_ms", e.Position.Age.Milliseconds()))
	}
}

// fetchOperator fetches the operator's documents from another node.
func (n *Node) fetchOperator(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	startedAt := time.Now()
	d, err := n.mesh.FetchOperator(ctx, address, n.state.version())
	var table []byte
	if err == nil && len(d.Table) > 0 {
		table, err = decompress(d.Table)
	}
	if err != nil {
		n.recordFetchFailure(address, "operator's documents", startedAt, err)
		return
	}
	if len(table) > 0 {
		n.state.applyTable(table, address)
	}
	n.state.adoptPeerOperator(time.Now(), d)
	if n.strictKeys() && !n.keys.policy.Honours(n.keys.Proof(), n.keys.now()) {
		n.exchangeWithAddress(context.Background(), address, "") // the first table with accounts has no proof yet
	}
}

// recordFetchFailure counts and logs a failed fetch.
func (n *Node) recordFetchFailure(address, what string, startedAt time.Time, err error) {
	n.metrics.Count("mesh.fetch_failed", 1)
	n.log.Log(event.FetchFailed, event.F("from", address), event.F("what", what), event.F("after_ms", time.Since(startedAt).Milliseconds()), event.F("error", err))
}

// FetchOperator implements mesh.Handler.
func (n *Node) FetchOperator(tableNewerThan uint64) mesh.OperatorDocuments {
	return n.state.operatorDocuments(tableNewerThan)
}

// FetchEntries implements mesh.Handler.
func (n *Node) FetchEntries() mesh.UpstreamEntries { return n.state.entriesSnapshot() }

// operatorDocuments returns the operator's documents for another node, with the
// routing table only if its version is greater than tableNewerThan.
func (s *state) operatorDocuments(tableNewerThan uint64) mesh.OperatorDocuments {
	var d mesh.OperatorDocuments
	s.mu.Lock()
	if s.hasEvacuated {
		d.Position = s.operatorPosition.position(time.Now())
		d.Evacuated = slices.Collect(maps.Keys(s.evacuated))
	}
	s.mu.Unlock()
	if s.version() > tableNewerThan { // after the position: the table may be newer, not older
		d.Table = s.compressTable()
	}
	return d
}

// entriesSnapshot returns a copy of the entries of upstreams for another node.
func (s *state) entriesSnapshot() mesh.UpstreamEntries {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasEntries {
		return mesh.UpstreamEntries{}
	}
	return mesh.UpstreamEntries{Position: s.entriesPosition.position(time.Now()), Values: maps.Clone(s.entries)}
}

// adoptPeerOperator applies the evacuations received from another node if they are
// from a later position in the store's history, or if this node has none yet.
func (s *state) adoptPeerOperator(now time.Time, d mesh.OperatorDocuments) {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	s.mu.Lock()
	adopt := d.Position.Compare(s.operatorPosition.at) > 0 || !s.hasEvacuated && !d.Position.IsZero()
	s.mu.Unlock()
	if !adopt {
		return
	}
	s.listEvacuated(now, domainSet(d.Evacuated), "peer")
	s.confirmOperator(d.Position.StorePosition, now.Add(-d.Position.Age))
}

func domainSet(list []domain.FailureDomain) map[domain.FailureDomain]bool {
	set := make(map[domain.FailureDomain]bool, len(list))
	for _, fd := range list {
		set[fd] = true
	}
	return set
}

// adoptPeerEntries applies the entries of upstreams received from another node if
// they are from a later position in the store's history, or if this node has none
// yet. It reports whether it applied them.
func (s *state) adoptPeerEntries(now time.Time, e mesh.UpstreamEntries) bool {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	s.mu.Lock()
	adopt := e.Position.Compare(s.entriesPosition.at) > 0 || !s.hasEntries && !e.Position.IsZero()
	s.mu.Unlock()
	if !adopt {
		return false
	}
	items := make([]ports.Item, 0, len(e.Values))
	for key, value := range e.Values {
		items = append(items, ports.Item{Key: key, Value: value})
	}
	s.replaceEntries(now, items)
	s.confirmEntries(e.Position.StorePosition, now.Add(-e.Position.Age))
	return true
}
