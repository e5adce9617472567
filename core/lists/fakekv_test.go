package lists_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// fakeKV is an in-memory key-value service. The hooks inject faults and are called
// without the lock.
type fakeKV struct {
	ports.KV
	mu       sync.Mutex
	revision uint64
	entries  map[string]ports.KVEntry
	swaps    map[string]int

	// beforeSwap may fail a write before it takes effect, afterSwap after it.
	beforeSwap func(key string) error
	afterSwap  func(key string) error
	// onGet may fail a read or replace its entry.
	onGet func(key string, e *ports.KVEntry) error
}

func newFakeKV() *fakeKV {
	return &fakeKV{entries: make(map[string]ports.KVEntry), swaps: make(map[string]int)}
}

func (f *fakeKV) Get(_ context.Context, key string) (ports.KVEntry, error) {
	f.mu.Lock()
	entry := f.entries[key]
	f.mu.Unlock()
	entry.Key = key
	if f.onGet == nil {
		return entry, nil
	}
	err := f.onGet(key, &entry)
	return entry, err
}

func (f *fakeKV) List(_ context.Context, prefix string) ([]ports.KVEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []ports.KVEntry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b ports.KVEntry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, prev uint64, value []byte, _ ports.LeaseID) (ports.KVEntry, error) {
	if f.beforeSwap != nil {
		if err := f.beforeSwap(key); err != nil {
			return ports.KVEntry{}, err
		}
	}
	entry, err := f.swap(key, prev, value)
	if err != nil || f.afterSwap == nil {
		return entry, err
	}
	return entry, f.afterSwap(key)
}

func (f *fakeKV) swap(key string, prev uint64, value []byte) (ports.KVEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.swaps[key]++
	if current := f.entries[key]; current.Revision != prev {
		return current, errkind.New(errkind.Conflict, "key %s is at revision %d", key, current.Revision)
	}
	f.revision++
	entry := ports.KVEntry{Key: key, Value: value, Revision: f.revision}
	f.entries[key] = entry
	return entry, nil
}

func responseLost() error {
	return errkind.New(errkind.StoreUnavailable, "the response was lost").WithRun(domain.RunUnknown)
}

func storeUnavailable() error {
	return errkind.New(errkind.StoreUnavailable, "connection refused")
}

// failOnce returns a hook that fails the first call for key.
func failOnce(key string, fail func() error) func(string) error {
	var done atomic.Bool
	return func(k string) error {
		if k != key || !done.CompareAndSwap(false, true) {
			return nil
		}
		return fail()
	}
}

var testTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
