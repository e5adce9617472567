package edgenode

import (
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

// state is the node's copy of the documents in the store.
type state struct {
	documents Documents
	catalog   *instances.Catalog
	log       event.Logger

	table atomic.Pointer[routes.Table]

	// adopting is held while documents of another node are compared with the present ones and
	// applied, as several nodes may answer at once.
	adopting sync.Mutex

	mu sync.Mutex
	// tableDocument is the routing table as read from the store, without keys of client
	// accounts.
	tableDocument []byte
	// compressedTable is tableDocument as sent to other nodes; nil until the first fetch.
	compressedTable []byte
	// evacuated holds the failure domains under evacuation as in the store.
	evacuated map[domain.FailureDomain]bool
	evacuations
	// entries holds the entries of upstreams as read from the store, by key, for
	// nodes that cannot read it.
	entries map[string][]byte
	// hasEntries and hasEvacuated are set once the documents were received from the
	// store or from another node.
	hasEntries, hasEvacuated bool
	// entryHashes holds the hashes of entries, by key; their sum is the digest.
	entryHashes map[string]uint64
	// operatorPosition and entriesPosition are the positions up to which the store's
	// documents are applied.
	operatorPosition, entriesPosition syncPosition
	// completed is closed once the node has all documents that it needs to serve.
	completed chan struct{}
	// operatorChanged and entriesChanged receive a token once a change is applied and
	// its position is recorded: other nodes adopt only documents of a later position
	// than their own.
	operatorChanged, entriesChanged chan struct{}
	// operatorPending is set from the application of a change until its position is
	// recorded; notifiedDigest is the digest of the entries at the last token.
	operatorPending bool
	notifiedDigest  uint64
	// storeVersion is the version of the routing table last read from the store itself.
	storeVersion uint64
	proving      provingEra
	// completedClosed is set once completed is closed.
	completedClosed bool
}

// newState returns a state without any documents.
func newState(d Documents, c *instances.Catalog, log event.Logger) *state {
	return &state{documents: d, catalog: c, log: log, evacuated: make(map[domain.FailureDomain]bool),
		entries: make(map[string][]byte), completed: make(chan struct{}), entryHashes: make(map[string]uint64), operatorChanged: make(chan struct{}, 1), entriesChanged: make(chan struct{}, 1)}
}

// version returns the version of the routing table, zero if there is none.
func (s *state) version() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// applyTable puts a routing table into use if it is valid and newer. It returns the version of
// the table, zero if it is invalid.
func (s *state) applyTable(value []byte, from string) uint64 {
	defer s.updateCompleted()
	t, err := s.documents.DecodeTable(value)
	if err != nil {
		s.log.Log(event.ListsRefused, event.F("from", from), event.F("error", err), event.F("in_force", s.version()))
		return 0
	}
	if t.Version <= s.version() {
		return t.Version
	}
	if t.HasAccounts() {
		if value, err = s.documents.WithoutKeys(value); err != nil {
			s.log.Log(event.ListsRefused, event.F("from", from), event.F("error", err), event.F("in_force", s.version()))
			return 0
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.version()
	if t.Version <= before {
		return t.Version
	}
	s.catalog.Configure(t)
	s.table.Store(t)
	s.tableDocument, s.compressedTable = value, nil
	s.operatorPending = true
	s.log.Log(event.ListsAdopted, event.F("version", t.Version), event.F("before", before), event.F("from", from),
		event.F("routes", len(t.Routes)), event.F("services", len(t.Services)))
	return t.Version
}

// replaceOperator applies a complete list of the operator's documents.
func (s *state) replaceOperator(now time.Time, items []ports.Item) {
	after := make(map[domain.FailureDomain]bool)
	for _, i := range items {
		if s.documents.IsTable(i.Key) {
			s.recordStoreVersion(s.applyTable(i.Value, "store"))
		}
		if fd, ok := s.documents.EvacuatedDomain(i.Key); ok {
			after[fd] = true
		}
	}
	s.listEvacuated(now, after, "store")
}

// changeOperator applies changed documents of the operator.
func (s *state) changeOperator(now time.Time, items []ports.Item) {
	changed := make(map[domain.FailureDomain]bool)
	for _, i := range items {
		if s.documents.IsTable(i.Key) && !i.Removed {
			s.recordStoreVersion(s.applyTable(i.Value, "store"))
		}
		if fd, ok := s.documents.EvacuatedDomain(i.Key); ok {
			changed[fd] = !i.Removed
		}
	}
	s.changeEvacuated(now, changed, "store")
}

// confirmOperator records that the operator's documents are applied up to a position
// that the store confirmed at the given time.
func (s *state) confirmOperator(at ports.StorePosition, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorPosition.advance(at, confirmed)
	if s.operatorPending {
		s.operatorPending = false
		signal(s.operatorChanged)
	}
}

// confirmEntries does the same for the entries of upstreams.
func (s *state) confirmEntries(at ports.StorePosition, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesPosition.advance(at, confirmed)
	if s.entriesPosition.at == at { // otherwise the position is from before those that this node has
		s.catalog.ConfirmEntries(time.Now(), confirmed)
	}
	if s.entriesPosition.digest != s.notifiedDigest {
		s.notifiedDigest = s.entriesPosition.digest
		signal(s.entriesChanged)
	}
}

// operatorAge returns the time since the store confirmed the operator's documents.
func (s *state) operatorAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.operatorPosition.confirmed)
}

// entriesAge returns the time since the store confirmed the entries of upstreams.
func (s *state) entriesAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.entriesPosition.confirmed)
}

// positions returns the positions of the operator's documents and of the entries.
func (s *state) positions() (operator, entries syncPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	operator, entries = s.operatorPosition, s.entriesPosition
	operator.digest = s.version()
	for fd := range s.evacuated {
		operator.digest += placement.RendezvousWeight(1, domain.UpstreamID(fd)) // a sum is independent of the order
	}
	return operator, entries
}

// replaceEntries applies a complete list of the entries of upstreams.
func (s *state) replaceEntries(now time.Time, items []ports.Item) {
	entries := make(map[string][]byte, len(items))
	entryHashes := make(map[string]uint64, len(items))
	digest := uint64(0)
	var list []instances.Instance
	for _, i := range items {
		in, err := s.documents.DecodeInstance(i.Key, i.Value)
		if err != nil {
			s.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
			continue
		}
		entries[i.Key] = i.Value
		entryHashes[i.Key] = entryHash(in)
		digest += entryHashes[i.Key]
		list = append(list, in)
	}
	s.catalog.Replace(now, list)
	s.mu.Lock()
	s.entries, s.entryHashes, s.hasEntries = entries, entryHashes, true
	s.entriesPosition.digest = digest
	s.mu.Unlock()
	s.updateCompleted()
}

// changeEntries applies changed entries of upstreams; of several changes to one
// entry only the last is applied.
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
	s.catalog.RemoveExpired(now)
}

// changeEntry applies one changed entry. An invalid entry removes its upstream.
func (s *state) changeEntry(now time.Time, i ports.Item) {
	id := domain.UpstreamID(i.Key[len(s.documents.InstancePrefix()):])
	if i.Removed {
		s.removeEntry(i.Key)
		s.catalog.Remove(now, id)
		return
	}
	in, err := s.documents.DecodeInstance(i.Key, i.Value)
	if err != nil {
		s.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
		s.removeEntry(i.Key)
		s.catalog.Remove(now, id)
		return
	}
	s.mu.Lock()
	s.entries[i.Key] = i.Value
	s.setHash(i.Key, entryHash(in))
	s.mu.Unlock()
	s.catalog.Put(now, in)
}

// removeEntry removes an entry.
func (s *state) removeEntry(key string) {
	s.mu.Lock()
	delete(s.entries, key)
	s.setHash(key, 0)
	s.mu.Unlock()
}

// setHash replaces the hash of an entry in the digest; zero removes it. The caller
// must hold s.mu.
func (s *state) setHash(key string, hash uint64) {
	s.entriesPosition.digest += hash - s.entryHashes[key]
	if hash == 0 {
		delete(s.entryHashes, key)
		return
	}
	s.entryHashes[key] = hash
}

// complete reports whether the node has all documents that it needs to serve.
func (s *state) complete() bool {
	select {
	case <-s.completed:
		return true
	default:
		return false
	}
}

// compressTable returns the compressed routing table, nil if there is none.
func (s *state) compressTable() []byte {
	s.mu.Lock()
	text, compressed := s.tableDocument, s.compressedTable
	s.mu.Unlock()
	if compressed != nil || text == nil {
		return compressed
	}
	compressed, err := compress(text) // slow, so the mutex is not held: exchanges continue meanwhile
	if err != nil {
		s.log.Log(event.FetchFailed, event.F("what", "compressing the routing table"), event.F("error", err))
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if &s.tableDocument[0] == &text[0] {
		s.compressedTable = compressed
	}
	return compressed
}

// signal requests that a change is sent to other nodes immediately.
func signal(changed chan struct{}) {
	select {
	case changed <- struct{}{}:
	default: // already requested
	}
}

// updateCompleted closes completed once the node has all required documents.
func (s *state) updateCompleted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.completedClosed && s.table.Load() != nil && s.hasEntries && s.hasEvacuated {
		s.completedClosed = true
		close(s.completed)
	}
}
