package edgenode

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routes"
)

// state is what the node believes of the documents in the store.
type state struct {
	documents Documents
	catalog   *instances.Catalog
	log       event.Logger

	table atomic.Pointer[routes.Table]

	mu        sync.Mutex
	tableText []byte
	// tablePacked is tableText as other nodes get it; nil until one asked.
	tablePacked []byte
	evacuated   map[domain.FailureDomain]bool
	// entries are the upstreams' entries as the store held them, for nodes
	// that cannot read it.
	entries map[string][]byte
	// knowsEntries and knowsEvacuated are set once the store or a node told.
	knowsEntries, knowsEvacuated bool
	// hashes are those of entries, by key; their sum is the digest.
	hashes map[string]uint64
	// operatorKnown and entriesKnown tell how far the store is followed.
	operatorKnown, entriesKnown known
	// completed is closed once the node knows enough to serve.
	completed chan struct{}
	// operatorChanged and entriesChanged get a token once a change is adopted and
	// the revision noted as of which it holds: nodes that are told take over only
	// what is known as of a later revision than theirs.
	operatorChanged, entriesChanged chan struct{}
	// operatorPending is set between the two; toldDigest is that of the entries
	// at the last token.
	operatorPending bool
	toldDigest      uint64
	announced       bool
}

func newState(d Documents, c *instances.Catalog, log event.Logger) *state {
	return &state{documents: d, catalog: c, log: log, evacuated: make(map[domain.FailureDomain]bool),
		entries: make(map[string][]byte), completed: make(chan struct{}), hashes: make(map[string]uint64), operatorChanged: make(chan struct{}, 1), entriesChanged: make(chan struct{}, 1)}
}

// version returns that of the routing table, zero without one.
func (s *state) version() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// adopt takes a routing table into force if it is sound and newer.
func (s *state) adopt(value []byte, from string) {
	defer s.noteComplete()
	t, err := s.documents.Table(value)
	if err != nil {
		s.log.Log(event.ListsRefused, event.F("from", from), event.F("error", err), event.F("in_force", s.version()))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.version()
	if t.Version <= before {
		return
	}
	s.catalog.Configure(t)
	s.table.Store(t)
	s.tableText, s.tablePacked = value, nil
	s.operatorPending = true
	s.log.Log(event.ListsAdopted, event.F("version", t.Version), event.F("before", before), event.F("from", from),
		event.F("routes", len(t.Routes)), event.F("services", len(t.Services)))
}

// replaceOperator adopts all of the operator's documents.
func (s *state) replaceOperator(now time.Time, items []ports.Item) {
	after := make(map[domain.FailureDomain]bool)
	for _, i := range items {
		if s.documents.IsTable(i.Key) {
			s.adopt(i.Value, "store")
		}
		if fd, ok := s.documents.Evacuation(i.Key); ok {
			after[fd] = true
		}
	}
	s.setEvacuated(now, after, "store")
}

func (s *state) changeOperator(now time.Time, items []ports.Item) {
	s.mu.Lock()
	after := maps.Clone(s.evacuated)
	s.mu.Unlock()
	for _, i := range items {
		if s.documents.IsTable(i.Key) && !i.Removed {
			s.adopt(i.Value, "store")
		}
		if fd, ok := s.documents.Evacuation(i.Key); ok {
			if i.Removed {
				delete(after, fd)
			} else {
				after[fd] = true
			}
		}
	}
	s.setEvacuated(now, after, "store")
}

// operatorReached notes that the operator's documents are known as of a revision
// that the store confirmed at a time.
func (s *state) operatorReached(revision uint64, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorKnown.reach(revision, confirmed)
	if s.operatorPending {
		s.operatorPending = false
		notify(s.operatorChanged)
	}
}

// entriesReached does the same for the entries of upstreams.
func (s *state) entriesReached(revision uint64, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesKnown.reach(revision, confirmed)
	if s.entriesKnown.digest != s.toldDigest {
		s.toldDigest = s.entriesKnown.digest
		notify(s.entriesChanged)
	}
}

func (s *state) operatorAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.operatorKnown.confirmed)
}

func (s *state) entriesAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.entriesKnown.confirmed)
}

// positions returns how far the operator's documents and the entries are known.
func (s *state) positions() (operator, entries known) {
	s.mu.Lock()
	defer s.mu.Unlock()
	operator, entries = s.operatorKnown, s.entriesKnown
	operator.digest = s.version()
	for fd := range s.evacuated {
		operator.digest += placement.Score(1, domain.UpstreamID(fd)) // a sum does not depend on the order
	}
	return operator, entries
}

func (s *state) setEvacuated(now time.Time, after map[domain.FailureDomain]bool, from string) {
	s.mu.Lock()
	before := s.evacuated
	s.evacuated, s.knowsEvacuated = after, true
	s.operatorPending = true
	s.mu.Unlock()
	defer s.noteComplete()
	if maps.Equal(before, after) {
		return
	}
	s.catalog.SetEvacuated(now, after)
	for fd := range after {
		if !before[fd] {
			s.log.Log(event.EvacuationChanged, event.F("failure_domain", fd), event.F("evacuated", true), event.F("from", from))
		}
	}
	for fd := range before {
		if !after[fd] {
			s.log.Log(event.EvacuationChanged, event.F("failure_domain", fd), event.F("evacuated", false), event.F("from", from))
		}
	}
}

// replaceEntries adopts all entries of upstreams.
func (s *state) replaceEntries(now time.Time, items []ports.Item) {
	entries := make(map[string][]byte, len(items))
	hashes := make(map[string]uint64, len(items))
	digest := uint64(0)
	var list []instances.Instance
	for _, i := range items {
		in, err := s.documents.Instance(i.Key, i.Value)
		if err != nil {
			s.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
			continue
		}
		entries[i.Key] = i.Value
		hashes[i.Key] = entryHash(in)
		digest += hashes[i.Key]
		list = append(list, in)
	}
	s.catalog.Replace(now, list)
	s.mu.Lock()
	s.entries, s.hashes, s.knowsEntries = entries, hashes, true
	s.entriesKnown.digest = digest
	s.mu.Unlock()
	s.noteComplete()
}

// changeEntries adopts changed entries of upstreams; of several changes to one
// entry the last counts.
func (s *state) changeEntries(now time.Time, items []ports.Item) {
	last := make(map[string]int, len(items))
	for n, i := range items {
		last[i.Key] = n
	}
	for n, i := range items {
		if last[i.Key] == n {
			s.changeEntry(now, i)
		}
	}
	s.catalog.Sweep(now)
}

func (s *state) changeEntry(now time.Time, i ports.Item) {
	id := domain.UpstreamID(i.Key[len(s.documents.InstancePrefix()):])
	if i.Removed {
		s.forget(i.Key)
		s.catalog.Remove(now, id)
		return
	}
	in, err := s.documents.Instance(i.Key, i.Value)
	if err != nil {
		s.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
		s.forget(i.Key)
		s.catalog.Remove(now, id)
		return
	}
	s.mu.Lock()
	s.entries[i.Key] = i.Value
	s.setHash(i.Key, entryHash(in))
	s.mu.Unlock()
	s.catalog.Put(now, in)
}

func (s *state) forget(key string) {
	s.mu.Lock()
	delete(s.entries, key)
	s.setHash(key, 0)
	s.mu.Unlock()
}

// setHash replaces an entry's share of the digest; zero removes it.
func (s *state) setHash(key string, hash uint64) {
	s.entriesKnown.digest += hash - s.hashes[key]
	if hash == 0 {
		delete(s.hashes, key)
		return
	}
	s.hashes[key] = hash
}

// complete tells if the node knows enough to serve.
func (s *state) complete() bool {
	select {
	case <-s.completed:
		return true
	default:
		return false
	}
}

// packedTable returns the routing table as other nodes get it, nil if there is none.
func (s *state) packedTable() []byte {
	s.mu.Lock()
	text, packed := s.tableText, s.tablePacked
	s.mu.Unlock()
	if packed != nil || text == nil {
		return packed
	}
	packed, err := pack(text) // takes long; words are sent meanwhile
	if err != nil {
		s.log.Log(event.FetchFailed, event.F("what", "packing the routing table"), event.F("error", err))
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if &s.tableText[0] == &text[0] {
		s.tablePacked = packed
	}
	return packed
}

// notify asks for a change to be told to other nodes at once.
func notify(changed chan struct{}) {
	select {
	case changed <- struct{}{}:
	default: // asked for already
	}
}

// noteComplete closes completed once everything is known.
func (s *state) noteComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.announced && s.table.Load() != nil && s.knowsEntries && s.knowsEvacuated {
		s.announced = true
		close(s.completed)
	}
}
