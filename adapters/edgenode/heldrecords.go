package edgenode

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/placement"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/quarantine"
)

const (
	// heldRecordInterval is the time between two comparisons of the record with what is held. They make no calls while nothing is.
	heldRecordInterval = time.Second
	// heldRecordWriters is the number of nodes that keep the record, in turn: each further one waits a heldRecordInterval longer.
	heldRecordWriters = 3
	// heldRecordRefresh is how often a record is written again while requests with something held come: it ends otherwise.
	heldRecordRefresh = 4 * time.Minute
	// heldRankKey is the key by which the nodes are ranked that keep the record.
	heldRankKey = 0x68656c6472656373
)

// heldRecords keeps a record in the store of the parts of prompts and requests that are held, for nodes that start when no other
// one remembers them. There are no calls to the store while nothing is held: a node reads the record with those of software versions.
type heldRecords struct {
	node *Node
	// changed receives a token when something is held, tried or released.
	changed chan struct{}

	mu sync.Mutex
	// loaded is set once the record that was there when this node started has been read.
	loaded bool
	// recorded is the record as this node last read or wrote it, at which revision and in which era of the store.
	recorded heldRecord
	revision uint64
	era      uint64
	// pendingSince is when the record was first found to differ; zero if it does not.
	pendingSince time.Time
}

// heldRecord is the record in the store. Times are in Unix milliseconds; zero means never.
type heldRecord struct {
	Subjects []heldSubject `json:"subjects"`
	// WrittenMs is when it was written.
	WrittenMs int64 `json:"written_ms"`
}

type heldSubject struct {
	ID          uint64      `json:"id"`
	Request     bool        `json:"request,omitempty"`
	Position    int         `json:"position"`
	Crashes     []heldCrash `json:"crashes"`
	AnsweredMs  int64       `json:"answered_ms,omitempty"`
	HeldMs      int64       `json:"held_ms,omitempty"`
	RequestedMs int64       `json:"requested_ms,omitempty"`
	Trials      int         `json:"trials"`
}

type heldCrash struct {
	Process uint64 `json:"process"`
	AtMs    int64  `json:"at_ms"`
}

func newHeldRecords(n *Node) *heldRecords {
	return &heldRecords{node: n, changed: make(chan struct{}, 1)}
}

// encodeHeld returns the record of what is held.
func encodeHeld(now time.Time, records []quarantine.Record) heldRecord {
	at := func(since time.Duration) int64 {
		if since < 0 {
			return 0
		}
		return now.Add(-since).UnixMilli()
	}
	list := heldRecord{WrittenMs: now.UnixMilli()}
	for _, r := range records {
		s := heldSubject{ID: r.ID, Request: r.Request, Position: r.Position, AnsweredMs: at(r.SinceAnswer), HeldMs: at(r.SinceHeld), RequestedMs: at(r.SinceRequest), Trials: r.Trials}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, heldCrash{c.Process, at(c.Since)})
		}
		list.Subjects = append(list.Subjects, s)
	}
	slices.SortFunc(list.Subjects, func(a, b heldSubject) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// message returns the record as a message of a node that writes it now.
func (r heldRecord) message(now time.Time) quarantine.Message {
	since := func(ms int64) time.Duration {
		if ms == 0 {
			return -1
		}
		return max(0, now.Sub(time.UnixMilli(ms))) // the clock may have gone back
	}
	var m quarantine.Message
	for _, s := range r.Subjects {
		record := quarantine.Record{Subject: quarantine.Subject{ID: s.ID, Request: s.Request}, Position: s.Position,
			SinceAnswer: since(s.AnsweredMs), SinceHeld: since(s.HeldMs), SinceRequest: since(s.RequestedMs), Trials: s.Trials}
		for _, c := range s.Crashes {
			record.Crashes = append(record.Crashes, quarantine.CrashRecord{Process: c.Process, Since: since(c.AtMs)})
		}
		m.Suspects = append(m.Suspects, record)
	}
	return m
}

// differs reports whether the records hold other subjects, or with other evidence. Their times differ with the nodes' clocks.
func (r heldRecord) differs(other heldRecord) bool {
	return !slices.EqualFunc(r.Subjects, other.Subjects, func(a, b heldSubject) bool {
		return a.ID == b.ID && a.Request == b.Request && (a.HeldMs == 0) == (b.HeldMs == 0) && a.Trials == b.Trials && len(a.Crashes) == len(b.Crashes)
	})
}

func decodeHeldRecord(i ports.Item) (heldRecord, error) {
	var r heldRecord
	if i.Revision == 0 {
		return r, nil // there is none
	}
	if err := json.Unmarshal(i.Value, &r); err != nil {
		return r, fmt.Errorf("decode record %s: %w", i.Key, err)
	}
	return r, nil
}

// load adopts the record that was there when this node started; the item has no revision if there was none.
func (h *heldRecords) load(i ports.Item, era uint64) {
	record, err := decodeHeldRecord(i)
	if err != nil {
		h.node.log.Log(event.InstanceRefused, event.F("key", i.Key), event.F("error", err))
	}
	h.node.parts.Merge(time.Now(), record.message(time.Now()))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loaded, h.recorded, h.revision, h.era = true, record, i.Revision, era
}

// run keeps the record up to date until ctx ends.
func (h *heldRecords) run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(jitter(heldRecordInterval))
		select {
		case <-ctx.Done():
		case <-h.changed:
		case <-timer.C:
		}
		timer.Stop()
		if err := h.update(ctx); err != nil && ctx.Err() == nil {
			h.node.log.Log(event.PlatformFailed, event.F("call", "record what is held"), event.F("error", err))
			sleep(ctx, heldRecordInterval)
		}
	}
}

// update writes the record if it differs from what is held, and if it is this node's turn.
func (h *heldRecords) update(ctx context.Context) error {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded {
		return nil
	}
	wanted := encodeHeld(now, h.node.parts.Held(now))
	restored := h.node.era.latest() != h.era
	outdated := len(wanted.Subjects) > 0 && now.Sub(time.UnixMilli(h.recorded.WrittenMs)) >= heldRecordRefresh
	if !wanted.differs(h.recorded) && !outdated && !restored {
		h.pendingSince = time.Time{}
		return nil
	}
	if h.pendingSince.IsZero() {
		h.pendingSince = now
	}
	rank := h.rank(now)
	if rank >= heldRecordWriters || now.Sub(h.pendingSince) < time.Duration(rank)*heldRecordInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, era := h.node.deps.Documents.HeldKey(), h.node.era.latest()
	item, err := h.node.deps.Store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("get %s: %w", key, err)
	}
	present, err := decodeHeldRecord(item)
	if err != nil {
		h.node.log.Log(event.InstanceRefused, event.F("key", key), event.F("error", err)) // it is replaced
	}
	if item.Revision != h.revision && !restored {
		// Another node has written it. A copy that the store went back to holds nothing that is not known or has ended.
		h.node.parts.Merge(now, present.message(now))
		wanted = encodeHeld(now, h.node.parts.Held(now))
	}
	if wanted.differs(present) || outdated && now.Sub(time.UnixMilli(present.WrittenMs)) >= heldRecordRefresh {
		item.Revision, err = h.write(ctx, key, wanted, item.Revision)
		if errors.Is(err, errkind.Of(errkind.Conflict)) {
			return nil // another node has written it; it is compared again
		}
		if err != nil {
			return fmt.Errorf("write %s: %w", key, err)
		}
		present = wanted
	}
	h.recorded, h.revision, h.era, h.pendingSince = present, item.Revision, era, time.Time{}
	return nil
}

// write replaces the record, or removes it if nothing is held, and returns its new revision.
func (h *heldRecords) write(ctx context.Context, key string, record heldRecord, previous uint64) (revision uint64, err error) {
	if len(record.Subjects) == 0 {
		return 0, h.node.deps.Store.Delete(ctx, key, previous)
	}
	text, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return h.node.deps.Store.Put(ctx, key, text, ports.Lease{}, previous)
}

// rank returns the number of nodes, of those heard of, that write the record before this one.
func (h *heldRecords) rank(now time.Time) int {
	own := placement.RendezvousWeight(heldRankKey, domain.UpstreamID(h.node.settings.Node))
	rank := 0
	for _, m := range h.node.members.Alive(now) {
		if placement.RendezvousWeight(heldRankKey, domain.UpstreamID(m.ID)) > own {
			rank++
		}
	}
	return rank
}
