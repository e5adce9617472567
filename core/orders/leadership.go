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

func (l *leadership) state() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State(l.lifecycle.Current())
}

func (l *leadership) isHeld() bool { return l.state() != Candidate }

func (l *leadership) apply(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply(l.lifecycle, e)
}

// tryAcquire acquires the key if no node holds it. It returns an error if the
// service is unavailable.
func (l *leadership) tryAcquire(ctx context.Context) error {
	entry, err := l.get(ctx)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		l.recordHolder(entry)
		return nil
	}
	return l.acquire(ctx)
}

// acquire creates the key under a new lease. The duration of the lease is counted
// from before its request. If the response to the creation is lost, the key is read
// back.
func (l *leadership) acquire(ctx context.Context) error {
	requestedAt := l.now()
	lease, err := l.grant(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(claim{Node: l.cfg.Node, Incarnation: l.cfg.Incarnation, Lease: lease.ID})
	if err != nil {
		return errkind.New(errkind.Internal, "encode the claim: %w", err)
	}
	entry, err := l.create(ctx, value, lease.ID)
	if err != nil && !errors.Is(err, errkind.Of(errkind.Conflict)) {
		entry, err = l.get(ctx)
	}
	if entry.Revision == 0 || !bytes.Equal(entry.Value, value) {
		l.recordHolder(entry)
		l.revoke(ctx, lease.ID)
		return err
	}
	l.begin(lease, entry, requestedAt)
	return nil
}

// begin records that the node holds the key. The fencing number is the revision of
// the key and not that of the lease, because the holder of an older lease may create
// the key later.
func (l *leadership) begin(lease ports.Lease, entry ports.KVEntry, requestedAt time.Time) {
	l.lease, l.ttl = lease.ID, min(lease.TTL, l.cfg.TTL)
	l.expiresAt = requestedAt.Add(l.ttl)
	l.orderAfter = l.now().Add(l.cfg.TTL + l.cfg.SendDeadline)
	l.apply(Take)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencing, l.holder = entry.Revision, l.cfg.Node
}

// renew extends the lease, counted from before the call. It reports whether the
// service has confirmed the extension.
func (l *leadership) renew(ctx context.Context) (confirmed bool) {
	requestedAt := l.now()
	if !requestedAt.Before(l.expiresAt) {
		l.apply(Lose)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	err := l.kv.KeepAlive(ctx, l.lease)
	if errors.Is(err, errkind.Of(errkind.NotFound)) {
		l.apply(Lose)
		return false
	}
	if err != nil {
		return false
	}
	l.expiresAt = requestedAt.Add(l.ttl)
	if !l.now().Before(l.orderAfter) {
		l.apply(WaitOut)
	}
	return true
}

// verifyHolder reads the key and applies Lose if another node holds it.
func (l *leadership) verifyHolder(ctx context.Context) {
	entry, err := l.get(ctx)
	if err != nil || entry.Revision == l.fencingNumber() {
		return
	}
	l.recordHolder(entry)
	l.apply(Lose)
}

// release revokes the lease, so that another node can acquire the key immediately.
func (l *leadership) release(ctx context.Context) {
	l.apply(Release)
	l.revoke(ctx, l.lease)
}

// canSend reports whether an order that is sent now arrives before the lease ends.
func (l *leadership) canSend(now time.Time) bool {
	return l.state() == Ordering && now.Add(l.cfg.SendDeadline).Before(l.expiresAt)
}

func (l *leadership) fencingNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing
}

// recordHolder records the node that holds the key.
func (l *leadership) recordHolder(entry ports.KVEntry) {
	var c claim
	if entry.Revision != 0 {
		_ = json.Unmarshal(entry.Value, &c) // a value of another format contains no holder
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = c.Node
}

func (l *leadership) get(ctx context.Context) (ports.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	return l.kv.Get(ctx, Key(l.cfg.Domain))
}

func (l *leadership) grant(ctx context.Context) (ports.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	return l.kv.GrantLease(ctx, l.cfg.TTL)
}

func (l *leadership) create(ctx context.Context, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	return l.kv.CompareAndSwap(ctx, Key(l.cfg.Domain), 0, value, id)
}

func (l *leadership) revoke(ctx context.Context, id ports.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.CallTimeout)
	defer cancel()
	_ = l.kv.Revoke(ctx, id) // otherwise the lease expires by itself
}
