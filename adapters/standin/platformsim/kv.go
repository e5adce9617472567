package platformsim

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// keyState holds the current and the previous entry of a key. A deleted key keeps
// its state, with a current revision of zero.
type keyState struct {
	current, previous ports.KVEntry
	lease             ports.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type kv struct{ s *Sim }

// Get implements ports.KV.
func (k kv) Get(ctx context.Context, key string) (ports.KVEntry, error) {
	eff, err := k.s.begin(ctx, CallGet)
	if err != nil {
		return ports.KVEntry{}, err
	}
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	k.s.expireLeases()
	return k.s.entry(key, eff.stale), nil
}

// List implements ports.KV.
func (k kv) List(ctx context.Context, prefix string) ([]ports.KVEntry, error) {
	eff, err := k.s.begin(ctx, CallList)
	if err != nil {
		return nil, err
	}
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	k.s.expireLeases()
	entries := []ports.KVEntry{}
	for key := range k.s.keys {
		if e := k.s.entry(key, eff.stale); strings.HasPrefix(key, prefix) && e.Revision > 0 {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b ports.KVEntry) int { return strings.Compare(a.Key, b.Key) })
	return entries, nil
}

// CompareAndSwap implements ports.KV.
func (k kv) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	eff, err := k.s.begin(ctx, CallCompareAndSwap)
	if err != nil {
		return ports.KVEntry{}, err
	}
	e, err := k.s.swap(key, prev, value, id)
	if lost := eff.end(CallCompareAndSwap); lost != nil {
		return ports.KVEntry{}, lost
	}
	return e, err
}

func (s *Sim) swap(key string, prev uint64, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	current := s.entry(key, false)
	if len(value) > s.cfg.MaxValueBytes {
		return current, errkind.New(errkind.BadRequest, "value of key %q has %d bytes, more than the maximum of %d", key, len(value), s.cfg.MaxValueBytes)
	}
	if current.Revision != prev {
		return current, errkind.New(errkind.Conflict, "key %q has revision %d, expected %d", key, current.Revision, prev)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return current, errkind.New(errkind.NotFound, "lease %d has expired", id)
	}
	s.revision++
	next := ports.KVEntry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	s.keys[key] = &keyState{current: next, previous: current, lease: id}
	s.broadcast()
	return s.entry(key, false), nil
}

// Watch implements ports.KV.
func (k kv) Watch(ctx context.Context, key string, after uint64) (ports.KVEntry, error) {
	eff, err := k.s.begin(ctx, CallWatch)
	if err != nil {
		return ports.KVEntry{}, err
	}
	for {
		e, changed, nextExpiry := k.s.entryAfter(key, after, eff.stale)
		if changed == nil {
			return e, nil
		}
		if err := waitForChange(ctx, changed, nextExpiry); err != nil {
			return ports.KVEntry{}, err
		}
	}
}

// entryAfter returns the entry of a key if its revision is greater than after, with
// a nil channel. Otherwise it returns a channel that is closed on the next change
// and the time until the next lease expires, or zero if there are no leases.
func (s *Sim) entryAfter(key string, after uint64, stale bool) (ports.KVEntry, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.entry(key, false).Revision > after {
		return s.entry(key, stale), nil, 0
	}
	var nextExpiry time.Duration
	now := s.now()
	for _, l := range s.leases {
		if d := l.expiresAt.Sub(now); nextExpiry == 0 || d < nextExpiry {
			nextExpiry = d
		}
	}
	return ports.KVEntry{}, s.changed, nextExpiry
}

func waitForChange(ctx context.Context, changed <-chan struct{}, nextExpiry time.Duration) error {
	var timer <-chan time.Time
	if nextExpiry > 0 {
		t := time.NewTimer(nextExpiry)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-changed:
		return nil
	case <-timer:
		return nil
	case <-ctx.Done():
		return watchError(ctx)
	}
}

func watchError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.New(errkind.Canceled, "watch: %w", ctx.Err()).WithRun(domain.RunNo)
	}
	return errkind.New(errkind.Timeout, "watch: %w", ctx.Err()).WithRun(domain.RunNo)
}

// GrantLease implements ports.KV.
func (k kv) GrantLease(ctx context.Context, ttl time.Duration) (ports.Lease, error) {
	eff, err := k.s.begin(ctx, CallGrant)
	if err != nil {
		return ports.Lease{}, err
	}
	if ttl <= 0 {
		return ports.Lease{}, errkind.New(errkind.BadRequest, "lease TTL %v is not positive", ttl)
	}
	l := k.s.grant(ttl)
	if err := eff.end(CallGrant); err != nil {
		return ports.Lease{}, err
	}
	return l, nil
}

func (s *Sim) grant(ttl time.Duration) ports.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.revision++
	id := ports.LeaseID(s.revision)
	s.leases[id] = &lease{ttl: ttl, expiresAt: s.now().Add(ttl)}
	s.broadcast()
	return ports.Lease{ID: id, TTL: ttl, Revision: s.revision}
}

// KeepAlive implements ports.KV.
func (k kv) KeepAlive(ctx context.Context, id ports.LeaseID) error {
	return k.withLease(ctx, CallKeepAlive, id, func(l *lease) { l.expiresAt = k.s.now().Add(l.ttl) })
}

// Revoke implements ports.KV.
func (k kv) Revoke(ctx context.Context, id ports.LeaseID) error {
	return k.withLease(ctx, CallRevoke, id, func(*lease) { k.s.endLease(id) })
}

func (k kv) withLease(ctx context.Context, c Call, id ports.LeaseID, apply func(*lease)) error {
	eff, err := k.s.begin(ctx, c)
	if err != nil {
		return err
	}
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	k.s.expireLeases()
	l, ok := k.s.leases[id]
	if ok {
		apply(l)
	}
	if err := eff.end(c); err != nil {
		return err
	}
	if !ok {
		return errkind.New(errkind.NotFound, "lease %d has expired", id)
	}
	return nil
}

// entry returns the current or, if stale, the previous entry of a key. The caller
// must hold the lock.
func (s *Sim) entry(key string, stale bool) ports.KVEntry {
	state, ok := s.keys[key]
	if !ok {
		return ports.KVEntry{Key: key}
	}
	e := state.current
	if stale {
		e = state.previous
	}
	e.Key = key
	e.Value = slices.Clone(e.Value)
	return e
}

// expireLeases ends the leases whose TTL has elapsed. The caller must hold the lock.
func (s *Sim) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys. The caller must hold the lock.
func (s *Sim) endLease(id ports.LeaseID) {
	delete(s.leases, id)
	for key, state := range s.keys {
		if state.lease == id {
			s.keys[key] = &keyState{previous: state.current}
		}
	}
	s.broadcast()
}

// broadcast wakes all waiting watches. The caller must hold the lock.
func (s *Sim) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
