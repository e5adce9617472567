package operations

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// ClaimPrefix starts the key-value service's keys of claims; the customer and
// the SHA-256 of the caller's key follow.
const ClaimPrefix = "crocusspread/operations/"

// maxClaimTries bounds the rounds in which other claims appear and lapse.
const maxClaimTries = 3

// Claim says which operation a caller-made key stands for.
type Claim struct {
	Node        domain.NodeID      `json:"node"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Operation   domain.OperationID `json:"operation"`
	Fingerprint uint64             `json:"fingerprint"`
	// Revision is the claim's revision in the key-value service.
	Revision uint64 `json:"-"`
	// Fresh tells that this call made the claim.
	Fresh bool `json:"-"`
}

// Claims binds caller-made keys to operations through the key-value service: one
// write for a call, one lease for many.
type Claims struct {
	kv       ports.KV
	issuer   *Issuer
	lifetime time.Duration
	batch    time.Duration
	now      func() time.Time

	leaseMu chan struct{} // a lock whose wait ends with a context
	lease   sharedLease
}

// sharedLease is the lease of all claims made within one batch period.
type sharedLease struct {
	id    ports.LeaseID
	asked time.Time // before the grant was asked for
}

// NewClaims returns the claims of one process. lifetime is how long a key stands
// for its operation at least, and must cover the issuer's FirstUse, MaxRun and
// Retention; after it a key may be reused. Claims of one batch period share a
// lease.
func NewClaims(kv ports.KV, issuer *Issuer, lifetime, batch time.Duration, now func() time.Time) (*Claims, error) {
	c := issuer.config
	if lifetime < c.FirstUse+c.MaxRun+c.Retention || batch <= 0 {
		return nil, errkind.New(errkind.BadRequest, "operations: a claim must outlive its operation")
	}
	return &Claims{
		kv:       kv,
		issuer:   issuer,
		lifetime: lifetime,
		batch:    batch,
		now:      now,
		leaseMu:  make(chan struct{}, 1),
	}, nil
}

// ClaimKey returns the key-value service's key of a caller-made key.
func ClaimKey(customer domain.CustomerID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return ClaimPrefix + url.PathEscape(string(customer)) + "/" + hex.EncodeToString(sum[:])
}

// Claim returns the claim of a caller-made key, made now if there is none. The
// caller then begins Claim.Operation at its issuer. Errors: key_conflict (the
// key stands for a different request), store_unavailable (this request was not
// run; an earlier one with the key keeps its own outcome).
func (c *Claims) Claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint uint64) (Claim, error) {
	return c.claim(ctx, customer, key, fingerprint, 0)
}

// TakeOver replaces a claim that was not fresh and whose operation is burned, so
// that the caller's key can be used again. Only the issuer's Status with verdict
// "no" proves that, as it burns; a refusal of any other sort may come from before
// the issuer's ledger. If another entry was first, it returns that entry's claim.
func (c *Claims) TakeOver(ctx context.Context, customer domain.CustomerID, key string, burned Claim) (Claim, error) {
	return c.claim(ctx, customer, key, burned.Fingerprint, burned.Revision)
}

func (c *Claims) claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint, prev uint64) (Claim, error) {
	mine := Claim{
		Node:        c.issuer.node,
		Incarnation: c.issuer.incarnation,
		Operation:   c.issuer.Issue(customer, c.now()),
		Fingerprint: fingerprint,
	}
	got, err := c.store(ctx, ClaimKey(customer, key), mine, prev)
	if err == nil && got.Fingerprint != fingerprint {
		err = errkind.New(errkind.KeyConflict, "the key was used for a different request")
	}
	if err == nil {
		return got, nil
	}
	// Burned, mine cannot run even if its write arrives later.
	if _, burnErr := c.issuer.Status(mine.Operation, customer, c.now()); burnErr != nil {
		return Claim{}, burnErr
	}
	return Claim{}, err
}

// store writes mine, or returns the claim that was there first.
func (c *Claims) store(ctx context.Context, key string, mine Claim, prev uint64) (Claim, error) {
	for range maxClaimTries {
		lease, err := c.currentLease(ctx)
		if err != nil {
			return Claim{}, c.unavailable(err)
		}
		entry, err := c.write(ctx, key, mine, prev, lease.id)
		if errors.Is(err, errkind.Of(errkind.NotFound)) {
			c.discardLease(ctx, lease)
			continue
		}
		if err != nil {
			return Claim{}, c.unavailable(err)
		}
		if entry.Revision == 0 {
			prev = 0 // another claim lapsed in between
			continue
		}
		got, err := decodeClaim(entry)
		if err != nil {
			return Claim{}, err
		}
		got.Fresh = got.Operation == mine.Operation
		if got.Fresh && c.left(lease) < c.lifetime {
			return Claim{}, errkind.New(errkind.StoreUnavailable, "the claim came too late").WithRun(domain.RunNo)
		}
		return got, nil
	}
	return Claim{}, errkind.New(errkind.StoreUnavailable, "claims of the key came and went").WithRun(domain.RunNo)
}

// write returns the entry in force after the compare-and-swap. If its answer is
// lost, it reads back what took effect.
func (c *Claims) write(ctx context.Context, key string, mine Claim, prev uint64, lease ports.LeaseID) (ports.KVEntry, error) {
	value, err := json.Marshal(mine)
	if err != nil {
		return ports.KVEntry{}, errkind.New(errkind.Internal, "encode claim: %w", err)
	}
	entry, err := c.kv.CompareAndSwap(ctx, key, prev, value, lease)
	switch {
	case err == nil:
		entry.Value = value
		return entry, nil
	case errors.Is(err, errkind.Of(errkind.Conflict)):
		return entry, nil
	case errkind.From(err).Verdict() == domain.RunNo:
		return entry, err
	}
	entry, readErr := c.kv.Get(ctx, key)
	if readErr != nil {
		return entry, readErr
	}
	if entry.Revision == 0 || entry.Revision == prev {
		return entry, err // not written so far
	}
	return entry, nil
}

// currentLease returns the lease that claims share, asking for a new one when
// the batch period is over.
func (c *Claims) currentLease(ctx context.Context) (sharedLease, error) {
	if err := c.lockLease(ctx); err != nil {
		return sharedLease{}, err
	}
	defer c.unlockLease()
	if c.lease.id != 0 && c.now().Sub(c.lease.asked) < c.batch {
		return c.lease, nil
	}
	asked := c.now()
	granted, err := c.kv.GrantLease(ctx, c.lifetime+2*c.batch)
	if err != nil {
		return sharedLease{}, err
	}
	c.lease = sharedLease{id: granted.ID, asked: asked}
	return c.lease, nil
}

// discardLease makes the next claim ask for a new lease instead of l.
func (c *Claims) discardLease(ctx context.Context, l sharedLease) {
	if c.lockLease(ctx) != nil {
		return
	}
	defer c.unlockLease()
	if c.lease.id == l.id {
		c.lease = sharedLease{}
	}
}

func (c *Claims) lockLease(ctx context.Context) error {
	select {
	case c.leaseMu <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Claims) unlockLease() { <-c.leaseMu }

// left returns how long a lease lasts at least.
func (c *Claims) left(l sharedLease) time.Duration {
	return l.asked.Add(c.lifetime + 2*c.batch).Sub(c.now())
}

func (c *Claims) unavailable(cause error) error {
	return errkind.New(errkind.StoreUnavailable, "the key could not be claimed, this request was not run: %w", cause).WithRun(domain.RunNo)
}

func decodeClaim(e ports.KVEntry) (Claim, error) {
	var got Claim
	if err := json.Unmarshal(e.Value, &got); err != nil {
		return got, errkind.New(errkind.Internal, "decode claim %q: %w", e.Key, err).WithRun(domain.RunNo)
	}
	got.Revision = e.Revision
	return got, nil
}
