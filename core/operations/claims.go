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

// ClaimPrefix is the prefix of claim keys in the key-value service. It is
// followed by the customer and the SHA-256 of the caller's key.
const ClaimPrefix = "crocusspread/operations/"

// maxClaimAttempts bounds the retries while claims of other nodes appear and
// expire concurrently.
const maxClaimAttempts = 3

// Claim maps a caller-supplied idempotency key to an operation.
type Claim struct {
	Node        domain.NodeID      `json:"node"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Operation   domain.OperationID `json:"operation"`
	Fingerprint uint64             `json:"fingerprint"`
	// Revision is the claim's revision in the key-value service.
	Revision uint64 `json:"-"`
	// Created reports whether this call created the claim.
	Created bool `json:"-"`
}

// Claims maps caller-supplied idempotency keys to operations through the
// key-value service, with one write per call and one lease shared by many calls.
type Claims struct {
	kv       ports.KV
	issuer   *Issuer
	lifetime time.Duration
	batch    time.Duration
	now      func() time.Time

	leaseMu chan struct{} // mutex whose acquisition can be canceled by a context
	lease   sharedLease
}

// sharedLease is the lease of all claims made within one batch period.
type sharedLease struct {
	id          ports.LeaseID
	requestedAt time.Time // time just before the grant was requested
}

// NewClaims returns the Claims of one process. lifetime is the minimum time for
// which a key stays mapped to its operation; it must be at least the sum of the
// issuer's FirstUse, MaxRun and Retention, and afterwards the key may be reused.
// Claims made within one batch period share a lease.
func NewClaims(kv ports.KV, issuer *Issuer, lifetime, batch time.Duration, now func() time.Time) (*Claims, error) {
	c := issuer.config
	if lifetime < c.FirstUse+c.MaxRun+c.Retention || batch <= 0 {
		return nil, errkind.New(errkind.BadRequest, "operations: the batch period must be positive, and the claim lifetime at least the sum of first use, maximum run and retention")
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

// ClaimKey returns the key-value service's key for a caller-supplied key.
func ClaimKey(customer domain.CustomerID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return ClaimPrefix + url.PathEscape(string(customer)) + "/" + hex.EncodeToString(sum[:])
}

// Claim returns the claim of a caller-supplied key and creates it if there is
// none. The caller then begins Claim.Operation at its issuer. Errors: key_conflict
// (the key was used for a different request), store_unavailable (this request was
// not run; the outcome of an earlier request with the key is unaffected).
func (c *Claims) Claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint uint64) (Claim, error) {
	return c.claim(ctx, customer, key, fingerprint, 0)
}

// Rebind replaces a claim of an earlier call whose operation can never run,
// so that the caller's key can be used again. Only a verdict "no" from the issuer's
// Status proves this, because Status invalidates the id; any other refusal may
// have been made before the issuer consulted its records. If another entry node
// replaced the claim first, Rebind returns that node's claim.
func (c *Claims) Rebind(ctx context.Context, customer domain.CustomerID, key string, notRun Claim) (Claim, error) {
	return c.claim(ctx, customer, key, notRun.Fingerprint, notRun.Revision)
}

func (c *Claims) claim(ctx context.Context, customer domain.CustomerID, key string, fingerprint, prev uint64) (Claim, error) {
	proposed := Claim{
		Node:        c.issuer.node,
		Incarnation: c.issuer.incarnation,
		Operation:   c.issuer.Issue(customer, c.now()),
		Fingerprint: fingerprint,
	}
	got, err := c.store(ctx, ClaimKey(customer, key), proposed, prev)
	if err == nil && got.Fingerprint != fingerprint {
		err = errkind.New(errkind.KeyConflict, "the key was used for a different request")
	}
	if err == nil {
		return got, nil
	}
	// Status invalidates the id, so the operation cannot run even if the write
	// takes effect later.
	if _, statusErr := c.issuer.Status(proposed.Operation, customer, c.now()); statusErr != nil {
		return Claim{}, statusErr
	}
	return Claim{}, err
}

// store writes the proposed claim or returns the claim that already exists.
func (c *Claims) store(ctx context.Context, key string, proposed Claim, prev uint64) (Claim, error) {
	for range maxClaimAttempts {
		lease, err := c.currentLease(ctx)
		if err != nil {
			return Claim{}, c.unavailable(err)
		}
		entry, err := c.write(ctx, key, proposed, prev, lease.id)
		if errors.Is(err, errkind.Of(errkind.NotFound)) {
			c.discardLease(ctx, lease)
			continue
		}
		if err != nil {
			return Claim{}, c.unavailable(err)
		}
		if entry.Revision == 0 {
			prev = 0 // the other claim has expired in the meantime
			continue
		}
		got, err := decodeClaim(entry)
		if err != nil {
			return Claim{}, err
		}
		got.Created = got.Operation == proposed.Operation
		if got.Created && c.minRemaining(lease) < c.lifetime {
			return Claim{}, errkind.New(errkind.StoreUnavailable, "the claim was written too late: its lease expires within the claim lifetime").WithRun(domain.RunNo)
		}
		return got, nil
	}
	return Claim{}, errkind.New(errkind.StoreUnavailable, "concurrent claims of the key kept appearing and expiring").WithRun(domain.RunNo)
}

// write returns the current entry after a compare-and-swap. If the response is
// lost, it reads the key to find out which write took effect.
func (c *Claims) write(ctx context.Context, key string, proposed Claim, prev uint64, lease ports.LeaseID) (ports.KVEntry, error) {
	value, err := json.Marshal(proposed)
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
		return entry, err // the write has not taken effect so far
	}
	return entry, nil
}

// currentLease returns the shared lease and requests a new one when the batch
// period is over.
func (c *Claims) currentLease(ctx context.Context) (sharedLease, error) {
	if err := c.lockLease(ctx); err != nil {
		return sharedLease{}, err
	}
	defer c.unlockLease()
	if c.lease.id != 0 && c.now().Sub(c.lease.requestedAt) < c.batch {
		return c.lease, nil
	}
	requestedAt := c.now()
	granted, err := c.kv.GrantLease(ctx, c.lifetime+2*c.batch)
	if err != nil {
		return sharedLease{}, err
	}
	c.lease = sharedLease{id: granted.ID, requestedAt: requestedAt}
	return c.lease, nil
}

// discardLease makes the next claim request a new lease instead of reusing l.
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

// minRemaining returns the minimum time until a lease expires.
func (c *Claims) minRemaining(l sharedLease) time.Duration {
	return l.requestedAt.Add(c.lifetime + 2*c.batch).Sub(c.now())
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
