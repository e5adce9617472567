package ports

import (
	"cmp"
	"context"
	"time"
)

// StorePosition is a place in the store's history. Revisions rise within an era. The era
// rises when the store comes back from an older copy: it then goes back to a lower revision,
// and later revisions stand for other changes than before.
type StorePosition struct {
	Era      uint64
	Revision uint64
}

// Compare returns a negative number if p is before o, zero if they are equal, and a
// positive number if p is after o.
func (p StorePosition) Compare(o StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// IsZero reports whether p is the zero position, which no store has.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }

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
	// Range returns all items under a prefix and the store's position from before the
	// first of them was read.
	Range(ctx context.Context, prefix string) (items []Item, at StorePosition, err error)
	// Watch waits until an item under the prefix changes after the given position, at
	// most for the duration wait. It returns the changes and the position to continue
	// from. It fails with kind history_lost if the changes since that position are no
	// longer available, also because the store has gone back since.
	Watch(ctx context.Context, prefix string, after StorePosition, wait time.Duration) (changes []Item, at StorePosition, err error)
	// Get returns an item; its revision is zero if it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes an item, under a lease unless it is zero, if the item's revision is
	// previous; zero means that it must not exist. It returns the new revision. The condition
	// keeps a write without a response, which may be executed seconds later, from replacing
	// a later one. Put fails with kind conflict if the condition does not hold, and with
	// kind not_found if the lease has ended, or if the store has gone back since it was
	// granted: its ID may then be that of another lease, under which the item was written.
	Put(ctx context.Context, key string, value []byte, lease Lease, previous uint64) (revision uint64, err error)
	// Delete removes an item if it has the given revision; otherwise it fails with kind
	// conflict.
	Delete(ctx context.Context, key string, revision uint64) error
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive extends a lease by its TTL. It fails with kind not_found if the lease
	// has ended, or if the store has gone back since it was granted.
	KeepAlive(ctx context.Context, lease Lease) error
}
