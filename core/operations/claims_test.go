package operations

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	claimLifetime = time.Hour
	claimBatch    = time.Minute
)

// fakeKV is an in-memory key-value service with fault injection.
type fakeKV struct {
	ports.KV
	mu       sync.Mutex
	entries  map[string]ports.KVEntry
	revision uint64
	leases   uint64
	down     bool // every call fails
	cannotRead,
	loseResponse, // a write takes effect but its response is lost
	loseWrite, // a write has no effect and no response
	leaseExpired bool
	onWrite func() // runs before a write
}

func (f *fakeKV) unavailable(r domain.Run) error {
	return errkind.New(errkind.StoreUnavailable, "down").WithRun(r)
}

func (f *fakeKV) Get(_ context.Context, key string) (ports.KVEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.cannotRead {
		return ports.KVEntry{}, f.unavailable(domain.RunNo)
	}
	return f.entries[key], nil
}

func (f *fakeKV) GrantLease(_ context.Context, ttl time.Duration) (ports.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return ports.Lease{}, f.unavailable(domain.RunNo)
	}
	f.leases++
	f.leaseExpired = false
	return ports.Lease{ID: ports.LeaseID(f.leases), TTL: ttl}, nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, prev uint64, value []byte, lease ports.LeaseID) (ports.KVEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onWrite != nil {
		f.onWrite()
	}
	switch {
	case f.down:
		return ports.KVEntry{}, f.unavailable(domain.RunNo)
	case f.leaseExpired:
		return ports.KVEntry{}, errkind.New(errkind.NotFound, "lease")
	case f.loseWrite:
		return ports.KVEntry{}, f.unavailable(domain.RunUnknown)
	case f.entries[key].Revision != prev:
		return f.entries[key], errkind.New(errkind.Conflict, "revision")
	}
	f.revision++
	f.entries[key] = ports.KVEntry{Key: key, Value: value, Revision: f.revision}
	if f.loseResponse {
		return ports.KVEntry{}, f.unavailable(domain.RunUnknown)
	}
	return f.entries[key], nil
}

func newFakeKV() *fakeKV { return &fakeKV{entries: make(map[string]ports.KVEntry)} }

func newClaims(t testing.TB, kv ports.KV, node domain.NodeID, now func() time.Time) *Claims {
	t.Helper()
	i, err := NewIssuer(node, 1, origin, smallConfig)
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewClaims(kv, i, claimLifetime, claimBatch, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func atOrigin() time.Time { return origin }

func TestClaimUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(kv *fakeKV)
		kind  errkind.Kind // empty: the claim succeeds
	}{
		{"none", func(*fakeKV) {}, ""},
		{"service unavailable", func(kv *fakeKV) { kv.down = true }, errkind.StoreUnavailable},
		{"claim response lost", func(kv *fakeKV) { kv.loseResponse = true }, ""},
		{"claim response lost, then service unavailable", func(kv *fakeKV) { kv.loseResponse, kv.cannotRead = true, true }, errkind.StoreUnavailable},
		{"write lost", func(kv *fakeKV) { kv.loseWrite = true }, errkind.StoreUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kv := newFakeKV()
			c.fault(kv)
			claims := newClaims(t, kv, "a", atOrigin)
			got, err := claims.Claim(t.Context(), customer, "k", 1)
			if c.kind == "" {
				if err != nil || got.Node != "a" || got.Revision == 0 || !got.Created {
					t.Fatalf("Claim = %+v, %v", got, err)
				}
				mustRun(t, claims.issuer, got.Operation, origin)
				return
			}
			wantKind(t, err, c.kind, domain.RunNo)
		})
	}
}

func TestLateClaimAfterNotRunCannotStart(t *testing.T) {
	kv := newFakeKV()
	kv.loseResponse, kv.cannotRead = true, true
	a := newClaims(t, kv, "a", atOrigin)
	_, err := a.Claim(t.Context(), customer, "k", 1)
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
	kv.loseResponse, kv.cannotRead = false, false
	b := newClaims(t, kv, "b", atOrigin)
	late, err := b.Claim(t.Context(), customer, "k", 1)
	if err != nil || late.Node != "a" {
		t.Fatalf("Claim = %+v, %v", late, err)
	}
	_, err = a.issuer.Begin(late.Operation, customer, 1, origin)
	wantKind(t, err, errkind.OperationNotRun, domain.RunNo)
	next, err := b.Rebind(t.Context(), customer, "k", late)
	if err != nil || next.Node != "b" {
		t.Fatalf("Rebind = %+v, %v", next, err)
	}
	again, err := a.Rebind(t.Context(), customer, "k", late)
	if err != nil || again.Operation != next.Operation {
		t.Fatalf("second Rebind = %+v, %v", again, err)
	}
}

func TestConcurrentClaimsAgreeOnOneOperation(t *testing.T) {
	kv := newFakeKV()
	got := make(chan Claim)
	for range 16 {
		c := newClaims(t, kv, "a", atOrigin)
		go func() {
			claim, err := c.Claim(t.Context(), customer, "k", 1)
			if err != nil {
				t.Error(err)
			}
			got <- claim
		}()
	}
	first := <-got
	created := first.Created
	for range 15 {
		next := <-got
		if next.Operation != first.Operation || next.Revision != first.Revision || next.Created && created {
			t.Errorf("concurrent claims got %+v and %+v, want the same claim, created at most once", first, next)
		}
		created = created || next.Created
	}
	if !created {
		t.Error("no call reported the claim as created")
	}
}

func TestKeyReusedForDifferentRequestConflicts(t *testing.T) {
	kv := newFakeKV()
	if _, err := newClaims(t, kv, "a", atOrigin).Claim(t.Context(), customer, "k", 1); err != nil {
		t.Fatal(err)
	}
	b := newClaims(t, kv, "b", atOrigin)
	_, err := b.Claim(t.Context(), customer, "k", 2)
	wantKind(t, err, errkind.KeyConflict, domain.RunNo)
	if c, err := b.Claim(t.Context(), "other", "k", 2); err != nil || c.Node != "b" {
		t.Fatalf("Claim with another customer's key = %+v, %v, want a claim of node b", c, err)
	}
}

func TestClaimAfterProcessFreezeIsRejected(t *testing.T) {
	kv, now := newFakeKV(), origin
	claims := newClaims(t, kv, "a", func() time.Time { return now })
	kv.onWrite = func() { now = now.Add(2*claimBatch + 1) }
	_, err := claims.Claim(t.Context(), customer, "k", 1)
	wantKind(t, err, errkind.StoreUnavailable, domain.RunNo)
}

func TestLeaseIsSharedWithinBatchAndRenewed(t *testing.T) {
	kv, now := newFakeKV(), origin
	claims := newClaims(t, kv, "a", func() time.Time { return now })
	steps := []struct {
		key     string
		after   time.Duration
		expired bool
		leases  uint64
	}{{"a", 0, false, 1}, {"b", claimBatch - 1, false, 1}, {"c", claimBatch, false, 2}, {"d", claimBatch, true, 3}}
	for _, s := range steps {
		now, kv.leaseExpired = origin.Add(s.after), s.expired
		if _, err := claims.Claim(t.Context(), customer, s.key, 1); err != nil || kv.leases != s.leases {
			t.Fatalf("key %s: %v, %d leases, want %d", s.key, err, kv.leases, s.leases)
		}
	}
}

func TestClaimLifetimeMustCoverOperation(t *testing.T) {
	i := newIssuer(t, smallConfig)
	short := smallConfig.FirstUse + smallConfig.MaxRun + smallConfig.Retention - 1
	if _, err := NewClaims(newFakeKV(), i, short, claimBatch, atOrigin); err == nil {
		t.Fatal("NewClaims accepted a lifetime that is too short")
	}
}
