package ports

import (
	"context"
	"time"
)

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last write.
	Revision uint64
	// Removed is set in changes that deleted the key; Value is empty then.
	Removed bool
}

// Store is the platform's key-value store as nodes use it that route by routing
// table. Failures to reach it are of kind store_unavailable, with Run "unknown"
// when a write may take effect.
type Store interface {
	// Range returns all items under a prefix and the store's revision before
	// the first of them was read.
	Range(ctx context.Context, prefix string) (items []Item, revision uint64, err error)
	// Watch waits until an item under the prefix changed after a revision, at
	// most for wait, and returns the revision to continue from. Kind
	// history_lost means that the changes are no longer known.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Item, revision uint64, err error)
	// Put writes an item whatever it was before. With a lease that has ended the
	// kind is not_found.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Delete removes an item.
	Delete(ctx context.Context, key string) error
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive extends a lease by its TTL; kind not_found if it has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its items.
	Revoke(ctx context.Context, id LeaseID) error
}
