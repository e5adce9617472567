package lists

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	// maxTrailChanges is the maximum number of embedded changes in addition to the
	// latest one.
	maxTrailChanges = 32
	// maxTrailBytes is the maximum encoded size of the embedded changes.
	maxTrailBytes = 64 << 10
	// maxDifferenceBytes is the maximum size of the stored difference of one change.
	maxDifferenceBytes = 256 << 10
	// historyPageDigits is the number of trailing digits of the version that one list
	// call for older changes covers, so a page contains up to 100 changes.
	historyPageDigits = 2
	historyPageSize   = 100
	versionDigits     = 20
)

// HistoryKey returns the key of a change that was evicted from the embedded trail.
func HistoryKey(v domain.ListsVersion) string {
	return fmt.Sprintf("%s%0*d", HistoryPrefix, versionDigits, v)
}

// buildNext returns the next version and the changes that no longer fit into its
// trail, oldest first.
func buildNext(current *Versioned, p *Proposal, difference []string) (*encoded, []Change, error) {
	next := &Versioned{Version: nextVersion(current, p.Base), Document: p.Document}
	next.Change = Change{
		ID:      p.ChangeID,
		Version: next.Version,
		Author:  p.Author,
		Reason:  p.Reason,
		Time:    p.Time.UTC(),
	}
	remaining, err := remainingBytes(next)
	if err != nil {
		return nil, nil, err
	}
	next.Change.Difference = limitDifference(difference, min(remaining/2, maxDifferenceBytes))
	trail := current.Trail
	if current.Version != 0 {
		trail = append([]Change{current.Change}, trail...)
	}
	remaining, err = remainingBytes(next)
	if err != nil {
		return nil, nil, err
	}
	retained, err := countFitting(trail, min(remaining, maxTrailBytes))
	if err != nil {
		return nil, nil, err
	}
	next.Trail = trail[:retained]
	bytes, err := json.Marshal(next)
	if err != nil {
		return nil, nil, errkind.New(errkind.Internal, "encode the lists: %w", err)
	}
	evicted := slices.Clone(trail[retained:])
	slices.Reverse(evicted)
	return &encoded{versioned: next, bytes: bytes}, evicted, nil
}

// nextVersion returns the current version plus one. If the store has lost the lists,
// the proposal's base is the version that the nodes still have.
func nextVersion(current *Versioned, base *domain.ListsVersion) domain.ListsVersion {
	if current.Version == 0 && base != nil {
		return *base + 1
	}
	return current.Version + 1
}

// limitDifference truncates a difference that would leave too little space for the
// lists. Its last line then states the number of omitted lines.
func limitDifference(lines []string, remaining int) []string {
	for i, line := range lines {
		remaining -= len(strconv.Quote(line)) + len(",")
		if remaining < 0 {
			rest := fmt.Sprintf("(%d more lines are not kept)", len(lines)-i)
			return append(slices.Clone(lines[:i]), rest)
		}
	}
	return lines
}

// remainingBytes returns the number of bytes between the size of next and
// MaxDocumentBytes.
func remainingBytes(next *Versioned) (int, error) {
	bytes, err := json.Marshal(next)
	if err != nil {
		return 0, errkind.New(errkind.Internal, "encode the lists: %w", err)
	}
	if len(bytes) > MaxDocumentBytes {
		return 0, errkind.New(errkind.BodyTooLarge,
			"the lists and their change have %d bytes; the key-value service accepts at most %d", len(bytes), MaxDocumentBytes)
	}
	return MaxDocumentBytes - len(bytes), nil
}

// countFitting returns how many of the newest changes fit into the remaining bytes.
func countFitting(trail []Change, remaining int) (int, error) {
	for i, c := range trail {
		if i == maxTrailChanges {
			return i, nil
		}
		bytes, err := json.Marshal(c)
		if err != nil {
			return 0, errkind.New(errkind.Internal, "encode change %d: %w", c.Version, err)
		}
		remaining -= len(bytes) + len(",")
		if remaining < 0 {
			return i, nil
		}
	}
	return len(trail), nil
}

// archiveChanges writes changes to their own keys. It runs before the write that
// removes them from the trail, so if the process crashes in between, the changes are
// in both places rather than in neither.
func (a *Applier) archiveChanges(ctx context.Context, changes []Change) error {
	for _, c := range changes {
		if err := a.archiveChange(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

func (a *Applier) archiveChange(ctx context.Context, c Change) error {
	bytes, err := json.Marshal(c)
	if err != nil {
		return errkind.New(errkind.Internal, "encode change %d: %w", c.Version, err)
	}
	_, writeErr := a.KV.CompareAndSwap(ctx, HistoryKey(c.Version), 0, bytes, 0)
	if writeErr == nil {
		return nil
	}
	stored, err := readChange(ctx, a.KV, c.Version)
	switch {
	case err != nil:
		return archiveError(c, err)
	case stored == nil:
		return archiveError(c, writeErr)
	case stored.ID != c.ID:
		return errkind.New(errkind.Internal, "nothing was applied: key %s contains change %s, but the trail contains %s",
			HistoryKey(c.Version), stored.ID, c.ID).WithRun(domain.RunNo)
	}
	return nil
}

func archiveError(c Change, cause error) error {
	return errkind.New(errkind.From(cause).Kind, "nothing was applied: change %d could not be moved to its own key: %w",
		c.Version, cause).WithRun(domain.RunNo)
}

// readChange returns the change stored under its own key, or nil if there is none.
func readChange(ctx context.Context, kv ports.KV, v domain.ListsVersion) (*Change, error) {
	entry, err := kv.Get(ctx, HistoryKey(v))
	if err != nil || entry.Revision == 0 {
		return nil, err
	}
	return decodeChange(entry)
}

func decodeChange(entry ports.KVEntry) (*Change, error) {
	c := new(Change)
	if err := json.Unmarshal(entry.Value, c); err != nil {
		return nil, errkind.New(errkind.Internal, "decode the value of key %s: %w", entry.Key, err)
	}
	return c, nil
}

// changesAfter returns the embedded changes newer than base, newest first.
func changesAfter(v *Versioned, base domain.ListsVersion) []Change {
	var changes []Change
	for _, c := range embeddedChanges(v) {
		if c.Version > base {
			changes = append(changes, c)
		}
	}
	return changes
}

func embeddedChanges(v *Versioned) []Change {
	if v.Version == 0 {
		return nil
	}
	return append([]Change{v.Change}, v.Trail...)
}

// findVersion returns the change that produced a version, from the embedded trail or
// its own key; nil if there is none.
func findVersion(ctx context.Context, kv ports.KV, v *Versioned, version domain.ListsVersion) (*Change, error) {
	for _, c := range embeddedChanges(v) {
		if c.Version == version {
			return &c, nil
		}
	}
	return readChange(ctx, kv, version)
}

// History returns the audit trail, newest first: the embedded changes, followed by
// older ones from their own keys. A limit of zero or less means no limit.
func History(ctx context.Context, kv ports.KV, limit int) ([]Change, error) {
	current, err := Read(ctx, kv)
	if err != nil {
		return nil, err
	}
	changes := embeddedChanges(current)
	next := domain.ListsVersion(0)
	if len(changes) > 0 {
		next = changes[len(changes)-1].Version
	}
	for next > 1 && !limitReached(changes, limit) {
		page := (next - 1) / historyPageSize
		older, err := historyPage(ctx, kv, page, next)
		if err != nil {
			return nil, err
		}
		changes = append(changes, older...)
		next = page * historyPageSize
	}
	if limitReached(changes, limit) {
		changes = changes[:limit]
	}
	return changes, nil
}

func limitReached(changes []Change, limit int) bool {
	return limit > 0 && len(changes) >= limit
}

// historyPage returns the changes of one page with a version below next, newest
// first.
func historyPage(ctx context.Context, kv ports.KV, page, next domain.ListsVersion) ([]Change, error) {
	prefix := fmt.Sprintf("%s%0*d", HistoryPrefix, versionDigits-historyPageDigits, page)
	entries, err := kv.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for _, entry := range slices.Backward(entries) {
		c, err := decodeChange(entry)
		if err != nil {
			return nil, err
		}
		if c.Version < next {
			changes = append(changes, *c)
		}
	}
	return changes, nil
}
