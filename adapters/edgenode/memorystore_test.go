package edgenode

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// memoryStore is a store in memory.
type memoryStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]ports.Item
	leases   map[ports.LeaseID]*memoryLease
	lastID   ports.LeaseID
	calls    atomic.Int64 // to the authority's key and of its leases
}

type memoryLease struct {
	ttl  time.Duration
	ends time.Time
	key  string
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, items: make(map[string]ports.Item), leases: make(map[ports.LeaseID]*memoryLease)}
}

func (s *memoryStore) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.revision++
			delete(s.items, l.key)
			delete(s.leases, id)
		}
	}
}

// restore goes back to a copy without leases; the items stay.
func (s *memoryStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	clear(s.leases)
}

// client is a node's connection to the store.
type client struct {
	*memoryStore
	cut atomic.Bool
}

var errCut = errkind.New(errkind.StoreUnavailable, "the link is cut")

func (c *client) lock() error {
	if c.cut.Load() {
		return errCut
	}
	c.mu.Lock()
	c.expire()
	return nil
}

func (c *client) Range(_ context.Context, prefix string) ([]ports.Item, ports.StorePosition, error) {
	if err := c.lock(); err != nil {
		return nil, ports.StorePosition{}, err
	}
	defer c.mu.Unlock()
	var list []ports.Item
	for key, i := range c.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, i)
		}
	}
	return list, ports.StorePosition{Era: c.era, Revision: c.revision}, nil
}

func (c *client) Watch(ctx context.Context, prefix string, after ports.StorePosition, wait time.Duration) ([]ports.Item, ports.StorePosition, error) {
	sleep(ctx, min(wait, 100*time.Millisecond))
	items, at, err := c.Range(ctx, prefix)
	var changed []ports.Item
	for _, i := range items {
		if i.Revision > after.Revision {
			changed = append(changed, i)
		}
	}
	return changed, at, err
}

func (c *client) Get(_ context.Context, key string) (ports.Item, error) {
	if err := c.lock(); err != nil {
		return ports.Item{}, err
	}
	defer c.mu.Unlock()
	if key == testQuotaKey {
		c.calls.Add(1)
	}
	return c.items[key], nil
}

func (c *client) Put(_ context.Context, key string, value []byte, lease ports.Lease, previous uint64) (uint64, error) {
	if err := c.lock(); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	if key == testQuotaKey {
		c.calls.Add(1)
	}
	if c.items[key].Revision != previous {
		return 0, errkind.New(errkind.Conflict, "%s has another revision", key)
	}
	c.revision++
	c.items[key] = ports.Item{Key: key, Value: value, Revision: c.revision}
	if l := c.leases[lease.ID]; l != nil {
		l.key = key
	}
	return c.revision, nil
}

func (c *client) Delete(_ context.Context, key string, revision uint64) error {
	if err := c.lock(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if c.items[key].Revision != revision {
		return errkind.New(errkind.Conflict, "%s has another revision", key)
	}
	c.revision++
	delete(c.items, key)
	return nil
}

func (c *client) GrantLease(_ context.Context, ttl time.Duration) (ports.Lease, error) {
	if err := c.lock(); err != nil {
		return ports.Lease{}, err
	}
	defer c.mu.Unlock()
	c.lastID++
	c.leases[c.lastID] = &memoryLease{ttl: ttl, ends: time.Now().Add(ttl)}
	return ports.Lease{ID: c.lastID, TTL: ttl, Era: c.era}, nil
}

func (c *client) KeepAlive(_ context.Context, lease ports.Lease) error {
	if err := c.lock(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	l := c.leases[lease.ID]
	if l == nil || lease.Era != c.era {
		return errkind.New(errkind.NotFound, "no lease %d", lease.ID)
	}
	if l.key == testQuotaKey {
		c.calls.Add(1)
	}
	l.ends = time.Now().Add(l.ttl)
	return nil
}
