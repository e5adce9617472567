package edgenode

import (
	"context"
	"maps"
	"math"
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
)

// bootstrap asks other nodes for what the store does not tell, until the node
// knows enough to serve.
func (n *Node) bootstrap(ctx context.Context) {
	sleep(ctx, bootstrapDelay)
	for ctx.Err() == nil && !(n.state.complete() && n.members.Count() > 1) {
		for _, address := range n.helpers() {
			go n.greet(ctx, address)
			if !n.state.complete() {
				n.fetchEntries(address)
				n.fetchOperator(address)
			}
		}
		sleep(ctx, bootstrapPace)
	}
}

// helpers are the addresses of nodes that may know more.
func (n *Node) helpers() []string {
	list := slices.Clone(*n.seeds.Load())
	for _, m := range n.members.Known() {
		if !slices.Contains(list, m.PeerAddress) {
			list = append(list, m.PeerAddress)
		}
	}
	return slices.DeleteFunc(list, func(a string) bool { return a == n.settings.PeerAddress })
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
	d, err := n.mesh.Fetch(ctx, address, math.MaxUint64, true)
	if err != nil {
		n.metrics.Count("mesh.fetch_failed", 1)
		n.log.Log(event.FetchFailed, event.F("from", address), event.F("what", "entries"), event.F("error", err))
		return
	}
	if d.Complete && n.state.entriesFromPeer(time.Now(), d) {
		n.log.Log(event.PeerDocuments, event.F("from", address), event.F("instances", len(d.Instances)), event.F("revision", d.Entries.Revision), event.F("age_ms", d.Entries.Age.Milliseconds()))
	}
}

// fetchOperator takes the operator's documents over from another node.
func (n *Node) fetchOperator(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	d, err := n.mesh.Fetch(ctx, address, n.state.version(), false)
	var table []byte
	if err == nil && len(d.Table) > 0 {
		table, err = unpack(d.Table)
	}
	if err != nil {
		n.metrics.Count("mesh.fetch_failed", 1)
		n.log.Log(event.FetchFailed, event.F("from", address), event.F("what", "operator"), event.F("error", err))
		return
	}
	if len(table) > 0 {
		n.state.adopt(table, address)
	}
	n.state.operatorFromPeer(time.Now(), d)
}

// Fetch implements mesh.Handler.
func (n *Node) Fetch(tableNewerThan uint64, withInstances bool) mesh.Documents {
	return n.state.documentsNewer(tableNewerThan, withInstances)
}

func (s *state) documentsNewer(than uint64, withInstances bool) mesh.Documents {
	var d mesh.Documents
	if s.version() > than {
		d.Table = s.packedTable()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knowsEvacuated {
		d.Operator = s.operatorKnown.position(time.Now())
		d.Evacuated = slices.Collect(maps.Keys(s.evacuated))
	}
	if !withInstances || !s.knowsEntries || !s.knowsEvacuated {
		return d
	}
	d.Complete = true
	d.Entries = s.entriesKnown.position(time.Now())
	d.Instances = make(map[string][]byte, len(s.entries))
	for key, value := range s.entries {
		d.Instances[key] = value
	}
	return d
}

// operatorFromPeer adopts evacuations that another node knows as of a later
// revision of the store.
func (s *state) operatorFromPeer(now time.Time, d mesh.Documents) {
	s.mu.Lock()
	later := d.Operator.Revision > s.operatorKnown.revision || !s.knowsEvacuated && d.Complete
	s.mu.Unlock()
	if !later {
		return
	}
	s.setEvacuated(now, domainSet(d.Evacuated), "peer")
	s.operatorReached(d.Operator.Revision, now.Add(-d.Operator.Age))
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
func (s *state) entriesFromPeer(now time.Time, d mesh.Documents) bool {
	s.mu.Lock()
	adopt := d.Entries.Revision > s.entriesKnown.revision || !s.knowsEntries
	s.mu.Unlock()
	if !adopt {
		return false
	}
	items := make([]ports.Item, 0, len(d.Instances))
	for key, value := range d.Instances {
		items = append(items, ports.Item{Key: key, Value: value})
	}
	s.replaceEntries(now, items)
	s.entriesReached(d.Entries.Revision, now.Add(-d.Entries.Age))
	return true
}
