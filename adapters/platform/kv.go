package platform

import (
	"context"
	"errors"
	"time"

	"github.com/crocusspread/crocusspread/adapters/platform/wire"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

type kv struct{ c *Client }

// Get implements ports.KV.
func (s kv) Get(ctx context.Context, key string) (ports.KVEntry, error) {
	var out wire.Entry
	_, err := s.c.post(ctx, readCall, wire.PathGet, wire.KeyRequest{Key: key}, &out)
	return out.KV(), err
}

// List implements ports.KV.
func (s kv) List(ctx context.Context, prefix string) ([]ports.KVEntry, error) {
	var out wire.Entries
	if _, err := s.c.post(ctx, readCall, wire.PathList, wire.KeyRequest{Key: prefix}, &out); err != nil {
		return nil, err
	}
	entries := make([]ports.KVEntry, len(out.Entries))
	for i, e := range out.Entries {
		entries[i] = e.KV()
	}
	return entries, nil
}

// CompareAndSwap implements ports.KV.
func (s kv) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, lease ports.LeaseID) (ports.KVEntry, error) {
	in := wire.CompareAndSwapRequest{Key: key, Previous: prev, Value: value, Lease: lease}
	var out wire.Entry
	wireErr, err := s.c.post(ctx, mutatingCall, wire.PathCompareAndSwap, in, &out)
	if wireErr != nil && wireErr.Entry != nil {
		return wireErr.Entry.KV(), err
	}
	return out.KV(), err
}

// Watch implements ports.KV with repeated long polls. Each poll is bounded in time,
// so that a broken connection is detected and the next poll uses a working one.
func (s kv) Watch(ctx context.Context, key string, after uint64) (ports.KVEntry, error) {
	for ctx.Err() == nil {
		e, err := s.poll(ctx, key, after)
		if err == nil {
			return e, nil
		}
		if !errors.Is(err, errkind.Of(errkind.Timeout)) && ctx.Err() == nil {
			return ports.KVEntry{}, err
		}
	}
	return ports.KVEntry{}, watchError(ctx)
}

func (s kv) poll(ctx context.Context, key string, after uint64) (ports.KVEntry, error) {
	in := wire.WatchRequest{Key: key, After: after, Wait: s.c.pollWait}
	var out wire.Entry
	_, err := s.c.postWithTimeout(ctx, s.c.pollWait+s.c.callTimeout, readCall, wire.PathWatch, in, &out)
	return out.KV(), err
}

func watchError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.New(errkind.Canceled, "watch: %w", ctx.Err()).WithRun(domain.RunNo)
	}
	return errkind.New(errkind.Timeout, "watch: %w", ctx.Err()).WithRun(domain.RunNo)
}

// GrantLease implements ports.KV.
func (s kv) GrantLease(ctx context.Context, ttl time.Duration) (ports.Lease, error) {
	var out wire.Lease
	_, err := s.c.post(ctx, mutatingCall, wire.PathGrant, wire.GrantRequest{TTL: ttl}, &out)
	return ports.Lease{ID: out.ID, TTL: out.TTL, Revision: out.Revision}, err
}

// KeepAlive implements ports.KV.
func (s kv) KeepAlive(ctx context.Context, id ports.LeaseID) error {
	_, err := s.c.post(ctx, mutatingCall, wire.PathKeepAlive, wire.LeaseRequest{ID: id}, &wire.Empty{})
	return err
}

// Revoke implements ports.KV.
func (s kv) Revoke(ctx context.Context, id ports.LeaseID) error {
	_, err := s.c.post(ctx, mutatingCall, wire.PathRevoke, wire.LeaseRequest{ID: id}, &wire.Empty{})
	return err
}
