// Package ports defines the interfaces through which the core accesses the
// platform, the upstreams and other nodes. They are implemented by adapters, and by
// fakes in tests. Every method is safe for concurrent use, and every error is an
// *errkind.Error.
package ports

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
)

// KVEntry is one entry of the key-value service.
type KVEntry struct {
	Key   string
	Value []byte
	// Revision increases with each write to the service; zero means that the key does
	// not exist.
	Revision uint64
}

// LeaseID identifies a lease of the key-value service; zero means no lease.
type LeaseID uint64

// Lease is a granted lease. Revision is its fencing number. Era is the era of the store in
// which it was granted; IDs are unique within an era.
type Lease struct {
	ID       LeaseID
	TTL      time.Duration
	Revision uint64
	Era      uint64
}

// KV is the platform's key-value service. If it cannot be reached, methods fail with
// kind store_unavailable, and with Run "unknown" if a write may have taken effect.
type KV interface {
	// Get returns the entry, or one with revision zero if the key does not exist.
	Get(ctx context.Context, key string) (KVEntry, error)
	// List returns the entries whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]KVEntry, error)
	// CompareAndSwap writes value if the key's revision is prev; zero means that the
	// key must not exist. Otherwise it fails with kind conflict and returns the
	// current entry. If lease is not zero, the key is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, lease LeaseID) (KVEntry, error)
	// Watch waits until the key's revision exceeds after. It fails with kind timeout
	// if ctx ends first.
	Watch(ctx context.Context, key string, after uint64) (KVEntry, error)
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive extends a lease by its TTL. It fails with kind not_found if the lease
	// has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) error
}

// VMRole is the role of a VM.
type VMRole string

const (
	// RoleEntry is an entry VM.
	RoleEntry VMRole = "entry"
	// RoleEngine is a model engine's VM.
	RoleEngine VMRole = "engine"
	// RoleService is a plain service's VM.
	RoleService VMRole = "service"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID    string       `json:"id"`
	Role  VMRole       `json:"role"`
	Place domain.Place `json:"place"`
	// Target is the name of the service; empty for entry VMs and engines.
	Target string `json:"target,omitempty"`
	// Address is a host:port: the peer address of an entry VM, or the address of an
	// upstream.
	Address string `json:"address"`
	// Leaving is set once the VM is scheduled to stop.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs, which lags behind the actual
// state.
type VMList interface {
	// VMs returns the VMs of one failure domain, or of all if fd is empty.
	VMs(ctx context.Context, fd domain.FailureDomain) ([]VM, error)
}

// DirectoryRecord is a record of the platform's directory for clients.
type DirectoryRecord struct {
	Node    domain.NodeID `json:"node"`
	Place   domain.Place  `json:"place"`
	Address string        `json:"address"` // host:port of the listener for callers
}

// Directory is the platform's directory in which clients find an entry node.
type Directory interface {
	// Announce adds or refreshes a record for the duration ttl.
	Announce(ctx context.Context, rec DirectoryRecord, ttl time.Duration) error
	// Withdraw removes a record.
	Withdraw(ctx context.Context, node domain.NodeID) error
	// Lookup returns all records.
	Lookup(ctx context.Context) ([]DirectoryRecord, error)
}

// WeightStore is the platform's rate-limited weight store.
type WeightStore interface {
	// Reserve reserves a read of a model's weights; wait is the time to wait before
	// the read.
	Reserve(ctx context.Context, model string) (wait time.Duration, err error)
}

// GenerateRequest describes one generation on one engine.
type GenerateRequest struct {
	RequestID domain.RequestID
	Model     string
	// Body is the caller's OpenAI-compatible JSON, unchanged.
	Body []byte
	// Stream requests server-sent events instead of one JSON document.
	Stream bool
	// ResumeAfter is the number of events of this request that were already received.
	ResumeAfter uint64
	// Priority is the priority of the request; higher is more urgent.
	Priority int
	// Traceparent is the W3C trace context, empty if none.
	Traceparent string
}

// Engine is a model engine.
type Engine interface {
	// Generate runs or resumes a generation. The answer's chunks are complete
	// server-sent events; its End states whether the terminal event was received.
	Generate(ctx context.Context, up domain.UpstreamRef, req GenerateRequest) (answer.Stream, error)
	// Cancel cancels a request on the engine; unknown requests are ignored.
	Cancel(ctx context.Context, up domain.UpstreamRef, id domain.RequestID) error
	// Load returns the engine's lagging load report.
	Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error)
	// Order sends the desired state to the engine; see package orders.
	Order(ctx context.Context, up domain.UpstreamRef, o EngineOrder) error
	// CacheEvents returns the prefix cache events after a sequence number. Gaps and
	// delays are normal.
	CacheEvents(ctx context.Context, up domain.UpstreamRef, after uint64) ([]CacheEvent, error)
}

// EngineOrder is the desired state of an engine: its models, role and version.
type EngineOrder struct {
	Models  []string `json:"models"`
	Role    string   `json:"role,omitempty"`
	Version string   `json:"version,omitempty"`
	// Fencing is the revision of the orderer's key; some engines ignore it.
	Fencing uint64 `json:"fencing"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// ServiceRequest describes one call to a plain service.
type ServiceRequest struct {
	RequestID domain.RequestID
	Method    string
	Path      string // path below the service, with a leading slash
	Query     string
	Header    map[string][]string
	Body      answer.BodyReader
	// Repeatable allows retries by the transport; if it is false, the request must not
	// be sent more than once.
	Repeatable bool
	// OperationID is sent with non-repeatable calls.
	OperationID domain.OperationID
}

// Service is a plain service.
type Service interface {
	// Call sends one request. An error with verdict "no" proves that nothing reached
	// the service; after any other error it is unknown.
	Call(ctx context.Context, up domain.UpstreamRef, req ServiceRequest) (answer.Stream, error)
	// Load returns the service's lagging load report.
	Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error)
}
