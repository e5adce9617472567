package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/ports"
)

// claim is the key's value. It contains the lease, so no two claims are equal.
type claim struct {
	Node        domain.NodeID      `json:"node"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Lease       ports.LeaseID      `json:"lease"`
}

// leadership manages a node's lease on its domain's key. It is driven by one
// goroutine; its state may be read by others.
type leadership struct {
	cfg Config
	kv  ports.KV
	now func() time.Time

	lease ports.LeaseID
	ttl   time.Duration
	// expiresAt is the earliest end of the lease, by the node's clock.
	expiresAt time.Time
	// orderAfter is the time from which no order of an earlier holder can arrive.
	orderAfter time.Time

	mu        sync.Mutex
	lifecycle *fsm.FSM
	fencing   uint64
	holder    domain.NodeID
}

func newLeadership(cfg Config, kv ports.KV, now func() time.Time) *leadership {
	return &leadership{cfg: cfg, kv: kv, now: now, lifecycle: newLifecycle()}
}

func (t *leadership) state() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State(t.lifecycle.Current())
}

func (t *leadership) isHeld() bool { return t.state() != Candidate }

func (t *leadership) apply(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply(t.lifecycle, e)
}

// tryAcquire acquires the key if no node holds it. It returns an error if the
// service is unavailable.
func (t *leadership) tryAcquire(ctx context.Context) error {
	entry, err := t.get(ctx)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		t.recordHolder(entry)
		return nil
	}
	return t.acquire(ctx)
}

// acquire creates the key under a new lease. The duration of the lease is counted
// from before its request. If the response to the creation is lost, the key is read
// back.
func (t *leadership) acquire(ctx context.Context) error {
	requestedAt := t.now()
	lease, err := t.grant(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(claim{Node: t.cfg.Node, Incarnation: t.cfg.Incarnation, Lease: lease.ID})
	if err != nil {
		return errkind.New(errkind.Internal, "encode the claim: %w", err)
	}
	entry, err := t.create(ctx, value, lease.ID)
	if err != nil && !errors.Is(err, errkind.Of(errkind.Conflict)) {
		entry, err = t.get(ctx)
	}
	if entry.Revision == 0 || !bytes.Equal(entry.Value, value) {
		t.recordHolder(entry)
		t.revoke(ctx, lease.ID)
		return err
	}
	t.begin(lease, entry, requestedAt)
	return nil
}

// begin records that the node holds the key. The fencing number is the revision of
// the key and not that of the lease, because the holder of an older lease may create
// the key later.
func (t *leadership) begin(lease ports.Lease, entry ports.KVEntry, requestedAt time.Time) {
	t.lease, t.ttl = lease.ID, min(lease.TTL, t.cfg.TTL)
	t.expiresAt = requestedAt.Add(t.ttl)
	t.orderAfter = t.now().Add(t.cfg.TTL + t.cfg.SendDeadline)
	t.apply(Take)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fencing, t.holder = entry.Revision, t.cfg.Node
}

// renew extends the lease, counted from before the call. It reports whether the
// service has confirmed the extension.
func (t *leadership) renew(ctx context.Context) (confirmed bool) {
	requestedAt := t.now()
	if !requestedAt.Before(t.expiresAt) {
		t.apply(Lose)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	err := t.kv.KeepAlive(ctx, t.lease)
	if errors.Is(err, errkind.Of(errkind.NotFound)) {
		t.apply(Lose)
		return false
	}
	if err != nil {
		return false
	}
	t.expiresAt = requestedAt.Add(t.ttl)
	if !t.now().Before(t.orderAfter) {
		t.apply(WaitOut)
	}
	return true
}

// verifyHolder reads the key and applies Lose if another node holds it.
func (t *leadership) verifyHolder(ctx context.Context) {
	entry, err := t.get(ctx)
	if err != nil || entry.Revision == t.fencingNumber() {
		return
	}
	t.recordHolder(entry)
	t.apply(Lose)
}

// release revokes the lease, so that another node can acquire the key immediately.
func (t *leadership) release(ctx context.Context) {
	t.apply(Release)
	t.revoke(ctx, t.lease)
}

// canSend reports whether an order that is sent now arrives before the lease ends.
func (t *leadership) canSend(now time.Time) bool {
	return t.state() == Ordering && now.Add(t.cfg.SendDeadline).Before(t.expiresAt)
}

func (t *leadership) fencingNumber() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fencing
}

// recordHolder records the node that holds the key.
func (t *leadership) recordHolder(entry ports.KVEntry) {
	var c claim
	if entry.Revision != 0 {
		_ = json.Unmarshal(entry.Value, &c) // a value of another format contains no holder
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder = c.Node
}

func (t *leadership) get(ctx context.Context) (ports.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	return t.kv.Get(ctx, Key(t.cfg.Domain))
}

func (t *leadership) grant(ctx context.Context) (ports.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	return t.kv.GrantLease(ctx, t.cfg.TTL)
}

func (t *leadership) create(ctx context.Context, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	return t.kv.CompareAndSwap(ctx, Key(t.cfg.Domain), 0, value, id)
}

func (t *leadership) revoke(ctx context.Context, id ports.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	_ = t.kv.Revoke(ctx, id) // otherwise the lease expires by itself
}
