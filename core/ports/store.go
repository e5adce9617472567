package ports

import (
	"context"
	"time"
)

// Item is one key of the store and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last write to the key.
	Revision uint64
	// Removed is set in changes that deleted the key; Value is empty then.
	Removed bool
}

// Store is the platform's key-value store as used by nodes that route by routing
// table. If it cannot be reached, methods fail with kind store_unavailable, and with
// Run "unknown" if a write may take effect.
type Store interface {
	// Range returns all items under a prefix and the store's revision from before the
	// first of them was read.
	Range(ctx context.Context, prefix string) (items []Item, revision uint64, err error)
	// Watch waits until an item under the prefix changes after the given revision, at
	// most for the duration wait. It returns the changes and the revision to continue
	// from. It fails with kind history_lost if the changes since that revision are no
	// longer available.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Item, revision uint64, err error)
	// Put writes an item unconditionally. It fails with kind not_found if the lease
	// has ended.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Delete removes an item.
	Delete(ctx context.Context, key string) error
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive extends a lease by its TTL. It fails with kind not_found if the lease
	// has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its items.
	Revoke(ctx context.Context, id LeaseID) error
}
