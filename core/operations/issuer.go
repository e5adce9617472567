package operations

import (
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const secretBytes = 32

// IssuerConfig holds the limits of an Issuer. All fields are required.
type IssuerConfig struct {
	// Shards is the number of independently locked shards.
	Shards int
	// FirstUse is the maximum time from the issue of an id to its start.
	FirstUse time.Duration
	// MaxRun is the maximum time from the start of an operation to a dispatch.
	MaxRun time.Duration
	// Retention is how long a finished operation is retained; it must exceed
	// FirstUse.
	Retention time.Duration
	// MaxRecords is the maximum number of retained operations.
	MaxRecords int
	// MaxAnswerBytes is the maximum size of one retained answer.
	MaxAnswerBytes int
	// MaxTotalBytes is the maximum total size of the retained answers.
	MaxTotalBytes int
}

// DefaultIssuerConfig returns the default limits of a node.
func DefaultIssuerConfig() IssuerConfig {
	return IssuerConfig{
		Shards:         16,
		FirstUse:       2 * time.Minute,
		MaxRun:         5 * time.Minute,
		Retention:      10 * time.Minute,
		MaxRecords:     64 << 10,
		MaxAnswerBytes: 256 << 10,
		MaxTotalBytes:  32 << 20,
	}
}

func (c IssuerConfig) validate() error {
	switch {
	case c.Shards < 1 || c.MaxRecords < c.Shards:
		return errkind.New(errkind.BadRequest, "operations: at least one shard and one record per shard are required")
	case c.FirstUse <= 0 || c.MaxRun <= 0 || c.Retention <= c.FirstUse:
		return errkind.New(errkind.BadRequest, "operations: the first-use window and the maximum run time must be positive, and retention must exceed the first-use window")
	case c.MaxAnswerBytes < 0 || c.MaxTotalBytes < 0:
		return errkind.New(errkind.BadRequest, "operations: answer size limits must not be negative")
	}
	return nil
}

// Issuer issues operation ids. Only the Issuer that issued an id may start its
// operation.
type Issuer struct {
	node        domain.NodeID
	incarnation domain.Incarnation
	started     time.Time
	config      IssuerConfig
	secret      [secretBytes]byte
	sequence    atomic.Uint64
	shards      []*issuerShard
}

// NewIssuer returns the Issuer of one process. started and every time passed in
// later must contain a monotonic clock reading.
func NewIssuer(node domain.NodeID, incarnation domain.Incarnation, started time.Time, c IssuerConfig) (*Issuer, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	i := &Issuer{node: node, incarnation: incarnation, started: started, config: c}
	rand.Read(i.secret[:]) // never fails
	i.shards = make([]*issuerShard, c.Shards)
	for n := range i.shards {
		i.shards[n] = newIssuerShard(started, c)
	}
	return i, nil
}

// Issue returns a new id for customer. The id uses no memory until it is used.
func (i *Issuer) Issue(customer domain.CustomerID, now time.Time) domain.OperationID {
	p := IDParts{
		Node:        i.node,
		Incarnation: i.incarnation,
		Sequence:    i.sequence.Add(1),
		Issued:      max(0, now.Sub(i.started)),
	}
	p.mac = p.sign(i.secret[:], customer)
	return p.format()
}

// IsIssuerOf reports whether this process issued the id.
func (i *Issuer) IsIssuerOf(p IDParts) bool {
	return p.Node == i.node && p.Incarnation == i.incarnation
}

// BeginResult is the result of Begin; exactly one field is set.
type BeginResult struct {
	// Run is set for the caller that has the exclusive right to run the operation.
	Run *Run
	// Joined is set for a repeat; its readers get the answer of the run.
	Joined *Record
}

// Begin starts the operation or joins the existing run. fingerprint is a digest of
// the request; the same id with another fingerprint fails with key_conflict.
// Errors: bad_request (not issued by this process for this customer),
// operation_not_run (the id is invalidated), operation_expired (the record was
// evicted, outcome unknown), operation_lost (outcome unknown).
func (i *Issuer) Begin(id domain.OperationID, customer domain.CustomerID, fingerprint uint64, now time.Time) (BeginResult, error) {
	p, err := i.verifyID(id, customer)
	if err != nil {
		return BeginResult{}, err
	}
	return i.shard(p).begin(p.Sequence, fingerprint, p.Issued, now.Sub(i.started))
}

// Status is an operation's state as reported by its issuer.
type Status struct {
	State State
	// Run is the verdict for the caller; RunNo means that the id is invalidated.
	Run domain.Run
}

// Status returns the state of an operation. If the operation has not started, the
// call invalidates its id, so the verdict RunNo is permanent.
func (i *Issuer) Status(id domain.OperationID, customer domain.CustomerID, now time.Time) (Status, error) {
	p, err := i.verifyID(id, customer)
	if err != nil {
		return Status{}, err
	}
	s := i.shard(p).status(p.Sequence, p.Issued, now.Sub(i.started))
	return Status{State: s, Run: verdict(s)}, nil
}

// Expire evicts the records whose retention is over and returns the number of
// operations that remain. Call it every few seconds.
func (i *Issuer) Expire(now time.Time) int {
	retained := 0
	for _, s := range i.shards {
		retained += s.expire(now.Sub(i.started))
	}
	return retained
}

// Unfinished returns the number of operations that are started or dispatched; a
// graceful shutdown waits for them.
func (i *Issuer) Unfinished() int {
	n := 0
	for _, s := range i.shards {
		n += s.countUnfinished()
	}
	return n
}

// RetainedBytes returns the memory used by retained answers, in bytes.
func (i *Issuer) RetainedBytes() int {
	n := int64(0)
	for _, s := range i.shards {
		n += s.retainedBytes.Load()
	}
	return int(n)
}

func (i *Issuer) verifyID(id domain.OperationID, customer domain.CustomerID) (IDParts, error) {
	p, err := ParseID(id)
	if err != nil {
		return p, err
	}
	if p.Node != i.node {
		return p, errkind.New(errkind.WrongIncarnation, "the operation was issued by node %q", p.Node)
	}
	if p.Incarnation != i.incarnation {
		return p, errkind.New(errkind.OperationLost, "the process that issued the operation no longer exists")
	}
	if !p.verify(i.secret[:], customer) {
		return p, invalidIDError()
	}
	return p, nil
}

func (i *Issuer) shard(p IDParts) *issuerShard {
	return i.shards[p.Sequence%uint64(len(i.shards))]
}

func verdict(s State) domain.Run {
	switch s {
	case Done:
		return domain.RunYes
	case NotRun:
		return domain.RunNo
	}
	return domain.RunUnknown
}
