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

// claim is the key's value. With the lease in it, no two claims are equal.
type claim struct {
	Node        domain.NodeID      `json:"node"`
	Incarnation domain.Incarnation `json:"incarnation"`
	Lease       ports.LeaseID      `json:"lease"`
}

// tenure is a node's hold on its domain's key. One goroutine drives it; its
// state may be read by others.
type tenure struct {
	cfg Config
	kv  ports.KV
	now func() time.Time

	lease ports.LeaseID
	ttl   time.Duration
	// until is when the lease ends at the earliest, by the own clock.
	until time.Time
	// orderFrom is when no order of an earlier holder can arrive any more.
	orderFrom time.Time

	mu      sync.Mutex
	machine *fsm.FSM
	fencing uint64
	holder  domain.NodeID
}

func newTenure(cfg Config, kv ports.KV, now func() time.Time) *tenure {
	return &tenure{cfg: cfg, kv: kv, now: now, machine: newLifecycle()}
}

func (t *tenure) state() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State(t.machine.Current())
}

func (t *tenure) held() bool { return t.state() != Candidate }

func (t *tenure) apply(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply(t.machine, e)
}

// look takes the key if it is free. An error says that the service is away.
func (t *tenure) look(ctx context.Context) error {
	entry, err := t.get(ctx)
	if err != nil {
		return err
	}
	if entry.Revision != 0 {
		t.note(entry)
		return nil
	}
	return t.take(ctx)
}

// take creates the key under a new lease. The lease counts from before it was
// asked for. If the answer of the creation is lost, the key is read.
func (t *tenure) take(ctx context.Context) error {
	begun := t.now()
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
		t.note(entry)
		t.revoke(ctx, lease.ID)
		return err
	}
	t.hold(lease, entry, begun)
	return nil
}

// hold begins a tenure. The key's revision is the fencing number, not the
// lease's: the holder of an older lease may create the key later.
func (t *tenure) hold(lease ports.Lease, entry ports.KVEntry, begun time.Time) {
	t.lease, t.ttl = lease.ID, min(lease.TTL, t.cfg.TTL)
	t.until = begun.Add(t.ttl)
	t.orderFrom = t.now().Add(t.cfg.TTL + t.cfg.SendDeadline)
	t.apply(Take)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fencing, t.holder = entry.Revision, t.cfg.Node
}

// keep extends the lease from before the call on. It tells if the service
// has just confirmed it.
func (t *tenure) keep(ctx context.Context) (confirmed bool) {
	begun := t.now()
	if !begun.Before(t.until) {
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
	t.until = begun.Add(t.ttl)
	if !t.now().Before(t.orderFrom) {
		t.apply(WaitOut)
	}
	return true
}

// reread gives the tenure up if the key is not the node's any more.
func (t *tenure) reread(ctx context.Context) {
	entry, err := t.get(ctx)
	if err != nil || entry.Revision == t.number() {
		return
	}
	t.note(entry)
	t.apply(Lose)
}

// release ends the lease, so that another node may take the key at once.
func (t *tenure) release(ctx context.Context) {
	t.apply(Release)
	t.revoke(ctx, t.lease)
}

// safe tells if an order that begins now arrives before the lease ends.
func (t *tenure) safe(now time.Time) bool {
	return t.state() == Ordering && now.Add(t.cfg.SendDeadline).Before(t.until)
}

func (t *tenure) number() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fencing
}

// note remembers who holds the key.
func (t *tenure) note(entry ports.KVEntry) {
	var c claim
	if entry.Revision != 0 {
		_ = json.Unmarshal(entry.Value, &c) // a foreign value names nobody
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder = c.Node
}

func (t *tenure) get(ctx context.Context) (ports.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	return t.kv.Get(ctx, Key(t.cfg.Domain))
}

func (t *tenure) grant(ctx context.Context) (ports.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	return t.kv.GrantLease(ctx, t.cfg.TTL)
}

func (t *tenure) create(ctx context.Context, value []byte, id ports.LeaseID) (ports.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	return t.kv.CompareAndSwap(ctx, Key(t.cfg.Domain), 0, value, id)
}

func (t *tenure) revoke(ctx context.Context, id ports.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.CallTimeout)
	defer cancel()
	_ = t.kv.Revoke(ctx, id) // it lapses by itself
}
