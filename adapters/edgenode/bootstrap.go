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
	// bootstrapDelay gives the store the first word.
	bootstrapDelay = 700 * time.Millisecond
	bootstrapPace  = time.Second
	// helpersAsked bounds the nodes that are asked at a time: some may be down or
	// silent, and none should wait for these.
	helpersAsked = 4
)

// bootstrap asks other nodes for what the store does not tell, until the node
// knows enough to serve.
func (n *Node) bootstrap(ctx context.Context) {
	sleep(ctx, bootstrapDelay)
	for ctx.Err() == nil && !(n.state.complete() && n.members.Count() > 1) {
		for _, address := range n.helpers() {
			go n.greet(ctx, address)
			if !n.state.complete() {
				go n.fetchEntries(address)
				go n.fetchOperator(address)
			}
		}
		sleep(ctx, bootstrapPace)
	}
}

// helpers are addresses of nodes that may know more, other ones each time.
func (n *Node) helpers() []string {
	list := slices.Clone(*n.seeds.Load())
	for _, m := range n.members.Known() {
		if !slices.Contains(list, m.PeerAddress) {
			list = append(list, m.PeerAddress)
		}
	}
	return draw(slices.DeleteFunc(list, func(a string) bool { return a == n.settings.PeerAddress }), helpersAsked)
}

// greet exchanges words with a node whose identity is not known yet.
func (n *Node) greet(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	word, roundTrip, err := n.mesh.Exchange(ctx, address, n.word(""))
	if err != nil {
		n.metrics.Count("mesh.exchange_failed", 1)
		return
	}
	n.hear(word, roundTrip)
}

// fetchTimeout bounds one fetch: a routing table of thousands of routes, packed,
// over a link of 10 Mbit/s that a dozen nodes share.
const fetchTimeout = 4 * time.Second

// fetchEntries takes upstreams' entries over from another node. They do not wait
// for a routing table, which may be hundreds of times larger.
func (n *Node) fetchEntries(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	e, err := n.mesh.FetchEntries(ctx, address)
	if err != nil {
		n.fetchFailed(address, "entries", err)
		return
	}
	if n.state.entriesFromPeer(time.Now(), e) {
		n.log.Log(event.PeerDocuments, event.F("from", address), event.F("instances", len(e.Values)), event.F("revision", e.Known.Revision), event.F("age_ms", e.Known.Age.Milliseconds()))
	}
}

// fetchOperator takes the operator's documents over from another node.
func (n *Node) fetchOperator(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	d, err := n.mesh.FetchOperator(ctx, address, n.state.version())
	var table []byte
	if err == nil && len(d.Table) > 0 {
		table, err = unpack(d.Table)
	}
	if err != nil {
		n.fetchFailed(address, "operator's documents", err)
		return
	}
	if len(table) > 0 {
		n.state.adopt(table, address)
	}
	n.state.operatorFromPeer(time.Now(), d)
}

func (n *Node) fetchFailed(address, what string, err error) {
	n.metrics.Count("mesh.fetch_failed", 1)
	n.log.Log(event.FetchFailed, event.F("from", address), event.F("what", what), event.F("error", err))
}

// FetchOperator implements mesh.Handler.
func (n *Node) FetchOperator(tableNewerThan uint64) mesh.OperatorDocuments {
	return n.state.operatorNewer(tableNewerThan)
}

// FetchEntries implements mesh.Handler.
func (n *Node) FetchEntries() mesh.Entries { return n.state.allEntries() }

func (s *state) operatorNewer(than uint64) mesh.OperatorDocuments {
	var d mesh.OperatorDocuments
	if s.version() > than {
		d.Table = s.packedTable()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knowsEvacuated {
		d.Known = s.operatorKnown.position(time.Now())
		d.Evacuated = slices.Collect(maps.Keys(s.evacuated))
	}
	return d
}

func (s *state) allEntries() mesh.Entries {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.knowsEntries {
		return mesh.Entries{}
	}
	return mesh.Entries{Known: s.entriesKnown.position(time.Now()), Values: maps.Clone(s.entries)}
}

// operatorFromPeer adopts evacuations that another node knows as of a later
// revision of the store, or any if this node knows none.
func (s *state) operatorFromPeer(now time.Time, d mesh.OperatorDocuments) {
	s.mu.Lock()
	adopt := d.Known.Revision > s.operatorKnown.revision || !s.knowsEvacuated && d.Known.Revision > 0
	s.mu.Unlock()
	if !adopt {
		return
	}
	s.setEvacuated(now, domainSet(d.Evacuated), "peer")
	s.operatorReached(d.Known.Revision, now.Add(-d.Known.Age))
}

func domainSet(list []domain.FailureDomain) map[domain.FailureDomain]bool {
	set := make(map[domain.FailureDomain]bool, len(list))
	for _, fd := range list {
		set[fd] = true
	}
	return set
}

// entriesFromPeer adopts upstreams' entries that another node knows as of a later
// revision of the store, or any if this node knows none.
func (s *state) entriesFromPeer(now time.Time, e mesh.Entries) bool {
	s.mu.Lock()
	adopt := e.Known.Revision > s.entriesKnown.revision || !s.knowsEntries && e.Known.Revision > 0
	s.mu.Unlock()
	if !adopt {
		return false
	}
	items := make([]ports.Item, 0, len(e.Values))
	for key, value := range e.Values {
		items = append(items, ports.Item{Key: key, Value: value})
	}
	s.replaceEntries(now, items)
	s.entriesReached(e.Known.Revision, now.Add(-e.Known.Age))
	return true
}
