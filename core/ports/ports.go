// Package ports declares the interfaces through which the core reaches the
// platform, the upstreams and other nodes. Adapters implement them; stand-ins
// implement them for tests. Every method is safe for concurrent use, and every
// error is an *errkind.Error.
package ports

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/core/answer"
	"github.com/crocusspread/crocusspread/core/domain"
)

// KVEntry is one key of the key-value service.
type KVEntry struct {
	Key   string
	Value []byte
	// Revision grows with each write to the service; zero means "absent".
	Revision uint64
}

// LeaseID identifies a lease of the key-value service; zero means "none".
type LeaseID uint64

// Lease is a granted lease. Revision is the fencing number.
type Lease struct {
	ID       LeaseID
	TTL      time.Duration
	Revision uint64
}

// KV is the platform's key-value service. Failures to reach it are of kind
// store_unavailable; with Run "unknown" when a write may have taken effect.
type KV interface {
	// Get returns the entry, or one with revision zero if the key is absent.
	Get(ctx context.Context, key string) (KVEntry, error)
	// List returns the entries whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]KVEntry, error)
	// CompareAndSwap writes value if the key's revision is prev (zero: absent).
	// Otherwise it fails with kind conflict and returns the current entry. A
	// non-zero lease deletes the key when the lease ends.
	CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, lease LeaseID) (KVEntry, error)
	// Watch waits until the key's revision exceeds after, or ctx ends (timeout).
	Watch(ctx context.Context, key string, after uint64) (KVEntry, error)
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive extends a lease by its TTL; kind not_found if it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) error
}

// VMRole tells entry VMs from upstream VMs.
type VMRole string

const (
	// RoleEntry is an entry VM.
	RoleEntry VMRole = "entry"
	// RoleEngine is a model engine's VM.
	RoleEngine VMRole = "engine"
	// RoleService is a plain service's VM.
	RoleService VMRole = "service"
)

// VM is a row of the platform's VM list.
type VM struct {
	ID    string       `json:"id"`
	Role  VMRole       `json:"role"`
	Place domain.Place `json:"place"`
	// Target is the service's name; empty for entry VMs and engines.
	Target string `json:"target,omitempty"`
	// Address is host:port: the peer address of entry VMs, else of the upstream.
	Address string `json:"address"`
	// Leaving is set once the VM is to stop.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	// VMs returns the rows of one failure domain; of all if fd is empty.
	VMs(ctx context.Context, fd domain.FailureDomain) ([]VM, error)
}

// DirectoryRecord is an entry in the platform's directory for clients.
type DirectoryRecord struct {
	Node    domain.NodeID `json:"node"`
	Place   domain.Place  `json:"place"`
	Address string        `json:"address"` // caller address, host:port
}

// Directory is the platform's directory where clients find a first entry.
type Directory interface {
	// Announce puts or refreshes a record for ttl.
	Announce(ctx context.Context, rec DirectoryRecord, ttl time.Duration) error
	// Withdraw removes a record.
	Withdraw(ctx context.Context, node domain.NodeID) error
	// Lookup returns all records.
	Lookup(ctx context.Context) ([]DirectoryRecord, error)
}

// WeightStore is the platform's rate-limited weight store.
type WeightStore interface {
	// Reserve asks to read a model's weights; wait is how long to hold back.
	Reserve(ctx context.Context, model string) (wait time.Duration, err error)
}

// GenerateRequest is one generation on one engine.
type GenerateRequest struct {
	RequestID domain.RequestID
	Model     string
	// Body is the caller's OpenAI-compatible JSON, unchanged.
	Body []byte
	// Stream asks for server-sent events; else one JSON document.
	Stream bool
	// ResumeAfter is the number of events already received of this request.
	ResumeAfter uint64
	// Priority is higher for more urgent work.
	Priority int
	// Traceparent is the W3C trace context, empty if none.
	Traceparent string
}

// Engine is a model engine.
type Engine interface {
	// Generate runs or resumes a generation. The answer's chunks are whole
	// server-sent events; its End says if the terminal event arrived.
	Generate(ctx context.Context, up domain.UpstreamRef, req GenerateRequest) (answer.Stream, error)
	// Cancel frees the engine of a request; unknown requests are ignored.
	Cancel(ctx context.Context, up domain.UpstreamRef, id domain.RequestID) error
	// Load returns the engine's lagging load report.
	Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error)
	// Order asks for a wanted state; see package orders.
	Order(ctx context.Context, up domain.UpstreamRef, o EngineOrder) error
	// CacheEvents returns prefix cache events after a sequence number; gaps and
	// delays are normal.
	CacheEvents(ctx context.Context, up domain.UpstreamRef, after uint64) ([]CacheEvent, error)
}

// EngineOrder states which models and role an engine should have.
type EngineOrder struct {
	Models  []string `json:"models"`
	Role    string   `json:"role,omitempty"`
	Version string   `json:"version,omitempty"`
	// Fencing is the revision of the orderer's key; some engines ignore it.
	Fencing uint64 `json:"fencing"`
}

// CacheEvent says that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	RequestID domain.RequestID
	Method    string
	Path      string // with leading slash, below the service
	Query     string
	Header    map[string][]string
	Body      answer.BodySource
	// Repeatable allows transport-level retries; false forbids any replay.
	Repeatable bool
	// OperationID is sent along for non-repeatable calls.
	OperationID domain.OperationID
}

// Service is a plain service.
type Service interface {
	// Call sends one request. An error with verdict "no" proves that nothing
	// reached the service; any other error leaves it unknown.
	Call(ctx context.Context, up domain.UpstreamRef, req ServiceRequest) (answer.Stream, error)
	// Load returns the service's lagging load report.
	Load(ctx context.Context, up domain.UpstreamRef) (domain.LoadReport, error)
}
