package edgenode

import (
	"context"
	"net"
	"time"

	"github.com/crocusspread/crocusspread/adapters/boottime"
	"github.com/crocusspread/crocusspread/adapters/edge"
	"github.com/crocusspread/crocusspread/adapters/upstream"
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/ports"
	"github.com/crocusspread/crocusspread/core/routes"
)

// Documents decodes what operators and upstreams write to the store.
type Documents interface {
	// OperatorPrefix returns the key prefix of the routing table and the evacuations.
	OperatorPrefix() string
	// InstancePrefix returns the key prefix of the entries of upstreams.
	InstancePrefix() string
	// NodePrefix returns the key prefix of the entries of nodes.
	NodePrefix() string
	// SoftwarePrefix returns the key prefix of the records of services' software versions; the service follows.
	SoftwarePrefix() string
	// HeldKey returns the key of the record of what is held because it crashes upstreams. It lies under SoftwarePrefix, as a
	// starting node reads both with one call, and is that of no service.
	HeldKey() string
	// QuotaAuthorityKey returns the key of the node that grants the quotas of client accounts.
	QuotaAuthorityKey() string
	// IsTable reports whether a key holds the routing table.
	IsTable(key string) bool
	// EvacuatedDomain returns the failure domain whose evacuation a key requests; false
	// means that the key requests none.
	EvacuatedDomain(key string) (domain.FailureDomain, bool)
	// DecodeTable decodes and validates a routing table.
	DecodeTable(value []byte) (*routes.Table, error)
	// WithoutKeys returns a routing table with hashes in place of the keys of client accounts,
	// as it may be sent to other nodes.
	WithoutKeys(table []byte) ([]byte, error)
	// DecodeInstance decodes and validates the entry of an upstream.
	DecodeInstance(key string, value []byte) (instances.Instance, error)
}

// Dependencies holds the platform-specific dependencies of a node.
type Dependencies struct {
	Store     ports.Store
	Documents Documents
	Edge      edge.Dialect
	Upstream  upstream.Dialect
	// DropStoreConnections closes idle connections to the store, so that the next
	// call dials a new one.
	DropStoreConnections func()
	// DialUpstream opens connections to upstreams; nil means the network of the machine.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	// DialPeer opens connections to other nodes; nil means the network of the machine.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// BootTime reads a clock that goes on while the machine is suspended; nil means that of
	// the machine.
	BootTime func() time.Duration
}

func (d *Dependencies) dialPeer() func(ctx context.Context, address string) (net.Conn, error) {
	if d.DialPeer != nil {
		return d.DialPeer
	}
	return upstream.Dialer(peerDialTimeout, upstreamUserTimeout)
}

func (d *Dependencies) bootTime() func() time.Duration {
	if d.BootTime != nil {
		return d.BootTime
	}
	return boottime.Now
}
