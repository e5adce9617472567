package lists

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	maxAuthorBytes   = 128
	maxReasonBytes   = 1024
	maxChangeIDBytes = 64
	// readBackAttempts is the number of reads that look for a change after the
	// response to its write was lost.
	readBackAttempts = 5
)

// Proposal is a change of the lists proposed by an operator.
type Proposal struct {
	// ChangeID is unique. It identifies the change if the response to its write is
	// lost.
	ChangeID string
	Author   string
	Reason   string
	Time     time.Time
	Document Document
	// Base is the version that the operator edited. The change is rejected if
	// another version is current. Nil accepts any current version.
	Base *domain.ListsVersion
}

// Outcome is an accepted change.
type Outcome struct {
	Change Change `json:"change"`
	// Unchanged is set if the proposed lists equal the current ones. Nothing was
	// written then.
	Unchanged bool `json:"unchanged"`
	// ReadBack is set if the response to the write was lost and the change was
	// found by its id.
	ReadBack bool `json:"read_back"`
}

// Conflict is the cause of a conflict error of Apply. It contains the changes that
// others made since the version read, newest first.
type Conflict struct {
	Base    domain.ListsVersion `json:"base"`
	Current domain.ListsVersion `json:"current"`
	Changes []Change            `json:"changes"`
}

// Error returns the author, time, reason and difference of each change.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the lists changed from version %d to %d", c.Base, c.Current)
	for _, change := range c.Changes {
		fmt.Fprintf(&b, "\nversion %d by %s at %s (%s)", change.Version, change.Author, change.Time.UTC().Format(time.RFC3339), change.Reason)
		for _, line := range change.Difference {
			b.WriteString("\n  " + line)
		}
	}
	return b.String()
}

// Applier changes the lists in the key-value service.
type Applier struct {
	KV ports.KV
	// Pause waits before another attempt to read back a change; nil means no wait.
	Pause func(ctx context.Context) error
}

// Read returns the current lists, or a Versioned of version zero if there are none.
func Read(ctx context.Context, kv ports.KV) (*Versioned, error) {
	current, _, err := read(ctx, kv)
	return current, err
}

// read returns the current lists and their revision for a compare-and-swap.
func read(ctx context.Context, kv ports.KV) (*Versioned, uint64, error) {
	entry, err := kv.Get(ctx, Key)
	if err != nil {
		return nil, 0, err
	}
	if entry.Revision == 0 {
		return &Versioned{}, 0, nil
	}
	v, err := Decode(entry.Value)
	return v, entry.Revision, err
}

// Decode decodes a value stored under Key. Errors: body_too_large, and internal for
// a value that cannot be decoded or is inconsistent.
func Decode(value []byte) (*Versioned, error) {
	if len(value) > MaxDocumentBytes {
		return nil, errkind.New(errkind.BodyTooLarge, "the stored lists have %d bytes; the maximum is %d", len(value), MaxDocumentBytes)
	}
	v := new(Versioned)
	if err := json.Unmarshal(value, v); err != nil {
		return nil, errkind.New(errkind.Internal, "decode the stored lists: %w", err)
	}
	if v.Version == 0 || v.Version != v.Change.Version {
		return nil, errkind.New(errkind.Internal, "the stored lists have version %d, but their change has version %d", v.Version, v.Change.Version)
	}
	return v, nil
}

// Apply validates the proposal and writes it as the next version, with one
// compare-and-swap on the revision read. Errors: bad_request and body_too_large
// for an invalid proposal, conflict with a *Conflict as cause, and
// store_unavailable, whose verdict is "unknown" if the change may still take effect.
func (a *Applier) Apply(ctx context.Context, p Proposal) (*Outcome, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	current, revision, err := read(ctx, a.KV)
	if err != nil {
		return nil, err
	}
	if p.Base != nil && revision != 0 && *p.Base != current.Version {
		return nil, conflict(*p.Base, current)
	}
	difference := Diff(&current.Document, &p.Document)
	if len(difference) == 0 && revision != 0 {
		return &Outcome{Change: current.Change, Unchanged: true}, nil
	}
	next, evicted, err := buildNext(current, &p, difference)
	if err != nil {
		return nil, err
	}
	if err := a.archiveChanges(ctx, evicted); err != nil {
		return nil, err
	}
	return a.write(ctx, current.Version, revision, next)
}

func (p *Proposal) check() error {
	switch {
	case p.ChangeID == "" || len(p.ChangeID) > maxChangeIDBytes:
		return errkind.New(errkind.BadRequest, "the change id is empty or longer than %d bytes", maxChangeIDBytes)
	case strings.TrimSpace(p.Author) == "" || len(p.Author) > maxAuthorBytes:
		return errkind.New(errkind.BadRequest, "the author is empty or longer than %d bytes", maxAuthorBytes)
	case strings.TrimSpace(p.Reason) == "" || len(p.Reason) > maxReasonBytes:
		return errkind.New(errkind.BadRequest, "the reason is empty or longer than %d bytes", maxReasonBytes)
	}
	if problems := p.Document.Validate(); len(problems) > 0 {
		return errkind.New(errkind.BadRequest, "the lists are refused: %s", strings.Join(problems, "; "))
	}
	return p.Document.CheckSize()
}

// encoded is a Versioned with its JSON encoding.
type encoded struct {
	versioned *Versioned
	bytes     []byte
}

// write replaces the current lists by next and resolves the outcome if the response
// is lost.
func (a *Applier) write(ctx context.Context, base domain.ListsVersion, revision uint64, next *encoded) (*Outcome, error) {
	change := next.versioned.Change
	entry, err := a.KV.CompareAndSwap(ctx, Key, revision, next.bytes, 0)
	if err == nil {
		return &Outcome{Change: change}, nil
	}
	failure := errkind.From(err)
	isConflict := failure.Kind == errkind.Conflict
	if !isConflict && failure.Verdict() == domain.RunNo {
		return nil, err
	}
	// The conflict may be caused by this write itself, if the adapter sent it twice.
	if isConflict && entry.Revision > revision {
		current, err := Decode(entry.Value)
		if err != nil {
			return nil, unknownOutcome(change, err)
		}
		return a.resolveWrite(ctx, base, current, change)
	}
	return a.readBack(ctx, base, revision, change)
}

// readBack determines the outcome of a write: its change is in the stored lists, or
// another write replaced the revision so that this one can no longer take effect,
// or the outcome is unknown. A revision that is not newer than the one read before
// proves nothing: the write may still be in flight, and the service may serve stale
// data.
func (a *Applier) readBack(ctx context.Context, base domain.ListsVersion, revision uint64, change Change) (*Outcome, error) {
	var last error
	for attempt := range readBackAttempts {
		if attempt > 0 && a.pause(ctx) != nil {
			break
		}
		current, seen, err := read(ctx, a.KV)
		switch {
		case err != nil:
			last = err
		case seen <= revision:
			last = nil
		default:
			return a.resolveWrite(ctx, base, current, change)
		}
	}
	return nil, unknownOutcome(change, last)
}

func (a *Applier) pause(ctx context.Context) error {
	if a.Pause == nil {
		return ctx.Err()
	}
	return a.Pause(ctx)
}

func unknownOutcome(change Change, cause error) error {
	text := fmt.Sprintf("the response to the write of change %s was lost and the change is not visible yet; it may still take effect: check the history for it before applying again", change.ID)
	if cause == nil {
		return errkind.New(errkind.StoreUnavailable, "%s", text).WithRun(domain.RunUnknown)
	}
	return errkind.New(errkind.StoreUnavailable, "%s: %w", text, cause).WithRun(domain.RunUnknown)
}

// resolveWrite determines the outcome of a write from lists that were written after
// the version read.
func (a *Applier) resolveWrite(ctx context.Context, base domain.ListsVersion, current *Versioned, change Change) (*Outcome, error) {
	found, err := findVersion(ctx, a.KV, current, change.Version)
	if err != nil {
		return nil, unknownOutcome(change, err)
	}
	if found != nil && found.ID == change.ID {
		return &Outcome{Change: *found, ReadBack: true}, nil
	}
	return nil, conflict(base, current)
}

func conflict(base domain.ListsVersion, current *Versioned) error {
	c := &Conflict{Base: base, Current: current.Version, Changes: changesAfter(current, base)}
	return errkind.New(errkind.Conflict, "%w", error(c))
}

// ConflictOf returns the Conflict that caused err, if there is one.
func ConflictOf(err error) (*Conflict, bool) {
	var c *Conflict
	return c, errors.As(err, &c)
}
