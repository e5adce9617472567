package operations

import (
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
)

const secretBytes = 32

// IssuerConfig bounds an Issuer. All fields are required.
type IssuerConfig struct {
	// Shards is the number of independent locks.
	Shards int
	// FirstUse is how long after its issue an id may be started.
	FirstUse time.Duration
	// MaxRun is how long after its start an operation may still be dispatched.
	MaxRun time.Duration
	// Retention is how long a finished operation is remembered; over FirstUse.
	Retention time.Duration
	// MaxRecords bounds the remembered operations.
	MaxRecords int
	// MaxAnswerBytes bounds one kept answer.
	MaxAnswerBytes int
	// MaxTotalBytes bounds all kept answers.
	MaxTotalBytes int
}

// DefaultIssuerConfig returns the bounds of a node.
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
		return errkind.New(errkind.BadRequest, "operations: need at least one shard and one record a shard")
	case c.FirstUse <= 0 || c.MaxRun <= 0 || c.Retention <= c.FirstUse:
		return errkind.New(errkind.BadRequest, "operations: retention must exceed the first-use window")
	case c.MaxAnswerBytes < 0 || c.MaxTotalBytes < 0:
		return errkind.New(errkind.BadRequest, "operations: negative bound")
	}
	return nil
}

// Issuer issues operation ids and is the only place where they may start.
type Issuer struct {
	node        domain.NodeID
	incarnation domain.Incarnation
	started     time.Time
	config      IssuerConfig
	secret      [secretBytes]byte
	sequence    atomic.Uint64
	shards      []*issuerShard
}

// NewIssuer returns the ledger of one process. started must carry a monotonic
// clock reading, as must every later time passed in.
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

// Issue returns a fresh id for customer. It takes no memory.
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

// Issues tells if this process is the issuer of the id.
func (i *Issuer) Issues(p IDParts) bool {
	return p.Node == i.node && p.Incarnation == i.incarnation
}

// Began is the result of Begin; exactly one field is set.
type Began struct {
	// Run is set for the caller that alone runs the operation.
	Run *Run
	// Join is set for a repeat; its readers see the first run's answer.
	Join *Record
}

// Begin starts the operation or joins it. fingerprint is a digest of the
// request; the same id with another one fails with key_conflict. Errors:
// bad_request (not issued by this process for this customer), operation_not_run
// (burned), operation_expired (forgotten, unknown), operation_lost (unknown).
func (i *Issuer) Begin(id domain.OperationID, customer domain.CustomerID, fingerprint uint64, now time.Time) (Began, error) {
	p, err := i.verified(id, customer)
	if err != nil {
		return Began{}, err
	}
	return i.shard(p).begin(p.Sequence, fingerprint, p.Issued, now.Sub(i.started))
}

// Status is what an issuer says of an operation.
type Status struct {
	State State
	// Run is the verdict for the caller; RunNo has burned the id.
	Run domain.Run
}

// Status tells where an operation stands. An operation that has not started is
// burned by the question, so the verdict RunNo holds for ever.
func (i *Issuer) Status(id domain.OperationID, customer domain.CustomerID, now time.Time) (Status, error) {
	p, err := i.verified(id, customer)
	if err != nil {
		return Status{}, err
	}
	s := i.shard(p).inquire(p.Sequence, p.Issued, now.Sub(i.started))
	return Status{State: s, Run: verdict(s)}, nil
}

// Expire forgets what has been remembered for long enough and returns how many
// operations stay. Call it every few seconds.
func (i *Issuer) Expire(now time.Time) int {
	kept := 0
	for _, s := range i.shards {
		kept += s.expire(now.Sub(i.started))
	}
	return kept
}

// Unfinished returns the operations that are started or dispatched, for a
// planned stop to wait for.
func (i *Issuer) Unfinished() int {
	n := 0
	for _, s := range i.shards {
		n += s.countUnfinished()
	}
	return n
}

// KeptBytes returns the memory that kept answers take.
func (i *Issuer) KeptBytes() int {
	n := int64(0)
	for _, s := range i.shards {
		n += s.keptBytes.Load()
	}
	return int(n)
}

func (i *Issuer) verified(id domain.OperationID, customer domain.CustomerID) (IDParts, error) {
	p, err := ParseID(id)
	if err != nil {
		return p, err
	}
	if p.Node != i.node {
		return p, errkind.New(errkind.WrongIncarnation, "the operation was issued by node %q", p.Node)
	}
	if p.Incarnation != i.incarnation {
		return p, errkind.New(errkind.OperationLost, "the process that issued the operation is gone")
	}
	if !p.verify(i.secret[:], customer) {
		return p, badID()
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
